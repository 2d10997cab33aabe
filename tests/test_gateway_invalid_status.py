"""Answers whose status is outside 100 to 599 are no answers.

Guards against requests that wait out their time behind one, and against clients
that get it as an answer.
"""

import unittest

import gevent
from bendlead_gateway.http import HttpConnection, ResponseError
from bendlead_gateway.types import EngineId
from bendlead_platform import PlatformStore
from bendlead_store import FailureKind, HttpStore, Version, clock
from parameterized import parameterized

from tests.gateway_cases import EntryCase, OwnerCase
from tests.gateway_standins import (
    ScriptedPeer,
    chunked,
    event,
    eventually,
    route,
)
from tests.test_own_face_cut_heads import CuttingEngine

_INVALID = [('000',), ('001',), ('099',), ('600',), ('999',)]
_SOUND = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
_EVENTS = chunked(event(1, 'a'), event(2, 'b'))
#: Far below the time of a request, which is 2 s.
_AT_ONCE_SECONDS = 0.5


def invalid(status, framing=b'Content-Length: 2'):
    """Return an answer with a status."""
    return b'HTTP/1.1 %b Odd\r\n%b\r\n\r\nno' % (status.encode(), framing)


def waiting(status):
    """Return a script that answers so and keeps the connection open."""

    def script(sock, _request):
        sock.sendall(invalid(status))
        gevent.sleep(5)

    return script


class ConnectionTest(unittest.TestCase):
    """The reader of gateway processes."""

    @parameterized.expand(_INVALID)
    def test_no_answer(self, status):
        peer = CuttingEngine(invalid(status))
        self.addCleanup(peer.close)
        connection = HttpConnection(peer.address, 1)
        self.addCleanup(connection.close)
        connection.send('GET', '/', [], b'', 1)
        with self.assertRaisesRegex(ResponseError, 'status'):
            connection.read_head(5)
        self.assertFalse(connection.reusable)

    @parameterized.expand([('100',), ('102',), ('199',)])
    def test_interim_answer_is_skipped(self, status):
        interim = b'HTTP/1.1 %b Odd\r\n\r\n' % status.encode()
        peer = CuttingEngine(interim + _SOUND)
        self.addCleanup(peer.close)
        connection = HttpConnection(peer.address, 1)
        self.addCleanup(connection.close)
        connection.send('GET', '/', [], b'', 1)
        self.assertEqual(200, connection.read_head(5).status)


class EntryTest(EntryCase):
    """What callers get beside an engine that answers so."""

    def ask(self, changed, odd, sound):
        """Have the first engine answer so; return the answer and seconds."""
        self.start(changed, answers=[odd, sound])
        self.entry.fleet.loads.own.online[EngineId('i-1')] += 3
        began_at = clock.uptime()
        answer = self.read(self.send_request())
        return answer, clock.uptime() - began_at

    @parameterized.expand(_INVALID)
    def test_safe_request_goes_to_another_engine(self, status):
        (head, body), seconds = self.ask(route('safe'), waiting(status), _SOUND)
        self.assertEqual((200, b'ok'), (head.status, body))
        self.assertLess(seconds, _AT_ONCE_SECONDS)

    @parameterized.expand(_INVALID)
    def test_stream_goes_to_another_engine(self, status):
        changed = route('streaming', resumable=True)
        (head, body), seconds = self.ask(changed, waiting(status), _EVENTS)
        self.assertEqual(200, head.status)
        self.assertEqual(event(1, 'a') + event(2, 'b'), body)
        self.assertLess(seconds, _AT_ONCE_SECONDS)

    @parameterized.expand(_INVALID)
    def test_unsafe_request_may_have_run(self, status):
        """Not sent again, and no promise that it has not run."""
        answer, seconds = self.ask(route('unsafe'), waiting(status), _SOUND)
        self.assertEqual(502, answer[0].status)
        self.assertLess(seconds, _AT_ONCE_SECONDS)
        self.assertEqual(1, self.count_engine_requests())


class ItemTest(OwnerCase):
    """Items run again behind such an answer."""

    @parameterized.expand(_INVALID)
    def test_item_is_completed(self, status):
        self.configure([invalid(status), _EVENTS])
        owner = self.start_sole_owner()
        self.submit(owner)
        results = eventually(lambda: self.results(owner), 5)
        self.assertEqual('a\nb', results[0]['text'])


class StoreTest(unittest.TestCase):
    """What the object service did is not known."""

    @parameterized.expand(_INVALID)
    def test_write_may_have_taken_effect(self, status):
        for connect in (PlatformStore, lambda address: HttpStore(address, 1)):
            peer = ScriptedPeer([])
            self.addCleanup(peer.close)
            peer.run(
                [
                    lambda sock, peer=peer: (
                        peer.read_request(sock),
                        sock.sendall(invalid(status)),
                    )
                ]
                * 4
            )
            written = connect(peer.address).put('kind/k', b'x', Version(2))
            self.assertIs(FailureKind.UNKNOWN, written.err_value.kind)
