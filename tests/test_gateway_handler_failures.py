"""Unforeseen exceptions while a request is served.

Whatever raises, the client gets the certainty there is, on-call gets one line,
and the engine's slot and connection are given back.
"""

import contextlib
from unittest import mock

import gevent
from bendlead_gateway._entry import EntryNode
from bendlead_gateway.http import HttpConnection, ResponseError
from bendlead_gateway.types import NodeRole
from bendlead_platform import PlatformDialect, PlatformStore
from parameterized import parameterized

from tests.gateway_cases import EntryCase, OwnerCase, job
from tests.gateway_standins import (
    chunked,
    event,
    eventually,
    route,
    settings,
)

_SEAL = 'X-Response-Seal: s1\r\n'
_STREAM = chunked(event(1, 'a'), event(2, 'b'), headers=_SEAL)
_FIRST_HALF = chunked(event(1, 'a'), headers=_SEAL, last=False)
_REST = b'%x\r\n%b\r\n0\r\n\r\n' % (len(event(2, 'b')), event(2, 'b'))


def _fail(*_args, **_more):
    raise KeyError('i-9')


def _in_halves(sock, _request):
    sock.sendall(_FIRST_HALF)
    gevent.sleep(0.1)
    sock.sendall(_REST)
    sock.recv(1)


class OnlineFailureTest(EntryCase):
    """Failures by the step that raises."""

    @parameterized.expand(
        [
            ('authenticating', '_admission.authenticate', 503, 0),
            ('choosing', 'fleet.balancer.choose', 503, 0),
            ('connecting', 'fleet.pool.acquire', 503, 0),
            ('reading_the_head', 'dialect.engine_answer', 500, 1),
        ]
    )
    def test_before_the_response(self, _name, step, status, sent):
        self.start(route('unsafe', max_attempts=1), answers=[_STREAM, _STREAM])
        with self._failing(step):
            head, _body = self.read(self.send_request())
        self.assertEqual(status, head.status)
        self.assertEqual(status == 503, bool(head.find('retry-after')))
        self.assertEqual(sent, self.count_engine_requests())
        self._assert_released()

    @parameterized.expand(
        [
            ('reading_the_head', 'dialect.engine_answer', _STREAM),
            ('inside_the_response', 'fleet.pace.observe_gap', _in_halves),
        ]
    )
    def test_engine_that_crashes_then(self, _name, step, answer):
        """Guards against a crash that is tied to no request."""
        self.start(route('streaming'), answers=[answer])
        detector = self.entry.fleet.suspects.crash_detector
        with self._failing(step), contextlib.suppress(OSError):
            self.read(self.send_request())
        self.assertEqual(1, len(detector._abandoned))

    def test_after_a_run(self):
        """An earlier engine may have run it, so nothing is promised."""
        self.start(route('safe'), answers=[b'no answer', b'no answer'])
        choose = self.entry.fleet.balancer.choose
        with mock.patch.object(
            self.entry.fleet.balancer,
            'choose',
            side_effect=lambda service, tried, **more: (
                _fail() if tried else choose(service, tried, **more)
            ),
        ):
            head, _body = self.read(self.send_request())
        self.assertEqual(500, head.status)
        self.assertEqual(1, self.count_engine_requests())

    @parameterized.expand([('resumable', True), ('not_resumable', False)])
    def test_inside_the_response(self, _name, resumable):
        """The response does not look complete."""
        self.start(
            route('streaming', resumable=resumable), answers=[_in_halves]
        )
        with self._failing('fleet.pace.observe_gap'):
            connection = self.send_request()
            head = connection.read_head(3)
            with self.assertRaises(ResponseError):
                for _part in connection.read_parts(head, 3):
                    pass
        self.assertEqual(200, head.status)
        self._assert_released()

    def test_after_the_response(self):
        """A complete response stays complete, and its connection open."""
        self.start(route('safe'), answers=[_STREAM])
        with self._failing('fleet.pace.observe_run'):
            connection = self.send_request()
            head, body = self.read(connection)
        self.assertEqual(200, head.status)
        self.assertIn(event(2, 'b'), body)
        self._assert_released()

    def test_next_request_is_served(self):
        """The engine is taken for as healthy as before."""
        self.start(route('safe'), answers=[_STREAM])
        with self._failing('dialect.engine_answer'):
            self.read(self.send_request())
        head, _body = self.read(self.send_request())
        self.assertEqual(200, head.status)
        self.assertEqual([], self._lines('engine-failed'))

    def _failing(self, step):
        """Make a step of the entry raise."""
        *path, name = step.split('.')
        owner = self.entry
        for attribute in path:
            owner = getattr(owner, attribute)
        # Instances with slots can't be patched.
        return mock.patch.object(type(owner), name, side_effect=_fail)

    def _assert_released(self):
        lines = eventually(lambda: self._lines('handler-failed'))
        self.assertEqual(1, len(lines))
        self.assertIn(' request=id1 ', lines[0])
        self.assertIn(' error=KeyError ', lines[0])
        self.assertIn(f' at="{__name__}:_fail:', lines[0])
        self.assertFalse(any(self.entry.fleet.loads.own.online.values()))
        self.assertEqual([], self._lines('engine-failed'))

    def _lines(self, kind):
        recent = self.entry.log.recent
        return [line for line in recent if f'event={kind} ' in line]


class EngineConnectionTest(EntryCase):
    """The engine hears of a failure by the end of its connection."""

    def test_connection_is_closed(self):
        closed = []

        def answer(sock, _request):
            sock.sendall(_FIRST_HALF)
            closed.append(sock.recv(1))

        self.start(route('streaming'), answers=[answer])
        with mock.patch.object(
            self.entry.fleet, 'observe_stream', side_effect=_fail
        ):
            head, _body = self.read(self.send_request())
        self.assertEqual(500, head.status)
        self.assertEqual([b''], eventually(lambda: closed))


class JobCallFailureTest(OwnerCase):
    """A job call whose handler fails; a 503 says that no job was taken."""

    def setUp(self):
        super().setUp()
        self.configure()
        self.owner = self.start_sole_owner()

    def start_entry(self):
        """Start an entry that knows the owner of the shards."""
        own = settings('entry-1', NodeRole.ENTRY, self.store.address)
        entry = EntryNode(
            own, PlatformStore(own.store_address), PlatformDialect()
        )
        entry.serve()
        eventually(lambda: entry.fleet.configuration.current)
        eventually(lambda: entry.peers.claims.owner(0))
        return entry

    def submit_by(self, entry):
        """Submit a job by way of an entry; return the head."""
        connection = HttpConnection(entry.settings.clients_address, 1)
        self.addCleanup(connection.close)
        headers = [('Host', 'a.example'), ('X-Attempt-Id', 'j1')]
        return connection.request('POST', '/x/j1', headers, job(), 4).head

    @parameterized.expand(
        [
            ('authenticating', '_admission', 'authenticate', 503),
            ('choosing_the_owner', '_relay', '_try_known_owner', 503),
            ('sending', '_relay', '_send', 500),
            ('answering', '_relay', '_respond', 500),
        ]
    )
    def test_entry(self, _name, part, step, status):
        entry = self.start_entry()
        with mock.patch.object(getattr(entry, part), step, side_effect=_fail):
            head = self.submit_by(entry)
        self.assertEqual(status, head.status)
        self.assertEqual(status == 503, bool(head.find('retry-after')))
        self._assert_logged(entry)

    def test_owner(self):
        """A job may be in the log already when its owner fails."""
        entry = self.start_entry()
        with mock.patch.object(self.owner._runner, 'wake', side_effect=_fail):
            head = self.submit_by(entry)
        self.assertEqual(500, head.status)
        self._assert_logged(self.owner)
        self.assertEqual(202, self.submit_by(entry).status)

    def _assert_logged(self, node):
        found = [
            line
            for line in node.log.recent
            if 'event=handler-failed' in line and ' request=j1 ' in line
        ]
        self.assertEqual(1, len(found))
