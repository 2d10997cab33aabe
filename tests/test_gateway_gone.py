"""A client that has closed: nothing of its request goes on."""

import unittest

import gevent
from gevent import socket
from parameterized import parameterized

from tests.gateway_cases import EntryCase
from tests.gateway_standins import (
    FullListener,
    ScriptedPeer,
    chunked,
    engine,
    event,
    route,
)

#: The rule's bound on what still runs for a client that has closed (s).
_GONE_SECONDS = 0.5
_SEAL = 'X-Response-Seal: s1\r\n'
_BEGUN = chunked(event(1, 'a'), headers=_SEAL, last=False)
_PART = event(2, 'b' * 4000)
_CHUNK = b'%x\r\n%b\r\n' % (len(_PART), _PART)
_PLAIN = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
_REQUEST = (
    b'POST /x/1 HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: %b\r\n'
    b'X-Deadline-Ms: 4000\r\nContent-Length: 2\r\n\r\nhi'
)
_FIRST = _REQUEST % b'id1'
_SECOND = _REQUEST % b'id2'


def _close(client):
    client.close()


def _half_close(client):
    client.shutdown(socket.SHUT_WR)


class ClientGoneTest(EntryCase):
    """Close at some moment and look at what the engine sees then."""

    def setUp(self):
        super().setUp()
        self.ended = []

    def begin(self, script, kind='streaming', count=4):
        """Start an engine that follows a script until its caller is gone."""

        def whole(sock):
            if peer.read_request(sock):
                script(sock)
                self.ended.append(sock.recv(1))

        peer = ScriptedPeer([whole] * count)
        self.addCleanup(peer.close)
        self.engines.append(peer)
        self.store.set('servers', 'i-0', engine(peer.address))
        self.start(route(kind), others=1)

    def connect(self):
        """Connect to the entry as a client."""
        host, port = self.entry.settings.clients_address.split(':')
        client = socket.create_connection((host, int(port)))
        self.addCleanup(client.close)
        return client

    @parameterized.expand(
        [
            ('silent_engine', 'streaming', b'', _close),
            ('silent_engine_half_closed', 'streaming', b'', _half_close),
            ('silent_engine_plain', 'safe', b'', _close),
            ('stream_under_way', 'streaming', _BEGUN, _close),
            ('stream_half_closed', 'streaming', _BEGUN, _half_close),
            ('plain_under_way', 'safe', _BEGUN, _close),
        ],
    )
    def test_engine_is_stopped(self, _name, kind, sent, leave):
        self.begin(lambda sock: sock.sendall(sent), kind)
        client = self.connect()
        client.sendall(_FIRST + _SECOND)
        gevent.sleep(0.1)
        leave(client)
        gevent.sleep(_GONE_SECONDS)
        self.assertEqual([b''], self.ended)
        # What was pipelined behind it is not sent either.
        self.assertEqual(1, self.sent())

    def test_client_that_reads_nothing(self):
        """Its answer fills all buffers, and then it closes."""
        written = []

        def flood(sock):
            sock.sendall(_BEGUN)
            while True:
                sock.sendall(_CHUNK)
                written.append(len(_CHUNK))

        self.begin(flood)
        client = self.connect()
        client.sendall(_FIRST)
        gevent.sleep(0.3)
        client.close()
        gevent.sleep(_GONE_SECONDS)
        before = len(written)
        gevent.sleep(0.2)
        self.assertEqual(before, len(written))
        self.assertFalse(self.entry._clients.busy)

    def test_gave_up_before_it_was_read(self):
        self.begin(lambda sock: sock.sendall(_PLAIN), 'safe')
        client = self.connect()
        client.sendall(_FIRST)
        client.close()
        gevent.sleep(_GONE_SECONDS)
        self.assertEqual(0, self.sent())

    def test_closed_while_connecting(self):
        """The engine's machine takes the connection only later."""
        listener = FullListener()
        self.addCleanup(listener.close)
        self.store.set('servers', 'i-0', engine(listener.address))
        self.start(route('safe'), others=1)
        client = self.connect()
        client.sendall(_FIRST)
        gevent.sleep(0.05)
        client.close()
        got = []
        taking = gevent.spawn(self._take_all, listener.sock, got)
        gevent.sleep(1.5)
        taking.kill()
        self.assertEqual(b'', b''.join(got))

    def _take_all(self, listener, got):
        while True:
            sock, _peer = listener.accept()
            gevent.spawn(self._take, sock, got)

    def _take(self, sock, got):
        got.append(sock.recv(100))


if __name__ == '__main__':
    unittest.main()
