"""Run all tests and close with one line that counts them.

Files of tests run side by side, each in a process of its own; the tests of one
file run one after the other.
"""

import argparse
import json
import os
import pathlib
import subprocess
import sys
import tempfile
import time
import unittest
from collections.abc import Iterable, Sequence
from concurrent.futures import ThreadPoolExecutor, as_completed

from msgspec import Struct, field

_ROOT = pathlib.Path(__file__).resolve().parents[3]
_KNOWN_RED = _ROOT / 'KNOWN-RED.txt'
#: Half of the processors: most files start processes of their own.
_SIDE_BY_SIDE = max(1, (os.cpu_count() or 1) // 2)
_SLOWEST_SHOWN = 20
#: Files that take longest; they begin first, so that none ends alone.
_LONGEST = (
    'test_gateway_soak',
    'test_gateway_replay',
    'test_gateway_uneven',
    'test_gateway_turns',
    'test_gateway_engine_health',
    'test_gateway_item_preemption',
)


class Tally(Struct):
    """Count tests, name those that failed, and time (s) each."""

    run: int = 0
    broken: list[str] = field(default_factory=list)
    seconds: dict[str, float] = field(default_factory=dict)

    def add(self, other: 'Tally') -> None:
        """Count the tests of another file."""
        self.run += other.run
        self.broken.extend(other.broken)
        self.seconds.update(other.seconds)


class _TimedResult(unittest.TextTestResult):
    """Time each test."""

    def __init__(self, *positional: object, **named: object) -> None:
        super().__init__(*positional, **named)  # type: ignore[arg-type]
        self.seconds: dict[str, float] = {}
        self._began = 0.0

    def startTest(self, test: unittest.TestCase) -> None:
        self._began = time.monotonic()
        super().startTest(test)

    def stopTest(self, test: unittest.TestCase) -> None:
        super().stopTest(test)
        self.seconds[test.id()] = time.monotonic() - self._began


def main() -> None:
    """Run the tests below tests/ and exit non-zero on an unknown failure."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('names', nargs='*', help='run only these, here')
    parser.add_argument('--tally', type=pathlib.Path, help='write counts there')
    asked = parser.parse_args()
    tally = run_here(asked.names) if asked.names else run_all()
    if asked.tally:
        counts = {
            'run': tally.run,
            'broken': tally.broken,
            'seconds': tally.seconds,
        }
        asked.tally.write_text(json.dumps(counts), encoding='utf-8')
        return
    sys.exit(0 if conclude(tally) else 1)


def run_here(names: Sequence[str]) -> Tally:
    """Run the named tests in this process."""
    suite = unittest.defaultTestLoader.loadTestsFromNames(names)
    runner = unittest.TextTestRunner(verbosity=2, resultclass=_TimedResult)
    outcome = runner.run(suite)
    broken = [case.id() for case, _trace in outcome.failures + outcome.errors]
    seconds = outcome.seconds if isinstance(outcome, _TimedResult) else {}
    return Tally(outcome.testsRun, list(dict.fromkeys(broken)), seconds)


def run_all() -> Tally:
    """Run each file of tests in a process of its own, some side by side."""
    found = sorted(path.stem for path in (_ROOT / 'tests').glob('test_*.py'))
    files = [name for name in _LONGEST if name in found]
    files += [name for name in found if name not in _LONGEST]
    whole = Tally()
    with ThreadPoolExecutor(_SIDE_BY_SIDE) as pool:
        runs = [pool.submit(_run_file, f'tests.{name}') for name in files]
        for run in as_completed(runs):
            output, tally = run.result()
            sys.stdout.write(output)
            sys.stdout.flush()
            whole.add(tally)
    return whole


def conclude(tally: Tally) -> bool:
    """Print what failed and the counts; tell whether all else passed."""
    for name in _slowest(tally):
        sys.stdout.write(f'{tally.seconds[name]:7.1f} s  {name}\n')
    known = set(tally.broken) & _known_red()
    # What is new comes last: some readers see only the end of the output.
    for name in sorted(known):
        sys.stdout.write(f'known red: {name}\n')
    for name in sorted(set(tally.broken) - known):
        sys.stdout.write(f'failed: {name}\n')
    passed = tally.run - len(tally.broken)
    sys.stdout.write(f'{passed} passed, {len(tally.broken)} failed\n')
    return set(tally.broken) == known and tally.run > 0


def _run_file(name: str) -> tuple[str, Tally]:
    """Run one file; one that gives no counts is a failure of its own."""
    with tempfile.NamedTemporaryFile(suffix='.json') as counts:
        ended = subprocess.run(
            [sys.executable, '-m', __spec__.name, name, '--tally', counts.name],
            cwd=_ROOT,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            errors='replace',
            check=False,
        )
        text = pathlib.Path(counts.name).read_text(encoding='utf-8')
    if not text or ended.returncode:
        return ended.stdout, Tally(1, [name])
    return ended.stdout, Tally(**json.loads(text))


def _slowest(tally: Tally) -> Iterable[str]:
    ranked = sorted(tally.seconds, key=tally.seconds.__getitem__, reverse=True)
    return ranked[:_SLOWEST_SHOWN]


def _known_red() -> set[str]:
    if not _KNOWN_RED.exists():
        return set()
    lines = _KNOWN_RED.read_text(encoding='utf-8').splitlines()
    return {line.split(',', 1)[0].strip() for line in lines if line.strip()}


if __name__ == '__main__':
    main()
