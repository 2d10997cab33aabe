"""Engines that stop inside an answer's head, through the project's own face."""

import io
import struct
import unittest
from http.client import HTTPResponse, IncompleteRead
from unittest import mock

import gevent
from bendlead_node._common import web
from bendlead_node._common.peer_gate import PeerGate
from bendlead_node._common.telemetry import Journal, Metrics
from bendlead_node._common.web import Route, WebApp, WebServer
from bendlead_node._endpoint.admission import Admission
from bendlead_node._endpoint.controller import FixedLimit
from bendlead_node._endpoint.ends import EngineEnds
from bendlead_node._endpoint.engine import Engine
from bendlead_node._endpoint.online import OnlinePath
from bendlead_node._entry.dispatch import Dispatcher, OnlineRequest
from bendlead_node._entry.members import Members
from bendlead_node._entry.routing import Router
from bendlead_schema.messages import EndpointHeartbeat
from bendlead_store import HttpStore, Version, clock
from gevent import socket
from parameterized import parameterized

from tests.gateway_standins import ScriptedPeer, TaskTracker, event
from tests.test_dispatch import Unsuspected

_KEY = 'key'
_PATH = '/services/s1/a'
_RESET = struct.pack('ii', 1, 0)
_ENDS = ('closed', 'half_closed', 'reset')
_METHODS = ('GET', 'POST', 'PUT', 'DELETE')
_CONNECTIONS = 9000
_STEP = 9
_HEAD = 'HTTP/1.1 200 OK\r\nContent-Type: {}\r\nContent-Length: {}\r\n\r\n'
_EVENTS = event(1, 'a') + b'data: [DONE]\n\n'


def _answer(kind, body):
    return _HEAD.format(kind, len(body)).encode() + body


_PLAIN = _answer('text/plain', b'whole body')
_STREAM = _answer('text/event-stream', _EVENTS)


def _cuts(whole):
    """Return some cuts of the head, and around its end and behind it."""
    head = whole.index(b'\r\n\r\n') + 4
    cuts = {*range(0, head, _STEP), head - 1, head, head + 5, len(whole) - 1}
    return sorted(cuts)


class CuttingEngine:
    """Sends an answer whole, or cut behind some bytes."""

    def __init__(self, whole):
        self.whole = whole
        self.cut = None
        self.end = 'closed'
        self._peer = ScriptedPeer([self._serve] * _CONNECTIONS)
        self.address = self._peer.address
        self.close = self._peer.close

    @property
    def requests(self):
        """Requests so far."""
        return self._peer.requests

    def _serve(self, sock):
        while self._peer.read_request(sock):
            sock.sendall(self.whole[: self.cut])
            if self.cut is None:
                continue
            if self.end == 'half_closed':
                sock.shutdown(socket.SHUT_WR)
                sock.recv(1)
            if self.end == 'reset':
                gevent.sleep(0.002)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
            return


class Received:
    """What a caller reads, taken apart by the standard library."""

    def __init__(self, raw):
        self._raw = raw
        response = HTTPResponse(self)
        response.begin()
        self.status = response.status
        self.framed = response.chunked or response.length is not None
        try:
            self.body = response.read()
        except IncompleteRead:
            self.framed = False
            self.body = b''

    def makefile(self, _mode):
        """Return the bytes as a file."""
        return io.BytesIO(self._raw)


class OwnFaceTest(unittest.TestCase):
    """A caller, an entry, an endpoint process and its engine."""

    def setUp(self):
        tracker = TaskTracker()
        self.addCleanup(tracker.end)

    def start(self, whole, *, stream=False):
        """Start an engine, its endpoint process and an entry."""
        self.engine = CuttingEngine(whole)
        self.addCleanup(self.engine.close)
        endpoint = self.serve(self.endpoint_path().serve)
        members = Members('entry', 10)
        members.hear_endpoint(
            EndpointHeartbeat(
                endpoint='p',
                address=endpoint,
                data_hall='h',
                service='s1',
                models=['m'],
                capacity=4,
                online=0,
                batch=0,
            )
        )
        router = Router(members)
        # Each request goes to the one endpoint, whatever became of others.
        router.failed = lambda _peer: None
        dispatcher = Dispatcher(
            members, router, _KEY, 2, Journal('e'), Metrics(), Unsuspected()
        )

        def handle(call):
            return dispatcher.run(
                OnlineRequest(
                    request='r',
                    team='t',
                    service='s1',
                    model='m',
                    method=call.method,
                    path=_PATH,
                    body=call.body(100),
                    stream=stream,
                    repeatable=False,
                    deadline=clock.uptime() + 5,
                )
            )

        self.entry = self.serve(handle)

    def endpoint_path(self):
        """Return the endpoint process's path of online requests."""
        journal, metrics = Journal('p'), Metrics()
        limit = FixedLimit(1)
        admission = Admission(
            4, 4, limit, lambda _names: None, journal, metrics
        )
        engine = Engine(self.engine.address)
        ends = EngineEnds('p', self.engine.address, lambda: None, journal)
        gate = PeerGate(_KEY, metrics)
        return OnlinePath('s1', gate, admission, engine, limit, metrics, ends)

    def serve(self, handler):
        """Serve a handler and return the address."""
        app = WebApp([Route(method, _PATH, handler) for method in _METHODS])
        # The processes replace the sockets of the standard library.
        with mock.patch.object(web, 'socket', socket):
            server = WebServer('127.0.0.1', 0, app)
        server.start()
        self.addCleanup(server.stop)
        return server.address

    def ask(self, method):
        """Send a request; return what comes until its connection ends."""
        host, port = self.entry.split(':')
        client = socket.create_connection((host, int(port)))
        client.sendall(
            f'{method} {_PATH} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n'
            'Content-Length: 1\r\n\r\nx'.encode()
        )
        raw = b''.join(iter(lambda: client.recv(65536), b''))
        client.close()
        return Received(raw)

    @parameterized.expand([(method,) for method in _METHODS])
    def test_cut_answer_is_none_and_runs_once(self, method):
        self.start(_PLAIN)
        for end in _ENDS:
            for number, cut in enumerate(_cuts(_PLAIN)):
                with self.subTest(end=end, cut=cut):
                    received = self.ask_cut(method, cut, end, kept=number % 2)
                    self.assertEqual(502, received.status)

    @parameterized.expand(
        [
            ('no_content', 204, ''),
            ('no_content_length', 204, 'Content-Length: 0\r\n'),
            ('not_modified', 304, ''),
        ]
    )
    def test_answer_without_a_body_is_whole(self, _name, status, header):
        self.start(f'HTTP/1.1 {status} x\r\n{header}\r\n'.encode())
        for _kept in range(2):
            received = self.ask('DELETE')
            self.assertEqual((status, b''), (received.status, received.body))

    @parameterized.expand([(0,), (1,), (99,), (600,), (999,)])
    def test_status_that_is_none(self, status):
        """Guards against clients that get it as an answer."""
        self.start(_PLAIN.replace(b'200', b'%03d' % status))
        self.assertEqual(502, self.ask('POST').status)
        self.assertEqual(1, len(self.engine.requests))

    def test_cut_stream_is_not_done(self):
        self.start(_STREAM, stream=True)
        for end in _ENDS:
            for number, cut in enumerate(_cuts(_STREAM)):
                with self.subTest(end=end, cut=cut):
                    received = self.ask_cut('POST', cut, end, kept=number % 2)
                    if received.status == 200 and received.framed:
                        self.assertNotIn(b'[DONE]', received.body)
                        self.assertIn(b'outcome_unknown', received.body)

    def ask_cut(self, method, cut, end, kept):
        """Ask once with the answer cut, on new or kept connections."""
        self.engine.cut = None
        if kept:
            self.assertEqual(200, self.ask(method).status)
        before = len(self.engine.requests)
        self.engine.cut, self.engine.end = cut, end
        received = self.ask(method)
        self.assertEqual(before + 1, len(self.engine.requests))
        return received


class StoreTest(unittest.TestCase):
    """A write whose answer is lost is sent once: it may be done already."""

    @parameterized.expand(
        [
            ('put', lambda store: store.put('k', b'x', Version(2))),
            ('delete', lambda store: store.delete('k', Version(2))),
        ]
    )
    def test_write_is_sent_once(self, _name, write):
        peer = CuttingEngine(_PLAIN)
        self.addCleanup(peer.close)
        peer.cut = 0
        self.assertTrue(write(HttpStore(peer.address, 1)).is_err())
        self.assertEqual(1, len(peer.requests))

    @parameterized.expand(
        [
            ('fetch', lambda store: store.fetch('k')),
            ('list', lambda store: store.list_keys('k', '', 9)),
            ('watch', lambda store: store.watch('k', Version(2), 0.1)),
        ]
    )
    def test_read_is_sent_again_once(self, _name, read):
        peer = CuttingEngine(_PLAIN)
        self.addCleanup(peer.close)
        peer.cut = 0
        self.assertTrue(read(HttpStore(peer.address, 1)).is_err())
        self.assertEqual(2, len(peer.requests))


if __name__ == '__main__':
    unittest.main()
