"""A broken answer without a length or chunks must not look complete."""

import json
import unittest

import gevent
from bendlead_gateway.http import (
    CloseDelimitedError,
    HttpConnection,
    ResponseError,
)
from bendlead_gateway.types import EngineId, EngineState
from gevent.event import Event
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
    state_engine,
    state_expected_engine,
)

_HEAD = b'HTTP/1.1 200 OK\r\nX-Response-Seal: s1\r\n\r\n'
_FIRST = event(1, 'a')
_WHOLE = _FIRST + event(2, 'b')
_CRLF = _WHOLE.replace(b'\n', b'\r\n')
_TAIL = chunked(event(2, 'b'), headers='X-Response-Seal: s2\r\n')
_PAUSE_SECONDS = 0.02


def closing(*parts):
    """Return a script that sends the parts and closes the connection."""

    def script(sock, _request):
        sock.sendall(_HEAD)
        for part in parts:
            gevent.sleep(_PAUSE_SECONDS)
            sock.sendall(part)

    return script


def sound(sock, request):
    """Send the stream, from the event that is asked for on."""
    resumed = b'Last-Event-Id: 1' in request
    sock.sendall(_TAIL if resumed else chunked(_WHOLE))


def leave(store, name, peer, how):
    """Have an engine say that it drains, or leave the list."""
    if how == 'gone':
        store.remove('servers', name)
    else:
        store.set('servers', name, engine(peer.address, state='draining'))


_LEAVING = [('draining',), ('gone',)]


def misdirect(_request):
    """Answer a health check as another engine does."""
    return b'HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n'


def refuse(_request):
    """Answer a health check as a full engine does."""
    return (
        b'HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n'
    )


#: Who answers at the address of an engine that ended behind a whole event.
_OTHERS = [
    ('started_again', misdirect),
    ('ignores_expectation', lambda _request: state_engine(b'i-other')),
    ('states_no_engine', lambda _request: b'HTTP/1.1 200 OK\r\n\r\n'),
    (
        'is_no_engine',
        lambda _request: b'HTTP/1.1 404 x\r\nContent-Length: 0\r\n\r\n',
    ),
    ('says_nothing', lambda _request: b''),
    ('closes', None),
]


class BrokenAnswerCase(EntryCase):
    """Starts engines that close connections, and some that then crash."""

    def crashing(self, *parts):
        """Return a script that sends the parts, and whose engine crashes."""

        def script(sock, request):
            closing(*parts)(sock, request)
            crashed = next(peer for peer in self.engines if peer.requests)
            crashed.close()

        return script

    def leaving(self, how, *parts, stops=True):
        """Return a script that sends the parts while its engine leaves.

        With ``stops`` the engine has ended when its connection closes.
        """

        def script(sock, request):
            number = next(
                number
                for number, peer in enumerate(self.engines)
                if peer.requests
            )
            peer = self.engines[number]
            sock.sendall(_HEAD + parts[0])
            leave(self.store, f'i-{number}', peer, how)
            eventually(lambda: self.is_known(f'i-{number}', how))
            for part in parts[1:]:
                sock.sendall(part)
            if stops:
                peer.close()

        return script

    def is_known(self, name, how):
        """Return whether the entry knows that an engine leaves."""
        known = self.entry.fleet.engines.find(EngineId(name))
        if how == 'gone':
            return known is None
        return known.state is EngineState.DRAINING

    def start_preferring_first(self, changed, answers):
        """Start the engines and have the entry ask the first one first."""
        self.start(changed, answers=answers)
        if len(answers) > 1:
            self.entry.fleet.loads.own.online['i-1'] += 3

    @property
    def failures(self):
        """Failures of engines inside answers, counted by the entry."""
        return self.entry.metrics.engine_failures['body']


class BrokenStreamTest(BrokenAnswerCase):
    """A stream that stops inside an event, or as its engine crashes."""

    @parameterized.expand(
        [
            ('inside_first_event', [b'id: 1\nda']),
            ('inside_event', [_FIRST, b'id: 2\nda']),
            ('behind_line', [_FIRST + b'id: 2\ndata: b\n']),
            ('crlf_inside_event', [_CRLF + b'id: 3\r\nda']),
            ('crlf_behind_line', [_CRLF + b'id: 3\r\ndata: c\r\n']),
            ('crlf_inside_end', [_CRLF[:-1]]),
            ('no_event', []),
        ],
    )
    def test_looks_broken(self, _name, parts):
        self.start(route('streaming'), answers=[closing(*parts)])
        with self.assertRaises(ResponseError):
            self.read(self.send_request())
        self.assertEqual(1, self.failures)

    def test_crash_behind_event_looks_broken(self):
        self.start(route('streaming'), answers=[self.crashing(_FIRST)])
        with self.assertRaises(ResponseError):
            self.read(self.send_request())
        self.assertEqual(1, self.failures)

    def test_crash_behind_something_that_accepts_looks_broken(self):
        """The other stream of the engine breaks in the same instant."""
        crash = Event()

        def script(sock, request):
            sock.sendall(_HEAD + _FIRST)
            if b'/x/2' in request:
                sock.sendall(b'id: 2\nda')
            crash.wait()

        self.start(route('streaming'), answers=[script])
        asking = [self.send_request(path) for path in ('/x/2', '/x/1')]
        eventually(lambda: self.count_engine_requests() == 2)
        gevent.sleep(_PAUSE_SECONDS)
        self.engines[0].health = None
        crash.set()
        for connection in asking:
            with self.assertRaises(ResponseError):
                self.read(connection)

    @parameterized.expand([('alone', False), ('beside_one_that_goes_on', True)])
    def test_whole_stream_beside_a_broken_one_is_complete(self, _name, beside):
        """An engine that runs on may break off one stream as another ends."""
        ended = Event()

        def script(sock, request):
            sock.sendall(_HEAD + _FIRST)
            if b'/x/2' in request:
                sock.sendall(b'id: 2\nda')
            ended.wait()
            if b'/x/3' in request:
                gevent.sleep(_PAUSE_SECONDS * 10)

        self.start(route('streaming'), answers=[script])
        paths = ['/x/2', '/x/1', '/x/3'][: 3 if beside else 2]
        broken, *whole = [self.send_request(path) for path in paths]
        eventually(lambda: self.count_engine_requests() == len(paths))
        gevent.sleep(_PAUSE_SECONDS)
        ended.set()
        with self.assertRaises(ResponseError):
            self.read(broken)
        for connection in whole:
            self.assertEqual(_FIRST, self.read(connection)[1])

    @parameterized.expand(_LEAVING)
    def test_planned_end_behind_event_looks_broken(self, how):
        """Guards against a check of engines that are listed as ready only."""
        self.start(route('streaming'), answers=[self.leaving(how, _FIRST)])
        with self.assertRaises(ResponseError):
            self.read(self.send_request())

    @parameterized.expand(_LEAVING)
    def test_stream_of_a_leaving_engine_that_runs_on_is_complete(self, how):
        script = self.leaving(how, _FIRST, event(2, 'b'), stops=False)
        self.start(route('streaming'), answers=[script])
        self.assertEqual(_WHOLE, self.read(self.send_request())[1])

    @parameterized.expand(
        [
            ('lf', [_WHOLE]),
            ('crlf', [_CRLF]),
            ('end_in_two_reads', [_WHOLE[:-1], _WHOLE[-1:]]),
            ('crlf_end_in_two_reads', [_CRLF[:-1], _CRLF[-1:]]),
            ('crlf_end_byte_by_byte', [_CRLF[:-3], b'\n', b'\r', b'\n']),
        ],
    )
    def test_whole_stream_is_complete(self, _name, parts):
        self.start(route('streaming'), answers=[closing(*parts)])
        _head, got = self.read(self.send_request())
        self.assertEqual(b''.join(parts), got)
        self.assertEqual(0, self.failures)

    def test_framed_stream_that_stops_inside_an_event_looks_broken(self):
        """Its chunks are complete, but an event is not."""
        self.start(route('streaming'), answers=[chunked(_FIRST + b'id: 2\n')])
        with self.assertRaises(ResponseError):
            self.read(self.send_request())

    @parameterized.expand(
        [
            ('length', 'Content-Length: 2\r\n'),
            ('neither', ''),
        ],
    )
    def test_answer_without_events_is_plain(self, _name, header):
        """An engine may answer a streaming route with another type."""
        sent = f'HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n{header}\r\n'
        answer = sent.encode() + b'ok'
        self.start(route('streaming'), answers=[answer])
        head, received = self.read(self.send_request())
        self.assertEqual('2', head.find('content-length'))
        self.assertEqual(b'ok', received)

    def test_suspect_is_not_cleared(self):
        """A broken answer is no sign of a sound request."""
        self.start(route('streaming'), answers=[closing(_FIRST, b'id: 2\nd')])
        suspects = self.entry.fleet.suspects
        cleared = []
        suspects.record_success = cleared.append
        with self.assertRaises(ResponseError):
            self.read(self.send_request())
        self.assertEqual([], cleared)


class ResumableStreamTest(BrokenAnswerCase):
    """A resumable stream that broke off goes on at another engine."""

    @parameterized.expand(
        [
            ('inside_event', [_FIRST + b'id: 2\nda']),
            ('behind_line', [_FIRST + b'id: 2\ndata: b\n']),
        ],
    )
    def test_goes_on(self, _name, parts):
        changed = route('streaming', resumable=True)
        self.start_preferring_first(changed, [closing(*parts), _TAIL])
        self.assertEqual(_WHOLE, self.read(self.send_request())[1])
        self.assertIn(b'Last-Event-Id: 1', self.engines[1].requests[0])

    def test_goes_on_after_a_crash_behind_an_event(self):
        changed = route('streaming', resumable=True)
        answers = [self.crashing(_FIRST), _TAIL]
        self.start_preferring_first(changed, answers)
        self.assertEqual(_WHOLE, self.read(self.send_request())[1])

    @parameterized.expand(_LEAVING)
    def test_goes_on_after_a_planned_end_behind_an_event(self, how):
        changed = route('streaming', resumable=True)
        answers = [self.leaving(how, _FIRST), _TAIL]
        self.start_preferring_first(changed, answers)
        self.assertEqual(_WHOLE, self.read(self.send_request())[1])

    def test_goes_on_without_any_event(self):
        changed = route('streaming', resumable=True)
        whole = chunked(_WHOLE)
        self.start_preferring_first(changed, [closing(), whole])
        self.assertEqual(_WHOLE, self.read(self.send_request())[1])

    def test_goes_on_after_an_empty_answer_to_a_resumed_stream(self):
        """An engine that sends nothing does not say that nothing is left."""
        changed = route('streaming', resumable=True, max_attempts=3)
        answers = [closing(_FIRST + b'id: 2\nda'), closing(), _TAIL]
        self.start_preferring_first(changed, answers)
        self.entry.fleet.loads.own.online['i-2'] += 6
        self.assertEqual(_WHOLE, self.read(self.send_request())[1])
        self.assertEqual(3, self.count_engine_requests())

    def test_whole_stream_is_complete(self):
        changed = route('streaming', resumable=True)
        self.start_preferring_first(changed, [closing(_WHOLE), _TAIL])
        self.assertEqual(_WHOLE, self.read(self.send_request())[1])
        self.assertEqual(1, self.count_engine_requests())


class OtherEngineTest(BrokenAnswerCase):
    """The address of an engine that ended takes connections again.

    Guards against answers that look whole as somebody else accepts there.
    """

    def start_again(self, answers, changed, health):
        """Have another engine, or something else, take the address."""
        self.start_preferring_first(changed, answers)
        self.engines[0].health = health

    @parameterized.expand(_OTHERS)
    def test_stream_looks_broken(self, _name, health):
        self.start_again([closing(_FIRST)], route('streaming'), health)
        with self.assertRaises(ResponseError):
            self.read(self.send_request())

    @parameterized.expand(_OTHERS)
    def test_resumable_stream_goes_on(self, _name, health):
        changed = route('streaming', resumable=True, timeout_ms=4000)
        self.start_again([closing(_FIRST), _TAIL], changed, health)
        request = self.send_request(timeout_ms=4000)
        self.assertEqual(_WHOLE, self.read(request)[1])
        self.assertIn(b'Last-Event-Id: 1', self.engines[1].requests[0])

    @parameterized.expand(_OTHERS)
    def test_plain_answer_is_replaced(self, _name, health):
        sound = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
        changed = route('safe', timeout_ms=4000)
        self.start_again([closing(b'bo'), sound], changed, health)
        request = self.send_request(timeout_ms=4000)
        self.assertEqual(b'ok', self.read(request)[1])

    @parameterized.expand(
        [('states_itself', state_expected_engine), ('is_full', refuse)]
    )
    def test_same_engine(self, _name, health):
        self.start_again([closing(_WHOLE)], route('streaming'), health)
        self.assertEqual(_WHOLE, self.read(self.send_request())[1])


class PlainAnswerTest(BrokenAnswerCase):
    """The end of a plain answer shows no cut."""

    def test_client_is_told_its_length(self):
        """It is known once the answer has been read."""
        self.start(route('safe'), answers=[closing(b'body')])
        head, body = self.read(self.send_request())
        self.assertEqual('4', head.find('content-length'))
        self.assertIsNone(head.find('transfer-encoding'))
        self.assertEqual(b'body', body)

    @parameterized.expand(['time_of_the_route', 'end_of_the_process'])
    def test_one_that_is_cut_as_it_is_passed_on_looks_broken(self, why):
        """Guards against an end that looks whole to its client."""
        body = b'x' * 4_000_000
        self.start(
            route('safe', timeout_ms=800 if why.startswith('time') else 9000),
            answers=[_HEAD + body],
        )
        connection = self.send_request(timeout_ms=9000)
        head = connection.read_head(3)
        if why == 'end_of_the_process':
            self.entry._client_server.abort_requests()
        eventually(lambda: not self.entry._client_server.busy)
        received = 0
        with self.assertRaises(ResponseError) as cut:
            for part in connection.read_parts(head, 3):
                received += len(part)
        self.assertNotIsInstance(cut.exception, CloseDelimitedError)
        self.assertLess(received, len(body))

    @parameterized.expand(
        [
            ('head_only', []),
            ('body', [b'bo']),
        ],
    )
    def test_engine_that_crashes_is_replaced(self, _name, parts):
        sound = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
        answers = [self.crashing(*parts), sound]
        self.start_preferring_first(route('safe'), answers)
        self.assertEqual(b'ok', self.read(self.send_request())[1])

    @parameterized.expand(_LEAVING)
    def test_engine_that_stops_as_planned_is_replaced(self, how):
        sound = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
        answers = [self.leaving(how, b'bo'), sound]
        self.start_preferring_first(route('safe'), answers)
        self.assertEqual(b'ok', self.read(self.send_request())[1])

    def test_unsafe_request_of_a_crashed_engine_has_no_known_outcome(self):
        self.start(route('unsafe'), answers=[self.crashing(b'bo')])
        head, _body = self.read(self.send_request())
        self.assertEqual(502, head.status)

    def test_error_of_a_streaming_route_is_passed_on(self):
        error = b'HTTP/1.1 500 x\r\nX-Response-Seal: s1\r\n\r\nwhy'

        def script(sock, _request):
            sock.sendall(error)

        self.start(route('streaming'), answers=[script])
        connection = self.send_request()
        head = connection.read_head(3)
        self.assertEqual(500, head.status)
        self.assertIsNone(head.find('transfer-encoding'))


class ItemTest(OwnerCase):
    """An item is completed by a stream that is surely whole only."""

    @parameterized.expand(
        [
            ('inside_event', [_FIRST + b'id: 2\nda'], False),
            ('no_event', [], False),
            ('crash_behind_event', [_FIRST], True),
            ('whole', [_WHOLE], False),
        ],
    )
    def test_text_is_whole(self, name, parts, crashes):
        self.check_text([closing(*parts)], crashes=crashes)
        self.assertEqual(name == 'whole', len(self.requests) == 1)

    def test_empty_answer_to_a_resumed_item(self):
        """An engine that sends nothing does not say that nothing is left."""
        self.check_text([closing(_FIRST + b'id: 2\nda'), closing()])
        self.assertIn(b'Last-Event-Id: 1', self.requests[-1])
        self.assertEqual(3, len(self.requests))

    @parameterized.expand(_LEAVING)
    def test_text_of_a_leaving_engine_that_stops_is_whole(self, how):
        self.check_text([closing(_FIRST)], crashes=True, leaves=how)

    @parameterized.expand(_OTHERS)
    def test_text_of_an_engine_that_was_replaced_is_whole(self, _name, health):
        """Guards against truncated items that are listed as completed."""
        self.check_text([closing(_FIRST)], health=health)
        self.assertIn(b'Last-Event-Id: 1', self.requests[-1])

    def check_text(
        self,
        answers,
        *,
        crashes=False,
        leaves=None,
        health=state_expected_engine,
    ):
        """Have an item answered so, and at last by a sound engine."""
        config = configuration(1, route('batch', max_attempts=3))
        self.store.set('config', 'main', config)

        answers = [*answers, sound]

        def script_of(peer):
            def script(sock):
                request = peer.read_request(sock)
                if peer.answer_health(sock, request):
                    return
                if request:
                    self.requests.append(request)
                    if leaves and len(self.requests) == 1:
                        leave(self.store, 'i-1', peer, leaves)
                        gevent.sleep(0.1)
                    answers.pop(0)(sock, request)
                if crashes and len(self.requests) == 1:
                    peer.close()

            return script

        peers = [ScriptedPeer([]) for _peer in range(2)]
        for peer in peers:
            peer.run([script_of(peer)] * 9)
            peer.health = health
            self.addCleanup(peer.close)
        self.requests = []
        self.store.set('servers', 'i-1', engine(peers[0].address))
        owner = self.start_sole_owner()
        self.submit(owner)
        eventually(lambda: self.requests)
        self.store.set('servers', 'i-2', engine(peers[1].address))
        eventually(lambda: self.results(owner))
        self.assertEqual('a\nb', self.results(owner)[0]['text'])


class OwnProcessTest(unittest.TestCase):
    """Calls between processes are framed; other ends are no answers."""

    def test_body_that_ends_with_its_connection(self):
        def script(sock):
            peer.read_request(sock)
            sock.sendall(b'HTTP/1.1 200 OK\r\n\r\n' + json.dumps({}).encode())

        peer = ScriptedPeer([script])
        self.addCleanup(peer.close)
        connection = HttpConnection(peer.address, 1)
        self.addCleanup(connection.close)
        with self.assertRaises(ResponseError):
            connection.request('GET', '/', timeout=1)
