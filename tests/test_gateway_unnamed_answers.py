"""Bytes without an id behind a whole answer belong to no request.

Guards against results, answers and refusals taken from them, in the place of
the answer that is due on the connection.
"""

from parameterized import parameterized

from tests.gateway_cases import EntryCase, OwnerCase, job
from tests.gateway_standins import (
    ScriptedPeer,
    chunked,
    configuration,
    engine,
    event,
    eventually,
    route,
)

_STRAY = (
    b'HTTP/1.1 200 OK\r\nContent-Length: 21\r\n\r\nid: 1\ndata: stray-1\n\n'
)
_STRAY_REFUSAL = (
    b'HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n'
)
_STRAYS = [('answer', _STRAY), ('refusal', _STRAY_REFUSAL)]
_ITEMS = 6


def requested_id(request):
    """Return the id of a request."""
    return request.partition(b'X-Attempt-Id: ')[2].partition(b'\r\n')[0]


def answer(request):
    """Return an answer with the id of its request, and as its text."""
    name = requested_id(request).decode()
    headers = f'X-Attempt-Id: {name}\r\nX-Response-Seal: s\r\n'
    return chunked(event(1, name), headers=headers)


class StrayEngine(ScriptedPeer):
    """Sends stray bytes behind each answer, before the next one."""

    def __init__(self, stray):
        self._stray = stray
        super().__init__([self._serve] * 50)

    def _serve(self, sock):
        served = 0
        while request := self.read_request(sock):
            if served:
                sock.sendall(self._stray)
            sock.sendall(answer(request))
            served += 1


class ItemTest(OwnerCase):
    """Results of items."""

    @parameterized.expand(_STRAYS)
    def test_result_is_of_the_item(self, _name, stray):
        self.engine = StrayEngine(stray)
        self.addCleanup(self.engine.close)
        config = configuration(1, route('batch', max_attempts=3))
        self.store.set('config', 'main', config)
        self.store.set('servers', 'i-1', engine(self.engine.address, slots=1))
        owner = self.start_sole_owner()
        self.submit(owner, job(items=_ITEMS))
        results = eventually(
            lambda: len(found := self.results(owner)) == _ITEMS and found, 10
        )
        self.assertEqual(
            {result['id']: result['id'] for result in results},
            {result['id']: result['text'] for result in results},
        )
        self.assertEqual(_ITEMS, len(self.engine.requests))


class RequestTest(EntryCase):
    """What clients get."""

    @parameterized.expand(
        [
            (f'{kind}_{name}', kind, stray)
            for kind in ('safe', 'unsafe', 'streaming')
            for name, stray in _STRAYS
        ]
    )
    def test_answer_is_of_the_request(self, _name, kind, stray):
        odd, other = StrayEngine(stray), StrayEngine(stray)
        for number, peer in enumerate((odd, other)):
            self.addCleanup(peer.close)
            self.store.set('servers', f'i-{number}', engine(peer.address))
        self.start(route(kind), others=2)
        self.entry.fleet.loads.own.online['i-1'] += 3
        for _request in range(4):
            head, body = self.read(self.send_request())
            self.assertEqual((200, event(1, 'id1')), (head.status, body))
        self.assertEqual(4, len(odd.requests))
        self.assertEqual([], other.requests)
