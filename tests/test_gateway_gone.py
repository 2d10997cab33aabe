"""Requests are cancelled when their client closes the connection."""

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

#: Time allowed to stop all work for a closed client.
_STOP_SECONDS = 0.5
_SEAL = 'X-Response-Seal: s1\r\n'
_BEGUN = chunked(event(1, 'a'), headers=_SEAL, last=False)
_EVENT = event(2, 'b' * 4000)
_CHUNK = b'%x\r\n%b\r\n' % (len(_EVENT), _EVENT)
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
    """Close the client at some point and check what the engine receives."""

    def setUp(self):
        super().setUp()
        self.ended = []

    def begin(self, script, kind='streaming', count=4):
        """Start an engine that follows a script and waits for the close."""

        def serve(sock):
            if peer.read_request(sock):
                script(sock)
                self.ended.append(sock.recv(1))

        peer = ScriptedPeer([serve] * count)
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
    def test_engine_is_stopped(self, _name, kind, sent, close):
        self.begin(lambda sock: sock.sendall(sent), kind)
        client = self.connect()
        client.sendall(_FIRST + _SECOND)
        gevent.sleep(0.1)
        close(client)
        gevent.sleep(_STOP_SECONDS)
        self.assertEqual([b''], self.ended)
        # The request that was pipelined after it is not sent either.
        self.assertEqual(1, self.count_engine_requests())

    def test_client_that_reads_nothing(self):
        """The engine is stopped although the response fills all buffers."""
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
        gevent.sleep(_STOP_SECONDS)
        before = len(written)
        gevent.sleep(0.2)
        self.assertEqual(before, len(written))
        self.assertFalse(self.entry._client_server.busy)

    def test_closed_before_the_request_is_read(self):
        self.begin(lambda sock: sock.sendall(_PLAIN), 'safe')
        client = self.connect()
        client.sendall(_FIRST)
        client.close()
        gevent.sleep(_STOP_SECONDS)
        self.assertEqual(0, self.count_engine_requests())

    def test_closed_while_connecting(self):
        """No request is sent once the engine accepts the connection."""
        listener = FullListener()
        self.addCleanup(listener.close)
        self.store.set('servers', 'i-0', engine(listener.address))
        self.start(route('safe'), others=1)
        client = self.connect()
        client.sendall(_FIRST)
        gevent.sleep(0.05)
        client.close()
        got = []
        accepting = gevent.spawn(self._accept_all, listener.sock, got)
        gevent.sleep(1.5)
        accepting.kill()
        self.assertEqual(b'', b''.join(got))

    def _accept_all(self, listener, got):
        while True:
            sock, _peer = listener.accept()
            gevent.spawn(self._receive, sock, got)

    def _receive(self, sock, got):
        got.append(sock.recv(100))


if __name__ == '__main__':
    unittest.main()
