"""What a node knows of its peers from their reports."""

import os
import socket
import time
import unittest

import gevent
import msgspec
from bendlead_gateway._fleet.loads import LoadTable
from bendlead_gateway._fleet.peers import PeerTable
from bendlead_gateway._log import Log
from bendlead_gateway.types import DataHall, NodeName, NodeRole, PeerRecord
from bendlead_platform import PlatformDialect
from bendlead_schema.gateway import HeldShard, NodeReport, ToldLoad
from bendlead_store import Change, Entry, Failure, FailureKind, Version
from parameterized import parameterized
from result import Err


def record(name: str, role: NodeRole = NodeRole.OWNER) -> PeerRecord:
    """Make the record of a node that answers nobody."""
    return PeerRecord(NodeName(name), role, DataHall('hall-1'), '127.0.0.1:1')


def shards(*pairs: tuple[int, int]) -> list[HeldShard]:
    """Make claims from pairs of shard and epoch."""
    return [HeldShard(shard=shard, epoch=epoch) for shard, epoch in pairs]


class PeerCase(unittest.TestCase):
    """Start a node that knows an owner and an entry."""

    def setUp(self):
        dialect = PlatformDialect()
        sink = os.open(os.devnull, os.O_WRONLY)
        self.addCleanup(os.close, sink)
        # The name sorts last, so that this node waits for the others to ask.
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


class ClaimTest(PeerCase):
    """Who holds a shard, by what is heard at first and at second hand."""

    def hear(self, node, held=(), heard=()):
        """Take a report."""
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
    def test_claim(self, _name, held, heard, claimed, holder):
        self.hear('a', held)
        self.hear('e', heard=heard)
        self.assertEqual(claimed, self.peers.claims.claimed(1))
        found = self.peers.claims.holder(1)
        self.assertEqual(holder, found and found.node)

    @parameterized.expand(
        [
            ('sound', True, 3, False),
            ('stuck', False, 3, True),
            ('stuck_but_another_holds_it', False, 4, False),
        ],
    )
    def test_stuck_holder(self, _name, sound, epoch, expected):
        report = NodeReport(
            node='a', sound=sound, leaving=False, shards=shards((1, 3))
        )
        self.peers.exchange(msgspec.json.encode(report))
        self.assertEqual(expected, self.peers.claims.holder_is_stuck(1, epoch))

    @parameterized.expand([('stays', False, 'e'), ('leaves', True, None)])
    def test_way_by_an_entry(self, _name, leaving, way):
        """An entry that leaves may end before the answer is there."""
        report = NodeReport(
            node='e', sound=True, leaving=leaving, heard=shards((1, 3))
        )
        self.peers.exchange(msgspec.json.encode(report))
        found = self.peers.claims.way_to(1)
        self.assertEqual(way, found and found.node)

    def test_unheard_peer_counts_for_nothing(self):
        self.assertEqual(0, self.peers.claims.claimed(1))
        self.assertEqual([], self.peers.claims.able_owners())


class SecondHandTest(PeerCase):
    """Loads of a node that only some of the others hear."""

    def tell(self, node, **fields):
        """Send a report and give the answer."""
        report = NodeReport(node=node, sound=True, leaving=False, **fields)
        answer = self.peers.exchange(msgspec.json.encode(report))
        return msgspec.json.decode(answer, type=NodeReport)

    def test_peer_is_told_what_it_misses(self):
        self.tell('a', batch={'i-1': 3})
        self.tell('e', missed=['a', 'nobody'])
        told = self.tell('e', missed=['a', 'nobody']).told
        self.assertEqual([('a', {'i-1': 3})], [(t.node, t.batch) for t in told])

    @parameterized.expand(
        [
            ('unheard', None, 100, 3),
            ('heard_since', 1, 100, 1),
            ('too_old', None, 5000, 0),
        ],
    )
    def test_loads_at_second_hand(self, _name, direct, age_ms, counted):
        if direct is not None:
            self.tell('a', batch={'i-1': direct})
        told = ToldLoad(node='a', age_ms=age_ms, batch={'i-1': 3})
        self.tell('e', told=[told])
        self.assertEqual(counted, self.loads.batch('i-1'))

    def test_unheard_peer_is_asked_for(self):
        self.tell('e')
        time.sleep(0.5)
        self.assertEqual(['a'], list(self.tell('e').missed))


class LargeFleetTest(PeerCase):
    """Loads reach a peer that does not exchange with where they are."""

    NODES = tuple(f'entry-{number}' for number in range(30))

    def setUp(self):
        super().setUp()
        dialect = PlatformDialect()
        for node in self.NODES:
            listed = record(node, NodeRole.ENTRY)
            key = f'{dialect.peers_prefix}{node}'
            body = dialect.encode_peer(listed)
            self.peers.change(Change(key, Version(2), False, body))

    def told_to(self, node):
        """Have a node report and name those it is told of."""
        report = NodeReport(
            node=node, sound=True, leaving=False, online={node: 2}, version=7
        )
        answer = self.peers.exchange(msgspec.json.encode(report))
        told = msgspec.json.decode(answer, type=NodeReport).told
        return [(one.node, dict(one.online)) for one in told]

    def test_news_is_told_once(self):
        for node in self.NODES:
            self.told_to(node)
        first = [self.told_to(node) for node in self.NODES]
        self.assertTrue(any(first))
        for one in first:
            self.assertLess(len(one), len(self.NODES))
            for node, counts in one:
                self.assertEqual({node: 2}, counts)
        again = [self.told_to(node) for node in self.NODES]
        self.assertFalse(any(again))


class EndedOwnerTest(PeerCase):
    """An owner whose process has ended loses its shards within moments."""

    @parameterized.expand([('ended', True, 0), ('cut_off', False, 3)])
    def test_quiet_owner(self, _name, refuses, claimed):
        self.listen(refuses)
        report = NodeReport(
            node='b', sound=True, leaving=False, shards=shards((1, 3))
        )
        self.peers.exchange(msgspec.json.encode(report))
        task = gevent.spawn(self.peers.watch_owners)
        self.addCleanup(task.kill)
        gevent.sleep(0.6)
        self.assertEqual(claimed, self.peers.claims.claimed(1))

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
    """Fail all calls in one way and count them."""

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


class RegisterTest(unittest.TestCase):
    """Each call to the object service is paid for, refused ones too."""

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
