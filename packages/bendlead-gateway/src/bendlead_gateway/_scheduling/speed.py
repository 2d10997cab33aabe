"""Relative speed of the engines of a service, by the times between events.

Three causes of slow streams are distinguished: load (the number of concurrent
requests), a slow engine (the median over its streams, corrected for load) and
a stall (its latest events, which decay within a second).
"""

from collections import deque
from collections.abc import Callable, Mapping
from statistics import median

from msgspec import Struct, field

from bendlead_gateway._scheduling.estimators import STALL_FACTOR, Slope, Stall
from bendlead_gateway._scheduling.speed_estimates import (
    RELIABLE_STREAMS,
    SpeedEstimate,
    relative_slowness,
    weighted_median,
)
from bendlead_gateway.types import Engine, EngineId, NodeName, ServiceName

#: Streams from which an engine is compared, as a single one may be stalled.
_MIN_STREAMS = 3
#: Peers whose estimates of an engine are kept.
_MAX_PEERS = 4
#: Estimates expire, as the peer may be gone or the engine may have changed.
_EXPIRY_SECONDS = 60.0
#: Times between events outside these bounds (s) are ignored.
MIN_GAP_SECONDS = 0.0001
MAX_GAP_SECONDS = 30.0
#: Interval between comparisons of a service, and its increase for each engine:
#: comparing takes time in proportion to the engines.
_COMPARE_SECONDS = 0.25
_COMPARE_SECONDS_PER_ENGINE = 0.0005


class _EngineRecord(Struct):
    """Observations and estimates for one incarnation of an engine."""

    engine: Engine
    own: deque[float] = field(
        default_factory=lambda: deque(maxlen=RELIABLE_STREAMS)
    )
    own_estimate: SpeedEstimate | None = None
    #: The own estimate that peers were last sent.
    last_sent: SpeedEstimate | None = None
    peer_estimates: dict[NodeName, SpeedEstimate] = field(default_factory=dict)
    stall: Stall = field(default_factory=Stall)

    def gap(self, now: float) -> float:
        """Return the time between events in seconds, 0 if unknown.

        A reliable own estimate is used alone, else all recent ones.
        """
        own = self.own_estimate
        if own is not None and own.streams >= RELIABLE_STREAMS:
            return own.gap
        return weighted_median(self._recent(now))

    def comparable_gap(self, now: float) -> float:
        """Return the same, or 0 if it is based on too few streams."""
        streams = sum(estimate.weight for estimate in self._recent(now))
        return self.gap(now) if streams >= _MIN_STREAMS else 0.0

    def _recent(self, now: float) -> list[SpeedEstimate]:
        recent = [
            estimate
            for estimate in self.peer_estimates.values()
            if now - estimate.at < _EXPIRY_SECONDS
        ]
        if self.own_estimate is not None:
            recent.append(self.own_estimate)
        return recent


class _Service(Struct):
    """Engines of one service and their relative slowness."""

    engines: dict[EngineId, _EngineRecord] = field(default_factory=dict)
    slope: Slope = field(default_factory=Slope)
    #: Empty where the engines are equally fast.
    slowness: Mapping[EngineId, float] = field(default_factory=dict)
    compared_at: float = 0.0
    changed: bool = False

    def update_slowness(self, now: float) -> None:
        """Compare the engines anew if the interval has passed."""
        interval = _EXPIRY_SECONDS
        if self.changed:
            interval = _COMPARE_SECONDS + _COMPARE_SECONDS_PER_ENGINE * len(
                self.engines
            )
        if now - self.compared_at >= interval:
            gaps = {
                name: record.comparable_gap(now)
                for name, record in self.engines.items()
            }
            self.slowness = relative_slowness(gaps)
            self.compared_at = now
            self.changed = False


class EngineSpeeds:
    """Speed estimates of engines, from own streams and reports of peers."""

    def __init__(self) -> None:
        self._services: dict[ServiceName, _Service] = {}

    def observe_stream(
        self, engine: Engine, gap: float, running: int, now: float
    ) -> SpeedEstimate | None:
        """Add a stream's mean time between events; return the new estimate.

        ``gap`` is in seconds; one out of bounds is ignored.
        """
        if not MIN_GAP_SECONDS <= gap <= MAX_GAP_SECONDS:
            return None
        service, record = self._get_or_add(engine)
        above_half = _requests_above_half(engine, running)
        usual = record.gap(now)
        if usual:
            service.slope.observe(gap / usual - 1, above_half)
        record.own.append(gap / service.slope.factor(above_half))
        previous = record.own_estimate
        streams = previous.streams + 1 if previous else 1
        record.own_estimate = SpeedEstimate(median(record.own), streams, now)
        service.changed = True
        return record.own_estimate

    def observe_event(
        self, engine: Engine, gap: float, running: int, now: float
    ) -> None:
        """Add the time since the previous event of a stream, in seconds."""
        service, record = self._get_or_add(engine)
        usual = record.gap(now)
        if usual:
            usual *= service.slope.factor(_requests_above_half(engine, running))
            record.stall.observe(gap / usual, now)

    def add_peer_estimate(
        self, engine: Engine, peer: NodeName, estimate: SpeedEstimate
    ) -> bool:
        """Add a peer's estimate; return whether it is new and was kept."""
        service, record = self._get_or_add(engine)
        previous = record.peer_estimates.get(peer)
        record.peer_estimates[peer] = estimate
        if previous is not None and previous.same(estimate):
            return False
        if len(record.peer_estimates) > _MAX_PEERS:
            record.peer_estimates.pop(
                min(
                    record.peer_estimates, key=_weight_in(record.peer_estimates)
                )
            )
        service.changed = True
        return peer in record.peer_estimates

    def slowness(self, engine: Engine, now: float) -> float:
        """Return the run time relative to the usual one, 1 if unknown."""
        service = self._services.get(engine.service)
        if service is None:
            return 1.0
        service.update_slowness(now)
        return service.slowness.get(engine.engine, 1.0)

    def stall(self, engine: Engine, now: float) -> float:
        """Return the stall level of an engine, 1 if it does not stall.

        It is 1 as well where engines are equally fast, since their time
        between events accounts for stalls there.
        """
        service = self._services.get(engine.service)
        if service is None or not service.slowness:
            return 1.0
        record = self._find(engine)
        current = record.stall.current(now) if record else 1.0
        return current if current >= STALL_FACTOR else 1.0

    def peer_estimates(
        self, engine: Engine
    ) -> Mapping[NodeName, SpeedEstimate]:
        """Return the estimates of peers."""
        record = self._find(engine)
        return record.peer_estimates if record else {}

    def own_estimate(self, engine: Engine) -> SpeedEstimate | None:
        """Return the estimate of this process."""
        record = self._find(engine)
        return record.own_estimate if record else None

    def last_sent(self, engine: Engine) -> SpeedEstimate | None:
        """Return the own estimate that peers were last sent."""
        record = self._find(engine)
        return record.last_sent if record else None

    def mark_sent(self, engine: Engine, estimate: SpeedEstimate) -> None:
        """Record the own estimate that is sent to peers."""
        self._get_or_add(engine)[1].last_sent = estimate

    def gap(self, engine: Engine, now: float) -> float:
        """Return the time between events in seconds, 0 if unknown."""
        record = self._find(engine)
        return record.gap(now) if record else 0

    def uneven(self) -> Mapping[ServiceName, float]:
        """Return the ratio of slowest to fastest for services that differ."""
        return {
            name: max(service.slowness.values())
            / min(service.slowness.values())
            for name, service in self._services.items()
            if service.slowness
        }

    def forget(self, engine: Engine) -> None:
        """Drop the record of an engine."""
        service = self._services.get(engine.service)
        if service is not None and service.engines.pop(engine.engine, None):
            service.changed = True
            service.slowness = {
                name: slowness
                for name, slowness in service.slowness.items()
                if name != engine.engine
            }
            if not service.engines:
                self._services.pop(engine.service)

    def _find(self, engine: Engine) -> _EngineRecord | None:
        service = self._services.get(engine.service)
        record = service.engines.get(engine.engine) if service else None
        return record if record and record.engine.born == engine.born else None

    def _get_or_add(self, engine: Engine) -> tuple[_Service, _EngineRecord]:
        service = self._services.setdefault(engine.service, _Service())
        record = service.engines.get(engine.engine)
        if record is None or record.engine.born != engine.born:
            record = _EngineRecord(engine)
            service.engines[engine.engine] = record
        return service, record


def _weight_in(
    estimates: Mapping[NodeName, SpeedEstimate],
) -> Callable[[NodeName], tuple[int, float]]:
    return lambda name: (estimates[name].weight, estimates[name].at)


def _requests_above_half(engine: Engine, running: int) -> float:
    """Count the concurrent requests above half of the slots."""
    return min(running, engine.slots) - engine.slots / 2
