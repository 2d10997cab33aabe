"""Run all tests and close with one line that counts them."""

import pathlib
import sys
import unittest

_ROOT = pathlib.Path(__file__).resolve().parents[3]
_KNOWN_RED = _ROOT / 'KNOWN-RED.txt'


def main() -> None:
    """Run the tests below tests/ and exit non-zero on an unknown failure."""
    names = sys.argv[1:]
    loader = unittest.defaultTestLoader
    if names:
        suite = loader.loadTestsFromNames(names)
    else:
        suite = loader.discover(str(_ROOT / 'tests'), top_level_dir=str(_ROOT))
    outcome = unittest.TextTestRunner(verbosity=2).run(suite)
    broken = [*outcome.failures, *outcome.errors]
    broken_names = {case.id() for case, _trace in broken}
    known = broken_names & _known_red()
    for name in sorted(known):
        sys.stdout.write(f'known red: {name}\n')
    passed = outcome.testsRun - len(broken_names)
    sys.stdout.write(f'{passed} passed, {len(broken_names)} failed\n')
    sys.exit(0 if broken_names == known and outcome.testsRun else 1)


def _known_red() -> set[str]:
    if not _KNOWN_RED.exists():
        return set()
    lines = _KNOWN_RED.read_text(encoding='utf-8').splitlines()
    return {line.split(',', 1)[0].strip() for line in lines if line.strip()}


if __name__ == '__main__':
    main()
