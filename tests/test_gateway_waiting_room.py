"""Queue of retried requests that wait for a free slot."""

import unittest

import gevent
from bendlead_gateway._scheduling.admission import (
    AdmissionRequest,
    check_admission,
)
from bendlead_gateway._scheduling.queue_policy import (
    QueuedRequest,
    QueuePolicy,
    RetryDetector,
    latest_send_time,
    should_queue,
)
from bendlead_gateway._scheduling.team_shares import ShareUse
from bendlead_gateway.types import TeamName
from gevent import socket
from hypothesis import given, settings
from hypothesis import strategies as st
from parameterized import parameterized

from tests.gateway_cases import EntryCase
from tests.gateway_standins import configuration, eventually, route
from tests.raising_step import RaisesOnce, failure_lines

_PLAIN = (
    b'HTTP/1.1 200 OK\r\nX-Response-Seal: s1\r\nContent-Length: 2\r\n\r\nok'
)
_KEY = 'k-of-team-t-abcdefghij'
_TEAM = {'name': 't', 'api_keys': [_KEY], 'per_s': 1000, 'burst': 20}
_OVER = ShareUse(40, 10)
_SLIGHTLY_OVER = ShareUse(10.5, 10)


class QueuePolicyTest(unittest.TestCase):
    """Rules of the queue, without an entry."""

    def setUp(self):
        self.now = 100.0
        self.queue = QueuePolicy(lambda: self.now)

    def request(self, team='t', until=1.5, **changed):
        """Make a request that may be queued for some seconds."""
        name = TeamName(team)
        return QueuedRequest(name, self.now, self.now + until, 0.3, **changed)

    def free_slots(self, count):
        """Free slots, spread over a second."""
        for _slot in range(count):
            self.now += 1 / count
            self.queue.record_finished()

    def enqueue(self, *requests):
        """Queue requests, all of which must be accepted."""
        for request in requests:
            self.assertIsNone(self.queue.rejection_reason(request))
            self.queue.add(request)

    @parameterized.expand(
        [
            ('first_attempt', 5.13, 5.13, False),
            ('first_attempt_a_little_late', 5.13, 4.95, False),
            ('came_back', 5.13, 4.2, True),
            ('does_not_say', 5.13, None, False),
            ('all_have_less_than_the_route', 4, 3.95, False),
            ('came_back_where_all_have_less', 4, 3.5, True),
        ],
    )
    def test_retry_is_detected(self, _name, others, patience, expected):
        detector = RetryDetector()
        self.assertFalse(detector.is_retry(others, 5))
        self.assertIs(expected, detector.is_retry(patience, 5))

    @parameterized.expand(
        [('far', 1.7, True), ('near', 0.8, False), ('over', -1, False)],
    )
    def test_queued_only_with_a_distant_deadline(self, _name, left, expected):
        self.assertIs(expected, should_queue(left, 0.3))

    def test_stream_timeout_bounds_the_wait(self):
        self.assertAlmostEqual(
            101.7, latest_send_time(100, 105, 0.3, stream=True)
        )
        self.assertAlmostEqual(
            104.7, latest_send_time(100, 105, 0.3, stream=False)
        )

    def test_rejected_where_no_slot_is_freed(self):
        self.assertIsNotNone(self.queue.rejection_reason(self.request()))

    def test_length_is_bounded_by_the_rate(self):
        self.free_slots(6)
        count = 0
        while self.queue.rejection_reason(self.request(f't{count}')) is None:
            self.queue.add(self.request(f't{count}'))
            count += 1
        self.assertIn(count, range(1, 6))

    def test_order(self):
        self.free_slots(100)
        last = self.request('a', share_use=_SLIGHTLY_OVER)
        later = self.request('b', 1.4)
        urgent = self.request('c', priority=(-1, 0))
        first = self.request('d', 1.2)
        self.enqueue(last, later, first, urgent)
        self.assertEqual([urgent, first, later, last], self.queue.queued)

    def test_release_follows_freed_slots(self):
        self.free_slots(100)
        self.enqueue(*[self.request() for _request in range(5)])
        going = [self.queue.release(0) for _attempt in range(5)]
        self.assertEqual([True] * 2 + [False] * 3, [request is not None for request in going])  # fmt: skip  # noqa: E501
        self.queue.record_finished()
        self.assertIsNone(self.queue.release(0.5))
        self.assertIsNotNone(self.queue.release(0.1))

    def test_team_over_its_share_is_rejected(self):
        self.free_slots(100)
        self.assertIsNotNone(
            self.queue.rejection_reason(self.request(share_use=_OVER))
        )

    def test_retries_precede_new_requests(self):
        self.free_slots(100)
        self.assertFalse(self.queue.is_ahead_of(ShareUse()))
        self.enqueue(self.request())
        self.assertTrue(self.queue.is_ahead_of(ShareUse()))
        behind = AdmissionRequest(0.3, 5, ShareUse(), behind=True)
        self.assertIsNotNone(check_admission(behind, 0.15, lambda: 0.5))
        self.assertIsNone(
            check_admission(AdmissionRequest(0.3, 5), 0.15, lambda: 0.5)
        )

    def test_expired_once_no_slots_are_freed(self):
        self.free_slots(20)
        requests = [self.request() for _request in range(4)]
        self.enqueue(*requests)
        self.assertEqual([], self.queue.expired())
        self.now += 1.2
        self.assertTrue(self.queue.expired())
        self.now += 0.4
        self.assertEqual(requests, self.queue.expired())

    @given(
        st.lists(
            st.tuples(
                st.sampled_from('abcdefghijkl'), st.integers(0, 2_000_000)
            ),
            max_size=200,
        )
    )
    @settings(max_examples=50, deadline=None)
    def test_bounded_in_count_and_bytes(self, asked):
        queue = QueuePolicy(lambda: 100.0)
        for _slot in range(5000):
            queue.record_finished()
        for team, size in asked:
            request = QueuedRequest(TeamName(team), 100, 102, 0.3, size=size)
            if queue.rejection_reason(request) is None:
                queue.add(request)
        teams = [request.team for request in queue.queued]
        self.assertLessEqual(max(map(teams.count, teams), default=0), 8)
        self.assertLessEqual(len(teams), 64)
        self.assertLessEqual(
            sum(request.size for request in queue.queued), 4_194_304
        )


class WaitingRoomTest(EntryCase):
    """Queued requests of a running entry."""

    def begin(self, timeout_ms=2000, **changed):
        """Start an entry with one engine whose slots are all in use."""
        self.start(
            route('safe', timeout_ms=timeout_ms), answers=[_PLAIN], **changed
        )
        fleet = self.entry.fleet
        fleet.pace.run_seconds = 1.0
        fleet.loads.own.online['i-0'] += 14
        # A first attempt sets the usual timeout of clients.
        self.read(self.send_request(timeout_ms=timeout_ms))
        self.record_finished()

    def record_finished(self):
        """Have the queue expect that slots come free soon."""
        for _slot in range(20):
            self.entry.request_queue.record_finished('s1')

    def free(self):
        """Free the slots of the engine."""
        self.entry.fleet.loads.own.online['i-0'] -= 14

    def waiting(self):
        """Count the queued requests."""
        return sum(self.entry.request_queue.waiting.values())

    @parameterized.expand(
        [
            ('first_attempt', 2000),
            ('near_its_deadline', 900),
        ],
    )
    def test_refused_at_once(self, _name, patience):
        self.begin()
        with gevent.Timeout(0.5):
            head, _body = self.read(self.send_request(timeout_ms=patience))
        self.assertEqual(503, head.status)
        self.assertIsNotNone(head.find('retry-after'))

    def test_served_once_a_slot_is_free(self):
        self.begin()
        asking = self.send_request(timeout_ms=1800)
        eventually(lambda: self.waiting() == 1)
        self.assertEqual(0, self.count_engine_requests())
        self.free()
        head, _body = self.read(asking)
        self.assertEqual(200, head.status)
        self.assertEqual(0, self.waiting())
        self.assertEqual(1, self.entry.metrics.load.held['released'])

    def test_served_after_an_error_of_the_queue(self):
        self.begin()
        RaisesOnce(
            self.entry.request_queue, '_release_next', RuntimeError('odd')
        )
        asking = self.send_request(timeout_ms=1800)
        eventually(lambda: self.waiting() == 1)
        self.free()
        head, _body = self.read(asking)
        self.assertEqual(200, head.status)
        self.assertEqual(1, len(failure_lines(self.entry)))

    def test_disconnected_client_leaves_the_queue(self):
        self.begin()
        asking = self.send_request(timeout_ms=1800)
        eventually(lambda: self.waiting() == 1)
        asking.close()
        eventually(lambda: self.waiting() == 0)
        self.free()
        gevent.sleep(0.1)
        self.assertEqual(0, self.count_engine_requests())

    def test_disconnected_client_uses_no_limit_of_its_team(self):
        """A team would be refused for requests that no engine has run."""
        self.begin()
        made = {**configuration(2, route('safe')), 'tenants': [_TEAM]}
        self.store.set('config', 'main', made)
        known = self.entry.fleet.configuration
        eventually(lambda: known.version == 2)
        limits = self.entry.limits
        asking = self.send_request(
            timeout_ms=1800, extra=[('X-Credential', _KEY)]
        )
        eventually(lambda: self.waiting() == 1)
        self.assertEqual(1, limits.usage()['t']['passed_here'])
        asking.close()
        eventually(lambda: self.waiting() == 0)
        eventually(lambda: limits.usage()['t']['passed_here'] == 0)

    def test_refused_once_no_slot_is_expected(self):
        self.begin()
        with gevent.Timeout(1.7):
            head, _body = self.read(self.send_request(timeout_ms=1800))
        self.assertEqual(503, head.status)
        self.assertEqual(1, self.entry.metrics.load.held['given_up'])
        self.assertEqual(0, self.count_engine_requests())

    def test_stopping_entry_refuses_queued_requests(self):
        self.begin()
        asking = self.send_request(timeout_ms=1800)
        eventually(lambda: self.waiting() == 1)
        self.entry._client_server.abort_requests()
        head, _body = self.read(asking)
        self.assertEqual(503, head.status)

    @parameterized.expand(
        [
            ('deadline_behind_the_end', 0, 3900, 503),
            ('deadline_before_the_end', 1.0, 2500, 200),
        ]
    )
    def test_queued_across_the_end_of_acceptance(
        self, _name, sent_at, patience, status
    ):
        """Guards against requests that are sent late and cut at the end.

        New work ends 2.0 s after the signal, the process after 3.6 s.
        """
        self.begin(5000, grace=4)
        stopping = gevent.spawn(self.entry.shut_down)
        gevent.sleep(sent_at)
        self.record_finished()
        asking = self.send_request(timeout_ms=patience)
        eventually(lambda: self.waiting() == 1)
        with gevent.Timeout(3):
            gevent.spawn_later(2.3 - sent_at, self.free)
            head, _body = self.read(asking)
        self.assertEqual(status, head.status)
        self.assertEqual(status == 200, self.count_engine_requests() == 1)
        stopping.get(timeout=3)

    def test_body_that_ends_behind_the_end_of_acceptance(self):
        """Its request is refused, since no engine has run it."""
        self.start(route('unsafe'), answers=[_PLAIN], grace=2)
        host, port = self.entry.settings.clients_address.split(':')
        client = socket.create_connection((host, int(port)))
        self.addCleanup(client.close)
        client.sendall(
            b'POST /x/1 HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: i\r\n'
            b'Content-Length: 2\r\n\r\na'
        )
        gevent.sleep(0.1)
        stopping = gevent.spawn(self.entry.shut_down)
        gevent.sleep(1.2)
        client.sendall(b'b')
        self.assertIn(b'HTTP/1.1 503 ', client.recv(65536))
        self.assertEqual(0, self.count_engine_requests())
        stopping.get(timeout=3)
