"""Graceful shutdown of an entry: requests that it still serves."""

import gevent
from bendlead_gateway.http import HttpConnection, ResponseError
from gevent import socket
from gevent.event import Event
from msgspec.structs import replace
from parameterized import parameterized

from tests.gateway_cases import EntryCase
from tests.gateway_standins import chunked, event, eventually, route

_SEAL = 'X-Response-Seal: s1\r\n'
_PLAIN = (
    b'HTTP/1.1 200 OK\r\nX-Response-Seal: s1\r\nContent-Length: 2\r\n\r\nok'
)
_SHORT = chunked(event(1, 'ok'), headers=_SEAL)
_RUNS_SECONDS = 2.6
_SPARE_SECONDS = 0.4
#: After the entry accepts no more requests, while earlier ones still run.
_LATE_SECONDS = 2.2
_HEADERS = [
    ('Host', 'a.example'),
    ('X-Attempt-Id', 'id2'),
    ('X-Deadline-Ms', '5000'),
]
_SLOW_HEAD = (
    b'POST /x/1 HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: id1\r\n'
    b'X-Deadline-Ms: 5000\r\nContent-Length: 6\r\n\r\n'
)
_HEAD = chunked(event(1, 'a'), headers=_SEAL, last=False)
_REST = b'%x\r\n%b\r\n0\r\n\r\n' % (len(event(2, 'b')), event(2, 'b'))


def _slow_first(sock, request):
    """Answer the first request with a stream whose second event is late."""
    if b'/x/2' in request:
        sock.sendall(_SHORT)
        return
    sock.sendall(_HEAD)
    gevent.sleep(_RUNS_SECONDS)
    sock.sendall(_REST)
    gevent.sleep(1)


class LeavingEntryTest(EntryCase):
    """Shutdown with four seconds of grace, two of them for new connections."""

    @parameterized.expand(
        [
            ('soon_after', 0.5, True),
            ('long_after', 2.3, False),
        ],
    )
    def test_new_connection(self, _name, waited, served):
        """A request that could not end within the grace time is refused."""
        self.start(route('streaming', timeout_ms=5000), answers=[_slow_first])
        running = self.send_request(timeout_ms=5000)
        eventually(lambda: self.engines[0].requests)
        leave = self._leave()
        gevent.sleep(waited)
        self.assertEqual(served, self._served())
        head, body = self.read(running)
        self.assertEqual(
            (200, event(1, 'a') + event(2, 'b')), (head.status, body)
        )
        leave.join(2)
        self.assertTrue(self.entry.done.is_set())

    def test_kept_connection(self):
        """A late request on a busy connection is refused as well."""
        self.start(route('streaming', timeout_ms=5000), answers=[_slow_first])
        running = self.send_request(timeout_ms=5000)
        eventually(lambda: self.engines[0].requests)
        self._leave()
        gevent.sleep(_LATE_SECONDS)
        running.send('POST', '/x/2', _HEADERS, b'prompt', 1)
        head = running.read_head(3)
        self.assertEqual(200, head.status)
        running.skip_response(head, 3)
        self.assertEqual(503, running.read_head(1).status)
        self.assertEqual(1, self.count_engine_requests())

    def test_answer_that_begins_after_the_stop(self):
        """The response tells the client that its connection is closed."""
        stopping = Event()

        def answer(sock, _request):
            stopping.wait(2)
            sock.sendall(_PLAIN)
            gevent.sleep(1)

        self.start(route('safe', timeout_ms=5000), answers=[answer])
        running = self.send_request(timeout_ms=5000)
        eventually(lambda: self.engines[0].requests)
        self._leave()
        gevent.sleep(0)
        stopping.set()
        head, body = self.read(running)
        self.assertEqual(b'ok', body)
        self.assertEqual('close', head.find('connection'))

    def test_request_that_arrives_slowly(self):
        """A request that is complete only after the last moment is refused."""
        self.start(route('safe', timeout_ms=5000), answers=[_PLAIN])
        host, port = self.entry.settings.clients_address.split(':')
        client = socket.create_connection((host, int(port)))
        self.addCleanup(client.close)
        client.sendall(_SLOW_HEAD + b'pro')
        self._leave()
        gevent.sleep(_LATE_SECONDS)
        client.sendall(b'mpt')
        client.settimeout(1)
        self.assertIn(b' 503 ', client.recv(4096))
        self.assertEqual(0, self.count_engine_requests())

    def test_unanswered_request_at_the_end(self):
        """A request that is still running at the end gets status 504."""
        self.start(route('safe', timeout_ms=8000), answers=[None])
        running = self.send_request(timeout_ms=8000)
        eventually(lambda: self.engines[0].requests)
        leave = self._leave()
        self.assertEqual(504, running.read_head(4).status)
        leave.join(1)
        self.assertTrue(self.entry.done.is_set())

    def test_short_grace(self):
        """A running request may use nearly all of the grace time."""
        self.start(route('streaming', timeout_ms=5000), answers=[_slow_first])
        grace = _RUNS_SECONDS + _SPARE_SECONDS
        self.entry.settings = replace(self.entry.settings, grace=grace)
        running = self.send_request(timeout_ms=5000)
        eventually(lambda: self.engines[0].requests)
        leave = self._leave()
        _head, body = self.read(running)
        self.assertEqual(event(1, 'a') + event(2, 'b'), body)
        leave.join(1)
        self.assertIn('event=left node=entry-1 cut=0', self._line('left'))

    def _leave(self):
        self.entry.draining = True
        return gevent.spawn(self.entry.shut_down)

    def _line(self, kind):
        lines = self.entry.log.recent
        return next((line for line in lines if f'event={kind} ' in line), '')

    def _served(self):
        try:
            connection = HttpConnection(self.entry.settings.clients_address, 1)
        except OSError:
            return False
        self.addCleanup(connection.close)
        try:
            return connection.request('POST', '/x/2', _HEADERS).body == event(
                1, 'ok'
            )
        except ResponseError:
            return False
