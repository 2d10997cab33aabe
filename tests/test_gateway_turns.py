"""Whose turn it is where teams compete for too few places."""

import unittest
from dataclasses import replace

from bendlead_gateway._scheduling.admission import (
    AdmissionRequest,
    check_admission,
)
from bendlead_gateway._scheduling.team_shares import (
    UNCONTESTED,
    ShareUse,
    TeamUsage,
    shares_by_priority,
)
from bendlead_gateway._teams.limits import TeamLimits
from bendlead_gateway._teams.quota import EntryGroup
from bendlead_gateway._teams.reported_counts import TeamCounts
from bendlead_gateway._teams.shares import TeamShares
from bendlead_gateway.types import LimitWindow, NodeName, Team, TeamName
from bendlead_testing.fairness_replay import (
    FairnessLoad,
    FairnessReplay,
    OverloadPolicy,
    SharingPolicy,
    Surge,
    teams_by_size,
)
from hypothesis import given, settings
from hypothesis import strategies as st
from parameterized import parameterized

from tests.gateway_cases import EntryCase
from tests.gateway_standins import configuration, eventually, route

_PLAIN = (
    b'HTTP/1.1 200 OK\r\nX-Response-Seal: s1\r\nContent-Length: 2\r\n\r\nok'
)
_TEAMS, _USUAL = teams_by_size(77, 87)
_BURSTS = ((0, 0.377), (3.8, 1.84))
_HOT = FairnessLoad(
    _TEAMS,
    _USUAL,
    [Surge(3, 11, [1], 8), Surge(3, 11, [2], 6)],
    _BURSTS,
    engine_loss=(3, 11, 0.5),
    duration=14,
)
_EQUAL = [Team(TeamName(f't{at}'), rate=100, burst=100) for at in range(52)]
_SMALL = FairnessLoad(
    _EQUAL, [1.4] * 52, [Surge(1, 9, [0, 1], 60)], engines=12, duration=10
)


def _by_hall(team, chance):
    """Have the clients of hot teams reach the entries of one hall only."""
    return chance.randrange(5) if team in {1, 2} else chance.randrange(20)


class AverageTest(unittest.TestCase):
    """What the share of teams is."""

    @parameterized.expand(
        [
            ('alike', [(10, 1), (10, 1), (10, 1)], [False] * 3),
            ('by_weight', [(40, 4), (10, 1)], [False, False]),
            ('one_hot', [(60, 1), (9, 1)], [True, False]),
            ('hot_for_its_weight', [(40, 1), (40, 4)], [True, False]),
            (
                'two_hot',
                [(30, 1), (28, 1), *[(2, 1)] * 20],
                [True, True, *[False] * 20],
            ),
            ('urgent', [(30, 1), (30, 1, 1)], [False, True]),
            ('nobody', [], []),
        ],
    )
    def test_over(self, _name, teams, over):
        usages = [TeamUsage(*one) for one in teams]
        of_class = shares_by_priority(usages)
        found = [
            one.requests > of_class[one.priority] * one.weight * 1.001
            for one in usages
        ]
        self.assertEqual(over, found)

    def test_a_class_keeps_a_floor(self):
        """All of the less urgent are over, and none is left with nothing."""
        self.assertEqual(
            10, shares_by_priority([TeamUsage(90, 1), TeamUsage(10, 1, 1)])[1]
        )
        self.assertEqual(
            10, shares_by_priority([TeamUsage(60, 1), TeamUsage(40, 1, 1)])[1]
        )

    def test_a_few_urgent_requests_cut_others_by_little(self):
        self.assertEqual(
            80, shares_by_priority([TeamUsage(10, 1), TeamUsage(90, 1, 1)])[1]
        )

    @given(
        st.lists(
            st.tuples(
                st.floats(0.1, 500), st.floats(0.5, 50), st.integers(0, 2)
            ),
            min_size=1,
            max_size=40,
        ),
        st.floats(0, 1),
    )
    @settings(max_examples=300, deadline=None)
    def test_who_is_below_its_share_is_refused_last(self, teams, wait):
        had = [TeamUsage(*one) for one in teams]
        of_class = shares_by_priority(had)
        turns = [
            ShareUse(one.requests, of_class[one.priority] * one.weight + 0.01)
            for one in had
        ]
        refused = [
            check_admission(AdmissionRequest(0.3, 5, turn), wait, lambda: 0.5)
            is not None
            for turn in turns
        ]
        below = [no for turn, no in zip(turns, refused, strict=True)
                 if not turn.over_share]  # fmt: skip
        above = [no for turn, no in zip(turns, refused, strict=True)
                 if turn.over_share]  # fmt: skip
        self.assertTrue(not any(below) or all(above))
        # Somebody is always within its share.
        self.assertTrue(below)

    @given(st.floats(0, 1e6), st.floats(0, 1e6), st.booleans())
    def test_nobody_is_refused_while_a_place_is_free(self, had, share, behind):
        asked = AdmissionRequest(0.3, 5, ShareUse(had, share), behind)
        self.assertIsNone(check_admission(asked, 0, lambda: 0.5))


class ShareTest(unittest.TestCase):
    """What one entry knows of the shares."""

    def setUp(self):
        self.now = 100.0
        self.named = {one.name: one for one in _EQUAL}
        self.shares = TeamShares(
            lambda name: self.named.get(name), lambda: self.now
        )

    def let_through(self, team, requests):
        """Count requests of a team by its number."""
        self.shares.add(TeamName(f't{team}'), requests)

    def turn(self, team):
        """Tell the turn of a team by its number."""
        return self.shares.share_use(self.named[f't{team}'])

    def make_hot(self):
        """Have one team take most, and twenty take little."""
        self.let_through(0, 60)
        for team in range(1, 21):
            self.let_through(team, 3)

    def test_hot_team_is_over_and_others_are_not(self):
        self.make_hot()
        self.assertTrue(self.turn(0).over_share)
        self.assertEqual(
            [1] * 20, [self.turn(at).wait_factor for at in range(1, 21)]
        )

    def test_callers_without_a_team_are_never_over(self):
        self.make_hot()
        self.assertIs(UNCONTESTED, self.shares.share_use(None))

    def test_a_team_that_was_idle_gets_its_share_at_once(self):
        self.make_hot()
        self.now += 0.2
        self.let_through(30, 3)
        self.assertEqual(1, self.turn(30).wait_factor)
        self.assertLess(self.turn(0).wait_factor, 1)

    def test_nothing_heard_is_as_they_come(self):
        self.assertEqual(1, self.turn(0).wait_factor)

    def test_removed_team_counts_no_more(self):
        self.make_hot()
        del self.named['t0']
        self.assertNotIn('t0', self.shares.summary())
        self.assertFalse(self.turn(1).over_share)

    def test_renamed_team_begins_anew_and_the_old_name_has_no_share(self):
        self.make_hot()
        del self.named['t0']
        self.named['new'] = Team(TeamName('new'), rate=100, burst=100)
        self.now += 0.2
        self.shares.add(TeamName('new'), 2)
        self.assertFalse(self.shares.share_use(self.named['new']).over_share)
        self.assertEqual(
            {'new', *(f't{at}' for at in range(1, 21))},
            set(self.shares.summary()),
        )

    def test_a_team_that_is_added_has_a_share_at_once(self):
        self.make_hot()
        self.named['new'] = Team(TeamName('new'), rate=100, burst=100)
        self.assertEqual(
            1, self.shares.share_use(self.named['new']).wait_factor
        )

    def test_a_lower_limit_is_a_lower_weight(self):
        for team in range(20):
            self.let_through(team, 10)
        self.assertEqual(1, self.turn(0).wait_factor)
        self.named['t0'] = Team(TeamName('t0'), rate=10, burst=10)
        self.now += 0.2
        self.assertTrue(self.turn(0).over_share)

    def test_a_higher_limit_is_a_higher_weight(self):
        self.make_hot()
        self.now += 0.1
        before = self.turn(0)
        self.named['t0'] = Team(TeamName('t0'), rate=10_000, burst=100)
        self.now += 0.2
        self.assertGreater(self.turn(0).wait_factor, 1.5 * before.wait_factor)

    def test_teams_without_requests_are_forgotten(self):
        for number in range(10_000):
            self.shares.add(TeamName(f'n{number}'), 1)
        self.now += 30
        self.let_through(0, 1)
        self.turn(0)
        self.assertEqual(['t0'], list(self.shares._sums))

    def test_what_did_not_run_goes_back(self):
        self.let_through(0, 5)
        self.let_through(0, -5)
        self.assertEqual({}, self.shares.summary())

    def test_late_news_count_as_a_second_of_them(self):
        self.shares.receive({TeamName('t0'): 30}, 3)
        self.assertAlmostEqual(10, self.turn(0).used)


class CountTest(unittest.TestCase):
    """Counts of teams that reach the shares, and no limit that is passed."""

    def setUp(self):
        self.now = 100.0
        self.team = Team(TeamName('t'))
        self.shares = TeamShares(lambda _name: self.team, lambda: self.now)
        self.limits = TeamLimits(
            LimitWindow(5, 0.1, 0),
            lambda: EntryGroup(2, 2),
            lambda _name: self.team,
            lambda: self.now,
            1,
            self.shares,
        )
        self.now += 10

    def tell(self, count, version):
        """Have another entry tell its count."""
        told = TeamCounts(7, {self.team.name: count})
        self.limits.receive(NodeName('e-2'), told, version, self.now)

    def test_a_team_without_limit_is_told_too(self):
        waits = [self.limits.take(self.team) for _request in range(20)]
        self.limits.refund(self.team)
        self.assertEqual([0] * 20, waits)
        self.assertEqual({'t': 19}, dict(self.limits.counts.counts))

    def test_counts_of_others(self):
        self.tell(5, 1)
        self.now += 0.1
        before = self.shares.share_use(self.team).used
        self.tell(17, 2)
        self.assertAlmostEqual(
            before + 12, self.shares.share_use(self.team).used
        )

    def test_an_entry_that_starts_hears_what_comes_from_then_on(self):
        """What others let through in their whole life is long past."""
        self.limits._started = self.now
        self.tell(5000, 1)
        self.assertLess(self.shares.share_use(self.team).used, 1)
        self.now += 0.1
        self.tell(5030, 2)
        self.assertAlmostEqual(
            30, self.shares.share_use(self.team).used, delta=1
        )

    def test_an_entry_that_ends_is_forgotten_within_seconds(self):
        self.tell(0, 1)
        self.tell(30, 2)
        self.now += 3
        self.assertLess(self.shares.share_use(self.team).used, 2)

    def test_an_entry_that_starts_again_counts_from_nothing(self):
        self.tell(30, 1)
        before = self.shares.share_use(self.team).used
        told = TeamCounts(8, {self.team.name: 4})
        self.limits.receive(NodeName('e-2'), told, 2, self.now)
        found = self.shares.share_use(self.team).used
        self.assertAlmostEqual(before + 4, found)

    def test_a_team_that_gets_a_limit_can_pass_no_more(self):
        """What others told before must not count as given back."""
        for _request in range(500):
            self.limits.take(self.team)
        self.tell(500, 1)
        self.team = Team(TeamName('t'), rate=10, burst=10)
        self.now += 1
        self.tell(505, 2)
        self.now += 20
        self.tell(510, 3)
        passed = 0
        while self.limits.take(self.team) <= 0:
            passed += 1
        self.assertLessEqual(passed, 12 - 5 + 1)
        self.assertEqual(500 + passed, self.limits.counts.counts['t'])


class ReplayTest(unittest.TestCase):
    """Loads of many teams on too few places."""

    #: What a team within its share may lose by others beyond theirs.
    _KEPT = 0.95

    def play(
        self,
        load,
        sharing=SharingPolicy.RECENT_USE,
        overload=OverloadPolicy.QUEUE_AT_ENTRY,
    ):
        """Play a load."""
        return FairnessReplay(load, 1, sharing, overload).play()

    def play_as_they_come(self, load):
        """Play a load without turns and without holding anybody."""
        return self.play(load, SharingPolicy.FIRST_COME, OverloadPolicy.REFUSE)

    @parameterized.expand(
        [
            ('hot_teams_and_half_of_the_engines', _HOT, (1, 2)),
            (
                'news_half_a_second_old',
                replace(_HOT, team_report_age=0.5),
                (1, 2),
            ),
            ('all_restart', replace(_HOT, restart_at=4.5), (1, 2)),
            (
                'items_beside',
                replace(_HOT, job_rate=1, engine_loss=(3, 9, 0.3)),
                (1, 2),
            ),
            ('hot_by_one_hall', replace(_HOT, draw_entry=_by_hall), (1, 2)),
            ('two_hot_and_fifty_small', _SMALL, (0, 1)),
        ],
    )
    def test_teams_within_their_shares(self, _name, load, hot):
        rest = [at for at in range(len(load.teams)) if at not in hot]
        calm = self.play_as_they_come(replace(load, surges=()))
        plain = self.play_as_they_come(load)
        fair = self.play(load)
        least = self._KEPT * calm.served(rest)
        self.assertGreater(fair.served(rest), least)
        self.assertLess(plain.served(rest), fair.served(rest))
        self.assertLess(plain.in_time(rest), fair.in_time(rest))
        self.assertLess(plain.worst_tenth(rest), fair.worst_tenth(rest))

    def test_the_teams_served_worst_as_without_hot_ones(self):
        rest = [0, *range(3, len(_TEAMS))]
        calm = self.play_as_they_come(replace(_HOT, surges=()))
        least = self._KEPT * calm.worst_tenth(rest)
        self.assertGreater(self.play(_HOT).worst_tenth(rest), least)
        self.assertLess(self.play_as_they_come(_HOT).worst_tenth(rest), least)

    def test_urgent_teams_first_and_others_not_starved(self):
        teams = [
            Team(TeamName(f't{at}'), rate=100, burst=100, priority=at % 2)
            for at in range(20)
        ]
        load = FairnessLoad(teams, [9] * 20, engines=12, duration=8)
        tally = self.play(load)
        urgent = tally.in_time(range(0, 20, 2))
        others = tally.in_time(range(1, 20, 2))
        self.assertGreater(urgent, others + 0.1)
        self.assertGreater(others, 0.1)

    def test_alike_teams_lose_nothing(self):
        load = FairnessLoad(
            _TEAMS, _USUAL, (), _BURSTS, engines=13, duration=14
        )
        plain = self.play_as_they_come(load)
        fair = self.play(load)
        self.assertGreater(fair.in_time(), plain.in_time() - 0.02)
        self.assertGreater(fair.served(), plain.served() - 0.02)


class EntryTurnTest(EntryCase):
    """Teams at an entry whose engines have no free place."""

    def begin(self, teams=('a', 'b')):
        """Start an entry where a request has to wait for an eighth of a run."""
        self.start(route('safe'), answers=[_PLAIN, _PLAIN])
        made = {
            **configuration(2, route('safe')),
            'tenants': [{'name': one, 'api_keys': [one]} for one in teams],
        }
        self.store.set('config', 'main', made)
        fleet = self.entry.fleet
        eventually(lambda: fleet.configuration.version == 2)
        fleet.pace.run_seconds = 1.0
        for engine in ('i-0', 'i-1'):
            fleet.loads.own.online[engine] += 8
        self.entry.shares.add('a', 60)
        for other in range(20):
            self.entry.shares.add(f'o{other}', 3)
        self.entry.shares.add('b', 3)

    def status(self, key):
        """Send a request with a key and give its status."""
        extra = [('X-Credential', key)] if key else []
        return self.read(self.ask(extra=extra))[0].status

    def test_the_team_over_its_share_is_refused_and_the_other_served(self):
        self.begin()
        self.assertEqual([503, 200], [self.status('a'), self.status('b')])
        shown = self.entry.state()['teams']
        self.assertGreater(shown['a']['had'], shown['a']['share'])
        self.assertEqual(1, shown['a']['no_place'])
        self.assertEqual(0, shown['b']['no_place'])
        (line,) = [
            one
            for one in map(str, self.entry.log.recent)
            if 'others go first' in one
        ]
        self.assertIn('share', line)

    def test_nobody_is_refused_while_a_place_is_free(self):
        self.begin()
        self.entry.fleet.loads.own.online['i-1'] -= 2
        self.assertEqual(200, self.status('a'))

    def test_without_teams_nobody_is_over_a_share(self):
        self.begin(teams=())
        self.assertEqual(200, self.status(None))
