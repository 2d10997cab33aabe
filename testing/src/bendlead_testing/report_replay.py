"""Simulate the report exchange of a fleet in memory.

The counts of all processes change at random. The ages of what others know and
the bytes between halls result from the gateway's own links, relays and changes.
"""

import contextlib
import heapq
import random
import time
import types
from collections import deque
from collections.abc import Iterator, Sequence
from typing import Any
from unittest import mock

import msgspec
from bendlead_gateway._fleet import load_relay, loads
from bendlead_gateway._fleet.changes import ChangeCodec
from bendlead_gateway._fleet.links import Link, Links
from bendlead_gateway._fleet.load_relay import LoadRelay, team_counts
from bendlead_gateway._fleet.peer import Peer
from bendlead_gateway._fleet.relay_requests import RelayRequests
from bendlead_gateway._log import Log
from bendlead_gateway.types import DataHall, NodeName, NodeRole, PeerRecord
from bendlead_schema.gateway import NodeReport
from msgspec import Struct, field

_START = 1000.0
_TEAM = 'all'
_SAMPLE_SECONDS = 0.02
#: Mean requests running on a process, and rate at which its counts change.
_MEAN_RUNNING = 8
_CHANGES_PER_SECOND = 7.0
#: Bytes of HTTP headers in one exchange.
_HEADER_BYTES = 150
_RECORDED_EVENTS = 20_000


class ReplayResults(Struct):
    """Results of a simulation; between halls unless named otherwise."""

    bytes_between_halls: int = 0
    bytes_within_halls: int = 0
    exchanges: int = 0
    relayed: int = 0
    #: Seconds for which a process's view of another has been outdated.
    ages: list[float] = field(default_factory=list)
    other_hall_ages: list[float] = field(default_factory=list)
    #: Processor seconds spent on building and receiving reports.
    cpu_seconds: float = 0


def quantile(ages: Sequence[float], share: float) -> float:
    """Return the age below which the given share of all ages is."""
    return sorted(ages)[int(len(ages) * share)]


class Event(Struct, frozen=True):
    """An event that a simulated process logged."""

    at: float
    node: str
    kind: str
    fields: dict[str, Any]


class _EventRecorder(Log):
    """Keeps the events of a process together with their simulated time."""

    def __init__(self, node: str, events: deque[Event]) -> None:
        self._node = node
        self._events = events

    def event(self, kind: str, **fields: Any) -> None:
        now = loads.clock.uptime()
        self._events.append(Event(now, self._node, kind, fields))


class _Process:
    """One process of the fleet and the loads that it knows."""

    def __init__(
        self, record: PeerRecord, links: Links, events: deque[Event]
    ) -> None:
        self.record = record
        self.loads = loads.LoadTable()
        log = _EventRecorder(record.node, events)
        self.relay = LoadRelay(record.node, self.loads, links, log)
        self.peers: dict[NodeName, Peer] = {}
        self.relay_requests = RelayRequests(
            record.hall, self.peers, self.loads, log
        )
        self.life = 1
        #: Times at which its counts changed.
        self.change_times: list[float] = []

    def report_to(self, peer: Peer) -> NodeReport:
        own = self.loads.own
        report = NodeReport(
            node=self.record.node,
            sound=True,
            leaving=False,
            online=dict(+own.online),
            life=self.life,
            teams={_TEAM: len(self.change_times)},
        )
        self.relay.set_version(report)
        report.told = self.relay.reports_for(peer)
        report.missed = self.relay_requests.missing_for(peer.record.node)
        return report

    def receive(self, report: NodeReport) -> None:
        peer = self.peers[NodeName(report.node)]
        peer.last_report_at = loads.clock.uptime()
        peer.missing_nodes = report.missed
        self.relay.receive(peer, report.told)
        self.loads.report(
            NodeName(report.node),
            report.online,
            report.batch,
            version=report.version,
            teams=team_counts(report),
        )

    def changes_known_of(self, node: NodeName) -> int:
        """Return how many changes of a node are known here."""
        known = self.loads.latest(node)
        return known.teams.counts.get(_TEAM, 0) if known else 0


class ReportReplay:
    """Simulated exchanges of a fleet, and their measurements."""

    def __init__(
        self,
        processes: int,
        halls: int,
        seed: int,
        *,
        changes: bool,
        sizes: Sequence[int] = (),
    ) -> None:
        """Set up a fleet in halls of equal size, or of the given sizes."""
        self._rng = random.Random(seed)
        self._now = _START
        self._changes = changes
        self._links = Links()
        hall_numbers = [number % halls for number in range(processes)]
        if sizes:
            hall_numbers = [
                hall for hall, size in enumerate(sizes) for _ in range(size)
            ]
        records = [
            _record(number, hall) for number, hall in enumerate(hall_numbers)
        ]
        self._links.rebuild(records)
        #: The latest events that the processes logged.
        self.events: deque[Event] = deque(maxlen=_RECORDED_EVENTS)
        self._processes = [
            _Process(record, self._links, self.events) for record in records
        ]
        self._due: list[tuple[float, int, int]] = []
        self._cuts: list[set[str]] = []
        #: Processes that take part in no exchange, as if suspended.
        self.silent: set[str] = set()
        self.results = ReplayResults()
        for first in range(processes):
            for second in range(first + 1, processes):
                self._link(first, second)
        self._change_times = sorted(self._draw_changes(processes))

    def run(self, seconds: float, warm: float = 1) -> ReplayResults:
        """Simulate some seconds; measure only after the warm-up."""
        with self._simulated_clocks():
            until = self._now + warm
            self._run_until(until)
            self.results = ReplayResults()
            end = until + seconds
            while until < end:
                until += _SAMPLE_SECONDS
                self._run_until(until)
                self._sample()
        return self.results

    def disconnect(self, one: str, other: str) -> None:
        """Drop all exchanges between two halls from now on."""
        self._cuts.append({one, other})

    def reconnect(self, one: str, other: str) -> None:
        """Carry exchanges between two halls again from now on."""
        self._cuts.remove({one, other})

    def restart(self, hall: str) -> None:
        """Restart all processes of a hall with empty state."""
        with self._simulated_clocks():
            for number, old in enumerate(self._processes):
                if old.record.hall == hall:
                    self._restart_one(number, old)

    def known(self) -> int:
        """Count the pairs in which one knows the counts of the other."""
        with self._simulated_clocks():
            return sum(
                one.loads.latest(other.record.node) is not None
                for one in self._processes
                for other in self._processes
            )

    @contextlib.contextmanager
    def _simulated_clocks(self) -> Iterator[None]:
        wall_clock = types.SimpleNamespace(time=lambda: self._now)
        with (
            mock.patch.object(loads.clock, 'uptime', lambda: self._now),
            mock.patch.object(load_relay, 'time', wall_clock),
        ):
            yield

    def _draw_changes(self, processes: int) -> Iterator[tuple[float, int]]:
        for number in range(processes):
            moment = _START
            while moment < _START + 10:
                moment += self._rng.expovariate(_CHANGES_PER_SECOND)
                yield moment, number

    def _link(self, first: int, second: int) -> None:
        one, other = self._processes[first], self._processes[second]
        link = self._links.between(one.record.node, other.record.node)
        one.peers[other.record.node] = self._peer(other.record, link)
        other.peers[one.record.node] = self._peer(one.record, link)
        if link is Link.NONE:
            return
        start = _START + self._rng.random() * self._links.interval(link)
        heapq.heappush(self._due, (start, first, second))

    def _peer(self, record: PeerRecord, link: Link) -> Peer:
        return Peer(
            record,
            listed_at=self._now,
            link=link,
            interval=self._links.interval(link),
        )

    def _restart_one(self, number: int, old: _Process) -> None:
        new = _Process(old.record, self._links, self.events)
        new.change_times = old.change_times
        new.life = old.life + 1
        new.loads.own.online.update(old.loads.own.online)
        self._processes[number] = new
        for node, peer in old.peers.items():
            new.peers[node] = self._peer(peer.record, peer.link)
        for other in self._processes[:number]:
            # The clients of a restarted process lose their connections.
            other.peers[old.record.node].reset_exchange()

    def _run_until(self, moment: float) -> None:
        while self._due[0][0] <= moment:
            self._now, first, second = heapq.heappop(self._due)
            self._change_until(self._now)
            self._exchange(self._processes[first], self._processes[second])
            pause = self._links.interval(Link.CLOSE)
            heapq.heappush(self._due, (self._now + pause, first, second))
        self._change_until(moment)
        self._now = moment

    def _change_until(self, moment: float) -> None:
        while self._change_times and self._change_times[0][0] <= moment:
            changed_at, number = self._change_times.pop(0)
            process = self._processes[number]
            process.change_times.append(changed_at)
            online = process.loads.own.online
            running = list(online.elements())
            if len(running) > self._rng.randrange(2 * _MEAN_RUNNING):
                online[self._rng.choice(running)] -= 1
            else:
                engine = self._rng.randrange(len(self._processes) * 3 // 4)
                online[f'kiosk-lm-{engine:05d}'] += 1

    def _exchange(self, one: _Process, other: _Process) -> None:
        between_halls = one.record.hall != other.record.hall
        if {one.record.hall, other.record.hall} in self._cuts:
            return
        if not self.silent.isdisjoint((one.record.node, other.record.node)):
            return
        size = _HEADER_BYTES
        began = time.process_time()
        for sender, receiver in ((one, other), (other, one)):
            peer = sender.peers[receiver.record.node]
            report = sender.report_to(peer)
            if between_halls:
                self.results.relayed += len(report.told)
            if between_halls and self._changes:
                size += self._send_changes(report, peer, receiver)
            else:
                body = msgspec.json.encode(report)
                size += len(body)
                receiver.receive(msgspec.json.decode(body, type=NodeReport))
        self.results.cpu_seconds += time.process_time() - began
        self.results.exchanges += between_halls
        self.results.bytes_between_halls += size * between_halls
        self.results.bytes_within_halls += size * (not between_halls)

    def _send_changes(
        self, report: NodeReport, peer: Peer, receiver: _Process
    ) -> int:
        reverse: ChangeCodec = receiver.peers[
            NodeName(report.node)
        ].change_codec
        peer.change_codec.writer.confirm(reverse.reader.last_number)
        holds = peer.change_codec.reader.last_number
        change = peer.change_codec.writer.write(report, holds, self._now)
        body = msgspec.json.encode(change)
        received = msgspec.json.decode(body, type=type(change))
        receiver.receive(reverse.reader.read(received, self._now))
        return len(body)

    def _sample(self) -> None:
        one = self._rng.choice(self._processes)
        for other in self._processes:
            if other is one:
                continue
            known_changes = one.changes_known_of(other.record.node)
            age = 0.0
            if known_changes < len(other.change_times):
                age = self._now - other.change_times[known_changes]
            self.results.ages.append(age)
            if one.record.hall != other.record.hall:
                self.results.other_hall_ages.append(age)


def _record(number: int, hall: int) -> PeerRecord:
    return PeerRecord(
        NodeName(f'entry-{number:03d}'),
        NodeRole.ENTRY,
        DataHall(f'hall-{hall}'),
        '',
    )
