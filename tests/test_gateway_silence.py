"""Open connections that fall silent for good, while new ones work."""

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

#: A machine counts as in touch again this long (s) after its connections fell
#: silent; what was acknowledged up to a second later must be in force then.
_IN_TOUCH_SECONDS = 3
#: A peer that is not heard for this long (s) counts as stopped.
_STOPPED_SECONDS = 0.9
#: What the routes of the tests aim at, and when a free engine answers (s).
#: Five times the users' aim, so that a busy machine does not decide.
_AIM_SECONDS = 1.5
_FIRST_SECONDS = 0.045
_ANSWER = (
    b'HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\nContent-Length: 15\r\n\r\n'
    b'id: 1\ndata: a\n\n'
)


class StoreSilenceTest(unittest.TestCase):
    """The connections to the object service that are kept."""

    def setUp(self):
        self.service = PlatformStandIn(f'127.0.0.1:{free_port()}')
        self.service.start()
        self.service.set('things', 'a', {'n': 1})
        self.link = StallingProxy(self.service.address)
        self.addCleanup(self.link.close)
        self.store = PlatformStore(self.link.address)

    def test_one_lost_answer_shows_all(self):
        """The others are as old, and each would cost a time-out."""
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
    """All connections of all processes to the object service at once."""

    @parameterized.expand([('idle', 0.0), ('soon_after_a_call', 0.9)])
    def test_configuration_is_seen(self, _name, rest):
        link = StallingProxy(self.store.address)
        self.addCleanup(link.close)
        self.configure()
        service, self.store.address = self.store, link.address
        self.start_owner()
        made = settings('entry-1', NodeRole.ENTRY, link.address)
        entry = EntryNode(made, PlatformStore(link.address), PlatformDialect())
        entry.serve()
        gevent.spawn(entry._run_maintenance)
        eventually(lambda: entry.fleet.config_watch.holding)
        eventually(lambda: entry.peers.claims.able_owners(), 5)
        gevent.sleep(1 + rest)
        link.stall()
        began = time.monotonic()
        service.set('config', 'main', configuration(2, route('batch')))
        holder = entry.fleet.configuration
        eventually(lambda: holder.known.version == 2, 12)
        seconds = time.monotonic() - began
        self.assertLess(seconds, _IN_TOUCH_SECONDS)


class PeerSilenceTest(unittest.TestCase):
    """The connection on which two processes exchange reports."""

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
        listed = [
            Entry(
                f'{dialect.peers_prefix}{one.node}',
                Version(1),
                dialect.encode_peer(one),
            )
            for one in (own, self.record('z', self.link.address))
        ]
        self.peers.reset(listed, after_outage=False)
        eventually(lambda: self.age() >= 0)

    def record(self, name, address):
        """Make the record of an owner."""
        return PeerRecord(
            NodeName(name), NodeRole.OWNER, DataHall('hall-1'), address
        )

    def answer(self, _request, responder):
        """Answer as the peer, or as scripted."""
        told = NodeReport(node='z', sound=True, leaving=False)
        body = self.answers.pop() if self.answers else json.encode(told)
        responder.answer(200, [], body)

    def age(self):
        """Tell how long ago the peer was heard."""
        return self.peers.summary()['z']

    def test_heard_again_before_it_counts_as_stopped(self):
        """Its shards would be taken over, and what runs there lost."""
        # All times are thrice as long, so that a busy machine does not decide.
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
                self.assertLess(oldest, 3 * (_STOPPED_SECONDS - 0.15))

    def test_heard_again_after_an_unreadable_report(self):
        self.answers.append(b'no report')
        gevent.sleep(0.2)
        self.assertEqual([], self.answers)
        eventually(lambda: self.age() < 0.1, 1)


class EngineSilenceTest(EntryCase):
    """Connections to engines that are kept fall silent between requests."""

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
            told = engine(link.address)
            self.store.set('servers', f'i-{number}', told)
        self.start(route(kind, **changed), others=engines)
        calls = [gevent.spawn(self.timed) for _call in range(2 * engines)]
        gevent.joinall(calls)

    def serve(self, sock):
        """Answer each request after the time that a free engine takes."""
        while self.engines[0].read_request(sock):
            gevent.sleep(_FIRST_SECONDS)
            sock.sendall(_ANSWER)

    def timed(self, patience=2000):
        """Ask and give the status and the seconds until it came."""
        began = time.monotonic()
        head, _body = self.read(self.send_request(timeout_ms=patience))
        return head.status, time.monotonic() - began

    @parameterized.expand(
        [
            ('plain', 'safe', {}),
            ('stream', 'streaming', {'resumable': True}),
        ],
    )
    def test_asked_again_in_time(self, _name, kind, changed):
        aim = round(_AIM_SECONDS * 1000)
        self.begin(kind, target_latency_ms=aim, timeout_ms=5000, **changed)
        for link in self.links:
            link.stall()
        status, seconds = self.timed(patience=5000)
        self.assertEqual(200, status)
        self.assertLess(seconds, _AIM_SECONDS)

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
    def test_awaited(self, _name, kind, engines, full, changed):
        """It may run where it is, or wait for a place there."""
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

    def test_only_engine_is_awaited(self):
        """Giving it up would end a request that it may well answer."""
        self.begin('safe', engines=1)
        with mock.patch(f'{__name__}._FIRST_SECONDS', 0.4):
            status, _seconds = self.timed()
        self.assertEqual(200, status)

    def test_slow_engines_are_not_asked_twice_for_ever(self):
        """Where all are slow, each request more makes them slower."""
        self.begin('safe')
        before = self.count_engine_requests()
        with mock.patch(f'{__name__}._FIRST_SECONDS', 0.4):
            for _round in range(5):
                calls = [gevent.spawn(self.timed) for _call in range(8)]
                gevent.joinall(calls)
        self.assertLessEqual(self.count_engine_requests() - before, 40 + 10 + 5)


if __name__ == '__main__':
    unittest.main()
