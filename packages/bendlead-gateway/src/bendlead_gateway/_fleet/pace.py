"""Speed of engines, measured from their response streams."""

from collections.abc import Callable

from bendlead_store import clock

from bendlead_gateway._scheduling.speed import EngineSpeeds
from bendlead_gateway._scheduling.speed_estimates import SpeedEstimate
from bendlead_gateway.types import Engine, EngineId

_SMOOTHING_FACTOR = 0.15
#: Values from peers are smoothed already and arrive often.
_PEER_SMOOTHING_FACTOR = 0.02
#: Streams with fewer events after the first are not used.
_MIN_EVENTS = 4
_EVENT_END = b'\n\n'
#: One gap of a stream over this time, and over this many others, is a pause of
#: its engine, which tells nothing of its speed.
_PAUSE_SECONDS = 0.5
_PAUSE_FACTOR = 8

#: Called with each new estimate of this process.
OnEstimate = Callable[[Engine, SpeedEstimate], None]


def _ignore_estimate(engine: Engine, estimate: SpeedEstimate) -> None:
    """Discard an estimate."""


class PaceTable:
    """Track the speed of each engine and the run time of requests."""

    def __init__(self) -> None:
        self._gaps: dict[EngineId, float] = {}
        self.speeds = EngineSpeeds()
        self.on_estimate: OnEstimate = _ignore_estimate
        #: Smoothed time for which a request uses its slot.
        self.run_seconds = 0.0

    def gap(self, engine: EngineId) -> float:
        """Return the smoothed time between events (s), or 0 if unknown."""
        return self._gaps.get(engine, 0)

    def observe_gap(self, engine: EngineId, seconds: float) -> None:
        """Add the time between two events of a stream."""
        gap = self._gaps.get(engine) or seconds
        self._gaps[engine] = gap + (seconds - gap) * _SMOOTHING_FACTOR

    def observe_run(self, seconds: float) -> None:
        """Add the time from the first event of a stream to its last."""
        if not self.run_seconds:
            self.run_seconds = seconds
        self.run_seconds += (seconds - self.run_seconds) * _SMOOTHING_FACTOR

    def add_peer_run(self, seconds: float) -> None:
        """Add a peer's smoothed run time, for processes with few requests."""
        if seconds > 0:
            if not self.run_seconds:
                self.run_seconds = seconds
            self.run_seconds += (
                seconds - self.run_seconds
            ) * _PEER_SMOOTHING_FACTOR

    def slowness(self, engine: Engine) -> float:
        """Return the run time on an engine relative to the usual one."""
        return self.speeds.slowness(engine, clock.uptime())

    def stall(self, engine: Engine) -> float:
        """Return the further factor by which events are slower just now."""
        return self.speeds.stall(engine, clock.uptime())

    def forget(self, engine: Engine) -> None:
        """Remove an engine incarnation that has ended."""
        self._gaps.pop(engine.engine, None)
        self.speeds.forget(engine)


class StreamPace:
    """Measure the speed of an engine on one of its streams.

    Streams of an engine in its warm-up time are not used.
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
        self._first_at = 0.0
        self._last_at = 0.0
        #: Events after the first, chunks, and sum of running requests.
        self._events = 0
        self._chunks = 0
        self._running_sum = 0
        #: Longest time without an event, and the events at its end.
        self._longest_gap = 0.0
        self._longest_gap_events = 0

    def add_chunk(self, chunk: bytes, now: float) -> None:
        """Add a chunk of the stream, which may contain several events."""
        if self._warming:
            return
        if not self._first_at:
            self._first_at = now
            self._last_at = now
            return
        events = chunk.count(_EVENT_END)
        if not events:
            return
        running = self._running()
        self._events += events
        self._chunks += 1
        self._running_sum += running
        gap = now - self._last_at
        if gap > self._longest_gap:
            self._longest_gap = gap
            self._longest_gap_events = events
        self._pace.speeds.observe_event(
            self._engine, gap / events, running, now
        )
        self._last_at = now

    def finish(self) -> None:
        """Update the estimate of the engine at the end of a complete stream."""
        if self._events < _MIN_EVENTS:
            return
        estimate = self._pace.speeds.observe_stream(
            self._engine,
            self._mean_gap(),
            round(self._running_sum / self._chunks),
            self._last_at,
        )
        if estimate is not None:
            self._pace.on_estimate(self._engine, estimate)

    def _mean_gap(self) -> float:
        """Return the mean time between events without a single pause."""
        seconds = self._last_at - self._first_at
        others = self._events - self._longest_gap_events
        if others and self._longest_gap > _PAUSE_SECONDS:
            usual = (seconds - self._longest_gap) / others
            if self._longest_gap > usual * _PAUSE_FACTOR:
                return usual
        return seconds / self._events
