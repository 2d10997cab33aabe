"""An engine that resets its connection inside an answer has failed."""

import struct
import unittest

import gevent
from bendlead_gateway._fleet.peer_call import call_peer
from bendlead_gateway.http import HttpConnection, ResponseError
from bendlead_platform import PlatformStore
from gevent import socket
from parameterized import parameterized

from tests.gateway_cases import EntryCase, OwnerCase
from tests.gateway_standins import (
    ScriptedPeer,
    chunked,
    configuration,
    engine,
    event,
    eventually,
    route,
)

_FIRST = event(1, 'a')
_WHOLE = _FIRST + event(2, 'b')
_TAIL = chunked(event(2, 'b'))
_OK = 'HTTP/1.1 200 OK\r\n'
_PLAIN = f'{_OK}Content-Length: 2\r\n\r\nok'.encode()
_LENGTH = f'{_OK}Content-Length: 99\r\n\r\n'.encode()
_NEITHER = f'{_OK}\r\n'.encode()
_REFUSAL = (
    b'HTTP/1.1 503 x\r\nX-Not-Executed: 1\r\nContent-Length: 9\r\n\r\nfull'
)
_ERROR = b'HTTP/1.1 500 x\r\nContent-Length: 9\r\n\r\nwhy'
_SURPLUS = (
    b'HTTP/1.1 200 OK\r\nX-Attempt-Id: old\r\nContent-Length: 9\r\n\r\nol'
)
#: Bytes that have not been read yet are lost with a reset.
_PAUSE_SECONDS = 0.05
_RESET = struct.pack('ii', 1, 0)


def reset(sock):
    """Have the connection reset when it is closed."""
    gevent.sleep(_PAUSE_SECONDS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)


def resetting(sent):
    """Return a script that sends some bytes and resets the connection."""

    def script(sock, _request):
        sock.sendall(sent)
        reset(sock)

    return script


def framings(body):
    """Return rows of a response with this body, by its framing."""
    return [
        ('length', _LENGTH + body),
        # An empty chunk would be the last one.
        ('chunks', chunked(*filter(None, [body]), last=False)),
        ('neither', _NEITHER + body),
    ]


class ResetCase(EntryCase):
    """Starts engines of which the first resets its connections."""

    def start_resetting(self, changed, sent, *others):
        """Start the engines; the one that resets is asked first."""
        self.start(changed, answers=[resetting(sent), *others])
        if others:
            self.entry.fleet.loads.own.online['i-1'] += 3
        self.broken = []
        suspects = self.entry.fleet.suspects
        suspects.crash_detector.record_broken = lambda _engine, broken: (
            self.broken.append(broken)
        )

    def check_noticed(self, step='body'):
        """Check that the failure was counted, and held against the engine."""
        self.assertEqual(1, self.entry.metrics.engine_failures[step])
        self.assertEqual(1, len(self.broken))
        self.assertEqual(0, self.entry.metrics.requests['client_gone'])


class ResetStreamTest(ResetCase):
    @parameterized.expand(
        [
            *framings(_FIRST),
            *((f'{name}_inside', sent) for name, sent in framings(b'id: 1')),
            *((f'{name}_no_event', sent) for name, sent in framings(b'')),
        ],
    )
    def test_looks_broken(self, _name, sent):
        self.start_resetting(route('streaming'), sent)
        with self.assertRaises(ResponseError):
            self.read(self.send_request())
        self.check_noticed()
        eventually(lambda: self.entry.metrics.requests['broken_off'] == 1)

    @parameterized.expand(framings(_FIRST + b'id: 2\nda'))
    def test_resumable_stream_goes_on(self, _name, sent):
        changed = route('streaming', resumable=True)
        self.start_resetting(changed, sent, _TAIL)
        self.assertEqual(_WHOLE, self.read(self.send_request())[1])
        self.check_noticed()

    def test_reset_inside_the_head(self):
        self.start_resetting(route('streaming'), _LENGTH[:20])
        head, _body = self.read(self.send_request())
        self.assertEqual(502, head.status)
        self.check_noticed('head')


class ResetAnswerTest(ResetCase):
    @parameterized.expand(framings(b'ha'))
    def test_safe_request_is_retried(self, _name, sent):
        self.start_resetting(route('safe'), sent, _PLAIN)
        head, got = self.read(self.send_request())
        self.assertEqual((200, b'ok'), (head.status, got))
        self.check_noticed()

    @parameterized.expand(framings(b'ha'))
    def test_unsafe_request_has_no_known_outcome(self, _name, sent):
        self.start_resetting(route('unsafe'), sent, _PLAIN)
        head, _body = self.read(self.send_request())
        self.assertEqual(502, head.status)
        self.check_noticed()
        self.assertEqual(1, self.count_engine_requests())

    def test_error_of_the_engine(self):
        self.start_resetting(route('unsafe'), _ERROR)
        head, _body = self.read(self.send_request())
        self.assertEqual(502, head.status)

    def test_refusal_is_still_one(self):
        """Its head says that the request has not run."""
        changed = route('unsafe', max_attempts=1)
        self.start_resetting(changed, _REFUSAL, _PLAIN)
        head, got = self.read(self.send_request())
        self.assertEqual((200, b'ok'), (head.status, got))
        self.assertEqual([], self.broken)

    def test_surplus_answer(self):
        self.start_resetting(route('safe'), _SURPLUS, _PLAIN)
        head, got = self.read(self.send_request())
        self.assertEqual((200, b'ok'), (head.status, got))
        self.check_noticed('head')


class ResetItemTest(OwnerCase):
    @parameterized.expand(framings(_FIRST + b'id: 2\nda'))
    def test_item_goes_on(self, _name, sent):
        config = configuration(1, route('batch', max_attempts=3))
        self.store.set('config', 'main', config)

        def script(sock):
            request = peer.read_request(sock)
            if len(peer.requests) == 1:
                sock.sendall(sent)
                reset(sock)
            else:
                self.assertIn(b'Last-Event-Id: 1', request)
                sock.sendall(_TAIL)

        peer = ScriptedPeer([script] * 9)
        self.addCleanup(peer.close)
        self.store.set('servers', 'i-1', engine(peer.address))
        owner = self.start_sole_owner()
        self.submit(owner)
        eventually(lambda: self.results(owner))
        self.assertEqual('a\nb', self.results(owner)[0]['text'])


class OwnCallTest(unittest.TestCase):
    """Calls to other processes and to the object service report a reset."""

    def setUp(self):
        def script(sock):
            self.peer.read_request(sock)
            sock.sendall(_LENGTH + b'{')
            reset(sock)

        self.peer = ScriptedPeer([script])
        self.addCleanup(self.peer.close)

    def test_client(self):
        connection = HttpConnection(self.peer.address, 1)
        self.addCleanup(connection.close)
        with self.assertRaises(ResponseError):
            connection.request('GET', '/', timeout=1)
        self.assertFalse(connection.reusable)

    def test_peer(self):
        with self.assertRaises(ResponseError):
            call_peer(self.peer.address, 'GET', '/', b'', 1)

    def test_object_service(self):
        store = PlatformStore(self.peer.address)
        self.assertTrue(store.fetch('config/main').is_err())


class ShortDeadlineTest(EntryCase):
    """A free engine takes over though less time is left than usual."""

    def test_request_is_sent_again(self):
        self.start(
            route('safe', target_latency_ms=600),
            answers=[reset_at_once, _PLAIN],
        )
        for _request in range(3):
            head, body = self.read(self.send_request(timeout_ms=550))
            self.assertEqual((200, b'ok'), (head.status, body))


def reset_at_once(sock, _request):
    """Reset the connection without a response."""
    reset(sock)
