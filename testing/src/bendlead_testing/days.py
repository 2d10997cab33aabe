"""Play our own days on sites of the users' bench and print one table."""

import argparse
import json
import pathlib
import subprocess
import sys
import tempfile
from collections.abc import Iterable, Mapping, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from typing import Any

_ROW = '{day:16} {site:18} {rules:28} {worth:>6} {served:>6}  {weakest}'
#: A day of a grown site takes two minutes beside others (s).
_DAY_SECONDS = 900
#: What the bench says of a kind of trouble that a site does not hold.
_NOT_OPEN = 'is not open'


@dataclass(frozen=True)
class DayReport:
    """Hold what the bench found on one day."""

    day: str
    site: str
    rules: Sequence[str]
    worth: float | None
    served: float | None
    weakest: str

    @property
    def whole(self) -> bool:
        """Tell whether the day was played and no rule was broken.

        A kind of trouble that the site's contracts do not hold can't be played.
        """
        return self.weakest.endswith(_NOT_OPEN) or (
            self.worth is not None and not self.rules
        )

    def row(self) -> str:
        """Show the day as one row of the table."""
        return _ROW.format(
            day=self.day,
            site=self.site,
            rules=', '.join(self.rules) or '-',
            worth='-' if self.worth is None else f'{self.worth:.3f}',
            served='-' if self.served is None else f'{self.served:.3f}',
            weakest=self.weakest,
        )


def broken_rules(report: Mapping[str, Any]) -> list[str]:
    """Name the rules that a report of the bench tells broken."""
    rules = [f'{name} {count}' for name, count in report['breaks'].items()]
    if report['fault']:
        rules.append(f'fault: {report["fault"]}')
    return rules


def read_report(day: str, site: str, text: str) -> DayReport:
    """Read the report that the bench wrote of one day."""
    found = json.loads(text)
    rules = broken_rules(found)
    name, _weight, value = min(found['parts'], key=_value_of_part)
    return DayReport(
        day, site, rules, found['G'], found['served'], f'{name} {value:.3f}'
    )


def play(
    bench: pathlib.Path, site: pathlib.Path, day: pathlib.Path, why: str
) -> DayReport:
    """Play one day; a day without a report counts as broken."""
    with tempfile.NamedTemporaryFile(suffix='.json') as report:
        command = [bench, 'run', site, day, '--report', report.name]
        ended = subprocess.run(
            [*map(str, command), '--why', why],
            capture_output=True,
            text=True,
            timeout=_DAY_SECONDS,
            check=False,
        )
        text = pathlib.Path(report.name).read_text(encoding='utf-8')
    if not text:
        lines = (ended.stderr or ended.stdout).strip().splitlines()
        reason = lines[-1] if lines else f'ended with {ended.returncode}'
        return DayReport(day.stem, site.stem, (), None, None, reason)
    return read_report(day.stem, site.stem, text)


def print_table(reports: Iterable[DayReport]) -> bool:
    """Print a row for each day and tell whether all were whole."""
    sys.stdout.write(
        'day              site               rules broken'
        '                  worth served  weakest part\n'
    )
    whole = True
    for report in reports:
        sys.stdout.write(f'{report.row()}\n')
        sys.stdout.flush()
        whole = whole and report.whole
    return whole


def main() -> None:
    """Play the days of a folder and exit non-zero where a rule was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--bench', type=pathlib.Path, required=True)
    parser.add_argument('--site', type=pathlib.Path, action='append')
    parser.add_argument('--days', type=pathlib.Path, required=True)
    parser.add_argument('--only', default='', help='part of a name of a day')
    parser.add_argument('--jobs', type=int, default=4)
    parser.add_argument('--why', required=True)
    asked = parser.parse_args()
    found = sorted(asked.days.glob('*.toml'))
    days = [day for day in found if asked.only in day.name]
    if not days or not asked.site:
        parser.error(f'no site given, or no day in {asked.days}')
    with ThreadPoolExecutor(asked.jobs) as pool:
        reports = pool.map(
            lambda pair: play(asked.bench, *pair, asked.why),
            [(site, day) for site in asked.site for day in days],
        )
        whole = print_table(reports)
    sys.exit(0 if whole else 1)


def _value_of_part(part: Sequence[object]) -> object:
    return part[2]


if __name__ == '__main__':
    main()
