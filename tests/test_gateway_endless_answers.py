"""Peers whose bytes have no end, in a head or a body.

Guards against readers that only limit the time of each read: a peer that always
sends something was never timed out, and what it sent was kept.
"""

import tracemalloc
import unittest

import gevent
from bendlead_gateway._fleet.peer_call import call_peer
from bendlead_gateway._http.parsing import InvalidRequestError, RequestParser
from bendlead_gateway.http import HttpConnection, ResponseError
from bendlead_gateway.types import ClientLimits
from bendlead_platform import PlatformStore
from parameterized import parameterized

from tests.gateway_standins import ScriptedPeer, engine, event, eventually
from tests.gateway_standins import route as make_route
from tests.test_gateway_crashes import CrashCase

_TIMEOUT = 0.5
#: Far above the timeout, far below the end of a test.
_ENDED_WITHIN = 2.0
_MAX_BYTES = 16_000_000
_LONG_TARGET_MS = 3000
_OK = b'HTTP/1.1 200 OK\r\n'
_CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'
_POST = b'POST / HTTP/1.1\r\n' + _CHUNKED
_NOT_RUN = b'HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n\r\n'

#: Name, what comes first, and what is repeated without an end.
_HEADS = (
    ('head_lines', _OK, b'X-A: b\r\n'),
    ('head_line', _OK + b'X-A: ', b'a'),
    ('status_line', b'HTTP/1.1 200 ', b'a'),
    ('interim', b'', b'HTTP/1.1 102 Processing\r\n\r\n'),
)
_BODIES = (
    ('refusal', _NOT_RUN, b'a'),
    ('failure', b'HTTP/1.1 500 Error\r\n\r\n', b'a'),
    ('plain', _OK + b'\r\n', b'a'),
    ('trailer', _OK + _CHUNKED + b'1\r\na\r\n0\r\n', b'X-A: b\r\n'),
    ('trailer_line', _OK + _CHUNKED + b'1\r\na\r\n0\r\nX-A: ', b'a'),
    ('extension', _OK + _CHUNKED + b'1;', b'a'),
)
_EVENTS = (
    ('comments', _OK + b'Content-Type: text/event-stream\r\n\r\n', b': a\n\n'),
    ('event', _OK + b'Content-Type: text/event-stream\r\n\r\ndata: ', b'a'),
    ('surplus', _OK + b'X-Attempt-Id: other\r\n\r\n', b'a'),
)


def with_pace(*tables):
    """Return each row for a fast and for a slow peer."""
    return [
        (f'{name}_{pace}', first, unit, pace)
        for table in tables
        for name, first, unit in table
        for pace in ('fast', 'slow')
    ]


def send_without_end(sock, first, unit, pace):
    """Write until the caller closes."""
    sock.sendall(first)
    many = unit * (16_384 // len(unit))
    while True:
        if pace == 'fast':
            sock.sendall(many)
            gevent.sleep(0)
        else:
            for byte in unit:
                sock.sendall(bytes([byte]))
                gevent.sleep(0.1)


class EndlessPeer(ScriptedPeer):
    """Peer that answers each request without an end."""

    def __init__(self, first, unit, pace):
        self.closed = 0
        self._endless = (first, unit, pace)
        super().__init__([self._answer] * 200)

    def _answer(self, sock):
        self.read_request(sock)
        try:
            send_without_end(sock, *self._endless)
        finally:
            self.closed += 1


class EndlessCase(unittest.TestCase):
    """Check the time and the memory that an answer without an end takes."""

    def peer(self, first, unit, pace):
        """Start a peer."""
        peer = EndlessPeer(first, unit, pace)
        self.addCleanup(peer.close)
        return peer

    def assert_bounded(self, call):
        """Check that a call ends in time without much memory."""
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        with gevent.Timeout(_ENDED_WITHIN, AssertionError('did not end')):
            call()
        _size, peak = tracemalloc.get_traced_memory()
        self.assertLess(peak, _MAX_BYTES)


class ConnectionTest(EndlessCase):
    """Readers of a connection."""

    @parameterized.expand(with_pace(_HEADS))
    def test_head(self, _name, first, unit, pace):
        peer = self.peer(first, unit, pace)

        def call():
            connection = HttpConnection(peer.address, 1)
            connection.send('GET', '/', [], b'', 1)
            with self.assertRaises(ResponseError):
                connection.read_head(_TIMEOUT)
            connection.close()

        self.assert_bounded(call)
        eventually(lambda: peer.closed)

    @parameterized.expand(with_pace(_BODIES))
    def test_body(self, _name, first, unit, pace):
        peer = self.peer(first, unit, pace)

        def call():
            connection = HttpConnection(peer.address, 1)
            connection.send('GET', '/', [], b'', 1)
            head = connection.read_head(_TIMEOUT)
            with self.assertRaises(ResponseError):
                connection.read_body(head, _TIMEOUT)
            self.assertFalse(connection.reusable)
            connection.close()

        self.assert_bounded(call)
        eventually(lambda: peer.closed)

    @parameterized.expand(with_pace(_HEADS, _BODIES))
    def test_own_process(self, _name, first, unit, pace):
        peer = self.peer(first, unit, pace)

        def call():
            with self.assertRaises(OSError):
                call_peer(peer.address, 'GET', '/', b'', _TIMEOUT)

        self.assert_bounded(call)
        eventually(lambda: peer.closed)

    @parameterized.expand(with_pace(_HEADS, _BODIES))
    def test_object_service(self, _name, first, unit, pace):
        peer = self.peer(first, unit, pace)
        store = PlatformStore(peer.address)
        self.assert_bounded(
            lambda: self.assertTrue(store.fetch('kind/name').is_err())
        )
        eventually(lambda: peer.closed)

    def test_whole_body_above_the_limit_is_passed_on_in_parts(self):
        """A large body is no fault where it is not kept."""
        length = 3 * _MAX_BYTES

        def script(sock):
            peer.read_request(sock)
            sock.sendall(_OK + b'Content-Length: %d\r\n\r\n' % length)
            for _part in range(24):
                sock.sendall(b'a' * (length // 24))

        peer = ScriptedPeer([script])
        self.addCleanup(peer.close)
        connection = HttpConnection(peer.address, 1)
        self.addCleanup(connection.close)
        connection.send('GET', '/', [], b'', 1)
        head = connection.read_head(1)
        self.assertEqual(length, sum(map(len, connection.read_parts(head, 1))))


class RequestTest(EndlessCase):
    """Requests without an end, which callers may send as well."""

    @parameterized.expand(
        [
            ('lines', b'GET / HTTP/1.1\r\n', b'X-A: b\r\n'),
            ('line', b'GET / HTTP/1.1\r\nX-A: ', b'a'),
            ('target', b'GET /', b'a'),
            ('method', b'', b'A'),
            ('trailer', _POST + b'1\r\na\r\n0\r\n', b'X-A: b\r\n'),
            ('trailer_line', _POST + b'1\r\na\r\n0\r\nX-A: ', b'a'),
            ('extension', _POST + b'1;', b'a'),
        ]
    )
    def test_request_is_rejected(self, _name, first, unit):
        parser = RequestParser(ClientLimits, lambda: 1)
        many = unit * (16_384 // len(unit))

        def call():
            parser.feed(first)
            for _part in range(64):
                parser.feed(many)

        with self.assertRaises(InvalidRequestError):
            self.assert_bounded(call)

    def test_long_body_in_small_parts_is_read(self):
        parser = RequestParser(ClientLimits, lambda: 1)
        parser.feed(b'POST / HTTP/1.1\r\nContent-Length: 900000\r\n\r\n')
        for _part in range(900):
            parser.feed(b'a' * 1000)
        self.assertEqual(1, len(parser.complete_requests))


class CallerTest(CrashCase):
    """What callers get while one engine sends without an end."""

    def start(self, first, unit, pace, **changed):
        """Start an engine without an end and a sound one."""
        self.endless = EndlessPeer(first, unit, pace)
        self.addCleanup(self.endless.close)
        self.configure(make_route(**changed), engines=1)
        self.store.set('servers', 'i-endless', engine(self.endless.address))
        self.engines.append(self.engines[0])

    def assert_closed(self):
        """Check that the peer hears that nobody reads any more."""
        eventually(lambda: self.endless.closed >= len(self.endless.requests), 4)

    @parameterized.expand(with_pace(_HEADS, _BODIES))
    def test_plain_request_goes_to_another_engine(
        self, name, first, unit, pace
    ):
        changed = {}
        if name.startswith('refusal'):
            # By a shorter target a late one is passed on to try another entry.
            changed['target_latency_ms'] = _LONG_TARGET_MS
        self.start(first, unit, pace, kind='safe', max_attempts=2, **changed)
        entry = self.entry()
        with gevent.Timeout(20, AssertionError('did not end')):
            statuses = [self.ask(entry, b'sound') for _request in range(4)]
        if name == 'plain_slow':
            # Nothing tells it from an answer that is whole at the deadline.
            self.assertTrue(set(statuses) <= {200, 504}, statuses)
        else:
            self.assertEqual({200}, set(statuses))
        self.assert_closed()

    @parameterized.expand(with_pace(_HEADS, _EVENTS))
    def test_resumable_stream_goes_to_another_engine(
        self, _name, first, unit, pace
    ):
        self.start(first, unit, pace, kind='streaming', resumable=True)
        entry = self.entry()
        with gevent.Timeout(20, AssertionError('did not end')):
            statuses = [self.ask(entry, b'sound') for _request in range(4)]
        self.assertEqual({200}, set(statuses))
        self.assert_closed()

    @parameterized.expand(with_pace(_HEADS, _EVENTS))
    def test_item_is_completed(self, _name, first, unit, pace):
        self.start(first, unit, pace, kind='batch', max_attempts=3)
        owner = self.owner()
        self.submit(owner, b'one', b'two')
        done = eventually(
            lambda: len(self.results(owner)) == 2 and self.results(owner), 12
        )
        self.assertEqual({'completed'}, {one['state'] for one in done})
        self.assert_closed()

    @parameterized.expand([('event', _EVENTS[1]), ('plain', _BODIES[2])])
    def test_twenty_at_once(self, _name, row):
        """Memory stays bounded however many answers have no end."""
        _label, first, unit = row
        self.start(first, unit, 'fast', kind='safe', max_attempts=1)
        entry = self.entry()
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        tasks = [
            gevent.spawn(self.ask, entry, b'sound') for _request in range(20)
        ]
        gevent.joinall(tasks, 10, raise_error=True)
        _size, peak = tracemalloc.get_traced_memory()
        self.assertLess(peak, 10 * _MAX_BYTES)

    def test_long_stream_of_short_events_is_whole(self):
        """Only one event, a head and what is kept are limited, not a stream."""
        events = b''.join(event(number, 'a' * 999) for number in range(3000))

        def script(sock):
            peer.read_request(sock)
            sock.sendall(_OK + b'Content-Length: %d\r\n\r\n' % len(events))
            sock.sendall(events)

        peer = ScriptedPeer([script])
        self.addCleanup(peer.close)
        self.configure(make_route('streaming', resumable=True), engines=0)
        self.store.set('servers', 'i-0', engine(peer.address))
        self.engines.append(peer)
        entry = self.entry()
        connection = self.begin(entry)
        head = connection.read_head(3)
        self.assertEqual(events, b''.join(connection.read_parts(head, 3)))


if __name__ == '__main__':
    unittest.main()
