"""Exchange measured engine speeds with peers.

A new estimate is sent to direct peers for a short time and is not relayed. A
process does not send an estimate that enough peers have already reported.
Unchanged estimates are renewed at long intervals.
"""

from collections import Counter
from collections.abc import Collection

from bendlead_schema.gateway import NodeReport, ToldPace
from bendlead_store import clock
from msgspec import Struct

from bendlead_gateway._fleet.catalog import EngineList
from bendlead_gateway._fleet.pace import PaceTable
from bendlead_gateway._log import Log
from bendlead_gateway._scheduling.speed import MAX_GAP_SECONDS, MIN_GAP_SECONDS
from bendlead_gateway._scheduling.speed_estimates import (
    RELIABLE_STREAMS,
    SpeedEstimate,
)
from bendlead_gateway.types import Engine, EngineId, NodeName

_US_PER_SECOND = 1_000_000
#: An estimate is sent for this long, in which each peer gets a report.
_SEND_SECONDS = 0.25
#: Estimates in one report; the others follow in the next.
_MAX_ESTIMATES_PER_REPORT = 32
#: An estimate is sent when it comes from this many streams, when it differs
#: from the last one sent by more than this share, and again after this time.
_SEND_AT_STREAMS = frozenset((1, 3, RELIABLE_STREAMS))
_CHANGE_RATIO = 0.15
_RENEW_SECONDS = 20.0
#: An estimate is not sent once this many peers have reported the same.
_MAX_CONFIRMATIONS = 2
#: A peer without a report for this long may have restarted.
_RESTART_SUSPECTED_SECONDS = 2.0
#: Minimum interval between log entries about implausible estimates.
_LOG_SECONDS = 10.0
_MAX_STREAMS = 1_000_000


class _PendingEstimate(Struct, frozen=True):
    """An estimate that is being sent, and until when."""

    engine: Engine
    estimate: SpeedEstimate
    until: float


class PaceUpdates:
    """Exchange with peers how fast engines are."""

    def __init__(self, engines: EngineList, pace: PaceTable, log: Log) -> None:
        self._engines = engines
        self._speeds = pace.speeds
        self._log = log
        self._pending: dict[EngineId, _PendingEstimate] = {}
        self._last_report: dict[str, float] = {}
        self._logged_at = 0.0
        self._uneven: Collection[str] = ()
        #: Estimates by source.
        self.counts: Counter[str] = Counter()
        pace.on_estimate = self._on_own_estimate

    def outgoing(self) -> list[ToldPace]:
        """Return the estimates for one report."""
        now = clock.uptime()
        self._log_uneven()
        expired = [
            name for name, entry in self._pending.items() if entry.until < now
        ]
        for name in expired:
            self._pending.pop(name)
        pending = list(self._pending.values())[:_MAX_ESTIMATES_PER_REPORT]
        return [_encode(entry) for entry in pending]

    def receive(self, report: NodeReport) -> None:
        """Store the estimates in a peer's report."""
        now = clock.uptime()
        if (
            now - self._last_report.get(report.node, 0)
            > _RESTART_SUSPECTED_SECONDS
        ):
            self._schedule_all()
        self._last_report[report.node] = now
        observer = NodeName(report.node)
        implausible = [
            pace
            for pace in report.paces
            if not self._accept(observer, pace, now)
        ]
        self.counts['odd'] += len(implausible)
        if implausible and now - self._logged_at > _LOG_SECONDS:
            self._logged_at = now
            self._log.event(
                'paces-ignored',
                peer=report.node,
                count=len(implausible),
                engine=implausible[0].engine,
                gap_us=implausible[0].gap_us,
                streams=implausible[0].streams,
            )

    def summary(self) -> dict[str, dict[str, float]]:
        """Return the speed of each engine, for the state dump."""
        now = clock.uptime()
        known = {
            engine.engine: self._summarize(engine, now)
            for engine in self._engines.all()
        }
        return {name: entry for name, entry in known.items() if entry['gap_ms']}

    def _summarize(self, engine: Engine, now: float) -> dict[str, float]:
        own = self._speeds.own_estimate(engine)
        return {
            'gap_ms': round(self._speeds.gap(engine, now) * 1000, 2),
            'slowness': round(self._speeds.slowness(engine, now), 2),
            'stall': round(self._speeds.stall(engine, now), 2),
            'own_streams': own.streams if own else 0,
            'witnesses': len(self._speeds.peer_estimates(engine)),
        }

    def _on_own_estimate(self, engine: Engine, estimate: SpeedEstimate) -> None:
        """Send an estimate of this process if it is due."""
        self.counts['own'] += 1
        if self._should_send(engine, estimate):
            self._speeds.mark_sent(engine, estimate)
            self._schedule(engine, estimate)

    def _should_send(self, engine: Engine, estimate: SpeedEstimate) -> bool:
        last = self._speeds.last_sent(engine)
        if last is not None:
            due = estimate.at - last.at > _RENEW_SECONDS
            enough = estimate.streams in _SEND_AT_STREAMS
            changed = not _is_similar(last, estimate)
            if not (due or enough or changed):
                return False
        confirmations = sum(
            other.weight >= estimate.weight and _is_similar(other, estimate)
            for other in self._speeds.peer_estimates(engine).values()
            if estimate.at - other.at < _RENEW_SECONDS
        )
        return confirmations < _MAX_CONFIRMATIONS

    def _accept(self, observer: NodeName, pace: ToldPace, now: float) -> bool:
        """Store one estimate; return whether it is plausible."""
        gap = pace.gap_us / _US_PER_SECOND
        plausible = (
            MIN_GAP_SECONDS <= gap <= MAX_GAP_SECONDS
            and 0 < pace.streams <= _MAX_STREAMS
        )
        engine = self._engines.find(EngineId(pace.engine))
        if not plausible or engine is None:
            return False
        estimate = SpeedEstimate(gap, pace.streams, now)
        # It may be of an earlier incarnation of the engine.
        current = pace.born == engine.born
        if current and self._speeds.add_peer_estimate(
            engine, observer, estimate
        ):
            self.counts['heard'] += 1
        return True

    def _schedule(self, engine: Engine, estimate: SpeedEstimate) -> None:
        until = clock.uptime() + _SEND_SECONDS
        self._pending[engine.engine] = _PendingEstimate(engine, estimate, until)

    def _schedule_all(self) -> None:
        """Send all estimates again, for a peer that may have restarted."""
        for engine in self._engines.all():
            estimate = self._speeds.last_sent(engine)
            if estimate is not None:
                self._schedule(engine, estimate)

    def _log_uneven(self) -> None:
        """Log services whose engines begin or cease to differ in speed."""
        uneven = self._speeds.uneven()
        if uneven.keys() == set(self._uneven):
            return
        for name in uneven.keys() ^ set(self._uneven):
            self._log.event(
                'engine-speeds',
                service=name,
                differ=name in uneven,
                spread=round(uneven.get(name, 1), 2),
            )
        self._uneven = tuple(uneven)


def _is_similar(first: SpeedEstimate, other: SpeedEstimate) -> bool:
    return abs(first.gap - other.gap) <= _CHANGE_RATIO * other.gap


def _encode(pending: _PendingEstimate) -> ToldPace:
    return ToldPace(
        engine=pending.engine.engine,
        born=pending.engine.born,
        streams=pending.estimate.streams,
        gap_us=round(pending.estimate.gap * _US_PER_SECOND),
    )
