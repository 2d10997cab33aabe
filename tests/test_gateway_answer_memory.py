"""Memory that answers take while an engine sends too much.

Guards against a process that is killed at its memory limit, and with it the
requests and jobs of others, as one engine streams without an end.
"""

import contextlib
import tracemalloc
import unittest

import gevent
import gevent.event
from bendlead_gateway._http.answer_budget import (
    AnswerBudget,
    HeldAnswer,
    TextBudget,
)
from bendlead_gateway._http.limits import MAX_ITEM_EVENTS, MAX_ITEM_TEXT_BYTES
from bendlead_gateway.http import CloseDelimitedError
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

_MB = 1_000_000
_HEAD = b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
#: Memory of an entry, and part of an answer that is sent at once.
_MEMORY = 8 * _MB
_PART = b'x' * 300_000
_SOUND = chunked(event(1, 'a'), event(2, 'b'))
_ITEMS = 8
#: Values of the object service are limited to 1 MiB as base64.
_MAX_RESULT_BYTES = 750_000


def stream_without_end(sock, text, framed):
    """Send numbered events until the caller closes."""
    sock.sendall(_HEAD)
    sock.sendall(b'Transfer-Encoding: chunked\r\n\r\n' if framed else b'\r\n')
    number = 0
    while True:
        many = b''
        while len(many) < 32_768:
            number += 1
            many += event(number, text)
        sock.sendall(b'%x\r\n%b\r\n' % (len(many), many) if framed else many)
        gevent.sleep(0)


class ItemTest(OwnerCase):
    """Items beside an engine that streams events without an end."""

    def start(self, text, framed):
        """Start an engine without an end and a sound one."""
        self.requests = {'odd': 0, 'sound': 0}

        def odd(sock):
            peers[0].read_request(sock)
            self.requests['odd'] += 1
            stream_without_end(sock, text, framed)

        def sound(sock):
            while peers[1].read_request(sock):
                self.requests['sound'] += 1
                gevent.sleep(0.05)
                sock.sendall(_SOUND)

        config = configuration(1, route('batch', max_attempts=3))
        self.store.set('config', 'main', config)
        peers = [ScriptedPeer([]) for _peer in range(2)]
        for peer, script in zip(peers, (odd, sound), strict=True):
            peer.run([script] * 400)
            self.addCleanup(peer.close)
        for number, peer in enumerate(peers):
            self.store.set('servers', f'i-{number}', engine(peer.address))

    @parameterized.expand(
        [
            ('large_events', 'x' * 32_000, True),
            ('small_events', 'x', True),
            ('events_without_text', '', True),
            ('without_length', 'x' * 32_000, False),
        ]
    )
    def test_items_are_finished_within_memory(self, _name, text, framed):
        self.start(text, framed)
        owner = self.start_sole_owner()
        eventually(lambda: len(owner.fleet.engines.all()) == 2)
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        self.submit(owner, job(items=_ITEMS))
        results = eventually(
            lambda: len(found := self.results(owner)) == _ITEMS and found,
            15,
        )
        _size, peak = tracemalloc.get_traced_memory()
        self.assertEqual({'a\nb'}, {result['text'] for result in results})
        self.assertGreater(self.requests['odd'], 0)
        self.assertLess(peak, 40 * _MB)

    def test_result_fits_a_value_of_the_object_service(self):
        self.assertLess(
            MAX_ITEM_TEXT_BYTES + MAX_ITEM_EVENTS, _MAX_RESULT_BYTES
        )


class TextBudgetTest(unittest.TestCase):
    """Which texts are given up once all of them together are too large."""

    def play(self, sizes, limit):
        """Have texts grow in turn; return those given up."""
        held = dict.fromkeys(range(len(sizes)), 0)
        budget = TextBudget(held.values)
        budget.max_bytes = limit
        given_up = set()
        for _round in range(200):
            for number, step in enumerate(sizes):
                if number in given_up:
                    continue
                held[number] += step
                if budget.is_over(held[number], step):
                    given_up.add(number)
                    held[number] = 0
        return given_up, sum(held.values())

    @parameterized.expand(
        [
            ('room', [100, 100], 100_000, set()),
            ('no_limit', [100_000, 100], 0, set()),
            ('one_large', [50_000, 100, 100], 100_000, {0}),
            ('two_large', [50_000, 100, 100, 50_000], 100_000, {0, 3}),
        ]
    )
    def test_large_ones_are_given_up(self, _name, sizes, limit, expected):
        given_up, held = self.play(sizes, limit)
        self.assertEqual(expected, given_up)
        if limit:
            self.assertLess(held, limit * 1.1)


class AnswerBudgetTest(unittest.TestCase):
    """Which plain answers are given up."""

    def test_only_large_ones_above_the_limit(self):
        budget = AnswerBudget()
        budget.max_bytes = 1000
        small, large = HeldAnswer(budget), HeldAnswer(budget)
        small.add(100)
        large.add(900)
        self.assertFalse(large.is_over)
        large.add(1)
        self.assertTrue(large.is_over)
        self.assertFalse(small.is_over)
        large.end()
        small.add(700)
        self.assertFalse(small.is_over)
        small.end()
        self.assertEqual((0, 0), (budget.held.total, budget.held.holders))


class PlainAnswerTest(EntryCase):
    """Plain answers that are held while their engine sends no end."""

    def ask_all(self, head, count):
        """Have engines hold large answers back; a further try is small."""
        self.goes_on = gevent.event.Event()
        seen = set()

        def script(sock, request):
            if not request:
                # The entry only checks whether the address accepts.
                return
            target = request.split()[1]
            if target in seen:
                sock.sendall(b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok')
                return
            seen.add(target)
            sock.sendall(head + _PART)
            self.goes_on.wait()
            sock.sendall(_PART)

        changed = route('safe', max_attempts=2, timeout_ms=4000)
        self.start(changed, answers=[script] * 3, memory=_MEMORY)
        asking = []
        for number in range(count):
            asking.append(self.send_request(f'/x/{number}', timeout_ms=4000))
            eventually(lambda: self.count_engine_requests() >= len(asking))
        self.budget = self.entry.fleet.answers
        eventually(lambda: self.budget.held.total > self.budget.max_bytes / 2)
        gevent.sleep(0.1)
        self.assertLess(
            self.budget.held.total, self.budget.max_bytes + len(_PART)
        )
        self.goes_on.set()
        sizes = []
        for connection in asking:
            answered = connection.read_head(3)
            body = b''
            with contextlib.suppress(CloseDelimitedError):
                for part in connection.read_parts(answered, 3):
                    body += part
            self.assertEqual(200, answered.status)
            sizes.append(len(body))
        eventually(lambda: not self.budget.held.total)
        return sizes

    def test_framed_ones_are_passed_on(self):
        """They need not be kept, at the price of a retry."""
        head = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n'
        sizes = self.ask_all(head % (2 * len(_PART)), 6)
        self.assertEqual([2 * len(_PART)] * 6, sizes)

    def test_others_are_asked_for_again(self):
        """A part of one without a length must not look like all of it."""
        sizes = self.ask_all(b'HTTP/1.1 200 OK\r\n\r\n', 6)
        self.assertEqual({2, 2 * len(_PART)}, set(sizes))
