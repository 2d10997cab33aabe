"""Soak the gateway: one JSON line a seed, non-zero where one broke."""

import bendlead_testing.patched  # noqa: F401, I001

import argparse
import json
import math
import signal
import sys
from dataclasses import replace

import gevent

from bendlead_testing.gateway_soak.crash_series import EVERY_SERIES
from bendlead_testing.gateway_soak.plan import Step
from bendlead_testing.gateway_soak.run import Size, run
from bendlead_testing.gateway_soak.steps import StepsError, read_steps


def main() -> None:
    """Run seeds one after the other."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1, help='the first seed')
    parser.add_argument('--seeds', type=int, default=1, help='how many')
    parser.add_argument('--seconds', type=float, default=20)
    parser.add_argument('--entries', type=int, default=3)
    parser.add_argument('--owners', type=int, default=3)
    parser.add_argument('--engines', type=int, default=4)
    parser.add_argument('--online', type=int, default=12)
    parser.add_argument('--batch', type=int, default=2)
    parser.add_argument('--deadly', type=int, default=0)
    parser.add_argument('--deadly-part', type=int, default=0)
    parser.add_argument('--hard', action='store_true')
    parser.add_argument('--versions', type=int, default=1)
    parser.add_argument('--ends', action='store_true')
    parser.add_argument('--attempts', type=int, default=3)
    parser.add_argument('--slots', type=int, default=4)
    parser.add_argument('--stream-attempts', type=int, default=0)
    parser.add_argument('--deadly-items', type=float)
    parser.add_argument(
        '--deadly-seconds',
        type=_deadly_seconds,
        default=math.inf,
        help='from the start on, deadly requests and parts end engines for so '
        'long, and are owed then (default: they always do)',
    )
    parser.add_argument(
        '--alike',
        type=int,
        default=0,
        help='clients of one sound request that all send alike',
    )
    parser.add_argument('--retries', type=int, default=0)
    parser.add_argument('--lanes', type=int, default=1)
    plans = parser.add_mutually_exclusive_group()
    plans.add_argument('--stops', action='store_true')
    plans.add_argument(
        '--releases',
        action='store_true',
        help='engines are released while an entry is out of step',
    )
    plans.add_argument(
        '--series',
        action='store_true',
        help='engines crash in a series: the row of the table by the seed',
    )
    plans.add_argument(
        '--steps',
        type=_steps,
        help='JSON list of [second, disruption, target, seconds]',
    )
    asked = parser.parse_args()
    if asked.releases and asked.versions == 1:
        parser.error('--releases needs several --versions')
    deadly = asked.deadly or asked.deadly_part or asked.deadly_items
    if math.isfinite(asked.deadly_seconds) and not deadly:
        parser.error('--deadly-seconds needs deadly requests, parts or items')
    size = Size(
        asked.entries,
        asked.owners,
        asked.engines,
        asked.online,
        asked.batch,
        asked.deadly,
        asked.hard,
        asked.versions,
        asked.ends,
        asked.deadly_part,
        asked.stops,
        asked.attempts,
        slots=asked.slots,
        stream_attempts=asked.stream_attempts,
        deadly_items=asked.deadly_items,
        retries=asked.retries,
        lanes=asked.lanes,
        releases=asked.releases,
        deadly_seconds=asked.deadly_seconds,
        alike=asked.alike,
    )
    # Told to stop, the soak still ends every process that it started.
    gevent.signal_handler(signal.SIGTERM, sys.exit, 1)
    broken = 0
    for seed in range(asked.seed, asked.seed + asked.seeds):
        if asked.series:
            row = EVERY_SERIES[seed % len(EVERY_SERIES)]
            sys.stderr.write(f'{row}\n')
            size = replace(size, series=row)
        try:
            outcome = run(seed, asked.seconds, size, asked.steps)
        except StepsError as error:
            parser.error(str(error))
        broken += bool(outcome.breaches)
        shown = {
            'seed': seed,
            'breaches': [vars(one) for one in outcome.breaches],
            **outcome.counts,
            'folder': outcome.folder,
        }
        sys.stdout.write(f'{json.dumps(shown)}\n')
        sys.stdout.flush()
    sys.exit(1 if broken else 0)


def _deadly_seconds(text: str) -> float:
    seconds = float(text)
    if not seconds > 0:
        raise argparse.ArgumentTypeError(f'more than 0 s, not {text}')
    return seconds


def _steps(text: str) -> list[Step]:
    try:
        return read_steps(json.loads(text))
    except StepsError as error:
        raise argparse.ArgumentTypeError(str(error)) from error


if __name__ == '__main__':
    main()
