"""How many requests of a team pass, whoever hears whom."""

import random
import unittest

from bendlead_gateway._teams.limits import TeamLimits
from bendlead_gateway._teams.quota import EntryGroup, allowance
from bendlead_gateway._teams.reported_counts import TeamCounts
from bendlead_gateway._teams.retry_times import OverLimit, RetryTimes
from bendlead_gateway.types import LimitWindow, NodeName, Team, TeamName
from bendlead_testing.team_replay import TEAM, Silence, TeamLoad, play
from hypothesis import given, settings
from hypothesis import strategies as st
from parameterized import parameterized

_LARGE = Team(TEAM, rate=33, burst=33)
_SMALL = Team(TEAM, rate=3, burst=3)
_WINDOW = LimitWindow(5, 0.1, 20)
#: Requests of the large team that fit at one moment: its burst, and a part of
#: what may pass beyond.
_FIT = 48
_ALL = tuple(range(18))
#: Requests a second of a team that sends many times its usual.
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
                'three_entries_not_heard',
                TeamLoad(_LARGE, _HOT, silences=[Silence(6, 12, _THREE)]),
            ),
            (
                'one_entry_cut_off_that_clients_reach',
                TeamLoad(
                    _LARGE,
                    _HOT,
                    reached=(3, 5, 7, 9),
                    silences=[Silence(6, 12, frozenset((3,)))],
                ),
            ),
            (
                'two_halves',
                TeamLoad(
                    _LARGE,
                    _HOT,
                    silences=[Silence(6, 12, frozenset(range(9)))],
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
            ('slow_news', TeamLoad(_LARGE, _HOT, delay=0.3)),
        ],
    )
    def test_never_beyond_the_bound(self, _name, load):
        tally = play(load, seed=1)
        self.assertLessEqual(tally.worst(load), 1)
        # A team beyond its limit still gets what the limit grants.
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
                # What comes to the three entries may be refused there.
                'three_entries_not_heard',
                TeamLoad(_LARGE, 20, silences=[Silence(6, 12, _THREE)]),
                25,
            ),
            ('at_its_limit', TeamLoad(_LARGE, 32.3), 30),
        ],
    )
    def test_below_its_limit_a_team_is_not_refused(self, _name, load, most):
        tally = play(load, seed=1)
        self.assertLessEqual(tally.refused, most)


class AllowanceTest(unittest.TestCase):
    """What groups of entries may use."""

    @given(
        st.lists(st.integers(1, 30), min_size=1, max_size=30),
        st.floats(0.5, 500),
        st.floats(0, 500),
    )
    @settings(max_examples=300, deadline=None)
    def test_all_groups_together_stay_within_the_bound(
        self, groups, rate, burst
    ):
        """Whoever hears whom, for as long as it takes."""
        team = Team(TEAM, rate=rate, burst=burst)
        entries = sum(groups)
        whole = rate * _WINDOW.seconds + burst
        most = whole * (1 + _WINDOW.excess) + _WINDOW.slack
        passed = 0
        for heard in groups:
            allowed = allowance(team, _WINDOW, EntryGroup(heard, entries))
            passed += allowed.rate * _WINDOW.seconds + allowed.capacity
        self.assertLessEqual(passed, most + 1)

    def test_a_few_entries_that_are_not_heard_cost_nobody_anything(self):
        whole = allowance(_LARGE, _WINDOW, EntryGroup(18, 18))
        most = allowance(_LARGE, _WINDOW, EntryGroup(17, 18))
        self.assertEqual(whole, most)


class ReturnTest(unittest.TestCase):
    """When callers come back that are one too many."""

    def setUp(self):
        self.now = 100.0
        self.times = RetryTimes(lambda: self.now)
        self.chance = random.Random(1).random

    def deal(self, team=TEAM, wait=0.1, patience=5.0):
        """Give the seconds until a caller comes back."""
        over = OverLimit(team, wait, 10, patience)
        return self.times.assign(over, self.chance)

    def test_a_single_one_soon_after_there_is_room(self):
        self.assertTrue(0.1 <= self.deal() <= 0.3)

    def test_many_as_far_apart_as_there_is_room(self):
        """Of all that come back within a second the limit lets ten through."""
        later = [self.deal() for _caller in range(100)]
        soon = [one for one in later if one < 1]
        self.assertLess(max(later), 5 / 3 + 0.2)
        self.assertLess(len(soon), 60)
        worst = max(sum(at <= one < at + 0.2 for one in later) for at in later)
        self.assertLess(worst, 25)

    def test_teams_do_not_wait_for_one_another(self):
        for _caller in range(100):
            self.deal()
        self.assertLess(self.deal(TeamName('other')), 0.31)

    def test_times_that_have_passed_count_no_more(self):
        for _caller in range(15):
            self.deal()
        self.now += 3
        self.assertLess(self.deal(), 0.31)

    def test_bounded_in_teams(self):
        for number in range(2000):
            self.deal(TeamName(f't{number}'))
        self.assertEqual(1000, len(self.times._next_free))


class CountTest(unittest.TestCase):
    """What one entry takes from others."""

    def setUp(self):
        self.now = 100.0
        self.limits = TeamLimits(
            _WINDOW,
            lambda: EntryGroup(2, 2),
            {TEAM: _LARGE}.get,
            lambda: self.now,
            life=1,
        )
        # Long enough to have asked others, and for the burst to be back.
        self.now += 10

    def tell(self, count, version, life=7, said=None):
        """Have another entry tell its count."""
        counts = TeamCounts(life, {TEAM: count})
        said = self.now if said is None else said
        self.limits.receive(NodeName('entry-2'), counts, version, said)

    def fits(self):
        """Count the requests that fit at this moment."""
        count = 0
        while self.limits.take(_LARGE) <= 0:
            count += 1
        return count

    def test_what_others_let_through_counts(self):
        self.tell(30, 5)
        self.assertEqual(_FIT - 30, self.fits())

    def test_news_that_come_twice_count_once(self):
        self.tell(30, 5)
        self.tell(30, 5)
        self.tell(10, 4)
        self.assertEqual(_FIT - 30, self.fits())

    def test_an_entry_that_started_again_counts_from_nothing(self):
        self.tell(30, 5)
        self.tell(3, 6, life=8)
        self.assertEqual(_FIT - 33, self.fits())

    def test_news_of_an_earlier_life_count_no_more(self):
        self.tell(3, 6, life=8)
        self.tell(30, 7, life=7)
        self.assertEqual(_FIT - 3, self.fits())

    def test_a_life_that_began_before_by_a_clock_set_back(self):
        """It counts once the other life has not been heard of for long."""
        self.tell(30, 5, life=8)
        self.now += 10
        self.tell(0, 2, life=7)
        self.tell(20, 3, life=7)
        self.assertEqual(_FIT - 20, self.fits())

    def test_what_has_not_run_goes_back(self):
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
        # The rate of the new limit brings the next request.
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

    def test_a_new_entry_that_hears_nobody_serves_each_team_once(self):
        """All of them may start at the same moment."""
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
