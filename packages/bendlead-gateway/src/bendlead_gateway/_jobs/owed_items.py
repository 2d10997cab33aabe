"""Count the items that this owner owes, and log those that stand still."""

from collections import Counter
from collections.abc import Callable, Iterator, Sequence
from itertools import chain, islice, zip_longest

import gevent
from bendlead_ledger import DirectJobState
from bendlead_store import clock
from msgspec import Struct, field

from bendlead_gateway._jobs.item_states import (
    PAUSES,
    UNSENT,
    ItemReason,
    ItemState,
)
from bendlead_gateway._jobs.owned_job import Progress
from bendlead_gateway._jobs.owned_shard import OwnedShard
from bendlead_gateway._jobs.shard_manager import ShardManager
from bendlead_gateway._log import Log
from bendlead_gateway._metrics import Metrics
from bendlead_gateway.types import EngineId, ItemId, JobId

#: Time without progress from which on an item is overdue.
BOUND_SECONDS = 10.0
_CHECK_SECONDS = 1.0
#: The same where there are so many items that a check takes long, as a
#: multiple of its duration, up to the maximum.
_PAUSE_PER_CHECK = 50
_MAX_CHECK_SECONDS = 5.0
#: Age of the latest scheduling round from which on there are none.
_ROUND_SECONDS = 1.0
_MAX_SHOWN = 32
#: Limit of one check: the log takes 300 lines a second in all.
_MAX_LINES = 8
#: Items after which a check lets other tasks run.
_ITEMS_AT_ONCE = 1000
_UNKNOWN_ITEM = ItemId('-')


class OwedItem(Struct, frozen=True):
    """An item that has no result yet, with its state.

    ``seconds`` is the time without progress. ``progress`` is ``None`` for a
    job whose items are not held here; ``count`` is how many they are.
    """

    job: JobId
    item: ItemId
    state: ItemState
    reason: ItemReason
    seconds: float
    engine: EngineId = EngineId('')
    progress: Progress | None = None
    count: int = 1

    @property
    def fields(self) -> dict[str, object]:
        """Return what the state dump and a line of the log show."""
        return {
            'job': self.job,
            'item': self.item,
            'state': self.state.value,
            'reason': self.reason.value,
            'seconds': round(self.seconds, 1),
            'engine': self.engine or '-',
        }


class _Survey(Struct):
    """Counts of all items, and the overdue ones by reason."""

    states: Counter[ItemState] = field(default_factory=Counter)
    reasons: Counter[ItemReason] = field(default_factory=Counter)
    overdue: dict[ItemReason, list[OwedItem]] = field(default_factory=dict)

    def count(
        self, state: ItemState, reason: ItemReason, items: int = 1
    ) -> None:
        """Count items."""
        self.states[state] += items
        self.reasons[reason] += items

    def add_overdue(self, owed: OwedItem) -> None:
        """Keep an item that has made no progress for too long."""
        self.overdue.setdefault(owed.reason, []).append(owed)


class OwedItems:
    """Find the items that stay in a state for too long.

    ``latest_round_at`` returns when the latest scheduling round ended (uptime,
    s).
    """

    def __init__(
        self,
        manager: ShardManager,
        latest_round_at: Callable[[], float],
        log: Log,
        metrics: Metrics,
    ) -> None:
        self._manager = manager
        self._latest_round_at = latest_round_at
        self._log = log
        self._metrics = metrics
        #: When a job that is not held was first seen (uptime, s).
        self._not_held: dict[JobId, float] = {}
        self._lines_at: dict[JobId, float] = {}
        self._lines_left_out = 0

    def run(self) -> None:
        """Check all items now and then, forever."""
        took = 0.0
        while True:
            pause = max(_CHECK_SECONDS, _PAUSE_PER_CHECK * took)
            gevent.sleep(min(pause, _MAX_CHECK_SECONDS))
            began = clock.uptime()
            self.check()
            took = clock.uptime() - began

    def check(self) -> None:
        """Update the metrics, and log the items that are overdue."""
        survey = _Survey()
        for job, items in self._chunks():
            self._count(survey, job, items)
            gevent.sleep(0)
        self._count_not_held(survey)
        self._update_metrics(survey)
        due: list[Sequence[OwedItem]] = []
        for overdue in survey.overdue.values():
            due.append([owed for owed in overdue if self._is_line_due(owed)])
        count = sum(map(len, due))
        for owed in _some_of_each(due, _MAX_LINES):
            self._log_owed(owed)
        self._lines_left_out += max(0, count - _MAX_LINES)

    def summary(self) -> dict[str, object]:
        """Return the counts and some overdue items for the state dump."""
        survey = _Survey()
        for job, items in self._chunks():
            self._count(survey, job, items)
        self._count_not_held(survey)
        overdue = _some_of_each(list(survey.overdue.values()), _MAX_SHOWN)
        return {
            'states': {
                state.value: survey.states[state] for state in ItemState
            },
            'reasons': {
                reason.value: count for reason, count in survey.reasons.items()
            },
            'overdue': [owed.fields for owed in overdue],
            'overdue_items': sum(_counts(survey).values()),
            'lines_left_out': self._lines_left_out,
            'rounds': {'last_s': round(self._round_age, 3)},
        }

    @property
    def _round_age(self) -> float:
        return clock.uptime() - self._latest_round_at()

    def _chunks(self) -> Iterator[tuple[JobId, Sequence[Progress]]]:
        """Yield the items without a result of the open jobs held here."""
        for shard in list(self._manager.owned.values()):
            for job in list(shard.jobs.values()):
                items = [] if job.state.ended else list(job.progress.values())
                for first in range(0, len(items), _ITEMS_AT_ONCE):
                    yield job.job, items[first : first + _ITEMS_AT_ONCE]

    def _count(
        self, survey: _Survey, job: JobId, items: Sequence[Progress]
    ) -> None:
        now = clock.uptime()
        no_rounds = self._round_age > _ROUND_SECONDS
        for progress in items:
            since = progress.progressed_at
            if now - since <= BOUND_SECONDS:
                progress.owed_line_at = 0
            state, reason = _state_of(progress, now)
            if no_rounds and state is ItemState.WAITING:
                reason = ItemReason.NO_ROUND
            survey.count(state, reason)
            if state is ItemState.RUNNING and reason not in UNSENT:
                # A run that was refused before it was sent is no progress.
                since = max(since, progress.running_since)
            if now - since > BOUND_SECONDS:
                survey.add_overdue(
                    OwedItem(
                        job,
                        progress.item.item,
                        state,
                        reason,
                        now - since,
                        progress.engine,
                        progress,
                    )
                )

    def _count_not_held(self, survey: _Survey) -> None:
        """Count the items of open jobs of the logs that are not held here."""
        not_held: dict[JobId, float] = {}
        now = clock.uptime()
        state = ItemState.WAITING
        reason = ItemReason.JOB_NOT_HELD
        for shard in self._manager.owned.values():
            for recorded in _not_held(shard):
                job = JobId(recorded.accepted.job)
                not_held[job] = self._not_held.get(job, now)
                items = recorded.accepted.total - len(recorded.results)
                survey.count(state, reason, items)
                seconds = now - not_held[job]
                if seconds > BOUND_SECONDS:
                    survey.add_overdue(
                        OwedItem(
                            job,
                            _UNKNOWN_ITEM,
                            state,
                            reason,
                            seconds,
                            count=items,
                        )
                    )
        self._not_held = not_held
        for name in list(self._lines_at):
            if name not in not_held:
                self._lines_at.pop(name)

    def _is_line_due(self, owed: OwedItem) -> bool:
        """Return whether a line is due, and put the next one off."""
        progress = owed.progress
        due_at = self._lines_at.get(owed.job, 0)
        if progress is not None:
            due_at = progress.owed_line_at
        if owed.seconds < due_at:
            return False
        if progress is None:
            self._lines_at[owed.job] = 2 * owed.seconds
        else:
            progress.owed_line_at = 2 * owed.seconds
        return True

    def _log_owed(self, owed: OwedItem) -> None:
        fields = owed.fields
        progress = owed.progress
        if progress is not None:
            ends = progress.not_before
            if owed.state is ItemState.PAUSED and progress.paused:
                ends = progress.pause_ends
            pause = max(0, ends - clock.uptime())
            fields['pause_s'] = round(pause, 1)
            fields['events'] = len(progress.texts)
            fields['failures'] = progress.failures
        if self._lines_left_out:
            fields['left_out'] = self._lines_left_out
        self._log.event('item-owed', **fields)

    def _update_metrics(self, survey: _Survey) -> None:
        load = self._metrics.load
        load.items_by_state = Counter(
            {state.value: survey.states[state] for state in ItemState}
        )
        # Reasons that no longer apply are shown as 0.
        overdue = dict.fromkeys(load.items_overdue, 0)
        for reason, count in _counts(survey).items():
            overdue[reason.value] = count
        load.items_overdue = Counter(overdue)


def _state_of(progress: Progress, now: float) -> tuple[ItemState, ItemReason]:
    if progress.finished:
        return ItemState.RECORDING, progress.reason
    if progress.running:
        return ItemState.RUNNING, progress.reason
    # The round that ends a pause comes a moment after its end.
    pauses = now < progress.not_before + _ROUND_SECONDS
    if pauses and progress.reason in PAUSES:
        return ItemState.PAUSED, progress.reason
    return ItemState.WAITING, progress.reason


def _not_held(shard: OwnedShard) -> list[DirectJobState]:
    return [
        state
        for name, state in shard.recorded_jobs.items()
        if state.open and name not in shard.jobs
    ]


def _counts(survey: _Survey) -> dict[ItemReason, int]:
    """Count the overdue items by reason."""
    return {
        reason: sum(owed.count for owed in overdue)
        for reason, overdue in survey.overdue.items()
    }


def _some_of_each(
    groups: Sequence[Sequence[OwedItem]], limit: int
) -> list[OwedItem]:
    """Return up to ``limit`` items, alike many of each group."""
    longest = [
        sorted(group, key=_seconds_of, reverse=True)[:limit] for group in groups
    ]
    mixed = chain.from_iterable(zip_longest(*longest))
    return list(islice(filter(None, mixed), limit))


def _seconds_of(owed: OwedItem) -> float:
    return owed.seconds
