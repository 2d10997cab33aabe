"""HTTP server: connections, timeouts and the connection limit."""

import errno
import time
import unittest
from unittest import mock

import gevent
from bendlead_gateway._http import server as server_module
from bendlead_gateway._http.messages import Certainty
from bendlead_gateway._http.server import HttpServer
from bendlead_gateway.types import ClientLimits
from bendlead_testing.ports import free_port
from gevent import socket
from parameterized import parameterized

_LIMITS = ClientLimits()
_FIRST = b'GET /1 HTTP/1.1\r\nHost: a\r\n\r\n'
_SHORT_IDLE_SECONDS = 0.2
#: Less than the server's write timeout.
_FULL_WINDOW_SECONDS = 2.5
_REST_BYTES = 1_000_000
_SECOND = b'GET /2 HTTP/1.1\r\nHost: a\r\n\r\n'


class ConnectionTest(unittest.TestCase):
    """A connection that is closed after its first response."""

    def setUp(self):
        self.handled = []
        address = f'127.0.0.1:{free_port()}'
        self.server = HttpServer(
            address, self._answer, lambda: _LIMITS, time.monotonic
        )
        self.server.start()
        self.addCleanup(self.server.stop_accepting)
        host, port = address.split(':')
        self.client = socket.create_connection((host, int(port)))
        self.addCleanup(self.client.close)

    def test_no_request_is_handled_after_the_last_response(self):
        """A pipelined request that cannot be answered must not be handled."""
        self.client.sendall(_FIRST + _SECOND)
        self.client.settimeout(1)
        received = b''
        while part := self.client.recv(4096):
            received += part
        self.assertEqual(1, received.count(b'HTTP/1.1 200'))
        self.assertEqual(['/1'], self.handled)

    def _answer(self, request, responder):
        self.handled.append(request.target)
        responder.close_after()
        responder.answer(200)


class IdleTimeoutTest(unittest.TestCase):
    """Timeout of an idle keep-alive connection."""

    def test_timeout_starts_at_the_response(self):
        """Time spent on a slow response must not count as idle time."""
        limits = ClientLimits(idle_seconds=1.0)
        address = f'127.0.0.1:{free_port()}'
        server = HttpServer(
            address, self._respond_slowly, lambda: limits, time.monotonic
        )
        server.start()
        self.addCleanup(server.stop_accepting)
        host, port = address.split(':')
        client = socket.create_connection((host, int(port)))
        self.addCleanup(client.close)
        client.settimeout(3)
        client.sendall(_FIRST)
        self.assertIn(b'HTTP/1.1 200', client.recv(4096))
        gevent.sleep(0.5)
        client.sendall(_SECOND)
        self.assertIn(b'HTTP/1.1 200', client.recv(4096))
        # The idle timeout still closes the connection.
        self.assertEqual(b'', client.recv(4096))

    def _respond_slowly(self, _request, responder):
        gevent.sleep(0.8)
        responder.answer(200)


class ClientDisconnectTest(unittest.TestCase):
    """A client disconnects at the moment its first response ends."""

    @parameterized.expand([('client_first', True), ('response_first', False)])
    def test_next_request_is_not_handled(self, _name, client_first):
        for _repeat in range(10):
            self._disconnect(client_first)

    def _disconnect(self, client_first):
        handled = []
        inner, outer = socket.socketpair()

        def answer(request, responder):
            handled.append(request.target)
            if request.target == '/1':
                inner.recv(1)
            responder.answer(200)

        address = f'127.0.0.1:{free_port()}'
        server = HttpServer(address, answer, lambda: _LIMITS, time.monotonic)
        server.start()
        host, port = address.split(':')
        client = socket.create_connection((host, int(port)))
        client.sendall(_FIRST + _SECOND)
        gevent.sleep(0.02)
        steps = [client.close, lambda: outer.sendall(b'x')]
        for step in steps if client_first else reversed(steps):
            step()
        gevent.sleep(0.02)
        server.stop_accepting()
        self.assertEqual(['/1'], handled)


def _raise(_request, _responder):
    raise ValueError('scripted')


def _raise_where_not_run(_request, responder):
    responder.certainty = Certainty.NOT_RUN
    raise ValueError('scripted')


def _raise_in_a_header(_request, responder):
    responder.answer(200, [('X-Name', 'caf\u00e9 \u2603')])


def _raise_midway(_request, responder):
    responder.start(200, 'OK', (), length=None)
    responder.write(b'abc')
    raise ValueError('scripted')


def _return_only(_request, _responder):
    """Return without a response."""


class FailingHandlerTest(unittest.TestCase):
    """The client of a failed handler gets what is certain, then the end."""

    @parameterized.expand(
        [
            ('unknown', _raise, b'HTTP/1.1 500 ', True),
            ('not_run', _raise_where_not_run, b'HTTP/1.1 503 ', True),
            ('unsendable', _raise_in_a_header, b'HTTP/1.1 500 ', True),
            ('no_response', _return_only, b'HTTP/1.1 500 ', True),
            ('midway', _raise_midway, b'HTTP/1.1 200 ', False),
        ]
    )
    def test_response(self, _name, answer, status, complete):
        address = f'127.0.0.1:{free_port()}'
        server = HttpServer(address, answer, lambda: _LIMITS, time.monotonic)
        server.start()
        self.addCleanup(server.stop_accepting)
        host, port = address.split(':')
        client = socket.create_connection((host, int(port)), 1)
        self.addCleanup(client.close)
        failures = []
        server.events.handler_failed = failures.append
        client.sendall(_FIRST)
        received = b''
        while part := client.recv(4096):
            received += part
        self.assertTrue(received.startswith(status))
        ends = received.endswith((b'\r\n\r\n', b'0\r\n\r\n'))
        self.assertEqual(complete, ends)
        self.assertEqual(b' 503 ' in status, b'Retry-After' in received)
        self.assertEqual(0, server.busy)
        self.assertEqual(1, len(failures))

    def test_complete_response(self):
        """A failure behind the response leaves the connection as it is."""

        def answer(_request, responder):
            responder.answer(200)
            raise ValueError('scripted')

        address = f'127.0.0.1:{free_port()}'
        server = HttpServer(address, answer, lambda: _LIMITS, time.monotonic)
        server.start()
        self.addCleanup(server.stop_accepting)
        host, port = address.split(':')
        client = socket.create_connection((host, int(port)), 1)
        self.addCleanup(client.close)
        for _repeat in range(2):
            client.sendall(_FIRST)
            self.assertIn(b'HTTP/1.1 200', client.recv(4096))


class AcceptTest(unittest.TestCase):
    """Accepting connections after errors and at the connection limit."""

    def start(self, max_connections=1_000_000):
        """Create a server that responds immediately."""
        address = f'127.0.0.1:{free_port()}'
        self.server = HttpServer(
            address,
            lambda _request, responder: responder.answer(200),
            lambda: _LIMITS,
            time.monotonic,
            max_connections,
        )
        host, port = address.split(':')
        self.address = host, int(port)

    def get(self):
        """Send a request on a new connection; return it and the response."""
        client = socket.create_connection(self.address, 1)
        self.addCleanup(client.close)
        client.sendall(_FIRST)
        client.settimeout(1)
        return client, client.recv(4096)

    @parameterized.expand(
        [
            ('no_descriptors', errno.EMFILE),
            ('no_memory', errno.ENOBUFS),
            ('peer_disconnected', errno.ECONNABORTED),
        ]
    )
    def test_accepts_after_error(self, _name, number):
        self.start()
        listener = self.server._sock
        failures = [OSError(number, 'scripted')] * 3

        class Listener:
            """Listener whose first calls of accept fail."""

            def accept(self):
                """Raise a scripted error or accept a connection."""
                if failures:
                    raise failures.pop()
                return listener.accept()

        self.server._sock = Listener()
        self.server.start()
        _client, response = self.get()
        self.assertIn(b'HTTP/1.1 200', response)
        listener.close()

    def test_idle_connection_is_closed_at_the_limit(self):
        """Idle connections must not use up the connection limit."""
        self.start(max_connections=2)
        self.server.start()
        kept = [self.get()[0] for _number in range(2)]
        _client, response = self.get()
        self.assertIn(b'HTTP/1.1 200', response)
        self.assertEqual(b'', kept[0].recv(1))
        kept[1].sendall(_FIRST)
        self.assertIn(b'HTTP/1.1 200', kept[1].recv(4096))


class SlowReaderTest(unittest.TestCase):
    """A client that reads slowly gets the complete response."""

    def test_timeout_applies_to_each_write(self):
        """The write timeout must not limit the time for the whole response."""
        body = b'x' * 16_000_000
        address = f'127.0.0.1:{free_port()}'
        server = HttpServer(
            address,
            lambda _request, responder: responder.answer(200, (), body),
            lambda: _LIMITS,
            time.monotonic,
        )
        server.start()
        self.addCleanup(server.stop_accepting)
        host, port = address.split(':')
        client = socket.socket()
        self.addCleanup(client.close)
        # A small buffer, so that the server has to wait for the reader.
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
        client.connect((host, int(port)))
        client.settimeout(3)
        client.sendall(_FIRST)
        count = 0
        with mock.patch.object(server_module, '_WRITE_TIMEOUT_SECONDS', 2):
            while count < len(body) and (part := client.recv(100_000)):
                count += len(part)
                gevent.sleep(0.025)
        self.assertGreater(count, len(body))

    def test_idle_timeout_does_not_apply(self):
        """A client may rest for longer than its connection may be idle."""
        body = b'x' * 16_000_000
        address = f'127.0.0.1:{free_port()}'
        server = HttpServer(
            address,
            lambda _request, responder: responder.answer(200, (), body),
            lambda: ClientLimits(idle_seconds=_SHORT_IDLE_SECONDS),
            time.monotonic,
        )
        server.start()
        self.addCleanup(server.stop_accepting)
        host, port = address.split(':')
        client = socket.socket()
        self.addCleanup(client.close)
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
        client.connect((host, int(port)))
        client.settimeout(3)
        client.sendall(_FIRST)
        count = 0
        # More than one rest, as a read timeout must come in between.
        rests = [_REST_BYTES, 2 * _REST_BYTES]
        while count < len(body):
            if rests and count > rests[0]:
                rests.pop(0)
                gevent.sleep(_SHORT_IDLE_SECONDS * 3)
            part = client.recv(_REST_BYTES)
            if not part:
                break
            count += len(part)
        self.assertGreater(count, len(body))

    def test_client_may_rest_within_the_write_timeout(self):
        """A connection with a full window must not end sooner."""
        body = b'x' * 16_000_000
        address = f'127.0.0.1:{free_port()}'
        server = HttpServer(
            address,
            lambda _request, responder: responder.answer(200, (), body),
            ClientLimits,
            time.monotonic,
        )
        server.start()
        self.addCleanup(server.stop_accepting)
        host, port = address.split(':')
        client = socket.socket()
        self.addCleanup(client.close)
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
        client.connect((host, int(port)))
        client.settimeout(3)
        client.sendall(_FIRST)
        count = len(client.recv(_REST_BYTES))
        gevent.sleep(_FULL_WINDOW_SECONDS)
        while count < len(body) and (part := client.recv(1_000_000)):
            count += len(part)
        self.assertGreater(count, len(body))


if __name__ == '__main__':
    unittest.main()
