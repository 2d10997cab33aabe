"""Engines and a clock in simulated time."""

import heapq
import itertools
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass

from bendlead_gateway.types import Engine

from bendlead_testing.replay._speed import SimulatedSpeed


@dataclass(eq=False)
class Run:
    """Execution of a request or an item on an engine."""

    engine: 'SimulatedEngine'
    #: Duration at the usual speed.
    seconds: float
    #: Number of the entry that sent the request, none for an item.
    entry: int | None
    on_start: Callable[[float], None]
    on_end: Callable[[float], None]
    #: Whether the entry is cut off from the other entries.
    partitioned: bool = False
    owner: int = 0
    sent_at: float = 0
    started_at: float | None = None
    ended: bool = False


class SimulatedEngine:
    """Engine that runs as many requests as it has slots and queues the rest."""

    def __init__(
        self,
        engine: Engine,
        clock: 'SimulatedClock',
        speed: SimulatedSpeed | None = None,
    ) -> None:
        self.engine = engine
        self.speed = speed
        self._clock = clock
        self.running: set[Run] = set()
        self._queue: deque[Run] = deque()
        #: Requests by whether their entry is cut off from the others.
        self.online = {True: 0, False: 0}
        #: Items by owner.
        self.batch: Counter[int] = Counter()

    @property
    def load(self) -> int:
        """Count the running and queued runs."""
        return len(self.running) + len(self._queue)

    def step_factor(self, now: float) -> float:
        """Return the duration of a decode step relative to the usual one."""
        if self.speed is None:
            return 1.0
        return self.speed.step_factor(now, max(1, len(self.running)))

    def add(self, run: Run) -> None:
        """Queue a run and start it if a slot is free."""
        run.sent_at = self._clock.now
        if run.entry is None:
            self.batch[run.owner] += 1
        else:
            self.online[run.partitioned] += 1
        self._queue.append(run)
        self._fill()

    def remove(self, run: Run) -> None:
        """End a run, complete or not, and free its slot."""
        if run.ended:
            return
        run.ended = True
        if run.entry is None:
            self.batch[run.owner] -= 1
        else:
            self.online[run.partitioned] -= 1
        self.running.discard(run)
        self._fill()

    def _fill(self) -> None:
        while self._queue and len(self.running) < self.engine.slots:
            run = self._queue.popleft()
            if not run.ended:
                self._start(run)

    def _start(self, run: Run) -> None:
        run.started_at = self._clock.now
        self.running.add(run)
        run.on_start(self._clock.now)
        seconds = run.seconds
        if self.speed is not None:
            seconds = self.speed.run_duration(
                run.started_at, seconds, len(self.running)
            )
        self._clock.call_later(seconds, lambda: self._finish(run))

    def _finish(self, run: Run) -> None:
        if not run.ended:
            self.remove(run)
            run.on_end(self._clock.now)


class SimulatedClock:
    """Event queue that makes calls in the order of simulated time."""

    def __init__(self) -> None:
        self.now = 0.0
        self._calls: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def call_later(self, seconds: float, call: Callable[[], None]) -> None:
        """Schedule one call in `seconds` from now."""
        scheduled = (self.now + seconds, next(self._numbers), call)
        heapq.heappush(self._calls, scheduled)

    def run(self, until: float) -> None:
        """Make all calls that are due by `until` and advance to it."""
        while self._calls and self._calls[0][0] <= until:
            self.now, _number, call = heapq.heappop(self._calls)
            call()
        self.now = until
