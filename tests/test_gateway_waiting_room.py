"""Who is held until a place comes free."""

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
from hypothesis import given, settings
from hypothesis import strategies as st
from parameterized import parameterized

from tests.gateway_cases import EntryCase
from tests.gateway_standins import eventually, route

_PLAIN = (
    b'HTTP/1.1 200 OK\r\nX-Response-Seal: s1\r\nContent-Length: 2\r\n\r\nok'
)
_OVER = ShareUse(40, 10)
_SLIGHTLY = ShareUse(10.5, 10)


class RulesTest(unittest.TestCase):
    """What decides on those that are held."""

    def setUp(self):
        self.now = 100.0
        self.rules = QueuePolicy(lambda: self.now)

    def held(self, team='t', until=1.5, **changed):
        """Make a request that may be held for some seconds."""
        name = TeamName(team)
        return QueuedRequest(name, self.now, self.now + until, 0.3, **changed)

    def free_places(self, count):
        """Have places come free, spread over a second."""
        for _place in range(count):
            self.now += 1 / count
            self.rules.finished()

    def hold(self, *requests):
        """Hold requests that may be held."""
        for one in requests:
            self.assertIsNone(self.rules.rejection_reason(one))
            self.rules.add(one)

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
    def test_came_back(self, _name, others, patience, expected):
        known = RetryDetector()
        self.assertFalse(known.is_retry(others, 5))
        self.assertIs(expected, known.is_retry(patience, 5))

    @parameterized.expand(
        [('far', 1.7, True), ('near', 0.8, False), ('over', -1, False)],
    )
    def test_only_where_the_deadline_is_far(self, _name, left, expected):
        self.assertIs(expected, should_queue(left, 0.3))

    def test_a_stream_is_not_awaited_longer_than_its_reader_waits(self):
        self.assertAlmostEqual(
            101.7, latest_send_time(100, 105, 0.3, stream=True)
        )
        self.assertAlmostEqual(
            104.7, latest_send_time(100, 105, 0.3, stream=False)
        )

    def test_nobody_is_held_where_no_place_comes_free(self):
        self.assertIsNotNone(self.rules.rejection_reason(self.held()))

    def test_as_many_as_are_likely_to_be_served(self):
        self.free_places(6)
        count = 0
        while self.rules.rejection_reason(self.held(f't{count}')) is None:
            self.rules.add(self.held(f't{count}'))
            count += 1
        self.assertIn(count, range(1, 6))

    def test_order(self):
        self.free_places(100)
        last = self.held('a', share_use=_SLIGHTLY)
        later = self.held('b', 1.4)
        urgent = self.held('c', priority=(-1, 0))
        first = self.held('d', 1.2)
        self.hold(last, later, first, urgent)
        self.assertEqual([urgent, first, later, last], self.rules.queued)

    def test_the_first_goes_on_and_only_as_places_come_free(self):
        self.free_places(100)
        self.hold(*[self.held() for _request in range(5)])
        going = [self.rules.release(0) for _look in range(5)]
        self.assertEqual([True] * 2 + [False] * 3, [one is not None for one in going])  # fmt: skip  # noqa: E501
        self.rules.finished()
        self.assertIsNone(self.rules.release(0.5))
        self.assertIsNotNone(self.rules.release(0.1))

    def test_a_team_over_its_share_is_not_held(self):
        self.free_places(100)
        self.assertIsNotNone(
            self.rules.rejection_reason(self.held(share_use=_OVER))
        )

    def test_new_ones_stay_behind_those_that_came_back(self):
        self.free_places(100)
        self.assertFalse(self.rules.is_ahead_of(ShareUse()))
        self.hold(self.held())
        self.assertTrue(self.rules.is_ahead_of(ShareUse()))
        behind = AdmissionRequest(0.3, 5, ShareUse(), behind=True)
        self.assertIsNotNone(check_admission(behind, 0.15, lambda: 0.5))
        self.assertIsNone(
            check_admission(AdmissionRequest(0.3, 5), 0.15, lambda: 0.5)
        )

    def test_hopeless_once_places_stay_away(self):
        self.free_places(20)
        held = [self.held() for _request in range(4)]
        self.hold(*held)
        self.assertEqual([], self.rules.expired())
        self.now += 1.2
        self.assertTrue(self.rules.expired())
        self.now += 0.4
        self.assertEqual(held, self.rules.expired())

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
        rules = QueuePolicy(lambda: 100.0)
        for _place in range(5000):
            rules.finished()
        for team, size in asked:
            one = QueuedRequest(TeamName(team), 100, 102, 0.3, size=size)
            if rules.rejection_reason(one) is None:
                rules.add(one)
        teams = [one.team for one in rules.queued]
        self.assertLessEqual(max(map(teams.count, teams), default=0), 8)
        self.assertLessEqual(len(teams), 64)
        self.assertLessEqual(sum(one.size for one in rules.queued), 4_194_304)


class RoomTest(EntryCase):
    """Requests that an entry holds."""

    def begin(self):
        """Start an entry with one engine, whose places are all taken."""
        self.start(route('safe'), answers=[_PLAIN])
        fleet = self.entry.fleet
        fleet.pace.run_seconds = 1.0
        fleet.loads.own.online['i-0'] += 14
        # One that has not come back shows how long callers have.
        self.read(self.ask())
        for _place in range(20):
            self.entry.room.finished('s1')

    def free(self):
        """Have the places come free."""
        self.entry.fleet.loads.own.online['i-0'] -= 14

    def waiting(self):
        """Count those that are held."""
        return sum(self.entry.room.waiting.values())

    @parameterized.expand(
        [
            ('first_attempt', 2000),
            ('near_its_deadline', 900),
        ],
    )
    def test_refused_at_once(self, _name, patience):
        self.begin()
        with gevent.Timeout(0.5):
            head, _body = self.read(self.ask(patience=patience))
        self.assertEqual(503, head.status)
        self.assertIsNotNone(head.find('retry-after'))

    def test_served_once_a_place_is_free(self):
        self.begin()
        asking = self.ask(patience=1800)
        eventually(lambda: self.waiting() == 1)
        self.assertEqual(0, self.sent())
        self.free()
        head, _body = self.read(asking)
        self.assertEqual(200, head.status)
        self.assertEqual(0, self.waiting())
        self.assertEqual(1, self.entry.metrics.load.held['released'])

    def test_a_caller_that_leaves_gives_its_room_back(self):
        self.begin()
        asking = self.ask(patience=1800)
        eventually(lambda: self.waiting() == 1)
        asking.close()
        eventually(lambda: self.waiting() == 0)
        self.free()
        gevent.sleep(0.1)
        self.assertEqual(0, self.sent())

    def test_refused_as_soon_as_no_place_is_to_be_expected(self):
        self.begin()
        with gevent.Timeout(1.7):
            head, _body = self.read(self.ask(patience=1800))
        self.assertEqual(503, head.status)
        self.assertEqual(1, self.entry.metrics.load.held['given_up'])
        self.assertEqual(0, self.sent())

    def test_an_entry_that_ends_says_that_it_has_not_run(self):
        self.begin()
        asking = self.ask(patience=1800)
        eventually(lambda: self.waiting() == 1)
        self.entry._clients.answer_unfinished()
        head, _body = self.read(asking)
        self.assertEqual(503, head.status)
