"""Run one measurement by name."""

import bendlead_testing.patched  # noqa: F401, I001

import argparse
import importlib
import json
import sys

_NAMES = (
    'config',
    'harm',
    'ledger',
    'members',
    'path',
    'retry',
    'slopes',
    'stop',
    'upload',
)


def main() -> None:
    """Run a measurement and print its figures."""
    parser = argparse.ArgumentParser()
    parser.add_argument('name', choices=_NAMES)
    parser.add_argument('--seconds', type=float, default=40)
    asked = parser.parse_args()
    module = importlib.import_module(f'bendlead_testing.bench.{asked.name}')
    figures = module.measure(asked.seconds)
    sys.stdout.write(f'{json.dumps(figures)}\n')


if __name__ == '__main__':
    main()
