"""Simulate several suspects at several processes without input and output.

``Suspects`` and ``Quarantine`` are the production code; clocks, engines, the
reports between processes and the object service are simulated.
"""

import time
from collections.abc import Callable, Iterator, Sequence
from random import Random
from types import SimpleNamespace
from unittest import mock

from bendlead_gateway._online import quarantine
from bendlead_gateway._online.quarantine import Quarantine
from bendlead_gateway._suspects.digest import RequestDigest
from bendlead_gateway._suspects.suspects import Suspects
from bendlead_gateway.types import (
    DataHall,
    Engine,
    EngineId,
    EngineState,
    PromptPart,
    ServiceName,
)
from bendlead_store import (
    ABSENT,
    Change,
    Entry,
    Failure,
    FailureKind,
    Version,
    clock,
)
from msgspec import Struct, field
from result import Err, Ok, Result

_START = 1_700_000_000.0
_STEP_SECONDS = 0.05
#: A sound answer is whole, or has gone on for so long that it clears.
_ANSWER_SECONDS = 1.2
_CRASH_SECONDS = 0.2
_DOWN_SECONDS = 3.0
_ITEM_RETRY_SECONDS = 0.3
_REPORT_SECONDS = 0.1
_WRITE_SECONDS = 0.5
_SEARCH_SECONDS = 0.25
_PREFIX = 's/'


class Played(Struct, frozen=True):
    """An item, or a request that its callers repeat.

    It crashes engines until ``deadly_until``.
    """

    name: str
    deadly_until: float = 0
    is_item: bool = True
    parts: tuple[PromptPart, ...] = ()


class FleetLoad(Struct, frozen=True):
    """What happens; times in seconds from the start.

    ``every`` seconds from ``crashes_from`` until ``crashes_until`` as many
    engines crash for other causes as ``crashing`` tells. The object service is
    away for the spans of ``away``, and all processes are replaced at each time
    of ``restarts``. ``skews`` are what the clocks of the processes are ahead.
    ``callers_every`` is the time until a request comes again.
    """

    suspects: tuple[Played, ...]
    engines: int = 9
    processes: int = 1
    every: float = 0.5
    crashes_from: float = 0
    crashes_until: float = 0
    crashing: int = 1
    noticed_after: float = 0.05
    away: tuple[tuple[float, float], ...] = ()
    restarts: tuple[float, ...] = ()
    skews: tuple[float, ...] = ()
    sound_per_second: float = 0
    callers_every: float = 1.0


class SuspectOutcome(Struct):
    """When a suspect was sent, crashed engines, and was answered."""

    sent: list[float] = field(default_factory=list)
    failed: list[float] = field(default_factory=list)
    answered_at: float | None = None

    def late(self, known: int = 3, contact: float = 3.0) -> int:
        """Count the sends later than those at which it is known."""
        if len(self.failed) < known:
            return 0
        return sum(at > self.failed[known - 1] + contact for at in self.sent)

    def longest_wait(self, since: float, until: float) -> float:
        """Return the longest time without a run or a failure in a span."""
        end = until if self.answered_at is None else self.answered_at
        times = [at for at in (*self.sent, *self.failed) if since < at < end]
        ends = [since, *sorted(times), max(since, end)]
        return max(
            later - at for at, later in zip(ends, ends[1:], strict=False)
        )


class _Service:
    """The object service."""

    def __init__(self) -> None:
        self.entries: dict[str, Entry] = {}
        self.changes: list[Change] = []
        self.away = False
        self._version = 0

    def fetch(self, key: str) -> Result[Entry | None, Failure]:
        if self.away:
            return Err(Failure(FailureKind.NOT_DONE, 'call', 'service'))
        return Ok(self.entries.get(key))

    def put(
        self, key: str, body: bytes, expected: Version
    ) -> Result[Version, Failure]:
        if self.away:
            return Err(Failure(FailureKind.NOT_DONE, 'call', 'service'))
        known = self.entries.get(key)
        if expected != (known.version if known else ABSENT):
            return Err(Failure(FailureKind.CONFLICT, 'put', 'service'))
        self._version += 1
        version = Version(self._version)
        self.entries[key] = Entry(key, version, body)
        self.changes.append(Change(key, version, False, body))
        return Ok(version)


class _Run(Struct, eq=False):
    played: Played
    process: '_Process'
    engine: int
    began: float
    digest: RequestDigest
    end: Callable[[], None]


class _Process:
    def __init__(
        self, load: FleetLoad, service: _Service, skew: float, later
    ) -> None:
        self.skew = skew
        self.log = mock.Mock()
        self.suspects = Suspects(
            lambda _engine: True,
            lambda _service: load.engines,
            lambda _engine: 0.0,
            service,
            _PREFIX,
            self.log,
            mock.Mock(),
        )
        self.suspects._search_soon = lambda: later(
            _SEARCH_SECONDS, self.find_parts
        )
        self.quarantine = Quarantine(self.suspects)
        self.seen_changes = len(service.changes)
        self.reported: dict[int, int] = {}
        self._service = service

    def find_parts(self) -> None:
        self.suspects._searching = None
        self.suspects._find_parts()

    def load(self) -> None:
        self.suspects.store.reset(list(self._service.entries.values()), False)

    def follow(self) -> None:
        if self._service.away:
            return
        for change in self._service.changes[self.seen_changes :]:
            self.suspects.store.change(change)
        self.seen_changes = len(self._service.changes)

    def write(self) -> None:
        if not self._service.away:
            self.suspects.store._write_changed()


class SuspectsReplay:
    """Play one load."""

    def __init__(self, load: FleetLoad, seed: int) -> None:
        self._load = load
        self._random = Random(seed)
        self._now = 0.0
        self._skew = 0.0
        self._lives = 0
        self._service = _Service()
        self._later: list[tuple[float, Callable[[], None], float]] = []
        self._up_at = [0.0] * load.engines
        self._born = [0] * load.engines
        self._runs: list[_Run] = []
        self._due_at = dict.fromkeys((one.name for one in load.suspects), 0.0)
        self._restarts = sorted(load.restarts)
        self.outcomes = {one.name: SuspectOutcome() for one in load.suspects}
        self.engine_crashes: list[float] = []
        self._processes = list(self._start_processes())

    def play(self, seconds: float) -> dict[str, SuspectOutcome]:
        """Play so many seconds, or until all are answered."""
        with (
            mock.patch.object(time, 'time', self._time),
            mock.patch.object(clock, 'uptime', lambda: _START + self._now),
            # A request that waits for another's trial is refused at once.
            mock.patch.object(quarantine, 'gevent'),
        ):
            for step in range(1, round(seconds / _STEP_SECONDS)):
                self._now = step * _STEP_SECONDS
                self._advance(step)
                if all(one.answered_at for one in self.outcomes.values()):
                    break
        return self.outcomes

    def _time(self) -> float:
        return _START + self._now + self._skew

    def _start_processes(self) -> Iterator[_Process]:
        for number in range(self._load.processes):
            skews = self._load.skews
            skew = skews[number % len(skews)] if skews else 0.0
            process = _Process(self._load, self._service, skew, self._call)
            rank = number
            process.suspects.item_trials.configure_peers(
                lambda _part, rank=rank: rank
            )
            process.suspects.turns.configure_peers(
                lambda _digest, rank=rank: (rank, self._load.processes)
            )
            yield process

    def _call(self, seconds: float, action: Callable[[], None]) -> None:
        if any(action == known for _due, known, _skew in self._later):
            return
        self._later.append((self._now + seconds, action, self._skew))

    def _advance(self, step: int) -> None:
        self._service.away = any(
            begin <= self._now < end for begin, end in self._load.away
        )
        if self._restarts and self._now >= self._restarts[0]:
            self._restarts.pop(0)
            self._restart()
        for known in list(self._later):
            due, action, skew = known
            if due <= self._now:
                self._later.remove(known)
                self._skew = skew
                action()
        self._exchange(step)
        self._crash_others()
        for run in list(self._runs):
            if run in self._runs:
                self._go_on(run)
        for played in self._load.suspects:
            self._send_if_due(played)
        self._add_sound()

    def _restart(self) -> None:
        for run in self._runs:
            self._due_at[run.played.name] = self._now + 1
        self._runs.clear()
        self._later.clear()
        self._processes = list(self._start_processes())
        for process in self._processes:
            self._skew = process.skew
            process.load()

    def _exchange(self, step: int) -> None:
        for process in self._processes:
            self._skew = process.skew
            process.follow()
            if not step % round(_WRITE_SECONDS / _STEP_SECONDS):
                process.write()
        if step % round(_REPORT_SECONDS / _STEP_SECONDS):
            return
        for sender in self._processes:
            for number, receiver in enumerate(self._processes):
                if receiver is sender:
                    continue
                self._skew = sender.skew
                after = sender.reported.get(number, 0)
                reached, records = sender.suspects.updates_after(after)
                sender.reported[number] = reached
                self._skew = receiver.skew
                receiver.suspects.receive(records)

    def _add_sound(self) -> None:
        """Count sound requests without these parts, which are answered."""
        if self._random.random() > self._load.sound_per_second * _STEP_SECONDS:
            return
        process = self._random.choice(self._processes)
        process.suspects.record_sent(())
        process.suspects._shares.record_answer()

    def _crash_others(self) -> None:
        load = self._load
        if not load.crashes_from < self._now <= load.crashes_until:
            return
        if (self._now + _STEP_SECONDS / 2) % load.every >= _STEP_SECONDS:
            return
        for number in self._random.sample(range(load.engines), load.crashing):
            if self._up_at[number] <= self._now:
                self._crash(number, other=True)

    def _crash(self, number: int, *, other: bool = False) -> None:
        self._lives += 1
        life = self._lives
        self.engine_crashes.append(self._now)
        engine = SimpleNamespace(
            engine=EngineId(f'i-{number}'), born=life, service='llm'
        )
        self._up_at[number] = self._now + _DOWN_SECONDS
        if other:
            process = self._random.choice(self._processes)
            digest = RequestDigest(f'other-{life}')
            self._notice(process, engine, digest, ())
        for run in [one for one in self._runs if one.engine == number]:
            self._notice(run.process, engine, run.digest, run.played.parts)
            self.outcomes[run.played.name].failed.append(self._now)
            self._end(run)

    def _notice(
        self,
        process: _Process,
        engine: SimpleNamespace,
        digest: RequestDigest,
        parts: tuple[PromptPart, ...],
    ) -> None:
        self._skew = process.skew
        self._call(
            self._load.noticed_after,
            lambda: process.suspects._add_crash(engine, digest, parts),
        )

    def _go_on(self, run: _Run) -> None:
        elapsed = self._now - run.began
        if self._now < run.played.deadly_until:
            if elapsed >= _CRASH_SECONDS:
                self._crash(run.engine)
        elif elapsed > _ANSWER_SECONDS:
            self._answer(run)

    def _answer(self, run: _Run) -> None:
        suspects = run.process.suspects
        self._skew = run.process.skew
        if run.played.is_item:
            suspects.record_progress(run.played.parts, lambda: run.digest)
        else:
            suspects.record_success(lambda: run.digest, run.played.parts)
        self.outcomes[run.played.name].answered_at = self._now
        self._end(run)

    def _end(self, run: _Run) -> None:
        self._runs.remove(run)
        self._skew = run.process.skew
        run.end()
        retry = self._load.callers_every
        if run.played.is_item:
            retry = _ITEM_RETRY_SECONDS
        self._due_at[run.played.name] = self._now + retry

    def _send_if_due(self, played: Played) -> None:
        outcome = self.outcomes[played.name]
        running = any(run.played is played for run in self._runs)
        if outcome.answered_at or running:
            return
        if self._now < self._due_at[played.name]:
            return
        up = [
            number
            for number, up_at in enumerate(self._up_at)
            if up_at <= self._now
        ]
        if not up:
            return
        if played.is_item:
            run = self._begin_item(played, up)
        else:
            self._due_at[played.name] = self._now + self._load.callers_every
            run = self._begin_request(played, self._random.choice(up))
        if run is not None:
            self._runs.append(run)
            outcome.sent.append(self._now)

    def _begin_item(self, played: Played, up: Sequence[int]) -> _Run | None:
        owner = self._load.suspects.index(played) % len(self._processes)
        process = self._processes[owner]
        self._skew = process.skew
        suspects = process.suspects
        digest = RequestDigest(f'item-{played.name}')
        if suspects.remaining_pause(lambda: digest, played.parts):
            return None
        trials = suspects.item_trials
        held = suspects.parts.held(played.parts)
        if trials.any_running(held):
            return None
        tried = trials.tried_engines(held)
        engine = self._random.choice(
            [number for number in up if f'i-{number}' not in tried] or up
        )
        run = _Run(played, process, engine, self._now, digest, mock.Mock())
        run.end = lambda: trials.end(run, may_have_run=True)
        trials.begin(run, held)
        if not trials.claim(run, digest, self._engine(engine).engine):
            trials.end(run, may_have_run=False)
            self._due_at[played.name] = self._now + _ITEM_RETRY_SECONDS
            return None
        suspects.record_sent(played.parts)
        return run

    def _begin_request(self, played: Played, engine: int) -> _Run | None:
        process = self._random.choice(self._processes)
        self._skew = process.skew
        digest = RequestDigest(played.name)
        exchange = SimpleNamespace(
            digest=digest,
            facts=SimpleNamespace(shared_parts=played.parts),
            in_trial=False,
            claim_refused=False,
            sends=0,
            held_seconds=0.0,
        )
        name = self._engine(engine).engine
        trials = process.quarantine
        if trials.begin_trial(exchange, SimpleNamespace(free=1, name=name)):
            return None
        if not trials.claim(exchange, name):
            trials.end_trial(exchange)
            return None
        process.suspects.record_sent(played.parts)

        def end() -> None:
            trials.end_claims(exchange, may_have_run=True)
            trials.end_trial(exchange)

        return _Run(played, process, engine, self._now, digest, end)

    def _engine(self, number: int) -> Engine:
        return Engine(
            EngineId(f'i-{number}'),
            ServiceName('llm'),
            f'127.0.0.1:{number + 1}',
            DataHall('a'),
            8,
            EngineState.READY,
        )
