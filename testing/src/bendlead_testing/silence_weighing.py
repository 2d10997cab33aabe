"""Compare rules for silent engines over loads, faults and seeds."""

import argparse
from collections.abc import Iterator, Sequence
from itertools import product
from math import inf
from multiprocessing import Pool

from msgspec import Struct, json
from msgspec.structs import asdict

from bendlead_testing.silence_load import (
    Fault,
    SilenceLoad,
    SilenceOutcome,
)
from bendlead_testing.silence_replay import SilenceReplay
from bendlead_testing.silence_rules import POLICIES

_SHORT = (0.3, 0.7, 1.2, 1.4)
_BETWEEN = (1.6, 1.8)
_LONG = (2.0, 3.0, 5.0)
_LINK = (0.7, 1.4, 3.0)
_ENGINES = (Fault.ONE, Fault.HALF, Fault.ALL, Fault.ROTATING)
#: Faults by the heading of their figures.
_GROUPS = {
    'nothing': [(Fault.NONE, 0)],
    'short': [*product(_ENGINES, _SHORT)],
    'between': [*product(_ENGINES, _BETWEEN)],
    'long': [*product(_ENGINES, _LONG)],
    'lost': [(Fault.GONE, inf), (Fault.HALF_GONE, inf)],
    'connections paused': [*product([Fault.CONNECTIONS], _SHORT)],
    'connections dead': [(Fault.CONNECTIONS, inf)],
    'all connections dead': [(Fault.ALL_CONNECTIONS, inf)],
    'link': [*product([Fault.LINK], _LINK)],
    'requests hang': [(Fault.HANGING, inf)],
    'entry': [(Fault.ENTRY, 1.0)],
}


class Cell(Struct, frozen=True):
    """The figures of one load under one policy, over all seeds."""

    group: str
    policy: str
    load: SilenceLoad
    outcome: SilenceOutcome


class _Task(Struct, frozen=True):
    group: str
    policy: str
    load: SilenceLoad
    seeds: int


def _play(task: _Task) -> Cell:
    total = SilenceOutcome()
    for seed in range(1, task.seeds + 1):
        outcome = SilenceReplay(task.load, POLICIES[task.policy], seed).play()
        for name, count in asdict(outcome).items():
            setattr(total, name, getattr(total, name) + count)
    return Cell(task.group, task.policy, task.load, total)


def _tasks(options: argparse.Namespace) -> Iterator[_Task]:
    for group, policy in product(options.groups, options.policies):
        for fault, seconds in _GROUPS[group]:
            for share, attempts in product(options.shares, options.attempts):
                load = SilenceLoad(
                    fault=fault,
                    seconds=seconds,
                    engines=options.engines,
                    slots=options.slots,
                    share=share,
                    max_attempts=attempts,
                )
                yield _Task(group, policy, load, options.seeds)


def tabulate(cells: Sequence[Cell]) -> Iterator[str]:
    """Return the lines of a table by group, attempts and policy."""
    counts = (*SilenceOutcome.__struct_fields__, 'in_time')
    yield '| fault | attempts | policy | ' + ' | '.join(counts) + ' |'
    yield '| --- ' * (len(counts) + 3) + '|'
    sums: dict[tuple[str, int, str], list[int]] = {}
    for cell in cells:
        key = (cell.group, cell.load.max_attempts, cell.policy)
        row = sums.setdefault(key, [0] * len(counts))
        for at, name in enumerate(counts):
            row[at] += getattr(cell.outcome, name)
    for key, row in sorted(sums.items(), key=lambda item: item[0][:2]):
        yield '| ' + ' | '.join(map(str, (*key, *row))) + ' |'


def _options() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=20)
    parser.add_argument('--engines', type=int, default=3)
    parser.add_argument('--slots', type=int, default=8)
    parser.add_argument(
        '--shares', type=float, nargs='*', default=[0.5, 0.75, 0.9, 1.0]
    )
    parser.add_argument('--attempts', type=int, nargs='*', default=[1, 2, 3])
    parser.add_argument('--groups', nargs='*', default=list(_GROUPS))
    parser.add_argument('--policies', nargs='*', default=list(POLICIES))
    parser.add_argument('--processes', type=int, default=2)
    parser.add_argument('--cells', help='file for the figures of each load')
    return parser.parse_args()


def main() -> None:
    """Play all loads and print the table."""
    options = _options()
    with Pool(options.processes) as pool:
        cells = pool.map(_play, list(_tasks(options)), chunksize=4)
    if options.cells:
        with open(options.cells, 'wb') as file:
            file.writelines(json.encode(cell) + b'\n' for cell in cells)
    print('\n'.join(tabulate(cells)))


if __name__ == '__main__':
    main()
