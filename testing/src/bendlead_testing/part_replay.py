"""Simulate engines that crash, some of them on one part of prompts.

Requests have a first part of few, a second one of many by Zipf, and interrupted
ones are retried. Items have a first part of their own. ``PartSearch`` and what
it reads are the production code. All entries are one process here and all
owners another, which know of all crashes; news of crashes and answers is late.
"""

import heapq
from collections.abc import Callable, Sequence
from random import Random

from bendlead_gateway._suspects.crash_history import CrashHistory
from bendlead_gateway._suspects.crash_table import CrashTable
from bendlead_gateway._suspects.digest import RequestDigest, name_part
from bendlead_gateway._suspects.part_probation import (
    is_suspected,
    remaining_pause,
    remaining_trial,
)
from bendlead_gateway._suspects.part_search import PartSearch
from bendlead_gateway._suspects.part_shares import PartShares
from bendlead_gateway.types import PromptPart
from bendlead_schema.gateway import SuspectRecord
from msgspec import Struct, field

#: The bad part, and the first part of the requests with it.
BAD_PART = PromptPart('bad')
BAD_FIRST = PromptPart('first-3')
#: A part crashes engines as they begin to answer, as in the product.
_SUSPECTED_SECONDS = 1.0
_RETRY_SECONDS = 0.3
_ITEM_RETRIES = 100
_SEARCH_SECONDS = 0.25
#: How long requests are held while another one tries their part, as in the
#: product, and the pause between two looks.
_HOLD_SECONDS = 1.5
_POLL_SECONDS = 0.05
#: Sheet of the users: crashes until the part must be known, and the time after
#: them from which on few requests may reach engines.
_KNOWN_CRASHES = 5
_CONTACT_SECONDS = 3.0
_MS = 1000


class PartLoad(Struct, frozen=True, kw_only=True):
    """Engines, the requests sent to them, and crashes; times in seconds."""

    engines: int = 18
    slots: int = 8
    per_second: float = 80.0
    run_seconds: float = 0.65
    restart_seconds: float = 4.0
    first_parts: int = 20
    second_parts: int = 400
    bad_per_second: float = 0.0
    #: When the first request with the bad part comes.
    bad_from: float = 3.0
    #: How often each request with the bad part is sent again.
    bad_retries: int = 0
    #: Whether the bad part comes first in prompts.
    bad_first: bool = False
    #: Times of crashes without a cause in requests, and how many at once.
    kills: Sequence[tuple[float, int]] = ()
    crash_after: float = 0.1
    report_delay: float = 0.1
    #: Share of the running requests at a crash that nobody reports.
    unreported: float = 0.05
    #: Processes that share the requests; each counts its own answers.
    entries: int = 6
    #: Processes that send items, none if 0.
    owners: int = 0
    items_per_second: float = 0.0
    item_seconds: float = 5.0
    item_parts: int = 8
    seconds: float = 40.0


class PartOutcome(Struct):
    """Counts of a simulation."""

    #: Engines that crashed on the bad part, until it was found and in all.
    crashes: int = 0
    #: Requests with the bad part that reached engines later than allowed.
    late: int = 0
    sound: int = 0
    served: int = 0
    #: Sound requests refused for one of their parts.
    refused: int = 0
    #: The same while another request tried it, and those that waited for one.
    turned_away: int = 0
    held: int = 0
    found: list[RequestDigest] = field(default_factory=list)


class _Run(Struct, eq=False):
    parts: tuple[PromptPart, ...]
    digest: RequestDigest
    bad: bool
    retries: int
    process: '_Process'
    seconds: float
    began: float = 0
    held: float = 0


class _Process(Struct, eq=False):
    """Processes of one role, with what each of them counts."""

    count: int
    shares: PartShares
    search: PartSearch
    served: int = 0
    interrupted: int = 0


class _Engine(Struct, eq=False):
    number: int
    runs: list[_Run] = field(default_factory=list)
    born: int = 0
    back_at: float = 0


class PartReplay:
    """Simulate a load with the production search."""

    def __init__(self, load: PartLoad, seed: int) -> None:
        self._load = load
        self._random = Random(seed)
        self._history = CrashHistory()
        self._crashes = CrashTable()
        self._entries = self._add_process(load.entries)
        self._owners = self._add_process(load.owners)
        self._engines = [_Engine(number) for number in range(load.engines)]
        self._weights = [1 / (at + 1) for at in range(load.second_parts)]
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0
        self._now = 0.0
        self._bad_crashes: list[float] = []
        self.outcome = PartOutcome()

    def play(self) -> PartOutcome:
        """Simulate the whole load."""
        self._arrive()
        if self._load.owners:
            self._arrive_item()
        if self._load.bad_per_second:
            self._schedule(self._load.bad_from, self._arrive_bad)
        for at, count in self._load.kills:
            self._schedule(at, self._kill_of(count))
        while self._events and self._events[0][0] < self._load.seconds:
            self._now, _order, action = heapq.heappop(self._events)
            action()
        return self.outcome

    def _add_process(self, count: int) -> _Process:
        shares = PartShares()
        search = PartSearch(self._history, self._crashes, shares)
        return _Process(count, shares, search)

    def _schedule(self, at: float, action: Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._events, (at, self._count, action))

    def _draw_parts(self) -> tuple[PromptPart, PromptPart]:
        first = self._random.randrange(self._load.first_parts)
        (second,) = self._random.choices(
            range(self._load.second_parts), self._weights
        )
        return PromptPart(f'first-{first}'), PromptPart(f'second-{second}')

    def _arrive(self) -> None:
        self.outcome.sound += 1
        digest = RequestDigest(f'sound-{self.outcome.sound}')
        self._send(self._run(self._draw_parts(), digest))
        pause = self._random.expovariate(self._load.per_second)
        self._schedule(self._now + pause, self._arrive)

    def _arrive_bad(self) -> None:
        parts = (BAD_FIRST, BAD_PART)
        if self._load.bad_first:
            parts = (BAD_PART, self._draw_parts()[1])
        digest = RequestDigest(f'bad-{self._count}')
        self._send(self._run(parts, digest, bad=True))
        pause = self._random.expovariate(self._load.bad_per_second)
        self._schedule(self._now + pause, self._arrive_bad)

    def _run(
        self,
        parts: tuple[PromptPart, ...],
        digest: RequestDigest,
        *,
        bad: bool = False,
    ) -> _Run:
        seconds = self._load.run_seconds
        retries = self._load.bad_retries if bad else 1
        return _Run(parts, digest, bad, retries, self._entries, seconds)

    def _arrive_item(self) -> None:
        self.outcome.sound += 1
        part = self._random.randrange(self._load.item_parts)
        self._send(
            _Run(
                (PromptPart(f'item-{part}'),),
                RequestDigest(f'sound-{self.outcome.sound}'),
                bad=False,
                retries=_ITEM_RETRIES,
                process=self._owners,
                seconds=self._load.item_seconds,
            )
        )
        pause = self._random.expovariate(self._load.items_per_second)
        self._schedule(self._now + pause, self._arrive_item)

    def _send(self, run: _Run, *, again: bool = False) -> None:
        if not again:
            run.process.shares.add(run.parts)
        if any(
            self._history.is_quarantined(name_part(part)) for part in run.parts
        ):
            self.outcome.refused += not run.bad
            return
        suspected = self._suspected(run)
        if suspected and not self._may_try(suspected):
            self._hold(run, suspected)
            return
        free = [
            engine
            for engine in self._engines
            if engine.back_at <= self._now
            and len(engine.runs) < self._load.slots
        ]
        if not free:
            self._retry(run)
            return
        fewest = min(len(engine.runs) for engine in free)
        engine = self._random.choice(
            [engine for engine in free if len(engine.runs) == fewest]
        )
        self._record_trial(suspected, engine)
        engine.runs.append(run)
        run.began = self._now
        self._schedule(
            self._now + _SUSPECTED_SECONDS, self._progress_of(engine, run)
        )
        spread = 0.5 + self._random.random()
        if run.bad:
            self._note_bad()
            crash = self._crash_of(engine, bad=True)
            self._schedule(self._now + self._load.crash_after * spread, crash)
        else:
            finish = self._finish_of(engine, run)
            self._schedule(self._now + run.seconds * spread, finish)

    def _suspected(self, run: _Run) -> Sequence[SuspectRecord]:
        explained = {
            incarnation
            for part in self._history.quarantined_parts(self._now)
            for incarnation in self._history.record(part).ends
        }
        records = [self._history.record(name_part(part)) for part in run.parts]
        return [
            one
            for one in records
            if is_suspected(one, self._crashes, explained)
        ]

    def _may_try(self, suspected: Sequence[SuspectRecord]) -> bool:
        return not any(remaining_pause(one, self._now) for one in suspected)

    def _hold(self, run: _Run, suspected: Sequence[SuspectRecord]) -> None:
        """Hold a request while a trial may clear its parts."""
        sound = not run.bad
        self.outcome.held += sound and not run.held
        trial = min(remaining_trial(one, self._now) for one in suspected)
        run.held += _POLL_SECONDS
        if run.process is self._owners or (trial and run.held < _HOLD_SECONDS):
            again = self._now + _POLL_SECONDS
            self._schedule(again, lambda: self._send(run, again=True))
            return
        self.outcome.turned_away += sound
        run.held = 0
        self._retry(run)

    def _record_trial(
        self, suspected: Sequence[SuspectRecord], engine: _Engine
    ) -> None:
        began = str(round(self._now * _MS))
        for one in suspected:
            trial = SuspectRecord(
                digest=one.digest, trials={began: str(engine.number)}
            )
            self._history.merge(trial, self._now)

    def _note_bad(self) -> None:
        if len(self._bad_crashes) >= _KNOWN_CRASHES:
            known = self._bad_crashes[_KNOWN_CRASHES - 1] + _CONTACT_SECONDS
            self.outcome.late += self._now > known

    def _retry(self, run: _Run) -> None:
        if run.retries:
            run.retries -= 1
            self._schedule(
                self._now + _RETRY_SECONDS, lambda: self._send(run, again=True)
            )

    def _finish_of(self, engine: _Engine, run: _Run) -> Callable[[], None]:
        def finish() -> None:
            if run not in engine.runs:
                return
            engine.runs.remove(run)
            self.outcome.served += 1
            process = run.process
            process.served += 1
            if process.served % process.count == 0:
                process.shares.record_answer()
            at = self._now
            self._schedule(
                at + self._load.report_delay, lambda: self._clear(run, at)
            )

        return finish

    def _progress_of(self, engine: _Engine, run: _Run) -> Callable[[], None]:
        began = self._now

        def progress() -> None:
            if run not in engine.runs or run.began != began:
                return
            at = self._now
            self._schedule(
                at + self._load.report_delay,
                lambda: self._clear_parts(run, at),
            )

        return progress

    def _clear_parts(self, run: _Run, at: float) -> None:
        for part in run.parts:
            self._history.clear(name_part(part), at)

    def _clear(self, run: _Run, at: float) -> None:
        self._history.clear(run.digest, at)
        self._clear_parts(run, at)

    def _kill_of(self, count: int) -> Callable[[], None]:
        def kill() -> None:
            up = [one for one in self._engines if one.back_at <= self._now]
            for engine in self._random.sample(up, min(count, len(up))):
                self._crash_of(engine)()

        return kill

    def _crash_of(
        self, engine: _Engine, *, bad: bool = False
    ) -> Callable[[], None]:
        born = engine.born

        def crash() -> None:
            if engine.born != born:
                return
            if bad:
                self.outcome.crashes += 1
                self._bad_crashes.append(self._now)
            interrupted, engine.runs = engine.runs, []
            engine.born += 1
            spread = 0.8 + 0.4 * self._random.random()
            engine.back_at = self._now + self._load.restart_seconds * spread
            self._report(interrupted, f'{engine.number}@{born}')
            for run in interrupted:
                self._retry(run)

        return crash

    def _report(self, runs: Sequence[_Run], incarnation: str) -> None:
        at = self._now
        reported = [
            (run, run.began)
            for run in runs
            if self._random.random() > self._load.unreported
        ]

        def learn() -> None:
            for run, began in reported:
                self._crashes.add(run.digest, {incarnation: round(at * _MS)})
                known = self._history.crash_count(run.digest) > 0
                repeat_chance = known / self._load.engines
                begun_long_ago = at - began > _SUSPECTED_SECONDS
                self._history.add_crash(run.digest, incarnation, at)
                parts = () if begun_long_ago else run.parts
                if parts:
                    self._count_interrupted(run.process, incarnation)
                for part in parts:
                    for role in (self._entries, self._owners):
                        role.shares.record_crashes(part, [incarnation])
                    self._history.add_crash(
                        name_part(part),
                        incarnation,
                        at,
                        run.process.shares.share(part),
                        repeat_chance,
                    )

        self._schedule(at + self._load.report_delay, learn)
        searched = at + self._load.report_delay + _SEARCH_SECONDS
        self._schedule(searched, self._find)

    def _count_interrupted(self, process: _Process, incarnation: str) -> None:
        process.interrupted += 1
        if process.interrupted % process.count == 0:
            process.shares.record_interrupted(incarnation)

    def _find(self) -> None:
        for process in (self._entries, self._owners):
            while found := process.search.find(round(self._now * _MS)):
                self._history.record_found(found.suspect, self._now)
                self.outcome.found.append(found.suspect)
