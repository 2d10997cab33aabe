"""Answers without an end, as bendlead-node reads them.

Guards against an engine whose answer takes all memory of a process.
"""

import time
import tracemalloc
import unittest
from unittest import mock

from bendlead_node._common import telemetry, upstream
from bendlead_node._common.telemetry import Journal, Metrics
from bendlead_node._common.upstream import (
    Clients,
    PeerClient,
    events,
    read_body,
)
from bendlead_node._common.web import Answer, CallError
from bendlead_node._endpoint.engine import Engine
from bendlead_node._endpoint.item import BatchItem, ItemState
from bendlead_node._entry import recording
from bendlead_node._entry.dispatch import Dispatcher, OnlineRequest
from bendlead_node._entry.members import Members
from bendlead_node._entry.routing import Router
from bendlead_schema.messages import (
    Acknowledged,
    EndpointHeartbeat,
    GrantedItem,
    NoWork,
    RequestPhase,
    RequestView,
)
from geventhttpclient.response import HTTPParseError
from parameterized import parameterized
from result import Ok

from tests.gateway_standins import ScriptedPeer
from tests.test_dispatch import Unsuspected

_OK = b'HTTP/1.1 200 OK\r\n'
_CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'
_HEAD = _OK + _CHUNKED
_BLOCK = b'a' * 65_536
_CHUNK = b'%x\r\n%b\r\n' % (len(_BLOCK), _BLOCK)
_SENT_BYTES = 40_000_000
#: A process may take 32 MB; what the peer has sent may stand in buffers too.
_MOST_BYTES = 32_000_000
_BODY_BYTES = 8_388_608
_EVENT_BYTES = 1_048_576
#: What a read takes beside what it keeps: blocks, headers, the peer itself.
_SPARE_BYTES = 2_000_000
_EVENT = b'data: {"choices": [{"text": "%b"}]}\n\n'
_TIMEOUT_SECONDS = 5
_MOST_ANSWERS = 9


def _read_event(response):
    return next(events(response))


def _endless(block):
    while True:
        yield block


class EndlessCase(unittest.TestCase):
    def start(self, start, blocks):
        """Start a peer that sends these bytes, until nobody reads."""
        self.sent = 0

        def script(sock):
            self.peer.read_request(sock)
            sock.sendall(start)
            for block in blocks:
                if self.sent >= _SENT_BYTES:
                    break
                sock.sendall(block)
                self.sent += len(block)

        self.peer = ScriptedPeer([script] * _MOST_ANSWERS)
        self.addCleanup(self.peer.close)

    def send(self, report=None):
        """Send a request and return its response."""
        clients = Clients(_TIMEOUT_SECONDS, *([report] if report else []))
        return clients.send('GET', self.peer.address, '/x', b'', {})

    def peak(self, read):
        """Return the most bytes that reading takes at a time."""
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        read()
        return tracemalloc.get_traced_memory()[1]


class EndlessAnswerTest(unittest.TestCase):
    """A peer sends until nobody reads."""

    def script(self, sock):
        self.peer.read_request(sock)
        sock.sendall(_HEAD)
        block = b'%x\r\n%b\r\n' % (len(_BLOCK), _BLOCK)
        while self.sent < _SENT_BYTES:
            sock.sendall(block)
            self.sent += len(_BLOCK)

    @parameterized.expand(
        [
            ('body', read_body),
            ('event', lambda response: next(events(response))),
        ]
    )
    def test_is_given_up(self, _name, read):
        self.sent = 0
        self.peer = ScriptedPeer([self.script])
        self.addCleanup(self.peer.close)
        sent = Clients(5).send('GET', self.peer.address, '/', b'', {})
        try:
            read(sent.unwrap())
        except (OSError, HTTPParseError):
            """The connection ended before the answer did."""
        self.assertLess(self.sent, _MOST_BYTES)


class EndlessPartTest(EndlessCase):
    """Nothing beyond a limit is kept, whichever part has no end."""

    @parameterized.expand(
        [
            ('body', _HEAD, _CHUNK, _BODY_BYTES),
            ('first_line', b'HTTP/1.1 200 ', _BLOCK, 0),
            ('header_name', _OK, _BLOCK, 0),
            ('header', _OK + b'X-A: ', _BLOCK, 0),
            ('headers', _OK, b'X-A: b\r\n' * 8_000, 0),
            ('interim', b'', b'HTTP/1.1 102 Processing\r\n\r\n' * 2_000, 0),
            ('extension', _HEAD + b'5;', _BLOCK, 0),
            ('trailers', _HEAD + b'0\r\n', b'X-A: b\r\n' * 8_000, 0),
        ]
    )
    def test_is_given_up(self, _name, start, block, kept):
        self.start(start, _endless(block))
        peak = self.peak(lambda: self.read().unwrap_err())
        self.assertLess(self.sent, _MOST_BYTES)
        self.assertLess(peak, kept + _SPARE_BYTES)

    def read(self):
        return self.send().and_then(read_body)

    def test_event(self):
        self.start(_HEAD, _endless(_CHUNK))
        response = self.send().unwrap()

        def read():
            with self.assertRaisesRegex(OSError, 'beyond'):
                next(events(response))

        self.assertLess(self.peak(read), _EVENT_BYTES + _SPARE_BYTES)

    def test_announced_length(self):
        """It is not waited for."""
        self.start(_OK + b'Content-Length: 9000000\r\n\r\n', [])
        failure = self.read().unwrap_err()
        self.assertIn('beyond', str(failure))

    def test_reply_of_a_peer(self):
        self.start(_HEAD, _endless(_CHUNK))
        with mock.patch.object(upstream, 'MAX_MESSAGE_BYTES', _EVENT_BYTES):
            client = PeerClient('key', _TIMEOUT_SECONDS)
        reply = client.ask(self.peer.address, '/p', NoWork(), Acknowledged)
        told = str(reply.unwrap_err())
        for part in ('POST /p', self.peer.address, str(_EVENT_BYTES)):
            self.assertIn(part, told)


class SoundAnswerTest(EndlessCase):
    """What keeps within the limits is read."""

    @parameterized.expand([('whole', 0, True), ('beyond', 1, False)])
    def test_body(self, _name, more, whole):
        rest = b'%x\r\n%b\r\n' % (more, b'a' * more) if more else b''
        count = _BODY_BYTES // len(_BLOCK)
        self.start(_HEAD, [*[_CHUNK] * count, rest, b'0\r\n\r\n'])
        body = self.send().and_then(read_body)
        self.assertEqual(whole, body.is_ok())
        if whole:
            self.assertEqual(_BODY_BYTES, len(body.unwrap()))

    def test_head(self):
        header = b'X-A: ' + b'b' * 60_000 + b'\r\n'
        self.start(_OK + header + b'Content-Length: 2\r\n\r\nok', [])
        self.assertEqual(b'ok', self.send().and_then(read_body).unwrap())

    def test_long_stream(self):
        event = b'data: ' + b'a' * (_EVENT_BYTES - 8) + b'\n\n'
        chunk = b'%x\r\n%b\r\n' % (len(event), event)
        self.start(_HEAD, [chunk] * 30 + [b'0\r\n\r\n'])
        sizes = []
        response = self.send().unwrap()

        def read():
            sizes.extend(len(one) for one in events(response))

        # The event, its copies, and the chunk of the peer.
        self.assertLess(self.peak(read), 8 * _EVENT_BYTES)
        self.assertEqual([_EVENT_BYTES] * 30, sizes)

    def test_many_small_chunks(self):
        """The framing of all chunks together has no limit."""
        part = b''.join(
            b'%x;%b\r\n%b\r\n' % (len(one), b'e' * 50, one)
            for one in [b'id: 1\n', b'data: a\n', b'\n'] * 500
        )
        self.start(_HEAD, [part] * 20 + [b'0\r\n\r\n'])
        got = list(events(self.send().unwrap()))
        self.assertEqual([b'id: 1\ndata: a\n\n'] * 10_000, got)


class ReportTest(EndlessCase):
    """An answer that was given up is counted, and told in one line."""

    @parameterized.expand(
        [
            ('body', _HEAD, _CHUNK, read_body, 'body', _BODY_BYTES),
            ('event', _HEAD, _CHUNK, _read_event, 'event', _EVENT_BYTES),
            ('head', _OK, _BLOCK, None, 'head or framing', 65_536),
        ]
    )
    def test_one_line(self, _name, start, block, read, part, limit):
        self.start(start, _endless(block))
        journal, metrics = Journal('n'), Metrics()
        sent = self.send(telemetry.answer_reporter(journal, metrics))
        try:
            told = str(read(sent.unwrap()) if read else sent)
        except OSError as error:
            told = str(error)
        for shown in ('GET /x', self.peer.address, str(limit)):
            self.assertIn(shown, told)
        (line,) = journal.decisions
        self.assertIn('event=answer-too-large step="GET /x"', line)
        self.assertIn(f'peer={self.peer.address}', line)
        self.assertIn(part, line)
        self.assertIn(f'limit_bytes={limit}', line)
        counted = metrics.registry.get_sample_value(
            'bendlead_answers_too_large_total'
        )
        self.assertEqual(1, counted)


class EntryTest(EndlessCase):
    """A caller of an entry is told."""

    def run_request(self, *, stream):
        members = Members('entry', _TIMEOUT_SECONDS)
        members.hear_endpoint(
            EndpointHeartbeat(
                endpoint='e',
                address=self.peer.address,
                data_hall='h',
                service='notes',
                models=['m'],
                capacity=4,
                online=0,
                batch=0,
            )
        )
        self.journal = Journal('entry')
        dispatcher = Dispatcher(
            members,
            Router(members),
            'key',
            _TIMEOUT_SECONDS,
            self.journal,
            Metrics(),
            Unsuspected(),
        )
        return dispatcher.run(
            OnlineRequest(
                request='r',
                team='t',
                service='notes',
                model='m',
                method='POST',
                path='/v1/completions',
                body=b'{}',
                stream=stream,
                repeatable=False,
                deadline=time.monotonic() + _TIMEOUT_SECONDS,
            )
        )

    def test_whole(self):
        self.start(_HEAD, _endless(_CHUNK))
        with self.assertRaises(CallError) as raised:
            self.run_request(stream=False)
        self.assertEqual('outcome_unknown', raised.exception.code)
        self.assertIn('answer-too-large', self.journal.decisions[0])
        self.assertLess(self.sent, _MOST_BYTES)

    def test_stream(self):
        self.start(_HEAD, _endless(_CHUNK))
        answer = self.run_request(stream=True)
        (event,) = answer.body
        self.assertIn(b'outcome_unknown', event)
        self.assertIn('answer-too-large', self.journal.decisions[0])
        self.assertLess(self.sent, _MOST_BYTES)


class RecordedStreamTest(EndlessCase):
    """A recorded stream is passed on whole, and kept up to the limit."""

    def record(self, events):
        """Run a recorded request with these events; return its record."""
        commands = []

        def call(_shard, command, *_timeout):
            commands.append(command)
            view = RequestView(
                request='0000-r',
                team='t',
                fingerprint='f',
                path='/v1/completions',
                repeatable=True,
                phase=RequestPhase.completed,
                created=False,
                body=command.body,
            )
            return Ok(view)

        self.reported = []
        answers = mock.Mock(run=lambda _request: Answer(200, iter(events)))
        shards = mock.Mock(count=1, call=call)
        with mock.patch.object(recording, 'shard_of', lambda *_names: 0):
            recorder = recording.Recorder(
                shards, answers, 'e', Journal('e'), self.reported.append
            )
            request = mock.Mock(
                request='0000-r', path='/v1/completions', body=b'{}'
            )
            answer = recorder._run_created(request)
            self.got = 0
            for event in answer.body:
                self.got += len(event)
        self.assertFalse(recorder.running)
        return commands[-1]

    def test_beyond(self):
        event = b'data: ' + b'a' * 992 + b'\n\n'
        # Each event is made as it is read.
        stream = (bytes(bytearray(event)) for _number in range(40_000))
        commands = []
        peak = self.peak(lambda: commands.append(self.record(stream)))
        self.assertEqual(40_000_000, self.got)
        self.assertLess(peak, 2 * _BODY_BYTES)
        self.assertEqual(502, commands[0].status)
        self.assertIn('answer_not_recorded', commands[0].body)
        (error,) = self.reported
        self.assertEqual(_BODY_BYTES, error.limit)

    def test_within(self):
        command = self.record([b'data: a\n\n', b'data: [DONE]\n\n'])
        self.assertEqual(200, command.status)
        self.assertIn('a\\n\\ndata: [DONE]', command.body)
        self.assertFalse(self.reported)


class ItemTest(EndlessCase):
    """A batch item whose answer has no end has failed at its engine."""

    def execute(self):
        item = BatchItem(
            'run',
            GrantedItem(
                position=0, path='/v1/completions', custom_id='a', body='{}'
            ),
        )
        item.execute(Engine(self.peer.address), lambda: None)
        return item

    @parameterized.expand(
        [
            ('small_events', _EVENT % (b'abc' * 100)),
            ('event', _BLOCK),
        ]
    )
    def test_fails(self, _name, block):
        chunk = b'%x\r\n%b\r\n' % (len(block), block)
        self.start(_HEAD, _endless(chunk))
        items = []
        peak = self.peak(lambda: items.append(self.execute()))
        self.assertIs(ItemState.FAILED, items[0].state)
        self.assertLess(peak, 2 * _BODY_BYTES)

    def test_long_answer(self):
        event = _EVENT % (b'a' * 1_000_000)
        chunk = b'%x\r\n%b\r\n' % (len(event), event)
        end = b'e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n'
        self.start(_HEAD, [chunk] * 8 + [end])
        item = self.execute()
        self.assertIs(ItemState.FINISHED, item.state)
        self.assertGreater(len(item.report.body), 8_000_000)


if __name__ == '__main__':
    unittest.main()
