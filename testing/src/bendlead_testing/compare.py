"""Play the same days and seeds on two checkouts and compare their figures.

Both checkouts lie outside the repository; their journals stay with them.
"""

import argparse
import itertools
import json
import os
import pathlib
import statistics
import subprocess
import sys
import tempfile
from collections.abc import Iterable, Mapping, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

from bendlead_testing.days import broken_rules

_RUN_SECONDS = 1200
#: What a day is compared by, and how each is read from a report.
_FIGURES = ('worth', 'served', 'in time', 'windows', 'worst class', 'prices')
#: Load for each core above which runs may wait for one another.
_BUSY_LOAD = 1.5


@dataclass(frozen=True)
class Case:
    """Name one run: where, which day, which seed."""

    checkout: pathlib.Path
    site: pathlib.Path
    day: str
    seed: int

    @property
    def label(self) -> str:
        """Name the day among those of all sites."""
        return f'{self.site.stem}/{pathlib.Path(self.day).stem}'


@dataclass(frozen=True)
class DayFigures:
    """Hold the figures of one run and the rules it broke."""

    values: Mapping[str, float]
    rules: Sequence[str]


def read_figures(text: str) -> DayFigures:
    """Read the figures of a report of the bench."""
    report = json.loads(text)
    parts = {name: value for name, _weight, value in report['parts']}
    everybody = report['all']
    owed = max(1, everybody['n'] - everybody['not_owed'])
    values = {
        'worth': report['G'],
        'served': report['served'],
        'in time': everybody['in_aim'] / owed,
        'windows': parts.get('worst windows', 1.0),
        'worst class': parts.get('worst class', 1.0),
        'prices': sum(price[-1] for price in report['prices']),
    }
    return DayFigures(values, broken_rules(report))


def play(bench: pathlib.Path, case: Case, why: str) -> DayFigures | None:
    """Play one case; nothing where the bench gave no report."""
    with tempfile.NamedTemporaryFile(suffix='.json') as report:
        command = [bench, 'run', case.site, case.day, '--no-cpu']
        command += ['--jobs', '1', '--seed', case.seed, '--why', why]
        subprocess.run(
            [*map(str, command), '--report', report.name],
            cwd=case.checkout,
            capture_output=True,
            timeout=_RUN_SECONDS,
            check=False,
        )
        text = pathlib.Path(report.name).read_text(encoding='utf-8')
    return read_figures(text) if text else None


def lines_of(
    label: str, before: Sequence[DayFigures], after: Sequence[DayFigures]
) -> Iterable[str]:
    """Give a line for each figure of a day, with its spread over seeds."""
    for name in _FIGURES:
        was = [figures.values[name] for figures in before]
        now = [figures.values[name] for figures in after]
        if not was or not now:
            continue
        gains = [new - old for old, new in zip(was, now, strict=False)]
        spread = max(max(was) - min(was), max(now) - min(now))
        yield (
            f'{label:28} {name:12} {statistics.fmean(was):7.3f}'
            f' {statistics.fmean(now):7.3f} {statistics.fmean(gains):+7.3f}'
            f'  spread {spread:.3f}'
            f'  each {" ".join(f"{gain:+.3f}" for gain in gains)}'
        )
    broken = [rule for figures in after for rule in figures.rules]
    if broken:
        yield f'{label:28} broken: {", ".join(broken)}'


def main() -> None:
    """Compare checkouts; exit non-zero where a run gave no report."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--bench', type=pathlib.Path, required=True)
    parser.add_argument('--before', type=pathlib.Path, required=True)
    parser.add_argument('--after', type=pathlib.Path, required=True)
    parser.add_argument(
        '--site', type=pathlib.Path, action='append', required=True
    )
    parser.add_argument('--days', nargs='+', required=True)
    parser.add_argument('--seeds', nargs='+', type=int, required=True)
    parser.add_argument('--jobs', type=int, default=os.cpu_count())
    parser.add_argument('--why', required=True)
    asked = parser.parse_args()
    sides = dict.fromkeys((asked.before.resolve(), asked.after.resolve()))
    cases = [
        Case(checkout, site.resolve(), day, seed)
        for site, day, seed, checkout in itertools.product(
            asked.site, asked.days, asked.seeds, sides
        )
    ]
    bench = asked.bench.resolve()
    with ThreadPoolExecutor(asked.jobs) as pool:
        played = pool.map(lambda case: play(bench, case, asked.why), cases)
        found = dict(zip(cases, played, strict=True))
    whole = True
    for label in dict.fromkeys(case.label for case in cases):
        rows = [
            [
                found[case]
                for case in cases
                if case.label == label and case.checkout == side
            ]
            for side in sides
        ]
        before, after = rows[0], rows[-1]
        pairs = [pair for pair in zip(before, after, strict=True) if all(pair)]
        whole = whole and len(pairs) == len(before)
        for line in lines_of(label, *(zip(*pairs, strict=True))):
            sys.stdout.write(f'{line}\n')
    load = os.getloadavg()[1] / (os.cpu_count() or 1)
    if load > _BUSY_LOAD:
        sys.stdout.write(f'machine busy: load {load:.1f} for each core\n')
    sys.exit(0 if whole else 1)


if __name__ == '__main__':
    main()
