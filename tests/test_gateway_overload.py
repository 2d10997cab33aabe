"""Overload of entries: memory, processor time and connections."""

import time
import unittest
from unittest import mock

import gevent
from bendlead_gateway._http.server import HttpServer
from bendlead_gateway._scheduling.overload import (
    HIGH_USE_SHARE,
    LATE_TIMER_SECONDS,
    OverloadDetector,
    ResourceUse,
    sheds_connections,
)
from bendlead_gateway.types import ClientLimits
from bendlead_testing.ports import free_port
from gevent import socket
from parameterized import parameterized

from tests.gateway_cases import EntryCase
from tests.gateway_standins import chunked, event, route

_UPDATES_PER_SECOND = 10


class OverloadDetectorTest(unittest.TestCase):
    """Detection of overload and shedding of connections."""

    @parameterized.expand(
        [
            ('rested', 0.002, ResourceUse(), False),
            ('late', 3 * LATE_TIMER_SECONDS, ResourceUse(), True),
            ('memory_short', 0, ResourceUse(memory=HIGH_USE_SHARE + 0.1), True),
            (
                'connections_short',
                0,
                ResourceUse(connections=HIGH_USE_SHARE + 0.1),
                True,
            ),
            ('half_full', 0, ResourceUse(0.5, 0.5), False),
        ]
    )
    def test_steady(self, _name, late, use, strained):
        detector = OverloadDetector()
        for _update in range(_UPDATES_PER_SECOND):
            detector.update(late, use)
        self.assertIs(strained, detector.strained)

    def test_one_long_step_is_no_overload(self):
        detector = OverloadDetector()
        detector.update(0.4, ResourceUse())
        self.assertFalse(detector.strained)

    def test_overload_ends_with_hysteresis(self):
        detector = OverloadDetector()
        detector.update(0, ResourceUse(memory=0.8))
        self.assertFalse(detector.update(0, ResourceUse(memory=0.5)))
        self.assertTrue(detector.update(0, ResourceUse(memory=0.2)))
        self.assertFalse(detector.strained)

    @parameterized.expand(
        [
            ('not_strained', False, [False, False], False),
            ('others_have_room', True, [False, False, True], True),
            ('half_are_strained', True, [False, True], False),
            ('all_are', True, [True, True], False),
            ('none_is_heard', True, [], False),
        ]
    )
    def test_sheds_connections(self, _name, own, others, away):
        self.assertIs(away, sheds_connections(own=own, others=others))


class RequestBodiesTest(unittest.TestCase):
    """Limit of the memory for request bodies, and its release."""

    BODY = b'x' * 60_000
    HEAD = b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n'

    def setUp(self):
        self.proceed = gevent.event.Event()
        self.troubles = []
        address = f'127.0.0.1:{free_port()}'
        self.server = HttpServer(
            address, self._answer, ClientLimits, time.monotonic
        )
        self.server.body_budget.max_bytes = 200_000
        self.server.start()
        self.addCleanup(self.server.stop_accepting)
        host, port = address.split(':')
        self.address = (host, int(port))

    def test_too_many_bodies(self):
        clients = [self.send(self.BODY) for _client in range(6)]
        gevent.sleep(0.2)
        self.assertLessEqual(self.server.body_budget.used_bytes, 200_000)
        self.proceed.set()
        answers = [self.read(client) for client in clients]
        self.assertEqual(3, sum(b' 200 ' in answer for answer in answers))
        refused = [answer for answer in answers if b' 503 ' in answer]
        self.assertTrue(all(b'Retry-After' in answer for answer in refused))
        gevent.sleep(0.1)
        self.assertEqual(0, self.server.body_budget.used_bytes)
        self.assertIn(b' 200 ', self.read(self.send(self.BODY)))

    def test_incomplete_body_is_released(self):
        client = self.send(self.BODY[:-1], len(self.BODY))
        gevent.sleep(0.1)
        self.assertGreater(self.server.body_budget.used_bytes, 50_000)
        client.close()
        gevent.sleep(0.1)
        self.assertEqual(0, self.server.body_budget.used_bytes)

    def test_unread_response_times_out(self):
        """A client that reads nothing does not keep its response for ever."""
        self.proceed.set()
        client = socket.socket()
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        client.connect(self.address)
        self.addCleanup(client.close)
        client.sendall(b'GET /large HTTP/1.1\r\nHost: a\r\n\r\n')
        gevent.sleep(0.3)
        self.assertEqual(1, self.server.busy)
        with gevent.Timeout(8):
            while self.server.busy:
                gevent.sleep(0.05)

    def send(self, body, length=None):
        """Send a request; ``length`` overrides its Content-Length."""
        client = socket.create_connection(self.address)
        self.addCleanup(client.close)
        client.sendall(self.HEAD % (length or len(body)) + body)
        return client

    def read(self, client):
        """Read a response, empty after a timeout."""
        client.settimeout(1)
        try:
            return client.recv(4096)
        except OSError:
            return b''

    def _answer(self, request, responder):
        self.proceed.wait()
        large = request.path == '/large'
        responder.answer(200, (), self.BODY * 400 if large else b'ok')


class OverloadedEntryTest(EntryCase):
    """Shedding by an entry that lacks memory for request bodies."""

    @parameterized.expand(
        [
            ('rested', 0.1, [False, False], None),
            ('strained', 0.9, [False, False], 'close'),
            ('all_strained', 0.9, [True, True], None),
        ]
    )
    def test_connections_are_shed(self, _name, used, others, connection):
        answer = chunked(event(1, 'a'))
        self.start(
            route('stream'),
            answers=[answer],
            memory=1_000_000,
        )
        body_budget = self.entry._client_server.body_budget
        self.assertEqual(250_000, body_budget.max_bytes)
        body_budget.used_bytes += int(250_000 * used)
        with mock.patch.object(
            self.entry.peers, 'strained_in_hall', lambda: others
        ):
            gevent.sleep(0.3)
            head, body = self.read(self.send_request())
        self.assertEqual(200, head.status)
        self.assertIn(b'data: a', body)
        self.assertEqual(connection, head.find('connection'))
        strained = used > HIGH_USE_SHARE
        self.assertIs(strained, self.entry.report().strained)
