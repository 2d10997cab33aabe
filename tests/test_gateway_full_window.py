"""Clients that rest with a full window, and clients that lost power."""

import ctypes
import socket as stdlib_socket
import struct
import time
import unittest

import gevent
from bendlead_gateway._http.server import HttpServer
from bendlead_gateway.types import ClientLimits
from bendlead_testing.ports import free_port
from gevent import socket
from parameterized import parameterized

from tests.gateway_cases import EntryCase
from tests.gateway_standins import chunked, event, eventually, route

_REQUEST = b'GET /1 HTTP/1.1\r\nHost: a\r\n\r\n'
_CLIENT_BUFFER_BYTES = 65_536
_READ_BYTES = 1_000_000
#: Beyond the client's buffer, within the server's.
_BUFFERED_BYTES = 300_000
#: Beyond both.
_BLOCKING_BYTES = 16_000_000
#: Longer than TCP_USER_TIMEOUT, less than the write timeout.
_REST_SECONDS = 2.5
#: Less than the write timeout.
_NOTICED_SECONDS = 4.0
#: The client sends nothing more itself behind this time.
_ACKNOWLEDGED_SECONDS = 0.3
_EVENT = b'id: 1\ndata: x\n\n'
_EVENTS = 20_000
_SO_ATTACH_FILTER = 26
#: BPF program of one instruction, which drops each packet.
_DROP = ctypes.create_string_buffer(struct.pack('HBBI', 6, 0, 0, 0))


def respond_buffered(_request, responder):
    """Respond with a body that the server's buffer takes at once."""
    responder.answer(200, (), b'x' * _BUFFERED_BYTES)


def respond_blocking(_request, responder):
    """Respond with a body that waits for the client to read."""
    responder.answer(200, (), b'x' * _BLOCKING_BYTES)


def stream_events(_request, responder):
    """Send many small events at once."""
    responder.start(200, 'OK', (), len(_EVENT) * _EVENTS)
    for _event in range(_EVENTS):
        responder.write(_EVENT)
    responder.finish()


def stream_slowly(_request, responder):
    """Send an event now and then, without an end."""
    responder.start(200, 'OK', (), None)
    while True:
        responder.write(_EVENT)
        gevent.sleep(0.05)


def respond_never(_request, _responder):
    """Keep the client waiting."""
    gevent.sleep(_REST_SECONDS + _NOTICED_SECONDS * 2)


class WindowCase(unittest.TestCase):
    """Starts a server and connects a client with a small buffer."""

    def connect(self, answer):
        """Have a client send a request."""
        address = f'127.0.0.1:{free_port()}'
        self.server = HttpServer(address, answer, ClientLimits, time.monotonic)
        self.server.start()
        self.addCleanup(self.server.stop_accepting)
        host, port = address.split(':')
        self.client = socket.socket()
        self.addCleanup(self.client.close)
        self.client.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _CLIENT_BUFFER_BYTES
        )
        self.client.connect((host, int(port)))
        self.client.settimeout(3)
        self.client.sendall(_REQUEST)

    def read(self, size):
        """Read a body of a size, and the head before it."""
        received = self.client.recv(4096)
        missing = size + received.index(b'\r\n\r\n') + 4 - len(received)
        gevent.sleep(_REST_SECONDS)
        while missing:
            part = self.client.recv(min(missing, _READ_BYTES))
            self.assertTrue(part)
            missing -= len(part)

    def cut_power(self):
        """Have the client's kernel ignore all that it is sent."""
        program = struct.pack('HL', 1, ctypes.addressof(_DROP))
        self.client.setsockopt(
            stdlib_socket.SOL_SOCKET, _SO_ATTACH_FILTER, program
        )

    def assert_noticed(self):
        """Check that the connection ends sooner than by the write timeout."""
        eventually(lambda: not self.server._connections, _NOTICED_SECONDS)


class RestTest(WindowCase):
    """A client that takes nothing for a while gets the complete response."""

    @parameterized.expand(
        [
            ('whole_in_buffers', respond_buffered, _BUFFERED_BYTES),
            ('whole_beyond_buffers', respond_blocking, _BLOCKING_BYTES),
            ('events', stream_events, len(_EVENT) * _EVENTS),
        ]
    )
    def test_response_is_complete(self, _name, answer, size):
        self.connect(answer)
        self.read(size)

    def test_next_response_on_the_connection_is_complete(self):
        self.connect(respond_buffered)
        for _repeat in range(2):
            self.read(_BUFFERED_BYTES)
            self.client.sendall(_REQUEST)


class RelayTest(EntryCase):
    """The engine's connection waits as well while a client rests."""

    def test_relayed_stream_is_complete(self):
        events = b''.join(
            event(number, 'x' * 10_000)
            for number in range(1, _BLOCKING_BYTES // 10_000)
        )
        changed = route('streaming', timeout_ms=20_000)
        self.start(changed, answers=[chunked(events)])
        connection = self.send_request(timeout_ms=20_000)
        gevent.sleep(_REST_SECONDS)
        self.assertEqual(events, self.read(connection)[1])


class SilenceTest(WindowCase):
    """A client that lost power is noticed, so that its engine is freed."""

    @parameterized.expand(
        [
            ('waiting', respond_never, _ACKNOWLEDGED_SECONDS),
            ('in_a_stream', stream_slowly, _ACKNOWLEDGED_SECONDS),
            ('full_window', respond_blocking, _ACKNOWLEDGED_SECONDS),
            ('full_window_for_a_while', respond_blocking, 1.0),
            # Just behind a probe, with 1.6 s until the next one.
            ('full_window_between_probes', respond_blocking, 1.7),
        ]
    )
    def test_is_noticed(self, _name, answer, after):
        unanswered = []
        self.connect(answer)
        self.server.events.unanswered = unanswered.append
        gevent.sleep(after)
        self.cut_power()
        self.assert_noticed()
        self.assertEqual(1, len(unanswered))

    def test_is_noticed_behind_a_rest(self):
        """Guards against a limit for rests that stays behind them."""
        answers = [respond_buffered, respond_never]
        self.connect(lambda *both: answers.pop(0)(*both))
        self.read(_BUFFERED_BYTES)
        # The connection is looked at every 0.2 s.
        gevent.sleep(1)
        self.client.sendall(_REQUEST)
        gevent.sleep(_ACKNOWLEDGED_SECONDS)
        self.cut_power()
        self.assert_noticed()


if __name__ == '__main__':
    unittest.main()
