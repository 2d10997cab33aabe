"""Connections that end behind a complete request without its response."""

import contextlib
import time
import unittest
from unittest import mock

import gevent
from bendlead_cli._explain import find_lines
from bendlead_gateway._http import server as server_module
from bendlead_gateway._http.server import HttpServer
from bendlead_gateway.types import ClientLimits
from bendlead_testing.ports import free_port
from gevent import socket
from parameterized import parameterized

from tests.gateway_cases import EntryCase
from tests.gateway_standins import chunked, event, eventually, route

_LIMITS = ClientLimits(body_bytes=1000)
_REQUEST = b'GET /1 HTTP/1.1\r\nHost: a\r\n\r\n'
_SECOND = b'GET /2 HTTP/1.1\r\nHost: a\r\n\r\n'
_INVALID = b'\x01 no request\r\n\r\n'
_TOO_LARGE = b'POST /3 HTTP/1.1\r\nHost: a\r\nContent-Length: 1001\r\n\r\n'
_LARGE_BODY = b'x' * 32_000_000
#: Time for a request to reach its handler.
_BEGUN_SECONDS = 0.05
_WRITE_SECONDS = 0.2


def _wait(_request, _responder):
    gevent.sleep(5)


def _begin(_request, responder):
    responder.start(200, 'OK', (), length=10)
    responder.write(b'abc')
    gevent.sleep(5)


def _begin_and_finish(_request, responder):
    responder.start(200, 'OK', (), length=10)
    responder.write(b'abc')
    gevent.sleep(_BEGUN_SECONDS * 3)
    responder.write(b'defghij')
    responder.finish()


def _abort(_request, responder):
    responder.start(200, 'OK', (), length=10)
    responder.abort('no engine left')


def _raise(_request, responder):
    responder.start(200, 'OK', (), length=10)
    raise KeyError('i-1')


def _answer_last(_request, responder):
    responder.close_after()
    responder.answer(200)


def _answer_soon(_request, responder):
    gevent.sleep(_BEGUN_SECONDS * 3 / 2)
    responder.answer(200)


def _answer_large(_request, responder):
    responder.answer(200, (), _LARGE_BODY)


def _close(client, _server):
    client.close()


def _half_close(client, _server):
    client.shutdown(socket.SHUT_WR)


def _send(later):
    def send(client, _server):
        client.sendall(later)

    return send


def _send_and_close(later):
    def send(client, _server):
        client.sendall(later)
        # The server has read it by then.
        gevent.sleep(_BEGUN_SECONDS)
        client.close()

    return send


def _stop(_client, server):
    server.abort_requests()


def _do_nothing(_client, _server):
    """Leave the end to the server."""


_ENDS = [
    ('client_closes', _wait, _REQUEST, _close, ['/1 client closed']),
    ('half_close', _wait, _REQUEST, _half_close, ['/1 client closed']),
    ('closes_midway', _begin, _REQUEST, _close, ['/1 client closed']),
    (
        'closes_with_one_waiting',
        _wait,
        _REQUEST + _SECOND,
        _close,
        ['/2 client closed', '/1 client closed'],
    ),
    (
        'invalid_bytes_and_closes',
        _wait,
        _REQUEST,
        _send_and_close(_INVALID),
        ['/1 client closed'],
    ),
    (
        'large_body_and_closes',
        _wait,
        _REQUEST,
        _send_and_close(_TOO_LARGE + b'x' * 1001),
        ['/1 client closed'],
    ),
    (
        'one_waiting_before_invalid_bytes',
        _answer_soon,
        _REQUEST + _SECOND,
        _send(_INVALID),
        ['/2 invalid bytes behind the request'],
    ),
    ('aborted', _abort, _REQUEST, _do_nothing, ['/1 aborted by handler']),
    ('handler_error', _raise, _REQUEST, _do_nothing, ['/1 handler error']),
    ('stop_midway', _begin, _REQUEST, _stop, ['/1 process ends']),
    ('stop_before', _wait, _REQUEST, _stop, []),
    (
        'waiting_behind_the_last_response',
        _answer_last,
        _REQUEST + _SECOND,
        _do_nothing,
        ['/2 closed after an earlier response'],
    ),
    (
        'client_does_not_read',
        _answer_large,
        _REQUEST,
        None,
        ['/1 write failed'],
    ),
    ('answered', _answer_last, _REQUEST, _close, []),
    ('invalid_bytes_in_place', _wait, _INVALID, _do_nothing, []),
]


class UnansweredTest(unittest.TestCase):
    """The server tells each end of a connection without a response."""

    def setUp(self):
        self.unanswered = []

    def begin(self, handler, sent):
        """Send bytes to a server with this handler; return the client."""
        address = f'127.0.0.1:{free_port()}'
        self.server = HttpServer(
            address, handler, lambda: _LIMITS, time.monotonic
        )
        self.server.events.unanswered = self.unanswered.append
        self.server.start()
        self.addCleanup(self.server.stop_accepting)
        host, port = address.split(':')
        client = socket.create_connection((host, int(port)), 1)
        self.addCleanup(client.close)
        client.sendall(sent)
        return client

    def told(self):
        """Return the targets and reasons told so far."""
        return [
            f'{one.request.target} {one.end.reason.value}'
            for one in self.unanswered
        ]

    @parameterized.expand(_ENDS)
    def test_end(self, _name, handler, sent, act, expected):
        with mock.patch.object(
            server_module, '_WRITE_TIMEOUT_SECONDS', _WRITE_SECONDS
        ):
            client = self.begin(handler, sent)
            gevent.sleep(_BEGUN_SECONDS)
            if act is None:
                gevent.sleep(_WRITE_SECONDS)
            else:
                act(client, self.server)
            gevent.sleep(_BEGUN_SECONDS)
        self.assertEqual(expected, self.told())

    @parameterized.expand(
        [
            ('invalid_bytes', _answer_soon, _INVALID),
            ('large_body', _answer_soon, _TOO_LARGE + b'x' * 1001),
            ('more_behind', _answer_soon, _INVALID + b'x' * 1_000_000),
            ('begun', _begin_and_finish, _INVALID),
        ]
    )
    def test_request_before_unreadable_bytes_is_answered(
        self, _name, handler, behind
    ):
        """Guards against kept connections that end without an answer."""
        client = self.begin(handler, _REQUEST)
        gevent.sleep(_BEGUN_SECONDS)
        client.sendall(behind)
        received = b''
        with contextlib.suppress(ConnectionResetError):
            while part := client.recv(4096):
                received += part
        self.assertTrue(received.startswith(b'HTTP/1.1 200 OK\r\n'))
        self.assertTrue(received.endswith((b'\r\n\r\n', b'abcdefghij')))
        self.assertEqual(1, received.count(b'HTTP/1.1'))
        self.assertEqual([], self.told())

    def test_sent_bytes(self):
        """What the client got of the response is told."""
        client = self.begin(_begin, _REQUEST)
        gevent.sleep(_BEGUN_SECONDS)
        received = client.recv(4096)
        client.close()
        eventually(lambda: self.unanswered)
        self.assertEqual(len(received), self.unanswered[0].sent_bytes)

    def test_body_budget(self):
        """A request over the body budget is refused, and so not told."""
        self.begin(_wait, b'')
        self.server.body_budget.max_bytes = 5
        self.server.body_budget.used_bytes = 5
        host, port = self.server._sock.getsockname()
        client = socket.create_connection((host, port), 1)
        self.addCleanup(client.close)
        client.sendall(
            b'POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi'
        )
        self.assertIn(b' 503 ', client.recv(4096))
        self.assertEqual(b'', client.recv(4096))
        self.assertEqual([], self.told())

    def test_stop_before_the_task_starts(self):
        """A request in the instant of the stop is handled."""
        handled = []

        def handle(request, responder):
            handled.append(request.target)
            responder.answer(503)

        client = self.begin(handle, b'')
        gevent.sleep(_BEGUN_SECONDS)
        connection = next(iter(self.server._connections))
        connection._feed(_REQUEST)
        connection._start_next()
        self.server.abort_requests()
        self.assertIn(b' 503 ', client.recv(4096))
        self.assertEqual(['/1'], handled)


class UnansweredLogTest(EntryCase):
    """Log lines of streams that end midway."""

    def test_deadline_midway(self):
        """The line of a stream that its deadline ends says so."""

        def answer(sock, _request):
            sock.sendall(chunked(event(1, 'a'), last=False))
            gevent.sleep(2)

        self.start(route('streaming'), answers=[answer])
        connection = self.send_request(timeout_ms=300)
        with self.assertRaises(OSError):
            self.read(connection)
        fields = self._find('id1')[0].fields
        self.assertEqual('deadline passed', fields['detail'])

    def test_explained(self):
        broken = chunked(event(1, 'a'), headers='X-Response-Seal: s\r\n')
        self.start(route('streaming'), answers=[broken[: -len(b'0\r\n\r\n')]])
        connection = self.send_request()
        with self.assertRaises(OSError):
            self.read(connection)
        fields = self._find('id1')[0].fields
        self.assertEqual('aborted by handler', fields['reason'])
        self.assertEqual('/x/1', fields['target'])
        self.assertGreater(int(fields['sent_bytes']), 0)

    def _find(self, name):
        """Return the lines about unanswered requests with this id."""
        return eventually(
            lambda: [
                line
                for line in find_lines(self.entry.log.recent, name)
                if line.event == 'request-unanswered'
            ]
        )


if __name__ == '__main__':
    unittest.main()
