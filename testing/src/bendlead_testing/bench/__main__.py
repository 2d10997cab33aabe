"""Run one measurement by name."""

import os

os.environ['GEVENT_LOOP'] = 'libev-cext'
os.environ['GEVENT_BACKEND'] = 'epoll'

from gevent import monkey

monkey.patch_all()

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
