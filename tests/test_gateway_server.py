"""The server's side of connections: one answer after another, then an end."""

import time
import unittest

import gevent
from bendlead_gateway._http.server import HttpServer
from bendlead_gateway.types import ClientLimits
from gevent import socket

from tests.gateway_standins import free_port

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


if __name__ == '__main__':
    unittest.main()
