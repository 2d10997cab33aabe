"""Responses of an entry to clients while engines fail or are full."""

import random
import time
import unittest
from unittest import mock

from bendlead_gateway.http import ResponseError
from parameterized import parameterized

from tests.gateway_cases import EntryCase
from tests.gateway_standins import (
    FullListener,
    ScriptedPeer,
    chunked,
    engine,
    event,
    eventually,
    route,
)

_SEAL = 'X-Response-Seal: s1\r\n'
_REFUSED = b'HTTP/1.1 503 x\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n'
_MISDIRECTED = (
    b'HTTP/1.1 421 x\r\nX-Instance-Id: i-9\r\nContent-Length: 0\r\n\r\n'
)
_COMPLETE = chunked(event(1, 'a'), event(2, 'b'), headers=_SEAL)
_TAIL = chunked(event(2, 'b'), headers='X-Response-Seal: s2\r\n')
_CUT = chunked(event(1, 'a'), headers=_SEAL, last=False)
_MID_EVENT = chunked(event(1, 'a') + b'id: 2\nda', headers=_SEAL, last=False)
_PLAIN = (
    b'HTTP/1.1 200 OK\r\nX-Response-Seal: s1\r\nContent-Length: 2\r\n\r\nok'
)
_ERROR = b'HTTP/1.1 500 x\r\nX-Response-Seal: s1\r\nContent-Length: 0\r\n\r\n'
_STREAM = event(1, 'a') + event(2, 'b')


class OutcomeTest(EntryCase):
    """Response to the client for each behaviour of the engines."""

    @parameterized.expand(
        [
            ('stream', 'streaming', {}, [_COMPLETE], 200, _STREAM, 1),
            ('plain', 'safe', {}, [_PLAIN], 200, b'ok', 1),
            (
                'refused_is_retried',
                'unsafe',
                {'max_attempts': 1},
                [_REFUSED, _PLAIN],
                200,
                b'ok',
                None,
            ),
            (
                'misdirected_is_retried',
                'unsafe',
                {'max_attempts': 1},
                [_MISDIRECTED, _PLAIN],
                200,
                b'ok',
                None,
            ),
            ('all_refuse', 'unsafe', {}, [_REFUSED, _REFUSED], 503, b'', 2),
            (
                'unsafe_lost',
                'unsafe',
                {'max_attempts': 3},
                [b'', b''],
                502,
                b'',
                1,
            ),
            ('safe_lost_once', 'safe', {}, [b'', _PLAIN], 200, b'ok', None),
            ('safe_lost_twice', 'safe', {}, [b'', b'', b''], 502, b'', 2),
            (
                'stream_lost',
                'streaming',
                {'max_attempts': 3},
                [b'', b''],
                502,
                b'',
                1,
            ),
            (
                'safe_error_replaced',
                'safe',
                {},
                [_ERROR, _PLAIN],
                200,
                b'ok',
                None,
            ),
            ('unsafe_error_passed', 'unsafe', {}, [_ERROR], 500, b'', 1),
            (
                'resumed',
                'streaming',
                {'resumable': True},
                [_CUT, _TAIL],
                200,
                _STREAM,
                2,
            ),
            (
                'resumed_mid_event',
                'streaming',
                {'resumable': True},
                [_MID_EVENT, _TAIL],
                200,
                _STREAM,
                2,
            ),
        ],
    )
    def test_outcome(self, name, kind, changed, answers, status, body, sends):
        self.start(route(kind, **changed), answers=answers)
        if name.startswith('resumed'):
            # The engine that breaks off must be asked first.
            self.entry.fleet.loads.own.online['i-1'] += 3
        head, got = self.read(self.send_request())
        self.assertEqual((status, body), (head.status, got))
        if sends is not None:
            self.assertEqual(sends, self.count_engine_requests())
        if status == 503:
            self.assertGreater(float(head.find('retry-after')), 0)
        if status == 200:
            self.assertEqual('s1', head.find('x-response-seal'))

    def test_few_descriptors(self):
        """Requests are served with fewer descriptors than the usual reserve."""
        self.start(route('safe'), answers=[_PLAIN], descriptors=400)
        head, _body = self.read(self.send_request())
        self.assertEqual(200, head.status)

    def test_resume_asks_behind_the_last_event(self):
        changed = route('streaming', resumable=True)
        self.start(changed, answers=[_CUT, _TAIL])
        self.entry.fleet.loads.own.online['i-1'] += 3
        self.read(self.send_request())
        self.assertIn(b'Last-Event-Id: 1', self.engines[1].requests[0])
        self.assertIn(b'X-Expect-Instance: i-1', self.engines[1].requests[0])

    def test_broken_stream_does_not_look_complete(self):
        self.start(route('streaming'), answers=[_CUT])
        with self.assertRaises(ResponseError):
            self.read(self.send_request())

    @parameterized.expand([('route', 300, 5000), ('client', 5000, 300)])
    def test_deadline_passes_at_the_engine(self, _name, timeout, patience):
        self.start(route('unsafe', timeout_ms=timeout), answers=[None])
        head, _body = self.read(self.send_request(timeout_ms=patience))
        self.assertEqual(504, head.status)
        left = self.engines[0].requests[0].split(b'X-Deadline-Ms: ')[1]
        self.assertLessEqual(int(left.split(b'\r\n')[0]), 300)

    def test_closed_client_connection_closes_the_engine_connection(self):
        gone = []

        def script(sock):
            peer.read_request(sock)
            sock.sendall(_CUT)
            gone.append(sock.recv(1))

        peer = ScriptedPeer([script])
        self.addCleanup(peer.close)
        self.store.set('servers', 'i-0', engine(peer.address))
        self.start(route('streaming'), others=1)
        connection = self.send_request()
        connection.read_head(1)
        connection.close()
        eventually(lambda: gone, 0.4)
        self.assertEqual([b''], gone)


class UnreachableTest(EntryCase):
    """Requests while connecting to an engine hangs."""

    def begin(self, answers, **changed):
        """Start with a first engine that accepts no connection."""
        listener = FullListener()
        self.addCleanup(listener.close)
        self.store.set('servers', 'i-9', engine(listener.address))
        self.start(route('unsafe', **changed), answers=answers, others=1)
        for number in range(len(answers)):
            self.entry.fleet.loads.own.online[f'i-{number}'] += 3

    def test_another_engine_is_asked_in_time(self):
        self.begin([_PLAIN])
        began = time.monotonic()
        head, _body = self.read(self.send_request())
        self.assertEqual(200, head.status)
        self.assertLess(time.monotonic() - began, 0.3)

    @parameterized.expand(
        [('while_connecting', 100, 503), ('too_short', 10, 503)]
    )
    def test_deadline_passes_while_connecting(self, _name, patience, status):
        """A request that no engine got is reported as not run."""
        self.begin([])
        head, _body = self.read(self.send_request(timeout_ms=patience))
        self.assertEqual(status, head.status)


class OverloadTest(EntryCase):
    """Admission by expected wait; refused requests reach no engine."""

    @parameterized.expand(
        [
            ('free_slot', 7, 2000, 200),
            ('short_wait', 9, 2000, 200),
            ('long_wait', 14, 2000, 503),
            ('short_wait_of_a_retry', 9, 1500, 200),
            ('long_wait_of_a_retry', 14, 1500, 503),
        ],
    )
    def test_admission(self, _name, online, patience, status):
        self.start(route('safe'), answers=[_PLAIN, _PLAIN])
        self.entry.fleet.pace.run_seconds = 0.5
        # The first request sets the timeout that the entry expects.
        self.read(self.send_request(timeout_ms=2000))
        before = self.count_engine_requests()
        self.entry.fleet.pace.run_seconds = 0.5
        for name in ('i-0', 'i-1'):
            self.entry.fleet.loads.own.online[name] += online
        head, _body = self.read(self.send_request(timeout_ms=patience))
        self.assertEqual(status, head.status)
        if status == 503:
            self.assertGreater(float(head.find('retry-after')), 0.2)
            self.assertEqual(before, self.count_engine_requests())

    @parameterized.expand(
        [
            ('at_the_earliest', 6000, 0.0, 0.44),
            ('in_the_middle', 6000, 0.5, 1.22),
            ('at_the_latest', 6000, 1.0, 2.0),
            ('short_timeout', 700, 1.0, 0.44),
        ],
    )
    def test_return_time(self, _name, patience, random_value, expected):
        """Retry times are spread within the timeout of the client."""
        self.start(route('safe'), answers=[_PLAIN])
        self.entry.fleet.pace.run_seconds = 0.5
        self.entry.fleet.loads.own.online['i-0'] = 14
        with mock.patch.object(random, 'random') as draw:
            draw.return_value = random_value
            head, _body = self.read(self.send_request(timeout_ms=patience))
        self.assertEqual(503, head.status)
        retry_after = float(head.find('retry-after'))
        self.assertAlmostEqual(expected, retry_after, delta=0.1)


if __name__ == '__main__':
    unittest.main()
