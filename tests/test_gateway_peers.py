"""What a node knows of its peers from their reports."""

import os
import random
import socket
import time
import unittest

import gevent
import msgspec
from bendlead_gateway._fleet import loads
from bendlead_gateway._fleet.links import Link
from bendlead_gateway._fleet.loads import LoadTable
from bendlead_gateway._fleet.peer import Peer
from bendlead_gateway._fleet.peers import PeerTable
from bendlead_gateway._fleet.relay_requests import RelayRequests
from bendlead_gateway._log import Log
from bendlead_gateway.types import DataHall, NodeName, NodeRole, PeerRecord
from bendlead_platform import PlatformDialect
from bendlead_schema.gateway import HeldShard, NodeReport, ToldLoad
from bendlead_store import Change, Entry, Failure, FailureKind, Version
from parameterized import parameterized
from result import Err


def record(name: str, role: NodeRole = NodeRole.OWNER) -> PeerRecord:
    """Return the record of a node that accepts no connections."""
    return PeerRecord(NodeName(name), role, DataHall('hall-1'), '127.0.0.1:1')


def shards(*pairs: tuple[int, int]) -> list[HeldShard]:
    """Return claims from pairs of shard and epoch."""
    return [HeldShard(shard=shard, epoch=epoch) for shard, epoch in pairs]


class PeerCase(unittest.TestCase):
    """A node that knows one owner and one entry."""

    def setUp(self):
        dialect = PlatformDialect()
        sink = os.open(os.devnull, os.O_WRONLY)
        self.addCleanup(os.close, sink)
        # The name sorts last, so that this node is never the client.
        own = record('z')
        self.loads = LoadTable()
        self.peers = PeerTable(
            own,
            None,
            dialect,
            self.loads,
            Log('z', sink),
            lambda: NodeReport(node='z', sound=True, leaving=False),
            lambda _report: None,
        )
        entries = [
            Entry(
                f'{dialect.peers_prefix}{one.node}',
                Version(1),
                dialect.encode_peer(one),
            )
            for one in (record('a'), record('e', NodeRole.ENTRY), own)
        ]
        self.peers.reset(entries, after_outage=False)


class OwnershipTest(PeerCase):
    """Shard ownership from direct and relayed reports."""

    def receive(self, node, held=(), heard=()):
        """Receive a report."""
        report = NodeReport(
            node=node,
            sound=True,
            leaving=False,
            shards=shards(*held),
            heard=shards(*heard),
        )
        self.peers.exchange(msgspec.json.encode(report))

    @parameterized.expand(
        [
            ('nobody', [], [], 0, None),
            ('direct', [(1, 3)], [], 3, 'a'),
            ('second_hand', [], [(1, 3)], 3, None),
            ('newer_at_second_hand', [(1, 3)], [(1, 4)], 4, 'a'),
            ('other_shard', [(2, 3)], [(2, 3)], 0, None),
        ],
    )
    def test_claim(self, _name, held, heard, claimed, owner):
        self.receive('a', held)
        self.receive('e', heard=heard)
        self.assertEqual(claimed, self.peers.claims.highest_epoch(1))
        found = self.peers.claims.owner(1)
        self.assertEqual(owner, found and found.node)

    @parameterized.expand(
        [
            ('sound', True, 3, False),
            ('stuck', False, 3, True),
            ('stuck_but_another_holds_it', False, 4, False),
        ],
    )
    def test_stuck_owner(self, _name, sound, epoch, expected):
        report = NodeReport(
            node='a', sound=sound, leaving=False, shards=shards((1, 3))
        )
        self.peers.exchange(msgspec.json.encode(report))
        self.assertEqual(
            expected, self.peers.claims.owner_cannot_write(1, epoch)
        )

    @parameterized.expand(
        [
            ('sound', True, 3, False),
            ('stuck', False, 3, True),
            ('stuck_at_an_earlier_epoch', False, 4, False),
        ],
    )
    def test_stuck_owner_that_only_an_entry_hears(
        self, _name, sound, epoch, expected
    ):
        """Guards against an owner that can't write and is not replaced."""
        own = NodeReport(
            node='a', sound=sound, leaving=False, shards=shards((1, 3))
        )
        self.peers.exchange(msgspec.json.encode(own))
        heard = self.peers.claims.direct_claims()
        self.peers.peer('a').last_report_at = 0
        relayed = NodeReport(node='e', sound=True, leaving=False, heard=heard)
        self.peers.exchange(msgspec.json.encode(relayed))
        self.assertEqual(3, self.peers.claims.highest_epoch(1))
        self.assertEqual(
            expected, self.peers.claims.owner_cannot_write(1, epoch)
        )

    def test_own_report_of_an_owner_is_newer_than_a_relayed_one(self):
        stuck = NodeReport(
            node='a', sound=False, leaving=False, shards=shards((1, 3))
        )
        self.peers.exchange(msgspec.json.encode(stuck))
        heard = self.peers.claims.direct_claims()
        relayed = NodeReport(node='e', sound=True, leaving=False, heard=heard)
        self.peers.exchange(msgspec.json.encode(relayed))
        self.receive('a', [(1, 3)])
        self.assertFalse(self.peers.claims.owner_cannot_write(1, 3))

    @parameterized.expand([('stays', False, 'e'), ('leaves', True, None)])
    def test_route_by_an_entry(self, _name, leaving, route):
        """An entry that is leaving may stop before it has responded."""
        report = NodeReport(
            node='e', sound=True, leaving=leaving, heard=shards((1, 3))
        )
        self.peers.exchange(msgspec.json.encode(report))
        found = self.peers.claims.relay_to_owner(1)
        self.assertEqual(route, found and found.node)

    def test_peer_without_report_is_ignored(self):
        self.assertEqual(0, self.peers.claims.highest_epoch(1))
        self.assertEqual([], self.peers.claims.available_owners())


class RelayedLoadTest(PeerCase):
    """Loads of a node whose reports only some peers receive."""

    def exchange(self, node, **fields):
        """Receive a report and return the response."""
        report = NodeReport(node=node, sound=True, leaving=False, **fields)
        response = self.peers.exchange(msgspec.json.encode(report))
        return msgspec.json.decode(response, type=NodeReport)

    def test_missed_reports_are_relayed(self):
        self.exchange('a', batch={'i-1': 3})
        self.exchange('e', missed=['a', 'nobody'])
        relayed = self.exchange('e', missed=['a', 'nobody']).told
        self.assertEqual(
            [('a', {'i-1': 3})], [(load.node, load.batch) for load in relayed]
        )

    @parameterized.expand(
        [
            ('unheard', None, 100, 3),
            ('heard_since', 1, 100, 1),
            ('too_old', None, 5000, 0),
        ],
    )
    def test_relayed_loads(self, _name, direct, age_ms, counted):
        if direct is not None:
            self.exchange('a', batch={'i-1': direct})
        relayed = ToldLoad(node='a', age_ms=age_ms, batch={'i-1': 3})
        self.exchange('e', told=[relayed])
        self.assertEqual(counted, self.loads.batch('i-1'))

    def test_missing_reports_are_requested(self):
        self.exchange('e')
        time.sleep(0.5)
        self.assertEqual(['a'], list(self.exchange('e').missed))


class RelayRequestsTest(unittest.TestCase):
    """Choice of the peers that are asked for overdue reports."""

    @parameterized.expand(
        [
            ('other_hall', 'hall-2', {'hall-3'}),
            ('own_hall', 'hall-1', {'hall-1'}),
            ('third_hall_is_overdue', 'hall-2', {'hall-1'}, ('hall-3',)),
        ]
    )
    def test_halls_asked(self, _name, missing_hall, asked, overdue=()):
        """Peers in the own hall miss the reports of a hall that is cut off."""
        now = loads.clock.uptime()
        peers = {
            NodeName(f'{hall}-{number}'): Peer(
                PeerRecord(f'{hall}-{number}', NodeRole.ENTRY, hall, ''),
                last_report_at=0 if hall in overdue else now,
                listed_at=0,
                link=Link.CLOSE,
            )
            for hall in ('hall-1', 'hall-3')
            for number in range(9)
        }
        missing = PeerRecord('missing', NodeRole.ENTRY, missing_hall, '')
        peers['missing'] = Peer(
            missing, last_report_at=now - 2, link=Link.CLOSE
        )
        sink = os.open(os.devnull, os.O_WRONLY)
        self.addCleanup(os.close, sink)
        for seed in range(20):
            random.seed(seed)
            requests = RelayRequests(
                'hall-1', peers, LoadTable(), Log('z', sink)
            )
            halls = {
                peer.record.hall
                for node, peer in peers.items()
                if 'missing' in requests.missing_for(node)
            }
            self.assertEqual(asked, halls)


class LargeFleetTest(PeerCase):
    """Loads are relayed between nodes that don't exchange reports."""

    NODES = tuple(f'entry-{number}' for number in range(30))

    def setUp(self):
        super().setUp()
        dialect = PlatformDialect()
        for node in self.NODES:
            listed = record(node, NodeRole.ENTRY)
            key = f'{dialect.peers_prefix}{node}'
            body = dialect.encode_peer(listed)
            self.peers.change(Change(key, Version(2), False, body))

    def relayed_to(self, node):
        """Receive a node's report; return the loads relayed to it."""
        report = NodeReport(
            node=node, sound=True, leaving=False, online={node: 2}, version=7
        )
        response = self.peers.exchange(msgspec.json.encode(report))
        relayed = msgspec.json.decode(response, type=NodeReport).told
        return [(load.node, dict(load.online)) for load in relayed]

    def test_report_is_relayed_once(self):
        for node in self.NODES:
            self.relayed_to(node)
        first = [self.relayed_to(node) for node in self.NODES]
        self.assertTrue(any(first))
        for relayed in first:
            self.assertLess(len(relayed), len(self.NODES))
            for node, counts in relayed:
                self.assertEqual({node: 2}, counts)
        again = [self.relayed_to(node) for node in self.NODES]
        self.assertFalse(any(again))


class EndedOwnerTest(PeerCase):
    """An owner whose process has ended loses its shards at once."""

    @parameterized.expand([('ended', True, 0), ('cut_off', False, 3)])
    def test_silent_owner(self, _name, refuses, claimed):
        self.listen(refuses)
        report = NodeReport(
            node='b', sound=True, leaving=False, shards=shards((1, 3))
        )
        self.peers.exchange(msgspec.json.encode(report))
        task = gevent.spawn(self.peers.watch_owners)
        self.addCleanup(task.kill)
        gevent.sleep(0.6)
        self.assertEqual(claimed, self.peers.claims.highest_epoch(1))

    def listen(self, refuses):
        """List an owner whose address refuses or accepts connections."""
        sock = socket.socket()
        self.addCleanup(sock.close)
        sock.bind(('127.0.0.1', 0))
        if not refuses:
            sock.listen(8)
        port = sock.getsockname()[1]
        listed = PeerRecord(
            NodeName('b'),
            NodeRole.OWNER,
            DataHall('hall-1'),
            f'127.0.0.1:{port}',
        )
        dialect = PlatformDialect()
        key = f'{dialect.peers_prefix}b'
        entry = Entry(key, Version(2), dialect.encode_peer(listed))
        self.peers.change(Change(key, Version(2), False, entry.body))


class _FailingStore:
    """Store that fails all calls in one route and records them."""

    def __init__(self, kind):
        self._failed = Err(Failure(kind, 'PUT', '127.0.0.1:1'))
        self.calls = []

    def put(self, _key, _body, _expected):
        """Fail a write."""
        self.calls.append('put')
        return self._failed

    def fetch(self, _key):
        """Fail a read."""
        self.calls.append('fetch')
        return self._failed


class RegistrationTest(unittest.TestCase):
    """Registration must not retry too often: each call is paid for."""

    @parameterized.expand(
        [
            ('away', FailureKind.NOT_DONE, 5, 0),
            ('limited', FailureKind.LIMITED, 5, 0),
            ('unknown', FailureKind.UNKNOWN, 5, 5),
        ]
    )
    def test_while_the_store_fails(self, _name, kind, writes, reads):
        store = _FailingStore(kind)
        peers = PeerTable(
            record('z'),
            store,
            PlatformDialect(),
            LoadTable(),
            Log('z'),
            lambda: NodeReport(node='z', sound=True, leaving=False),
            lambda _report: None,
        )
        peers.reset([], after_outage=False)
        gevent.sleep(3)
        self.assertLessEqual(store.calls.count('put'), writes)
        self.assertGreaterEqual(store.calls.count('put'), 2)
        self.assertLessEqual(store.calls.count('fetch'), reads)
