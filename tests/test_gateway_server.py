"""The server's side of connections: one answer after another, then an end."""

import errno
import time
import unittest
from unittest import mock

import gevent
from bendlead_gateway._http import server as server_module
from bendlead_gateway._http.server import HttpServer
from bendlead_gateway.types import ClientLimits
from bendlead_testing.ports import free_port
from gevent import socket
from parameterized import parameterized

_LIMITS = ClientLimits()
_FIRST = b'GET /1 HTTP/1.1\r\nHost: a\r\n\r\n'
_SECOND = b'GET /2 HTTP/1.1\r\nHost: a\r\n\r\n'


class ConnectionTest(unittest.TestCase):
    """Start a server whose handler keeps what it was given."""

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

    def test_nothing_is_handled_behind_the_last_answer(self):
        """Who can't be answered any more must not be served."""
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


class RestTest(unittest.TestCase):
    """A kept connection rests between an answer and the next request."""

    def test_rest_counts_from_the_answer(self):
        """However long the answer took, the client may rest in full."""
        limits = ClientLimits(idle_seconds=1.0)
        address = f'127.0.0.1:{free_port()}'
        server = HttpServer(
            address, self._answer_late, lambda: limits, time.monotonic
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
        # What has rested for its time is closed all the same.
        self.assertEqual(b'', client.recv(4096))

    def _answer_late(self, _request, responder):
        gevent.sleep(0.8)
        responder.answer(200)


class ClientLeavesTest(unittest.TestCase):
    """A client closes in the moment in which its first answer ends."""

    @parameterized.expand([('client_first', True), ('answer_first', False)])
    def test_next_request_is_not_handled(self, _name, client_first):
        for _repeat in range(10):
            self._leave(client_first)

    def _leave(self, client_first):
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


class FailingHandlerTest(unittest.TestCase):
    """A request whose handler fails must not hold its client."""

    def test_connection_ends(self):
        def answer(_request, _responder):
            raise ValueError('scripted')

        address = f'127.0.0.1:{free_port()}'
        server = HttpServer(address, answer, lambda: _LIMITS, time.monotonic)
        server.start()
        self.addCleanup(server.stop_accepting)
        host, port = address.split(':')
        client = socket.create_connection((host, int(port)), 1)
        self.addCleanup(client.close)
        client.sendall(_FIRST)
        self.assertEqual(b'', client.recv(4096))
        self.assertEqual(0, server.busy)


class AcceptTest(unittest.TestCase):
    """A server that is up goes on taking connections."""

    def start(self, most=1_000_000):
        """Start a server that answers at once."""
        address = f'127.0.0.1:{free_port()}'
        self.server = HttpServer(
            address,
            lambda _request, responder: responder.answer(200),
            lambda: _LIMITS,
            time.monotonic,
            most,
        )
        host, port = address.split(':')
        self.address = host, int(port)

    def ask(self):
        """Send a request on a new connection and read its answer."""
        client = socket.create_connection(self.address, 1)
        self.addCleanup(client.close)
        client.sendall(_FIRST)
        client.settimeout(1)
        return client, client.recv(4096)

    @parameterized.expand(
        [
            ('no_descriptors', errno.EMFILE),
            ('no_memory', errno.ENOBUFS),
            ('peer_left', errno.ECONNABORTED),
        ]
    )
    def test_goes_on_after(self, _name, number):
        self.start()
        listener = self.server._sock
        failures = [OSError(number, 'scripted')] * 3

        class Listener:
            """Fail a few times before taking connections."""

            def accept(self):
                """Accept, or raise."""
                if failures:
                    raise failures.pop()
                return listener.accept()

        self.server._sock = Listener()
        self.server.start()
        _client, answer = self.ask()
        self.assertIn(b'HTTP/1.1 200', answer)
        listener.close()

    def test_rested_connections_make_room(self):
        """Clients keep connections that they do not use at the moment."""
        self.start(most=2)
        self.server.start()
        kept = [self.ask()[0] for _number in range(2)]
        _client, answer = self.ask()
        self.assertIn(b'HTTP/1.1 200', answer)
        self.assertEqual(b'', kept[0].recv(1))
        kept[1].sendall(_FIRST)
        self.assertIn(b'HTTP/1.1 200', kept[1].recv(4096))


class SlowReaderTest(unittest.TestCase):
    """A client that reads slowly gets the whole answer."""

    def test_reader_that_goes_on(self):
        """The limit is for reading nothing, not for the whole answer."""
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
        # Small, so that the server has to wait for the reader.
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


if __name__ == '__main__':
    unittest.main()
