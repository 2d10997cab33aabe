"""Simulate requests that crash engines, beside good ones.

Some requests crash the engine that runs them and are sent again and again;
interrupted good ones are retried. ``CrashHistory`` is the production code.
"""

import heapq
from collections.abc import Callable
from random import Random

from bendlead_gateway._suspects.crash_history import CrashHistory
from bendlead_gateway._suspects.digest import RequestDigest
from msgspec import Struct, field

#: Attempts of a good request that is interrupted.
_GOOD_ATTEMPTS = 3
_RETRY_SECONDS = 0.2


class CrashLoad(Struct, frozen=True):
    """Engines and the requests sent to them; times in seconds."""

    engines: int = 9
    slots: int = 8
    restart_seconds: float = 3.0
    good_per_second: float = 50.0
    good_seconds: float = 0.65
    crashing: int = 2
    crashing_interval: float = 1.5
    crash_after: float = 0.1
    #: From a crash until all entries know of it.
    report_delay: float = 0.08
    seconds: float = 60.0


class CrashOutcome(Struct):
    """Counts of engine crashes and of outcomes of good requests."""

    ends: int = 0
    good: int = 0
    served: int = 0
    interrupted: int = 0
    #: Good requests that were quarantined.
    quarantined: int = 0


class _Run(Struct, eq=False):
    digest: RequestDigest
    attempts: int


class _Engine(Struct):
    runs: list[_Run] = field(default_factory=list)
    incarnation: int = 0
    back_at: float = 0


class CrashReplay:
    """Simulate a load; requests with ``bound`` crashes are quarantined."""

    def __init__(self, load: CrashLoad, bound: int | None, seed: int) -> None:
        self._load = load
        self._bound = bound
        self._random = Random(seed)
        self._history = CrashHistory()
        self._engines = [_Engine() for _engine in range(load.engines)]
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0
        self._now = 0.0
        self.outcome = CrashOutcome()

    def play(self) -> CrashOutcome:
        """Simulate the whole load."""
        self._schedule(0, self._arrive)
        for number in range(self._load.crashing):
            self._schedule(self._random.random() * 3, self._repeat_of(number))
        while self._events:
            self._now, _order, action = heapq.heappop(self._events)
            action()
        return self.outcome

    def _schedule(self, at: float, action: Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._events, (at, self._count, action))

    def _arrive(self) -> None:
        self.outcome.good += 1
        digest = RequestDigest(f'good-{self.outcome.good}')
        self._send(_Run(digest, _GOOD_ATTEMPTS), self._load.good_seconds)
        pause = self._random.expovariate(self._load.good_per_second)
        if self._now + pause < self._load.seconds:
            self._schedule(self._now + pause, self._arrive)

    def _repeat_of(self, number: int) -> Callable[[], None]:
        def repeat() -> None:
            run = _Run(RequestDigest(f'crashing-{number}'), 1)
            self._send(run, self._load.crash_after, crashing=True)
            pause = self._load.crashing_interval * (0.5 + self._random.random())
            if self._now + pause < self._load.seconds:
                self._schedule(self._now + pause, repeat)

        return repeat

    def _send(self, run: _Run, runs: float, *, crashing: bool = False) -> None:
        if self._quarantined(run.digest):
            self.outcome.quarantined += not crashing
            return
        free = [
            engine
            for engine in self._engines
            if engine.back_at <= self._now
            and len(engine.runs) < self._load.slots
        ]
        if not free:
            return
        fewest = min(len(engine.runs) for engine in free)
        engine = self._random.choice(
            [engine for engine in free if len(engine.runs) == fewest]
        )
        engine.runs.append(run)
        finish = (
            self._crash_of(engine) if crashing else self._finish_of(engine, run)
        )
        took = runs if crashing else runs * (0.5 + self._random.random())
        self._schedule(self._now + took, finish)

    def _finish_of(self, engine: _Engine, run: _Run) -> Callable[[], None]:
        def finish() -> None:
            if run in engine.runs:
                engine.runs.remove(run)
                self.outcome.served += 1
                self._history.clear(run.digest, self._now)

        return finish

    def _crash_of(self, engine: _Engine) -> Callable[[], None]:
        incarnation = engine.incarnation

        def crash() -> None:
            if engine.incarnation != incarnation:
                return
            self.outcome.ends += 1
            interrupted, engine.runs = engine.runs, []
            engine.incarnation += 1
            engine.back_at = self._now + self._load.restart_seconds
            name = f'{self._engines.index(engine)}@{incarnation}'
            for run in interrupted:
                self._interrupt(run, name)

        return crash

    def _interrupt(self, run: _Run, incarnation: str) -> None:
        def report() -> None:
            self._history.add_crash(run.digest, incarnation, self._now)

        self._schedule(self._now + self._load.report_delay, report)
        if run.digest.startswith('good'):
            self.outcome.interrupted += 1
            if run.attempts > 1:
                self._schedule(self._now + _RETRY_SECONDS, self._retry_of(run))

    def _retry_of(self, run: _Run) -> Callable[[], None]:
        def send() -> None:
            retry = _Run(run.digest, run.attempts - 1)
            self._send(retry, self._load.good_seconds)

        return send

    def _quarantined(self, digest: RequestDigest) -> bool:
        if self._bound is None:
            return False
        if self._bound != 3:
            return self._history.crash_count(digest) >= self._bound
        left = self._history.remaining_quarantine(digest, self._now)
        return left > 0
