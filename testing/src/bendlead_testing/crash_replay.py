"""Replay requests that end engines, beside good ones, without input or output.

Engines run requests up to their places at once. Some requests end the engine
that runs them a moment after they begin, and are sent again and again; good
ones that were cut off are sent again twice at most. Only what is held against
requests is the real code.
"""

import heapq
from collections.abc import Callable
from random import Random

from bendlead_gateway._suspects.crash_history import (
    REQUEST_QUARANTINE_SECONDS,
    CrashHistory,
)
from bendlead_gateway._suspects.digest import RequestDigest
from msgspec import Struct, field

#: Tries of a good request that is cut off, and the pause before each (s).
_GOOD_TRIES = 3
_AGAIN_SECONDS = 0.2


class CrashLoad(Struct, frozen=True):
    """Say what engines there are and what reaches them; times in seconds."""

    engines: int = 9
    places: int = 8
    down: float = 3.0
    good_per_second: float = 50.0
    good_runs: float = 0.65
    deadly: int = 2
    deadly_pause: float = 1.5
    deadly_runs: float = 0.1
    #: From an engine's end to the news of it at all entries.
    news: float = 0.08
    seconds: float = 60.0


class CrashOutcome(Struct):
    """Count what became of engines and requests."""

    ends: int = 0
    good: int = 0
    served: int = 0
    cut: int = 0
    #: Good requests that were kept from engines.
    kept: int = 0


class _Run(Struct, eq=False):
    digest: RequestDigest
    tries: int


class _Engine(Struct):
    runs: list[_Run] = field(default_factory=list)
    life: int = 0
    back_at: float = 0


class CrashReplay:
    """Play one load with one bound on ends; none holds nothing against any."""

    def __init__(self, load: CrashLoad, bound: int | None, seed: int) -> None:
        self._load = load
        self._bound = bound
        self._chance = Random(seed)
        self._history = CrashHistory()
        self._engines = [_Engine() for _one in range(load.engines)]
        self._moments: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0
        self._now = 0.0
        self.outcome = CrashOutcome()

    def play(self) -> CrashOutcome:
        """Play the load to its end."""
        self._at(0, self._arrive)
        for number in range(self._load.deadly):
            self._at(self._chance.random() * 3, self._repeat_of(number))
        while self._moments:
            self._now, _order, act = heapq.heappop(self._moments)
            act()
        return self.outcome

    def _at(self, moment: float, act: Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._moments, (moment, self._count, act))

    def _arrive(self) -> None:
        self.outcome.good += 1
        digest = RequestDigest(f'good-{self.outcome.good}')
        self._send(_Run(digest, _GOOD_TRIES), self._load.good_runs)
        pause = self._chance.expovariate(self._load.good_per_second)
        if self._now + pause < self._load.seconds:
            self._at(self._now + pause, self._arrive)

    def _repeat_of(self, number: int) -> Callable[[], None]:
        def repeat() -> None:
            run = _Run(RequestDigest(f'deadly-{number}'), 1)
            self._send(run, self._load.deadly_runs, deadly=True)
            pause = self._load.deadly_pause * (0.5 + self._chance.random())
            if self._now + pause < self._load.seconds:
                self._at(self._now + pause, repeat)

        return repeat

    def _send(self, run: _Run, runs: float, *, deadly: bool = False) -> None:
        if self._quarantined(run.digest):
            self.outcome.kept += not deadly
            return
        free = [
            engine
            for engine in self._engines
            if engine.back_at <= self._now
            and len(engine.runs) < self._load.places
        ]
        if not free:
            return
        fewest = min(len(engine.runs) for engine in free)
        engine = self._chance.choice(
            [one for one in free if len(one.runs) == fewest]
        )
        engine.runs.append(run)
        ends = self._ending(engine) if deadly else self._finishing(engine, run)
        took = runs if deadly else runs * (0.5 + self._chance.random())
        self._at(self._now + took, ends)

    def _finishing(self, engine: _Engine, run: _Run) -> Callable[[], None]:
        def finish() -> None:
            if run in engine.runs:
                engine.runs.remove(run)
                self.outcome.served += 1
                self._history.clear(run.digest, self._now)

        return finish

    def _ending(self, engine: _Engine) -> Callable[[], None]:
        life = engine.life

        def end() -> None:
            if engine.life != life:
                return
            self.outcome.ends += 1
            cut, engine.runs = engine.runs, []
            engine.life += 1
            engine.back_at = self._now + self._load.down
            name = f'{self._engines.index(engine)}@{life}'
            for run in cut:
                self._cut(run, name)

        return end

    def _cut(self, run: _Run, life: str) -> None:
        def hold() -> None:
            self._history.add_crash(run.digest, life, self._now)

        self._at(self._now + self._load.news, hold)
        if run.digest.startswith('good'):
            self.outcome.cut += 1
            if run.tries > 1:
                self._at(self._now + _AGAIN_SECONDS, self._again(run))

    def _again(self, run: _Run) -> Callable[[], None]:
        def send() -> None:
            again = _Run(run.digest, run.tries - 1)
            self._send(again, self._load.good_runs)

        return send

    def _quarantined(self, digest: RequestDigest) -> bool:
        if self._bound is None:
            return False
        if self._bound != 3:
            return self._history.crash_count(digest) >= self._bound
        left = self._history.remaining_quarantine(
            digest, REQUEST_QUARANTINE_SECONDS, self._now
        )
        return left > 0
