"""Tell peers how fast engines were found, and hear it from them.

What a process finds it tells its peers for a moment, and nobody tells it on:
each has peers enough, while news that pass through all cost each link the
findings of the whole fleet. A process says nothing where enough peers have
found the same. While nothing changes nothing is told, but for a renewal now
and then.
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
#: What is new is told for this long (s), in which each peer is met.
_TOLD_SECONDS = 0.25
#: Findings that one report tells; the others follow.
_MOST_TOLD = 32
#: A finding is told when it comes from this many streams, when it has changed
#: by more than this share, and anew after this long (s).
_TELLING_STREAMS = frozenset((1, 3, RELIABLE_STREAMS))
_CHANGED_SHARE = 0.15
_RENEW_SECONDS = 20.0
#: Others who have found the same, and then nobody else needs to tell it.
_ENOUGH_WITNESSES = 2
#: A peer that was not met for this long (s) may have started again.
_UNMET_SECONDS = 2.0
#: What is odd is noted no more often than this (s).
_NOTE_SECONDS = 10.0
_MOST_STREAMS = 1_000_000


class _News(Struct, frozen=True):
    """Keep a finding that is to be told for a moment."""

    engine: Engine
    finding: SpeedEstimate
    until: float


class PaceNews:
    """Exchange with peers how fast engines are."""

    def __init__(self, engines: EngineList, pace: PaceTable, log: Log) -> None:
        self._engines = engines
        self._speeds = pace.speeds
        self._log = log
        self._news: dict[EngineId, _News] = {}
        self._met: dict[str, float] = {}
        self._noted = 0.0
        self._uneven: Collection[str] = ()
        #: Findings by where they came from.
        self.counts: Counter[str] = Counter()
        pace.on_finding = self._find

    def tell(self) -> list[ToldPace]:
        """Give what is new, for one report."""
        now = clock.uptime()
        self._note_uneven()
        over = [name for name, one in self._news.items() if one.until < now]
        for name in over:
            self._news.pop(name)
        told = list(self._news.values())[:_MOST_TOLD]
        return [_told(one) for one in told]

    def hear(self, report: NodeReport) -> None:
        """Take what a peer tells of engines."""
        now = clock.uptime()
        if now - self._met.get(report.node, 0) > _UNMET_SECONDS:
            self._tell_all()
        self._met[report.node] = now
        witness = NodeName(report.node)
        odd = [one for one in report.paces if not self._take(witness, one, now)]
        self.counts['odd'] += len(odd)
        if odd and now - self._noted > _NOTE_SECONDS:
            self._noted = now
            self._log.event(
                'paces-ignored',
                peer=report.node,
                count=len(odd),
                engine=odd[0].engine,
                gap_us=odd[0].gap_us,
                streams=odd[0].streams,
            )

    def summary(self) -> dict[str, dict[str, float]]:
        """Show what is known of each engine, for the state dump."""
        now = clock.uptime()
        known = {
            one.engine: self._summarize(one, now) for one in self._engines.all()
        }
        return {name: one for name, one in known.items() if one['gap_ms']}

    def _summarize(self, engine: Engine, now: float) -> dict[str, float]:
        own = self._speeds.own_estimate(engine)
        return {
            'gap_ms': round(self._speeds.gap(engine, now) * 1000, 2),
            'slowness': round(self._speeds.slowness(engine, now), 2),
            'stall': round(self._speeds.stall(engine, now), 2),
            'own_streams': own.streams if own else 0,
            'witnesses': len(self._speeds.peer_estimates(engine)),
        }

    def _find(self, engine: Engine, finding: SpeedEstimate) -> None:
        """Take what this process found."""
        self.counts['own'] += 1
        if self._worth_telling(engine, finding):
            self._speeds.mark_sent(engine, finding)
            self._spread(engine, finding)

    def _worth_telling(self, engine: Engine, finding: SpeedEstimate) -> bool:
        last = self._speeds.last_sent(engine)
        if last is not None:
            renew = finding.at - last.at > _RENEW_SECONDS
            more = finding.streams in _TELLING_STREAMS
            changed = not _agree(last, finding)
            if not (renew or more or changed):
                return False
        same = sum(
            one.weight >= finding.weight and _agree(one, finding)
            for one in self._speeds.peer_estimates(engine).values()
            if finding.at - one.at < _RENEW_SECONDS
        )
        return same < _ENOUGH_WITNESSES

    def _take(self, witness: NodeName, told: ToldPace, now: float) -> bool:
        """Take one finding; tell whether it makes sense."""
        gap = told.gap_us / _US
        sensible = (
            MIN_GAP_SECONDS <= gap <= MAX_GAP_SECONDS
            and 0 < told.streams <= _MOST_STREAMS
        )
        engine = self._engines.named(EngineId(told.engine))
        if not sensible or engine is None:
            return False
        finding = SpeedEstimate(gap, told.streams, now)
        # It may be of a life that is over.
        same = told.born == engine.born
        if same and self._speeds.add_peer_estimate(engine, witness, finding):
            self.counts['heard'] += 1
        return True

    def _spread(self, engine: Engine, finding: SpeedEstimate) -> None:
        until = clock.uptime() + _TOLD_SECONDS
        self._news[engine.engine] = _News(engine, finding, until)

    def _tell_all(self) -> None:
        """Tell a peer that may know nothing what was found here."""
        for engine in self._engines.all():
            told = self._speeds.last_sent(engine)
            if told is not None:
                self._spread(engine, told)

    def _note_uneven(self) -> None:
        """Write a line when engines of a service are found to differ."""
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


def _agree(one: SpeedEstimate, other: SpeedEstimate) -> bool:
    return abs(one.gap - other.gap) <= _CHANGED_SHARE * other.gap


def _told(news: _News) -> ToldPace:
    return ToldPace(
        engine=news.engine.engine,
        born=news.engine.born,
        streams=news.finding.streams,
        gap_us=round(news.finding.gap * _US),
    )
