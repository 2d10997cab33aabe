"""Texts of items are of one chain of runs, in any order of what happens.

Guards against texts joined from two runs, the second of which was not requested
behind the first: after a start over without a saved event, after a takeover,
and where releases alternate.
"""

import random
import unittest

import msgspec
from bendlead_gateway._jobs.owned_job import Progress
from bendlead_gateway.types import EngineVersion, ItemId, JobItem
from bendlead_ledger import (
    BEFORE_FIRST,
    SavedProgress,
    ShardState,
    decode,
    encode,
)
from bendlead_schema.records import (
    DirectJobAccepted,
    DirectProgress,
    DirectResultsRecorded,
    Record,
    Snapshot,
)
from msgspec import UNSET, Struct, field
from parameterized import parameterized

_ITEM = JobItem(ItemId('i1'), '/x/1', {}, b'', 1)
_ACCEPTED = DirectJobAccepted(
    job='j1', host='a', path='/', accepted_at=1, total=2, tokens=1
)
_VERSIONS = ('v1', 'v1', 'v2', '')
_STEPS = 150
_TEXT_LIMITS = (1, 12, 999)


class EarlierRelease:
    """How the release before chains were recorded reads and writes a log."""

    @staticmethod
    def read(updates: list[DirectProgress]) -> SavedProgress | None:
        """Return the progress that it restores."""
        saved: SavedProgress | None = None
        for update in updates:
            version = update.version
            known = saved or SavedProgress()
            if update.after == BEFORE_FIRST and version != known.version:
                known = SavedProgress(version=version)
            elif update.after != known.last_event:
                continue
            elif version != known.version:
                known.version = ''
            known.last_event = update.last_event
            known._texts.append(update.text)
            saved = known
        return saved

    @staticmethod
    def write(update: DirectProgress) -> DirectProgress:
        """Return a record as it writes them."""
        return msgspec.structs.replace(
            update, chain=UNSET, version=update.chain.version
        )


class Fleet(Struct):
    """One item, its engines, the log, and one owner after the other."""

    random: random.Random
    #: Event behind which each run was requested.
    requested: list[int | None] = field(default_factory=list)
    log: list[DirectProgress] = field(default_factory=list)
    #: What the last snapshot replaced.
    snapshot: bytes | None = None
    owner: Progress = field(default_factory=lambda: Progress(_ITEM))
    earlier: bool = False

    def start_run(self) -> None:
        """Request a run, which may make no event."""
        if self.owner.running:
            self.owner.end_run()
        self.owner.begin_run(EngineVersion(self.random.choice(_VERSIONS)))
        self.requested.append(self.owner.last_event)

    def receive(self) -> None:
        """Receive some events of the run under way."""
        if not self.owner.running:
            return
        for _ in range(self.random.randrange(1, 4)):
            number = (self.owner.last_event or 0) + 1
            self.owner.texts.append(f'{len(self.requested) - 1}.{number}')
            self.owner.last_event = number

    def save(self) -> None:
        """Write events to the log."""
        if self.owner.unsaved_texts:
            self.log.append(self._take())

    def lose_save(self) -> None:
        """Lose a write, and the shard with it."""
        if self.owner.unsaved_texts:
            self._take()
            self.take_over()

    def repeat(self) -> None:
        """Write the last record a second time."""
        self.log += self.log[-1:]

    def write_snapshot(self) -> None:
        """Replace the log by its state, as an owner of this release does."""
        if not self.earlier:
            self.snapshot = encode(self._state().snapshot())
            self.log.clear()

    def take_over(self) -> None:
        """Have an owner of this release take the shard over."""
        self.earlier = False
        saved = self._state().direct['j1'].saved_progress.get('i1')
        self.owner = Progress.restored(_ITEM, saved)

    def roll_back(self) -> None:
        """Have an owner of the release before take the shard over."""
        self.earlier = True
        updates = list(self.log)
        if self.snapshot is not None:
            job = decode(self.snapshot, Snapshot, 'snapshot').direct[0]
            updates = [*job.progress, *updates]
        self.owner = Progress.restored(_ITEM, EarlierRelease.read(updates))

    def _take(self) -> DirectProgress:
        update = self.owner.take_events(self.random.choice(_TEXT_LIMITS))
        return EarlierRelease.write(update) if self.earlier else update

    def _state(self) -> ShardState:
        state = ShardState()
        if self.snapshot is None:
            state.replay([_ACCEPTED])
        else:
            state.restore(decode(self.snapshot, Snapshot, 'snapshot'))
        for update in self.log:
            record = DirectResultsRecorded(
                job='j1', results=[], progress=[update]
            )
            state.replay([msgspec.json.decode(encode(record), type=Record)])
        return state


def find_fault(fleet: Fleet) -> str | None:
    """Return where the owner's text goes on with a run of another chain."""
    lines = '\n'.join(fleet.owner.texts).split('\n')
    previous_run, previous = None, 0
    for line in filter(None, lines):
        run, number = (int(part) for part in line.split('.'))
        if number != previous + 1:
            return f'event {number} behind {previous}'
        if previous_run not in {None, run}:
            if fleet.requested[run] != previous:
                return f'run {run} was not requested behind {previous}'
        previous_run, previous = run, number
    return None


class OrderTest(unittest.TestCase):
    """Random orders of what happens to an item."""

    @parameterized.expand([(first,) for first in range(0, 400, 50)])
    def test_one_release(self, first):
        self.assertEqual([], self.find_faults(first, 'lose_save'))

    @parameterized.expand([(first,) for first in range(0, 400, 50)])
    def test_releases_that_alternate(self, first):
        self.assertEqual([], self.find_faults(first, 'roll_back'))

    def find_faults(self, first: int, action: str) -> list[tuple[int, str]]:
        """Play fifty seeds with a further action; return those with a fault."""
        played = (
            (seed, play(seed, action)) for seed in range(first, first + 50)
        )
        return [(seed, fault) for seed, fault in played if fault]


def play(seed: int, further: str) -> str | None:
    """Do something again and again; return what is wrong then, if anything."""
    fleet = Fleet(random.Random(seed))
    actions = [
        *[fleet.start_run] * 2,
        *[fleet.receive] * 3,
        *[fleet.save] * 3,
        getattr(fleet, further),
        fleet.repeat,
        fleet.write_snapshot,
        fleet.take_over,
    ]
    for _ in range(_STEPS):
        fleet.random.choice(actions)()
        fault = find_fault(fleet) if is_promised(fleet) else None
        if fault:
            return fault
    return None


def is_promised(fleet: Fleet) -> bool:
    """Return whether the text has to be of one chain.

    The release before may join its own records, and starts over what it can't
    tell once it runs the item.
    """
    written = any(update.chain is UNSET for update in fleet.log)
    return not fleet.earlier or (fleet.owner.running and not written)


class RollBackTest(unittest.TestCase):
    """An owner of the release before starts items of this one over."""

    def test_starts_over(self):
        owner = Progress(_ITEM)
        owner.begin_run(EngineVersion('v1'))
        owner.texts.append('a')
        owner.last_event = 1
        saved = EarlierRelease.read([owner.take_events(9)])
        earlier = Progress.restored(_ITEM, saved)
        earlier.begin_run(EngineVersion('v1'))
        self.assertIsNone(earlier.last_event)
