"""How soon a change of load is known in fleets of several sizes.

Reports are delivered in memory with a simulated clock.
"""

import heapq
import random
import unittest
from unittest import mock

from bendlead_gateway._fleet import loads
from bendlead_gateway._fleet.links import Link, Links
from bendlead_gateway._fleet.load_relay import LoadRelay
from bendlead_gateway._fleet.peer import Peer
from bendlead_gateway._log import Log
from bendlead_gateway.types import DataHall, NodeName, NodeRole, PeerRecord
from bendlead_schema.gateway import NodeReport
from parameterized import parameterized

START = 1000.0


class Process:
    """One process of the fleet and the loads that it knows."""

    def __init__(self, record: PeerRecord, links: Links) -> None:
        self.record = record
        self.loads = loads.LoadTable()
        log = mock.Mock(spec=Log)
        self.relay = LoadRelay(record.node, self.loads, links, log)
        self.peers: dict[NodeName, Peer] = {}

    def report_to(self, node: NodeName) -> NodeReport:
        """Build the report for a peer."""
        own = self.loads.own
        report = NodeReport(
            node=self.record.node,
            sound=True,
            leaving=False,
            online=dict(+own.online),
            batch=dict(+own.batch),
        )
        self.relay.set_version(report)
        report.told = self.relay.reports_for(self.peers[node])
        return report

    def receive(self, report: NodeReport) -> None:
        """Receive a peer's report."""
        self.relay.receive(self.peers[NodeName(report.node)], report.told)
        self.loads.report(
            NodeName(report.node),
            report.online,
            report.batch,
            version=report.version,
        )


class SimulatedFleet:
    """Exchange reports over all links in simulated time."""

    def __init__(self, entries: int, halls: int, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = START
        self.links = Links()
        records = [
            PeerRecord(
                NodeName(f'entry-{number}'),
                NodeRole.ENTRY,
                DataHall(f'hall-{number % halls}'),
                '',
            )
            for number in range(entries)
        ]
        self.links.rebuild(records)
        self.processes = [Process(record, self.links) for record in records]
        self.scheduled: list[tuple[float, int, int]] = []
        for first in range(entries):
            for second in range(first + 1, entries):
                self._link(first, second)
        self.exchanges = 0
        self.relayed = 0

    def _link(self, first: int, second: int) -> None:
        one, other = self.processes[first], self.processes[second]
        link = self.links.between(one.record.node, other.record.node)
        if link is Link.NONE:
            return
        one.peers[other.record.node] = Peer(other.record, link=link)
        other.peers[one.record.node] = Peer(one.record, link=link)
        start = START + self.rng.random() * self.links.interval(link)
        heapq.heappush(self.scheduled, (start, first, second))

    def run_until(self, moment: float) -> None:
        """Run all exchanges that are scheduled by then."""
        while self.scheduled[0][0] <= moment:
            self.now, first, second = heapq.heappop(self.scheduled)
            self._exchange(self.processes[first], self.processes[second])
            pause = self.links.interval(Link.CLOSE)
            heapq.heappush(self.scheduled, (self.now + pause, first, second))
        self.now = moment

    def _exchange(self, one: Process, other: Process) -> None:
        for sender, receiver in ((one, other), (other, one)):
            report = sender.report_to(receiver.record.node)
            receiver.receive(report)
            self.relayed += len(report.told)
        self.exchanges += 1

    def known(self, engine: str) -> list[int]:
        """Return the load of an engine as known to each process."""
        return [process.loads.online(engine) for process in self.processes]


class PropagationTest(unittest.TestCase):
    """Changes of load are known everywhere within a bound."""

    @parameterized.expand(
        [
            ('small', 6, 3, 0.05),
            ('mesh', 17, 3, 0.11),
            ('grown', 22, 3, 0.3),
            ('large', 63, 5, 0.35),
            ('three_hundred', 300, 3, 0.5),
        ],
    )
    def test_change_is_known_everywhere(self, _name, entries, halls, seconds):
        fleet = SimulatedFleet(entries, halls, seed=1)
        with mock.patch.object(loads.clock, 'uptime', lambda: fleet.now):
            for number, process in enumerate(fleet.processes):
                process.loads.own.online[f'i-{number}'] = 1
            fleet.run_until(START + 0.6)
            for number in range(0, entries, 7):
                self.assertEqual({1}, set(fleet.known(f'i-{number}')))
            fleet.processes[0].loads.own.online['i-0'] = 3
            fleet.run_until(START + 0.6 + seconds)
            self.assertEqual({3}, set(fleet.known('i-0')))

    def test_unchanged_counts_persist_and_expire(self):
        """Unchanged counts must be renewed before they expire."""
        fleet = SimulatedFleet(63, 5, seed=2)
        with mock.patch.object(loads.clock, 'uptime', lambda: fleet.now):
            fleet.processes[0].loads.own.online['i-0'] = 2
            fleet.run_until(START + 1)
            for step in range(25):
                fleet.run_until(START + 1 + step * 0.1)
                self.assertEqual({2}, set(fleet.known('i-0')))
            fleet.scheduled = [
                one for one in fleet.scheduled if one[1] != 0 and one[2] != 0
            ]
            fleet.run_until(fleet.now + 2)
            self.assertEqual({0}, set(fleet.known('i-0')[1:]))

    @parameterized.expand([(63, 5), (300, 3)])
    def test_exchanges_do_not_grow_with_the_fleet(self, entries, halls):
        fleet = SimulatedFleet(entries, halls, seed=3)
        with mock.patch.object(loads.clock, 'uptime', lambda: fleet.now):
            fleet.run_until(START + 0.4)
        self.assertLessEqual(2 * fleet.exchanges / entries / 0.4, 110)
