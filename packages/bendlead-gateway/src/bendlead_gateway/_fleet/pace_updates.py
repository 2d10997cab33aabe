"""Exchange measured engine speeds with peers.

A new finding is sent to direct peers for a short time and is not relayed. A
process does not send a finding that enough peers have already reported.
Unchanged findings are only renewed now and then.
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

_US = 1_000_000
#: A finding is sent for this long, in which each peer gets a report.
_SEND_SECONDS = 0.25
#: Findings in one report; the others follow in the next.
_MAX_FINDINGS_PER_REPORT = 32
#: A finding is sent when it comes from this many streams, when it differs from
#: the last one sent by more than this share, and again after this time.
_SEND_AT_STREAMS = frozenset((1, 3, RELIABLE_STREAMS))
_CHANGE_RATIO = 0.15
_RENEW_SECONDS = 20.0
#: A finding is not sent once this many peers have reported the same.
_MAX_CONFIRMATIONS = 2
#: A peer without a report for this long may have restarted.
_RESTART_SUSPECTED_SECONDS = 2.0
#: Least interval between log entries about implausible findings.
_LOG_SECONDS = 10.0
_MAX_STREAMS = 1_000_000


class _PendingFinding(Struct, frozen=True):
    """A finding that is being sent, and until when."""

    engine: Engine
    finding: SpeedEstimate
    until: float


class PaceUpdates:
    """Exchange with peers how fast engines are."""

    def __init__(self, engines: EngineList, pace: PaceTable, log: Log) -> None:
        self._engines = engines
        self._speeds = pace.speeds
        self._log = log
        self._pending: dict[EngineId, _PendingFinding] = {}
        self._last_report: dict[str, float] = {}
        self._logged_at = 0.0
        self._uneven: Collection[str] = ()
        #: Findings by source.
        self.counts: Counter[str] = Counter()
        pace.on_estimate = self._on_own_finding

    def outgoing(self) -> list[ToldPace]:
        """Return the findings for one report."""
        now = clock.uptime()
        self._log_uneven()
        expired = [
            name
            for name, finding in self._pending.items()
            if finding.until < now
        ]
        for name in expired:
            self._pending.pop(name)
        pending = list(self._pending.values())[:_MAX_FINDINGS_PER_REPORT]
        return [_encode(finding) for finding in pending]

    def receive(self, report: NodeReport) -> None:
        """Take the findings in a peer's report."""
        now = clock.uptime()
        if (
            now - self._last_report.get(report.node, 0)
            > _RESTART_SUSPECTED_SECONDS
        ):
            self._schedule_all()
        self._last_report[report.node] = now
        witness = NodeName(report.node)
        implausible = [
            pace
            for pace in report.paces
            if not self._accept(witness, pace, now)
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
        """Return what is known of each engine, for the state dump."""
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

    def _on_own_finding(self, engine: Engine, finding: SpeedEstimate) -> None:
        """Take a finding of this process."""
        self.counts['own'] += 1
        if self._should_send(engine, finding):
            self._speeds.mark_sent(engine, finding)
            self._schedule(engine, finding)

    def _should_send(self, engine: Engine, finding: SpeedEstimate) -> bool:
        last = self._speeds.last_sent(engine)
        if last is not None:
            due = finding.at - last.at > _RENEW_SECONDS
            enough = finding.streams in _SEND_AT_STREAMS
            changed = not _is_similar(last, finding)
            if not (due or enough or changed):
                return False
        same = sum(
            other.weight >= finding.weight and _is_similar(other, finding)
            for other in self._speeds.peer_estimates(engine).values()
            if finding.at - other.at < _RENEW_SECONDS
        )
        return same < _MAX_CONFIRMATIONS

    def _accept(self, witness: NodeName, pace: ToldPace, now: float) -> bool:
        """Take one finding; return whether it is plausible."""
        gap = pace.gap_us / _US
        plausible = (
            MIN_GAP_SECONDS <= gap <= MAX_GAP_SECONDS
            and 0 < pace.streams <= _MAX_STREAMS
        )
        engine = self._engines.find(EngineId(pace.engine))
        if not plausible or engine is None:
            return False
        finding = SpeedEstimate(gap, pace.streams, now)
        # It may be of an earlier incarnation of the engine.
        same = pace.born == engine.born
        if same and self._speeds.add_peer_estimate(engine, witness, finding):
            self.counts['heard'] += 1
        return True

    def _schedule(self, engine: Engine, finding: SpeedEstimate) -> None:
        until = clock.uptime() + _SEND_SECONDS
        self._pending[engine.engine] = _PendingFinding(engine, finding, until)

    def _schedule_all(self) -> None:
        """Send all findings again, for a peer that may have restarted."""
        for engine in self._engines.all():
            finding = self._speeds.last_sent(engine)
            if finding is not None:
                self._schedule(engine, finding)

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


def _is_similar(one: SpeedEstimate, other: SpeedEstimate) -> bool:
    return abs(one.gap - other.gap) <= _CHANGE_RATIO * other.gap


def _encode(pending: _PendingFinding) -> ToldPace:
    return ToldPace(
        engine=pending.engine.engine,
        born=pending.engine.born,
        streams=pending.finding.streams,
        gap_us=round(pending.finding.gap * _US),
    )
