"""An entry between clients and scripted engines, in one process."""

import dataclasses
import random
import time
import unittest
from unittest import mock

import gevent
from bendlead_gateway._entry import EntryNode
from bendlead_gateway.http import BrokenAnswerError, HttpConnection
from bendlead_gateway.types import NodeRole
from bendlead_platform import PlatformDialect, PlatformStore
from bendlead_schema.gateway import NodeReport
from bendlead_testing.platform_store import PlatformStandIn, Trouble
from bendlead_testing.ports import free_port
from parameterized import parameterized

from tests.gateway_standins import (
    FullListener,
    ScriptedPeer,
    chunked,
    configuration,
    engine,
    event,
    eventually,
    route,
    settings,
)

_SEAL = 'X-Response-Seal: s1\r\n'
_SHED = b'HTTP/1.1 503 x\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n'
_MOVED = b'HTTP/1.1 421 x\r\nX-Instance-Id: i-9\r\nContent-Length: 0\r\n\r\n'
_WHOLE = chunked(event(1, 'a'), event(2, 'b'), headers=_SEAL)
_TAIL = chunked(event(2, 'b'), headers='X-Response-Seal: s2\r\n')
_CUT = chunked(event(1, 'a'), headers=_SEAL, last=False)
_MID_EVENT = chunked(event(1, 'a') + b'id: 2\nda', headers=_SEAL, last=False)
_PLAIN = (
    b'HTTP/1.1 200 OK\r\nX-Response-Seal: s1\r\nContent-Length: 2\r\n\r\nok'
)
_ERROR = b'HTTP/1.1 500 x\r\nX-Response-Seal: s1\r\nContent-Length: 0\r\n\r\n'
_STREAM = event(1, 'a') + event(2, 'b')


class EntryCase(unittest.TestCase):
    """Start a store, scripted engines and an entry."""

    def setUp(self):
        self.store = PlatformStandIn(f'127.0.0.1:{free_port()}')
        self.store.start()
        self.engines = []

    def start(self, *routes, answers=(), others=0, **changed):
        """Start engines that each give their answers, and the entry.

        What is given by name changes the settings of the entry.
        """
        for number, given in enumerate(answers):
            self._start_engine(number, given)
        self.store.set('config', 'main', configuration(1, *routes))
        made = settings('entry-1', NodeRole.ENTRY, self.store.address)
        made = dataclasses.replace(made, **changed)
        store = PlatformStore(made.store_address)
        self.entry = EntryNode(made, store, PlatformDialect())
        self.entry.serve()
        eventually(
            lambda: (
                self.entry.fleet.configuration.known
                and len(self.entry.fleet.engines.all()) == len(answers) + others
            )
        )

    def hold(self):
        """Wait until the watch of the configuration is held by the store."""
        eventually(lambda: self.entry.fleet.config_watch.holding)
        gevent.sleep(0.1)

    def ask(self, path='/x/1', patience=2000, extra=()):
        """Send one request and give the connection."""
        connection = HttpConnection(self.entry.settings.clients_address, 1)
        self.addCleanup(connection.close)
        headers = [
            ('Host', 'a.example'),
            ('X-Attempt-Id', 'id1'),
            ('X-Deadline-Ms', str(patience)),
            *extra,
        ]
        connection.send('POST', path, headers, b'prompt', 1)
        return connection

    def read(self, connection):
        """Read a whole answer."""
        head = connection.read_head(3)
        return head, b''.join(connection.read_parts(head, 3))

    def sent(self):
        """Count the requests that reached engines."""
        return sum(len(one.requests) for one in self.engines)

    def _start_engine(self, number, given):
        def script(sock):
            request = peer.read_request(sock)
            if callable(given):
                given(sock, request)
            elif given:
                sock.sendall(given)
            if given is None:
                # The engine stays silent.
                gevent.sleep(5)

        peer = ScriptedPeer([script] * 4)
        self.addCleanup(peer.close)
        self.engines.append(peer)
        self.store.set('servers', f'i-{number}', engine(peer.address))


class OutcomeTest(EntryCase):
    """What clients get for what engines do."""

    @parameterized.expand(
        [
            ('stream', 'streaming', {}, [_WHOLE], 200, _STREAM, 1),
            ('plain', 'safe', {}, [_PLAIN], 200, b'ok', 1),
            (
                'shed_goes_elsewhere',
                'unsafe',
                {'max_attempts': 1},
                [_SHED, _PLAIN],
                200,
                b'ok',
                None,
            ),
            (
                'moved_goes_elsewhere',
                'unsafe',
                {'max_attempts': 1},
                [_MOVED, _PLAIN],
                200,
                b'ok',
                None,
            ),
            ('all_shed', 'unsafe', {}, [_SHED, _SHED], 503, b'', 2),
            (
                'unsafe_lost',
                'unsafe',
                {'max_attempts': 3},
                [b'', b''],
                502,
                b'',
                1,
            ),
            ('safe_lost_once', 'safe', {}, [b'', _PLAIN], 200, b'ok', None),
            ('safe_lost_twice', 'safe', {}, [b'', b'', b''], 502, b'', 2),
            (
                'stream_lost',
                'streaming',
                {'max_attempts': 3},
                [b'', b''],
                502,
                b'',
                1,
            ),
            (
                'safe_error_replaced',
                'safe',
                {},
                [_ERROR, _PLAIN],
                200,
                b'ok',
                None,
            ),
            ('unsafe_error_passed', 'unsafe', {}, [_ERROR], 500, b'', 1),
            (
                'resumed',
                'streaming',
                {'resumable': True},
                [_CUT, _TAIL],
                200,
                _STREAM,
                2,
            ),
            (
                'resumed_mid_event',
                'streaming',
                {'resumable': True},
                [_MID_EVENT, _TAIL],
                200,
                _STREAM,
                2,
            ),
        ],
    )
    def test_outcome(self, name, kind, changed, answers, status, body, sends):
        self.start(route(kind, **changed), answers=answers)
        if name.startswith('resumed'):
            # The engine that breaks off has to be the first one asked.
            self.entry.fleet.loads.own.online['i-1'] += 3
        head, got = self.read(self.ask())
        self.assertEqual((status, body), (head.status, got))
        if sends is not None:
            self.assertEqual(sends, self.sent())
        if status == 503:
            self.assertGreater(float(head.find('retry-after')), 0)
        if status == 200:
            self.assertEqual('s1', head.find('x-response-seal'))

    def test_few_descriptors(self):
        """Fewer than are kept for engines and the store leave some."""
        self.start(route('safe'), answers=[_PLAIN], descriptors=400)
        head, _body = self.read(self.ask())
        self.assertEqual(200, head.status)

    def test_resume_asks_behind_the_last_event(self):
        changed = route('streaming', resumable=True)
        self.start(changed, answers=[_CUT, _TAIL])
        self.entry.fleet.loads.own.online['i-1'] += 3
        self.read(self.ask())
        self.assertIn(b'Last-Event-Id: 1', self.engines[1].requests[0])
        self.assertIn(b'X-Expect-Instance: i-1', self.engines[1].requests[0])

    def test_broken_stream_does_not_look_complete(self):
        self.start(route('streaming'), answers=[_CUT])
        with self.assertRaises(BrokenAnswerError):
            self.read(self.ask())

    @parameterized.expand([('route', 300, 5000), ('client', 5000, 300)])
    def test_time_is_up(self, _name, timeout, patience):
        self.start(route('unsafe', timeout_ms=timeout), answers=[None])
        head, _body = self.read(self.ask(patience=patience))
        self.assertEqual(504, head.status)
        left = self.engines[0].requests[0].split(b'X-Deadline-Ms: ')[1]
        self.assertLessEqual(int(left.split(b'\r\n')[0]), 300)

    def test_client_that_left_stops_the_engine(self):
        gone = []

        def script(sock):
            peer.read_request(sock)
            sock.sendall(_CUT)
            gone.append(sock.recv(1))

        peer = ScriptedPeer([script])
        self.addCleanup(peer.close)
        self.store.set('servers', 'i-0', engine(peer.address))
        self.start(route('streaming'), others=1)
        connection = self.ask()
        connection.read_head(1)
        connection.close()
        eventually(lambda: gone, 0.4)
        self.assertEqual([b''], gone)


class UnreachableTest(EntryCase):
    """Connections to an engine that don't come up."""

    def begin(self, answers, **changed):
        """List an engine that takes no connection, the first one asked."""
        listener = FullListener()
        self.addCleanup(listener.close)
        self.store.set('servers', 'i-9', engine(listener.address))
        self.start(route('unsafe', **changed), answers=answers, others=1)
        for number in range(len(answers)):
            self.entry.fleet.loads.own.online[f'i-{number}'] += 3

    def test_another_one_is_asked_in_time(self):
        self.begin([_PLAIN])
        began = time.monotonic()
        head, _body = self.read(self.ask())
        self.assertEqual(200, head.status)
        self.assertLess(time.monotonic() - began, 0.3)

    @parameterized.expand(
        [('while_connecting', 100, 503), ('too_short', 10, 503)]
    )
    def test_time_is_up_before_any_offer(self, _name, patience, status):
        """It surely has not run, and the answer says so."""
        self.begin([])
        head, _body = self.read(self.ask(patience=patience))
        self.assertEqual(status, head.status)


class OverloadTest(EntryCase):
    """A request that would be late is refused early and truly."""

    @parameterized.expand(
        [
            ('free_place', 7, 2000, 200),
            ('short_wait', 9, 2000, 200),
            ('long_wait', 14, 2000, 503),
            ('short_wait_and_it_came_back', 9, 1500, 200),
            ('long_wait_but_it_came_back', 14, 1500, 503),
        ],
    )
    def test_admission(self, _name, online, patience, status):
        self.start(route('safe'), answers=[_PLAIN, _PLAIN])
        self.entry.fleet.health.run_seconds = 0.5
        # A first request shows how long a fresh client waits.
        self.read(self.ask(patience=2000))
        before = self.sent()
        self.entry.fleet.health.run_seconds = 0.5
        for name in ('i-0', 'i-1'):
            self.entry.fleet.loads.own.online[name] += online
        head, _body = self.read(self.ask(patience=patience))
        self.assertEqual(status, head.status)
        if status == 503:
            self.assertGreater(float(head.find('retry-after')), 0.2)
            self.assertEqual(before, self.sent())

    @parameterized.expand(
        [
            ('at_the_earliest', 6000, 0.0, 0.44),
            ('in_the_middle', 6000, 0.5, 1.22),
            ('at_the_latest', 6000, 1.0, 2.0),
            ('it_has_hardly_time', 700, 1.0, 0.44),
        ],
    )
    def test_return_time(self, _name, patience, drawn, expected):
        """Clients return apart, within the time that they heed."""
        self.start(route('safe'), answers=[_PLAIN])
        self.entry.fleet.health.run_seconds = 0.5
        self.entry.fleet.loads.own.online['i-0'] = 14
        with mock.patch.object(random, 'random') as chance:
            chance.return_value = drawn
            head, _body = self.read(self.ask(patience=patience))
        self.assertEqual(503, head.status)
        told = float(head.find('retry-after'))
        self.assertAlmostEqual(expected, told, delta=0.1)


class RoutingTest(EntryCase):
    """Which configuration and which engines are in force."""

    def test_unknown_route(self):
        self.start(route('safe'), answers=[_PLAIN])
        head, _body = self.read(self.ask('/other/1'))
        self.assertEqual(404, head.status)

    def test_unknown_route_while_the_store_is_away(self):
        self.start(route('safe'), answers=[_PLAIN])
        self.entry.fleet.config_watch._current = False
        self.store.trouble = Trouble.AWAY
        head, _body = self.read(self.ask('/other/1'))
        self.assertEqual(503, head.status)

    def test_new_configuration_and_no_way_back(self):
        self.start(route('safe'), answers=[_PLAIN])
        self.store.set(
            'config', 'main', configuration(3, route('safe', path_prefix='/y/'))
        )
        eventually(lambda: self.entry.fleet.configuration.known.version == 3)
        self.store.set('config', 'main', configuration(2, route('safe')))
        gevent.sleep(0.1)
        self.assertEqual(3, self.entry.fleet.configuration.known.version)
        head, _body = self.read(self.ask('/x/1'))
        self.assertEqual(404, head.status)

    def test_history_gone(self):
        self.start(route('safe'), answers=[_PLAIN])
        self.store.set('config', 'main', configuration(3, route('safe')))
        self.store.forget_history()
        eventually(lambda: self.entry.fleet.configuration.known.version == 3)

    def test_draining_engine_gets_nothing(self):
        self.start(route('safe'), answers=[_PLAIN, _PLAIN])
        address = self.engines[0].address
        self.store.set('servers', 'i-0', engine(address, state='draining'))
        eventually(lambda: len(self.entry.fleet.engines.ready('s1')) == 1)
        for _attempt in range(3):
            self.read(self.ask())
        self.assertEqual([], self.engines[0].requests)

    @parameterized.expand(
        [
            ('store_was_away', Trouble.AWAY, 1.4, 2),
            ('watch_was_cut', Trouble.CUT, 0.1, 1),
            ('only_the_history_was_gone', Trouble.NONE, 0, 1),
        ],
    )
    def test_engine_missing_after(self, _name, trouble, away, kept):
        self.start(route('safe'), answers=[_PLAIN, _PLAIN])
        self.store.trouble = trouble
        self.store.remove('servers', 'i-0', unseen=True)
        self.store.forget_history()
        gevent.sleep(away)
        self.store.trouble = Trouble.NONE
        watch = self.entry.fleet.engines_watch
        gevent.sleep(0.05)
        eventually(lambda: watch.current)
        self.assertEqual(kept, len(self.entry.fleet.engines.all()))
        eventually(lambda: len(self.entry.fleet.engines.all()) == 1, 3)

    @parameterized.expand(
        [
            ('one_leaves', 4, 1, 3),
            ('one_of_two_leaves', 2, 1, 1),
            ('half_of_them_vanish', 4, 2, 4),
            ('all_vanish', 3, 3, 3),
            ('the_only_one_vanishes', 1, 1, 1),
        ],
    )
    def test_engines_that_vanish(self, _name, listed, removed, kept):
        """A held watch that outlives an outage tells of all that lapsed."""
        self.start(route('safe'), answers=[_PLAIN] * listed)
        for number in range(removed):
            self.store.remove('servers', f'i-{number}')
        gevent.sleep(0.4)
        self.assertEqual(kept, len(self.entry.fleet.engines.ready('s1')))
        gevent.sleep(1.5)
        left = len(self.entry.fleet.engines.ready('s1'))
        self.assertEqual(listed - removed, left)

    @parameterized.expand([('soon', 0.4), ('after_the_slowest', 1.66)])
    def test_lapsed_engine_that_is_listed_again(self, _name, seconds):
        """Those that live were seen back up to 1.66 s after the news."""
        self.start(route('safe'), answers=[_PLAIN] * 2)
        for number in range(2):
            self.store.remove('servers', f'i-{number}')
        gevent.sleep(seconds)
        self.assertEqual(2, len(self.entry.fleet.engines.ready('s1')))
        self.store.set('servers', 'i-0', engine(self.engines[0].address))
        gevent.sleep(2 - seconds)
        names = [one.engine for one in self.entry.fleet.engines.ready('s1')]
        self.assertEqual(['i-0'], names)

    def test_one_watcher_asks_while_the_store_is_away(self):
        self.start(route('safe'), answers=[_PLAIN])
        self.store.trouble = Trouble.AWAY
        self.store.forget_history()
        self.store.set('config', 'main', configuration(2, route('safe')))
        watches = [
            self.entry.fleet.config_watch,
            self.entry.fleet.engines_watch,
            self.entry.peers_watch,
        ]
        # Each of them fails once by itself before it waits for the others,
        # and its pause grows to its longest, 0.2 to 0.6 s, within 2 s.
        eventually(lambda: not any(one.current for one in watches))
        gevent.sleep(2)
        before = len(self.store.calls)
        gevent.sleep(2)
        self.assertLessEqual(len(self.store.calls) - before, 10)
        self.store.trouble = Trouble.NONE
        eventually(lambda: all(one.current for one in watches), 1.5)

    @parameterized.expand([('told_by_a_peer', True), ('not_told', False)])
    def test_watch_that_has_fallen_silent(self, _name, told):
        """Its connection is open and says nothing more: peers know better."""
        self.start(route('safe'), answers=[_PLAIN])
        self.hold()
        self.store.trouble = Trouble.SILENT
        self.store.set('config', 'main', configuration(2, route('safe')))
        holder = self.entry.fleet.configuration
        eventually(lambda: holder.known.version == 2)
        gevent.sleep(0.3)
        self.store.trouble = Trouble.NONE
        made = configuration(3, route('safe'))
        revision = self.store.set('config', 'main', made)
        for _report in range(20):
            if told:
                self.entry.fleet.notice(
                    NodeReport(
                        node='entry-2',
                        sound=True,
                        leaving=False,
                        revisions={'config/': revision},
                    )
                )
            gevent.sleep(0.05)
        self.assertEqual(3 if told else 2, holder.known.version)

    @parameterized.expand(
        [
            ('peer_saw_it_end', 400, 100, 3),
            ('peer_is_still_turned_away', 100, 400, 2),
            ('outage_was_before_the_call', 9000, 100, 2),
        ]
    )
    def test_watch_held_over_an_outage(self, _name, failed, answered, version):
        """All watches may have fallen silent: no peer knows a revision."""
        self.start(route('safe'), answers=[_PLAIN])
        self.hold()
        self.store.trouble = Trouble.SILENT
        self.store.set('config', 'main', configuration(2, route('safe')))
        holder = self.entry.fleet.configuration
        eventually(lambda: holder.known.version == 2)
        gevent.sleep(1)
        self.store.trouble = Trouble.NONE
        self.store.set('config', 'main', configuration(3, route('safe')))
        told = NodeReport(
            node='owner-1',
            sound=True,
            leaving=False,
            failed_ms=failed,
            answered_ms=answered,
        )
        self.entry.fleet.notice(told)
        gevent.sleep(0.3)
        self.assertEqual(version, holder.known.version)

    def test_not_ready_before_the_first_configuration(self):
        made = settings('entry-1', NodeRole.ENTRY, self.store.address)
        store = PlatformStore(made.store_address)
        self.entry = EntryNode(made, store, PlatformDialect())
        self.entry.serve()
        self.assertEqual(503, self._ready())
        self.store.set('config', 'main', configuration(1, route('safe')))
        eventually(lambda: self._ready() == 200)
        self.entry.leaving = True
        self.assertEqual(503, self._ready())

    def _ready(self):
        connection = HttpConnection(self.entry.settings.ready_address, 1)
        self.addCleanup(connection.close)
        return connection.request('GET', '/-/readiness').head.status
