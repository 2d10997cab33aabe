"""Open connections that stop delivering data, while new ones work."""

import time
import unittest
from unittest import mock

import gevent
from bendlead_gateway._entry import EntryNode
from bendlead_gateway._fleet import report_exchanger
from bendlead_gateway._fleet.loads import LoadTable
from bendlead_gateway._fleet.peers import PeerTable
from bendlead_gateway._http.server import HttpServer
from bendlead_gateway._log import Log
from bendlead_gateway.types import (
    ClientLimits,
    DataHall,
    NodeName,
    NodeRole,
    PeerRecord,
)
from bendlead_platform import PlatformDialect, PlatformStore
from bendlead_schema.gateway import NodeReport
from bendlead_store import Entry, Version
from bendlead_testing.platform_store import PlatformStandIn
from bendlead_testing.ports import free_port
from msgspec import json
from parameterized import parameterized
from result import Ok

from tests.gateway_cases import EntryCase, OwnerCase
from tests.gateway_standins import (
    ScriptedPeer,
    StallingProxy,
    configuration,
    engine,
    eventually,
    route,
    settings,
)

#: A change must be active this long after the connections stopped working.
_MAX_UPDATE_SECONDS = 3
#: A peer without reports for this long counts as stopped.
_PEER_TIMEOUT_SECONDS = 0.9
#: Latency target of the routes. It is long enough for a busy machine.
_LATENCY_TARGET_SECONDS = 1.5
#: Response time of a free engine.
_RESPONSE_SECONDS = 0.045
_ANSWER = (
    b'HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\nContent-Length: 15\r\n\r\n'
    b'id: 1\ndata: a\n\n'
)


class StoreSilenceTest(unittest.TestCase):
    """Idle connections to the object service."""

    def setUp(self):
        self.service = PlatformStandIn(f'127.0.0.1:{free_port()}')
        self.service.start()
        self.service.set('things', 'a', {'n': 1})
        self.link = StallingProxy(self.service.address)
        self.addCleanup(self.link.close)
        self.store = PlatformStore(self.link.address)

    def test_one_timeout_closes_all(self):
        """Each of the others would cost a further time-out."""
        calls = [
            gevent.spawn(self.store.fetch, 'things/a') for _call in range(4)
        ]
        gevent.joinall(calls)
        self.link.stall()
        began = time.monotonic()
        while not isinstance(self.store.fetch('things/a'), Ok):
            self.assertLess(time.monotonic() - began, 10)
        self.assertLess(time.monotonic() - began, 2)


class WatchSilenceTest(OwnerCase):
    """All connections to the object service fail at once."""

    @parameterized.expand([('idle', 0.0), ('soon_after_a_call', 0.9)])
    def test_configuration_is_seen(self, _name, rest):
        link = StallingProxy(self.store.address)
        self.addCleanup(link.close)
        self.configure()
        service, self.store.address = self.store, link.address
        self.start_owner()
        entry_settings = settings('entry-1', NodeRole.ENTRY, link.address)
        entry = EntryNode(
            entry_settings, PlatformStore(link.address), PlatformDialect()
        )
        entry.serve()
        gevent.spawn(entry._run_maintenance)
        eventually(lambda: entry.fleet.config_watch.is_waiting)
        eventually(lambda: entry.peers.claims.available_owners(), 5)
        gevent.sleep(1 + rest)
        link.stall()
        began = time.monotonic()
        service.set('config', 'main', configuration(2, route('batch')))
        known = entry.fleet.configuration
        eventually(lambda: known.current.version == 2, 12)
        seconds = time.monotonic() - began
        self.assertLess(seconds, _MAX_UPDATE_SECONDS)


class PeerSilenceTest(unittest.TestCase):
    """Connection on which two processes exchange reports."""

    def setUp(self):
        address = f'127.0.0.1:{free_port()}'
        self.answers = []
        server = HttpServer(
            address, self.answer, lambda: ClientLimits(), time.monotonic
        )
        server.start()
        self.addCleanup(server.stop_accepting)
        self.link = StallingProxy(address)
        self.addCleanup(self.link.close)
        dialect = PlatformDialect()
        own = self.record('a', '127.0.0.1:1')
        self.peers = PeerTable(
            own,
            None,
            dialect,
            LoadTable(),
            Log('a'),
            lambda: NodeReport(node='a', sound=True, leaving=False),
            lambda _report: None,
        )
        entries = [
            Entry(
                f'{dialect.peers_prefix}{record.node}',
                Version(1),
                dialect.encode_peer(record),
            )
            for record in (own, self.record('z', self.link.address))
        ]
        self.peers.reset(entries, after_outage=False)
        eventually(lambda: self.age() >= 0)

    def record(self, name, address):
        """Build the record of an owner."""
        return PeerRecord(
            NodeName(name), NodeRole.OWNER, DataHall('hall-1'), address
        )

    def answer(self, _request, responder):
        """Respond with a report or with a scripted body."""
        report = NodeReport(node='z', sound=True, leaving=False)
        body = self.answers.pop() if self.answers else json.encode(report)
        responder.answer(200, [], body)

    def age(self):
        """Return the age of the peer's latest report (s)."""
        return self.peers.summary()['z']

    def test_reconnects_before_the_peer_counts_as_stopped(self):
        """Otherwise its shards are taken over and running items are lost."""
        # All times are three times as long, for busy machines.
        with (
            mock.patch.object(report_exchanger, '_TIMEOUT_SECONDS', 1.8),
            mock.patch.object(report_exchanger, '_MIN_BACKOFF_SECONDS', 0.6),
        ):
            for _repeat in range(3):
                gevent.sleep(0.1)
                self.link.stall()
                oldest = 0
                began = time.monotonic()
                while time.monotonic() - began < 3:
                    oldest = max(oldest, self.age())
                    gevent.sleep(0.01)
                self.assertLess(oldest, 3 * (_PEER_TIMEOUT_SECONDS - 0.15))

    def test_exchange_continues_after_an_unreadable_report(self):
        self.answers.append(b'no report')
        gevent.sleep(0.2)
        self.assertEqual([], self.answers)
        eventually(lambda: self.age() < 0.1, 1)


class EngineSilenceTest(EntryCase):
    """Idle connections to engines stop working between requests."""

    def begin(self, kind, engines=2, **changed):
        """Start engines behind links, and use a connection to each."""
        self.links = []
        peers = [ScriptedPeer([self.serve] * 40) for _peer in range(engines)]
        for number, peer in enumerate(peers):
            self.addCleanup(peer.close)
            self.engines.append(peer)
            link = StallingProxy(peer.address)
            self.addCleanup(link.close)
            self.links.append(link)
            entry = engine(link.address)
            self.store.set('servers', f'i-{number}', entry)
        self.start(route(kind, **changed), others=engines)
        calls = [gevent.spawn(self.timed) for _call in range(2 * engines)]
        gevent.joinall(calls)

    def serve(self, sock):
        """Respond to each request like a free engine."""
        while self.engines[0].read_request(sock):
            gevent.sleep(_RESPONSE_SECONDS)
            sock.sendall(_ANSWER)

    def timed(self, patience=2000):
        """Send a request; return its status and response time (s)."""
        began = time.monotonic()
        head, _body = self.read(self.send_request(timeout_ms=patience))
        return head.status, time.monotonic() - began

    @parameterized.expand(
        [
            ('plain', 'safe', {}),
            ('stream', 'streaming', {'resumable': True}),
        ],
    )
    def test_retried_in_time(self, _name, kind, changed):
        target_ms = round(_LATENCY_TARGET_SECONDS * 1000)
        self.begin(
            kind, target_latency_ms=target_ms, timeout_ms=5000, **changed
        )
        for link in self.links:
            link.stall()
        status, seconds = self.timed(patience=5000)
        self.assertEqual(200, status)
        self.assertLess(seconds, _LATENCY_TARGET_SECONDS)

    @parameterized.expand(
        [
            ('unsafe', 'unsafe', 2, (), {}),
            ('stream', 'streaming', 2, (), {}),
            ('one_engine_allowed', 'safe', 2, (), {'max_attempts': 1}),
            ('engines_are_full', 'safe', 2, ('i-0', 'i-1'), {}),
            ('the_other_is_full', 'safe', 2, ('i-1',), {}),
            ('the_only_one', 'safe', 1, (), {}),
        ],
    )
    def test_not_retried(self, _name, kind, engines, full, changed):
        """The request may be running, or be queued on its engine."""
        self.begin(kind, engines, timeout_ms=700, **changed)
        for name in full:
            self.entry.fleet.loads.own.online[name] += 8
        before = sum(link.opened for link in self.links)
        for link in self.links:
            link.stall()
        status, seconds = self.timed()
        self.assertEqual(504, status)
        self.assertGreater(seconds, 0.6)
        self.assertEqual(before, sum(link.opened for link in self.links))

    def test_slow_response_of_the_only_engine(self):
        """The request is not given up, since there is no other engine."""
        self.begin('safe', engines=1)
        with mock.patch(f'{__name__}._RESPONSE_SECONDS', 0.4):
            status, _seconds = self.timed()
        self.assertEqual(200, status)

    def test_retries_to_slow_engines_are_limited(self):
        """Each retry adds load to engines that are overloaded already."""
        self.begin('safe')
        before = self.count_engine_requests()
        with mock.patch(f'{__name__}._RESPONSE_SECONDS', 0.4):
            for _round in range(5):
                calls = [gevent.spawn(self.timed) for _call in range(8)]
                gevent.joinall(calls)
        self.assertLessEqual(self.count_engine_requests() - before, 40 + 10 + 5)


if __name__ == '__main__':
    unittest.main()
