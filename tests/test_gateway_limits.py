"""Rate limits of teams while entries are partitioned or restart."""

import random
import unittest

from bendlead_gateway._teams.limits import TeamLimits
from bendlead_gateway._teams.quota import EntryGroup, allowance
from bendlead_gateway._teams.reported_counts import TeamCounts
from bendlead_gateway._teams.retry_times import OverLimit, RetryTimes
from bendlead_gateway.types import LimitWindow, NodeName, Team, TeamName
from bendlead_testing.team_replay import TEAM, Partition, TeamLoad, play
from hypothesis import given, settings
from hypothesis import strategies as st
from parameterized import parameterized

_LARGE = Team(TEAM, rate=33, burst=33)
_SMALL = Team(TEAM, rate=3, burst=3)
_WINDOW = LimitWindow(5, 0.1, 20)
#: Requests of the large team admitted at once: its burst and a part of the
#: tolerance.
_FIT = 48
_ALL = tuple(range(18))
#: Requests a second of a team far over its limit.
_HOT = 150.0
_THREE = frozenset((1, 2, 3))


class LoadTest(unittest.TestCase):
    """Loads of one team over 18 entries."""

    @parameterized.expand(
        [
            ('all_entries', TeamLoad(_LARGE, _HOT)),
            ('one_entry', TeamLoad(_LARGE, _HOT, reached=(3,))),
            ('small_team', TeamLoad(_SMALL, 14)),
            (
                'three_entries_unreachable',
                TeamLoad(_LARGE, _HOT, partitions=[Partition(6, 12, _THREE)]),
            ),
            (
                'one_entry_cut_off_that_clients_reach',
                TeamLoad(
                    _LARGE,
                    _HOT,
                    reached=(3, 5, 7, 9),
                    partitions=[Partition(6, 12, frozenset((3,)))],
                ),
            ),
            (
                'two_halves',
                TeamLoad(
                    _LARGE,
                    _HOT,
                    partitions=[Partition(6, 12, frozenset(range(9)))],
                ),
            ),
            ('all_restarted', TeamLoad(_LARGE, _HOT, restarts=[(7, _ALL)])),
            (
                'all_restarted_twice',
                TeamLoad(_LARGE, _HOT, restarts=[(7, _ALL), (9, _ALL)]),
            ),
            (
                'restarted_in_turn',
                TeamLoad(
                    _LARGE,
                    _HOT,
                    restarts=[(6, _ALL[:3]), (7.5, _ALL[3:6]), (9, _ALL[6:9])],
                ),
            ),
            (
                'small_team_all_restarted_twice',
                TeamLoad(_SMALL, 14, restarts=[(7, _ALL), (9, _ALL)]),
            ),
            ('slow_reports', TeamLoad(_LARGE, _HOT, delay=0.3)),
        ],
    )
    def test_bound_is_never_exceeded(self, _name, load):
        tally = play(load, seed=1)
        self.assertLessEqual(tally.worst(load), 1)
        # A team over its limit still gets its limit.
        granted = load.team.rate * load.seconds
        self.assertGreater(len(tally.passed), 0.7 * granted)

    @parameterized.expand(
        [
            ('large_team', TeamLoad(_LARGE, 20), 0),
            ('small_team', TeamLoad(_SMALL, 1.9), 0),
            ('all_restarted', TeamLoad(_LARGE, 20, restarts=[(7, _ALL)]), 10),
            (
                'small_team_all_restarted',
                TeamLoad(_SMALL, 1.9, restarts=[(7, _ALL)]),
                1,
            ),
            (
                'restarted_in_turn',
                TeamLoad(
                    _LARGE, 20, restarts=[(6, _ALL[:3]), (7.5, _ALL[3:6])]
                ),
                5,
            ),
            (
                # The three entries may reject the requests sent to them.
                'three_entries_unreachable',
                TeamLoad(_LARGE, 20, partitions=[Partition(6, 12, _THREE)]),
                25,
            ),
            ('at_its_limit', TeamLoad(_LARGE, 32.3), 30),
        ],
    )
    def test_below_its_limit_a_team_is_not_refused(self, _name, load, most):
        tally = play(load, seed=1)
        self.assertLessEqual(tally.refused, most)


class AllowanceTest(unittest.TestCase):
    """Parts of a limit for groups of entries."""

    @given(
        st.lists(st.integers(1, 30), min_size=1, max_size=30),
        st.floats(0.5, 500),
        st.floats(0, 500),
    )
    @settings(max_examples=300, deadline=None)
    def test_all_groups_together_stay_within_the_bound(
        self, groups, rate, burst
    ):
        """For any partition, however long it lasts."""
        team = Team(TEAM, rate=rate, burst=burst)
        entries = sum(groups)
        whole = rate * _WINDOW.seconds + burst
        most = whole * (1 + _WINDOW.excess) + _WINDOW.slack
        passed = 0
        for reachable in groups:
            allowed = allowance(team, _WINDOW, EntryGroup(reachable, entries))
            passed += allowed.rate * _WINDOW.seconds + allowed.capacity
        self.assertLessEqual(passed, most + 1)

    def test_a_few_unreachable_entries_lower_no_limit(self):
        whole = allowance(_LARGE, _WINDOW, EntryGroup(18, 18))
        most = allowance(_LARGE, _WINDOW, EntryGroup(17, 18))
        self.assertEqual(whole, most)


class RetryTimesTest(unittest.TestCase):
    """Retry times of rejected requests."""

    def setUp(self):
        self.now = 100.0
        self.times = RetryTimes(lambda: self.now)
        self.draw = random.Random(1).random

    def assign(self, team=TEAM, wait=0.1, timeout=5.0):
        """Return the seconds until a request should be retried."""
        over = OverLimit(team, wait, 10, timeout)
        return self.times.assign(over, self.draw)

    def test_single_retry_soon_after_the_limit_allows_it(self):
        self.assertTrue(0.1 <= self.assign() <= 0.3)

    def test_many_retries_are_spread(self):
        """Retries of one moment must not exceed the limit by far."""
        later = [self.assign() for _caller in range(100)]
        soon = [one for one in later if one < 1]
        self.assertLess(max(later), 5 / 3 + 0.2)
        self.assertLess(len(soon), 60)
        worst = max(sum(at <= one < at + 0.2 for one in later) for at in later)
        self.assertLess(worst, 25)

    def test_teams_have_separate_retry_times(self):
        for _caller in range(100):
            self.assign()
        self.assertLess(self.assign(TeamName('other')), 0.31)

    def test_past_retry_times_are_forgotten(self):
        for _caller in range(15):
            self.assign()
        self.now += 3
        self.assertLess(self.assign(), 0.31)

    def test_bounded_in_teams(self):
        for number in range(2000):
            self.assign(TeamName(f't{number}'))
        self.assertEqual(1000, len(self.times._next_free))


class ReportedCountsTest(unittest.TestCase):
    """Counts that an entry receives from others."""

    def setUp(self):
        self.now = 100.0
        self.limits = TeamLimits(
            _WINDOW,
            lambda: EntryGroup(2, 2),
            {TEAM: _LARGE}.get,
            lambda: self.now,
            incarnation=1,
        )
        # After the startup time, and with the whole burst available.
        self.now += 10

    def report(self, count, version, life=7, sent_at=None):
        """Receive a count of another entry."""
        counts = TeamCounts(life, {TEAM: count})
        sent_at = self.now if sent_at is None else sent_at
        self.limits.receive(NodeName('entry-2'), counts, version, sent_at)

    def fits(self):
        """Count the requests that are admitted now."""
        count = 0
        while self.limits.take(_LARGE) <= 0:
            count += 1
        return count

    def test_what_others_let_through_counts(self):
        self.report(30, 5)
        self.assertEqual(_FIT - 30, self.fits())

    def test_repeated_reports_count_once(self):
        self.report(30, 5)
        self.report(30, 5)
        self.report(10, 4)
        self.assertEqual(_FIT - 30, self.fits())

    def test_an_entry_that_started_again_counts_from_nothing(self):
        self.report(30, 5)
        self.report(3, 6, life=8)
        self.assertEqual(_FIT - 33, self.fits())

    def test_reports_of_an_earlier_start_are_ignored(self):
        self.report(3, 6, life=8)
        self.report(30, 7, life=7)
        self.assertEqual(_FIT - 3, self.fits())

    def test_an_earlier_start_time_by_a_clock_set_back(self):
        """It counts once there were no reports of the later start for long."""
        self.report(30, 5, life=8)
        self.now += 10
        self.report(0, 2, life=7)
        self.report(20, 3, life=7)
        self.assertEqual(_FIT - 20, self.fits())

    def test_requests_that_did_not_run_are_refunded(self):
        self.assertEqual(_FIT, self.fits())
        self.limits.refund(_LARGE)
        self.assertEqual(1, self.fits())
        self.assertEqual(_FIT, self.limits.counts.counts[TEAM])

    def test_a_team_without_limit_is_not_counted(self):
        free = Team(TeamName('team-9'))
        self.assertEqual(
            [0] * 100, [self.limits.take(free) for _ in range(100)]
        )
        self.assertEqual({}, dict(self.limits.counts.counts))

    def test_a_lower_limit_holds_from_the_next_request_on(self):
        self.assertEqual(_FIT, self.fits())
        lower = Team(TEAM, rate=3, burst=3)
        wait = self.limits.take(lower)
        # The next request is admitted at the rate of the new limit.
        self.assertGreater(wait, 0)
        self.now += wait + 0.01
        self.assertEqual(0, self.limits.take(lower))

    def test_a_new_entry_takes_bursts_for_used_up(self):
        limits = TeamLimits(
            _WINDOW,
            lambda: EntryGroup(2, 2),
            {TEAM: _LARGE}.get,
            lambda: self.now,
        )
        limits.adopt_levels({TEAM: 48.5, 'nobody': 3})
        self.assertGreater(limits.take(_LARGE), 0)

    def test_a_new_entry_without_peers_serves_each_team_once(self):
        """All entries may start at the same time."""
        limits = TeamLimits(
            _WINDOW,
            lambda: EntryGroup(1, 18),
            {TEAM: _LARGE}.get,
            lambda: self.now,
        )
        waits = [limits.take(_LARGE) for _request in range(3)]
        self.assertEqual(0, waits[0])
        self.assertGreater(min(waits[1:]), 0)

    def test_old_entries_adopt_nothing(self):
        self.limits.adopt_levels({TEAM: 48.5})
        self.assertEqual(_FIT, self.fits())
