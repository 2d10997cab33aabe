"""An entry that was told to stop: what it still takes, and until when."""

import gevent
from bendlead_gateway.http import BrokenAnswerError, HttpConnection
from parameterized import parameterized

from tests.gateway_standins import chunked, event, eventually, route
from tests.test_gateway_entry import EntryCase

_SEAL = 'X-Response-Seal: s1\r\n'
_PLAIN = (
    b'HTTP/1.1 200 OK\r\nX-Response-Seal: s1\r\nContent-Length: 2\r\n\r\nok'
)
_RUNS_SECONDS = 2.6
_HEAD = chunked(event(1, 'a'), headers=_SEAL, last=False)
_REST = b'%x\r\n%b\r\n0\r\n\r\n' % (len(event(2, 'b')), event(2, 'b'))


def _slow_first(sock, request):
    """Answer the first request with a stream whose second event is late."""
    if b'/x/2' in request:
        sock.sendall(_PLAIN)
        return
    sock.sendall(_HEAD)
    gevent.sleep(_RUNS_SECONDS)
    sock.sendall(_REST)
    gevent.sleep(1)


class LeavingEntryTest(EntryCase):
    """The tests' entry takes new connections for two seconds of its four."""

    @parameterized.expand(
        [
            ('soon_after', 0.5, True),
            ('long_after', 2.3, False),
        ],
    )
    def test_new_connection(self, _name, waited, served):
        """A request that could not end in time must not be taken."""
        self.start(route('streaming', timeout_ms=5000), answers=[_slow_first])
        running = self.ask(patience=5000)
        eventually(lambda: self.engines[0].requests)
        self.entry.leaving = True
        leave = gevent.spawn(self.entry.leave)
        gevent.sleep(waited)
        self.assertEqual(served, self._served())
        head, body = self.read(running)
        self.assertEqual(
            (200, event(1, 'a') + event(2, 'b')), (head.status, body)
        )
        leave.join(2)
        self.assertTrue(self.entry.done.is_set())

    def _served(self):
        try:
            connection = HttpConnection(self.entry.settings.clients_address, 1)
        except OSError:
            return False
        self.addCleanup(connection.close)
        headers = [('Host', 'a.example'), ('X-Attempt-Id', 'id2')]
        try:
            return connection.request('POST', '/x/2', headers).body == b'ok'
        except BrokenAnswerError:
            return False
