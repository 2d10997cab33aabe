"""An event that does not follow the last one costs a client no other event."""

import re

from parameterized import parameterized

from tests.gateway_cases import EntryCase, OwnerCase
from tests.gateway_standins import chunked, event, eventually, route

_EVENTS = [event(number, f't{number}') for number in range(1, 5)]
_WHOLE = b''.join(_EVENTS)
_RESUMES = re.compile(rb'Last-Event-Id: (\d+)')
_LENGTH = 'HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n'
#: Events of one read, of which the last is not valid.
_READS = [
    ('gap', [*_EVENTS[:2], event(5, 'x')]),
    ('repeated', [*_EVENTS[:2], event(2, 'x')]),
    ('no_number', [*_EVENTS[:2], b'data: x\n\n']),
    ('behind_all', [*_EVENTS, b'data: x\n\n']),
    ('first', [b'data: x\n\n']),
    ('superscript', [*_EVENTS[:2], 'id: \u00b3\ndata: x\n\n'.encode()]),
    ('other_script', [*_EVENTS[:2], 'id: \u0663\ndata: x\n\n'.encode()]),
    ('many_digits', [*_EVENTS[:2], b'id: %b\ndata: x\n\n' % (b'3' * 5000)]),
    ('leading_zeros', [*_EVENTS[:2], b'id: %b3\ndata: x\n\n' % (b'0' * 5000)]),
]


def sound(sock, request):
    """Send the events behind the last one that the request names."""
    resumed = _RESUMES.search(request)
    after = int(resumed[1]) if resumed else 0
    sock.sendall(chunked(*_EVENTS[after:]))


class StreamTest(EntryCase):
    """The stream goes on at another engine, behind what its client has."""

    @parameterized.expand(_READS)
    def test_no_event_is_lost(self, _name, events):
        body = b''.join(events)
        answer = _LENGTH.format(len(body)).encode() + body
        changed = route('streaming', resumable=True)
        self.start(changed, answers=[answer, sound])
        self.entry.fleet.loads.own.online['i-1'] += 3
        self.assertEqual(_WHOLE, self.read(self.send_request())[1])

    @parameterized.expand(_READS)
    def test_client_has_what_is_sound_where_no_engine_goes_on(
        self, _name, events
    ):
        answer = chunked(b''.join(events))
        changed = route('streaming', resumable=True, max_attempts=1)
        self.start(changed, answers=[answer])
        connection = self.send_request()
        head = connection.read_head(3)
        received = b''
        with self.assertRaises(OSError):
            for part in connection.read_parts(head, 3):
                received += part
        self.assertEqual(b''.join(events[:-1]), received)


class ItemTest(OwnerCase):
    """The item goes on behind what is sound."""

    @parameterized.expand(_READS)
    def test_text_is_whole(self, _name, events):
        after = len(events) - 1
        answers = [chunked(b''.join(events)), chunked(*_EVENTS[after:])]
        self.configure(answers)
        owner = self.start_sole_owner()
        self.submit(owner)
        results = eventually(lambda: self.results(owner))
        self.assertEqual('t1\nt2\nt3\nt4', results[0]['text'])
        self.assertEqual(1, owner.metrics.items['failed'])

    @parameterized.expand([('second', 2), ('beyond_all', 10**14)])
    def test_first_number(self, _name, number):
        """Guards against progress that no engine goes on with."""
        broken = chunked(event(number, 'x'), last=False)
        self.configure([broken, chunked(*_EVENTS)])
        owner = self.start_sole_owner()
        self.submit(owner)
        results = eventually(lambda: self.results(owner))
        self.assertEqual('t1\nt2\nt3\nt4', results[0]['text'])
        self.assertNotIn(b'Last-Event-Id', self.engine.requests[-1])
