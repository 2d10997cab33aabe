"""How fast engines answer, as seen from their answers alone."""

from collections.abc import Callable

from bendlead_store import clock

from bendlead_gateway._scheduling.speed import EngineSpeeds
from bendlead_gateway._scheduling.speed_estimates import SpeedEstimate
from bendlead_gateway.types import Engine, EngineId

#: Weight of the newest value in a moving average.
_NEWEST = 0.15
#: The same for what a peer tells, which is smooth already and comes often.
_PEERS_NEWEST = 0.02
#: A stream with fewer events behind its first says little of its engine.
_LEAST_EVENTS = 4
_EVENT_END = b'\n\n'

#: Takes what this process found of an engine.
OnFinding = Callable[[Engine, SpeedEstimate], None]


def _tell_nobody(engine: Engine, finding: SpeedEstimate) -> None:
    """Keep what is found to this process."""


class PaceTable:
    """Remember the pace of each engine, and how long requests run."""

    def __init__(self) -> None:
        self._gaps: dict[EngineId, float] = {}
        self.speeds = EngineSpeeds()
        self.on_finding: OnFinding = _tell_nobody
        #: Smoothed seconds for which a request holds its place.
        self.run_seconds = 0.0

    def gap(self, engine: EngineId) -> float:
        """Give the smoothed seconds between events, or 0 if unknown."""
        return self._gaps.get(engine, 0)

    def observe_gap(self, engine: EngineId, seconds: float) -> None:
        """Take the time between two events of a stream."""
        gap = self._gaps.get(engine) or seconds
        self._gaps[engine] = gap + (seconds - gap) * _NEWEST

    def observe_run(self, seconds: float) -> None:
        """Take the time from the first event of a stream to its last."""
        if not self.run_seconds:
            self.run_seconds = seconds
        self.run_seconds += (seconds - self.run_seconds) * _NEWEST

    def hear_run(self, seconds: float) -> None:
        """Take a peer's smoothed time, for those who run few requests."""
        if seconds > 0:
            if not self.run_seconds:
                self.run_seconds = seconds
            self.run_seconds += (seconds - self.run_seconds) * _PEERS_NEWEST

    def slowness(self, engine: Engine) -> float:
        """Give how many times the usual time a request runs there."""
        return self.speeds.slowness(engine, clock.uptime())

    def stall(self, engine: Engine) -> float:
        """Give how many times longer still an event takes right now."""
        return self.speeds.stall(engine, clock.uptime())

    def forget(self, engine: Engine) -> None:
        """Forget a life of an engine that is over."""
        self._gaps.pop(engine.engine, None)
        self.speeds.forget(engine)


class StreamPace:
    """Learn the speed of an engine from one of its streams.

    An engine that warms up shows nothing of its later speed.
    """

    def __init__(
        self,
        pace: PaceTable,
        engine: Engine,
        running: Callable[[], int],
        *,
        warming: bool,
    ) -> None:
        self._pace = pace
        self._engine = engine
        self._running = running
        self._warming = warming
        self._first = 0.0
        self._last = 0.0
        #: Events behind the first, and the requests that ran at each part.
        self._events = 0
        self._parts = 0
        self._loads = 0

    def take(self, part: bytes, now: float) -> None:
        """Take a part of the stream, which may hold several events."""
        if self._warming:
            return
        if not self._first:
            self._first = now
            self._last = now
            return
        events = part.count(_EVENT_END)
        if not events:
            return
        running = self._running()
        self._events += events
        self._parts += 1
        self._loads += running
        self._pace.speeds.observe_event(
            self._engine, (now - self._last) / events, running, now
        )
        self._last = now

    def end(self) -> None:
        """Learn from the stream, which is whole."""
        if self._events < _LEAST_EVENTS:
            return
        found = self._pace.speeds.observe_stream(
            self._engine,
            (self._last - self._first) / self._events,
            round(self._loads / self._parts),
            self._last,
        )
        if found is not None:
            self._pace.on_finding(self._engine, found)
