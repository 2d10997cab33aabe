"""Fair sharing between teams that compete for too few slots."""

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
#: Two hot teams while half of the engines are lost.
_HOT = FairnessLoad(
    _TEAMS,
    _USUAL,
    [Surge(3, 11, [1], 8), Surge(3, 11, [2], 6)],
    _BURSTS,
    engine_loss=(3, 11, 0.5),
    duration=14,
)
_EQUAL = [
    Team(TeamName(f't{number}'), rate=100, burst=100) for number in range(52)
]
_SMALL = FairnessLoad(
    _EQUAL, [1.4] * 52, [Surge(1, 9, [0, 1], 60)], engines=12, duration=10
)


def _draw_entry(team, rng):
    """Route the clients of the hot teams to the entries of one data hall."""
    return rng.randrange(5) if team in {1, 2} else rng.randrange(20)


class SharesByPriorityTest(unittest.TestCase):
    """Shares by weight and priority, and admission by them."""

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
    def test_over_share(self, _name, teams, over):
        usages = [TeamUsage(*team) for team in teams]
        shares = shares_by_priority(usages)
        over_share = [
            usage.requests > shares[usage.priority] * usage.weight * 1.001
            for usage in usages
        ]
        self.assertEqual(over, over_share)

    def test_lower_priority_keeps_a_minimum_share(self):
        """Urgent teams must not starve the others."""
        self.assertEqual(
            10, shares_by_priority([TeamUsage(90, 1), TeamUsage(10, 1, 1)])[1]
        )
        self.assertEqual(
            10, shares_by_priority([TeamUsage(60, 1), TeamUsage(40, 1, 1)])[1]
        )

    def test_few_urgent_requests_reduce_other_shares_little(self):
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
    def test_teams_over_their_share_are_refused_first(self, teams, wait):
        usages = [TeamUsage(*team) for team in teams]
        shares = shares_by_priority(usages)
        share_uses = [
            ShareUse(
                usage.requests, shares[usage.priority] * usage.weight + 0.01
            )
            for usage in usages
        ]
        refused = [
            check_admission(AdmissionRequest(0.3, 5, use), wait, lambda: 0.5)
            is not None
            for use in share_uses
        ]
        below = [no for use, no in zip(share_uses, refused, strict=True)
                 if not use.over_share]  # fmt: skip
        above = [no for use, no in zip(share_uses, refused, strict=True)
                 if use.over_share]  # fmt: skip
        self.assertTrue(not any(below) or all(above))
        # At least one team is within its share.
        self.assertTrue(below)

    @given(st.floats(0, 1e6), st.floats(0, 1e6), st.booleans())
    def test_none_refused_while_a_slot_is_free(self, used, share, behind):
        request = AdmissionRequest(0.3, 5, ShareUse(used, share), behind)
        self.assertIsNone(check_admission(request, 0, lambda: 0.5))


class TeamSharesTest(unittest.TestCase):
    """Shares of teams as counted by one entry."""

    def setUp(self):
        self.now = 100.0
        self.teams = {team.name: team for team in _EQUAL}
        self.shares = TeamShares(
            lambda name: self.teams.get(name), lambda: self.now
        )

    def add(self, team, requests):
        """Count requests of the team with a number."""
        self.shares.add(TeamName(f't{team}'), requests)

    def share_use(self, team):
        """Return the share use of the team with a number."""
        return self.shares.share_use(self.teams[f't{team}'])

    def add_hot_team(self):
        """Count many requests of one team and few of twenty others."""
        self.add(0, 60)
        for team in range(1, 21):
            self.add(team, 3)

    def test_hot_team_is_over_and_others_are_not(self):
        self.add_hot_team()
        self.assertTrue(self.share_use(0).over_share)
        self.assertEqual(
            [1] * 20,
            [self.share_use(number).wait_factor for number in range(1, 21)],
        )

    def test_clients_without_a_team_are_never_over(self):
        self.add_hot_team()
        self.assertIs(UNCONTESTED, self.shares.share_use(None))

    def test_a_team_that_was_idle_gets_its_share_at_once(self):
        self.add_hot_team()
        self.now += 0.2
        self.add(30, 3)
        self.assertEqual(1, self.share_use(30).wait_factor)
        self.assertLess(self.share_use(0).wait_factor, 1)

    def test_no_team_is_over_without_counts(self):
        self.assertEqual(1, self.share_use(0).wait_factor)

    def test_removed_team_is_not_counted(self):
        self.add_hot_team()
        del self.teams['t0']
        self.assertNotIn('t0', self.shares.summary())
        self.assertFalse(self.share_use(1).over_share)

    def test_renamed_team_starts_from_zero_and_old_name_is_dropped(self):
        self.add_hot_team()
        del self.teams['t0']
        self.teams['new'] = Team(TeamName('new'), rate=100, burst=100)
        self.now += 0.2
        self.shares.add(TeamName('new'), 2)
        self.assertFalse(self.shares.share_use(self.teams['new']).over_share)
        self.assertEqual(
            {'new', *(f't{number}' for number in range(1, 21))},
            set(self.shares.summary()),
        )

    def test_a_team_that_is_added_has_a_share_at_once(self):
        self.add_hot_team()
        self.teams['new'] = Team(TeamName('new'), rate=100, burst=100)
        self.assertEqual(
            1, self.shares.share_use(self.teams['new']).wait_factor
        )

    def test_a_lower_limit_is_a_lower_weight(self):
        for team in range(20):
            self.add(team, 10)
        self.assertEqual(1, self.share_use(0).wait_factor)
        self.teams['t0'] = Team(TeamName('t0'), rate=10, burst=10)
        self.now += 0.2
        self.assertTrue(self.share_use(0).over_share)

    def test_a_higher_limit_is_a_higher_weight(self):
        self.add_hot_team()
        self.now += 0.1
        before = self.share_use(0)
        self.teams['t0'] = Team(TeamName('t0'), rate=10_000, burst=100)
        self.now += 0.2
        self.assertGreater(
            self.share_use(0).wait_factor, 1.5 * before.wait_factor
        )

    def test_teams_without_requests_are_dropped(self):
        for number in range(10_000):
            self.shares.add(TeamName(f'n{number}'), 1)
        self.now += 30
        self.add(0, 1)
        self.share_use(0)
        self.assertEqual(['t0'], list(self.shares._sums))

    def test_requests_that_did_not_run_are_refunded(self):
        self.add(0, 5)
        self.add(0, -5)
        self.assertEqual({}, self.shares.summary())

    def test_late_report_counts_for_one_second_only(self):
        self.shares.receive({TeamName('t0'): 30}, 3)
        self.assertAlmostEqual(10, self.share_use(0).used)


class TeamCountsTest(unittest.TestCase):
    """Reported counts add to the shares and never raise a rate limit."""

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

    def report(self, count, version):
        """Deliver another entry's report of its count."""
        counts = TeamCounts(7, {self.team.name: count})
        self.limits.receive(NodeName('e-2'), counts, version, self.now)

    def test_counts_of_teams_without_limit_are_reported(self):
        waits = [self.limits.take(self.team) for _request in range(20)]
        self.limits.refund(self.team)
        self.assertEqual([0] * 20, waits)
        self.assertEqual({'t': 19}, dict(self.limits.counts.counts))

    def test_counts_of_other_entries(self):
        self.report(5, 1)
        self.now += 0.1
        before = self.shares.share_use(self.team).used
        self.report(17, 2)
        self.assertAlmostEqual(
            before + 12, self.shares.share_use(self.team).used
        )

    def test_restarted_entry_counts_only_new_requests_of_others(self):
        """The first report has the peer's total, most of it long past."""
        self.limits._started = self.now
        self.report(5000, 1)
        self.assertLess(self.shares.share_use(self.team).used, 1)
        self.now += 0.1
        self.report(5030, 2)
        self.assertAlmostEqual(
            30, self.shares.share_use(self.team).used, delta=1
        )

    def test_counts_of_a_stopped_entry_expire_within_seconds(self):
        self.report(0, 1)
        self.report(30, 2)
        self.now += 3
        self.assertLess(self.shares.share_use(self.team).used, 2)

    def test_counts_of_a_restarted_entry_start_from_zero(self):
        self.report(30, 1)
        before = self.shares.share_use(self.team).used
        counts = TeamCounts(8, {self.team.name: 4})
        self.limits.receive(NodeName('e-2'), counts, 2, self.now)
        after = self.shares.share_use(self.team).used
        self.assertAlmostEqual(before + 4, after)

    def test_a_new_limit_is_not_exceeded(self):
        """Earlier reports of peers must not count as refunds."""
        for _request in range(500):
            self.limits.take(self.team)
        self.report(500, 1)
        self.team = Team(TeamName('t'), rate=10, burst=10)
        self.now += 1
        self.report(505, 2)
        self.now += 20
        self.report(510, 3)
        admitted = 0
        while self.limits.take(self.team) <= 0:
            admitted += 1
        self.assertLessEqual(admitted, 12 - 5 + 1)
        self.assertEqual(500 + admitted, self.limits.counts.counts['t'])


class FairnessReplayTest(unittest.TestCase):
    """Loads of many teams on too few slots."""

    #: Least part of its usual service that a team within its share keeps.
    _MIN_SERVED_RATIO = 0.95

    def play(
        self,
        load,
        sharing=SharingPolicy.RECENT_USE,
        overload=OverloadPolicy.QUEUE_AT_ENTRY,
    ):
        """Replay a load and return its tally."""
        return FairnessReplay(load, 1, sharing, overload).play()

    def play_first_come(self, load):
        """Replay a load without fair shares and without a queue."""
        return self.play(load, SharingPolicy.FIRST_COME, OverloadPolicy.REFUSE)

    @parameterized.expand(
        [
            ('hot_teams_and_half_of_the_engines', _HOT, (1, 2)),
            (
                'reports_half_a_second_old',
                replace(_HOT, team_report_age=0.5),
                (1, 2),
            ),
            ('all_entries_restart', replace(_HOT, restart_at=4.5), (1, 2)),
            (
                'with_batch_items',
                replace(_HOT, job_rate=1, engine_loss=(3, 9, 0.3)),
                (1, 2),
            ),
            (
                'hot_teams_use_one_hall',
                replace(_HOT, draw_entry=_draw_entry),
                (1, 2),
            ),
            ('two_hot_and_fifty_small', _SMALL, (0, 1)),
        ],
    )
    def test_teams_within_their_shares(self, _name, load, hot):
        others = [team for team in range(len(load.teams)) if team not in hot]
        calm = self.play_first_come(replace(load, surges=()))
        plain = self.play_first_come(load)
        fair = self.play(load)
        least = self._MIN_SERVED_RATIO * calm.served(others)
        self.assertGreater(fair.served(others), least)
        self.assertLess(plain.served(others), fair.served(others))
        self.assertLess(plain.in_time(others), fair.in_time(others))
        self.assertLess(plain.worst_tenth(others), fair.worst_tenth(others))

    def test_hot_teams_do_not_affect_the_worst_served_tenth(self):
        others = [0, *range(3, len(_TEAMS))]
        calm = self.play_first_come(replace(_HOT, surges=()))
        least = self._MIN_SERVED_RATIO * calm.worst_tenth(others)
        self.assertGreater(self.play(_HOT).worst_tenth(others), least)
        self.assertLess(self.play_first_come(_HOT).worst_tenth(others), least)

    def test_urgent_teams_come_first_without_starving_others(self):
        teams = [
            Team(
                TeamName(f't{number}'), rate=100, burst=100, priority=number % 2
            )
            for number in range(20)
        ]
        load = FairnessLoad(teams, [9] * 20, engines=12, duration=8)
        tally = self.play(load)
        urgent = tally.in_time(range(0, 20, 2))
        others = tally.in_time(range(1, 20, 2))
        self.assertGreater(urgent, others + 0.1)
        self.assertGreater(others, 0.1)

    def test_equally_loaded_teams_lose_nothing(self):
        load = FairnessLoad(
            _TEAMS, _USUAL, (), _BURSTS, engines=13, duration=14
        )
        plain = self.play_first_come(load)
        fair = self.play(load)
        self.assertGreater(fair.in_time(), plain.in_time() - 0.02)
        self.assertGreater(fair.served(), plain.served() - 0.02)


class EntrySharesTest(EntryCase):
    """Teams at an entry whose engines have no free slot."""

    def start_entry(self, teams=('a', 'b')):
        """Start an entry whose requests wait for an eighth of a run."""
        self.start(route('safe'), answers=[_PLAIN, _PLAIN])
        document = {
            **configuration(2, route('safe')),
            'tenants': [{'name': name, 'api_keys': [name]} for name in teams],
        }
        self.store.set('config', 'main', document)
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
        """Send a request with an API key and return the status."""
        extra = [('X-Credential', key)] if key else []
        return self.read(self.send_request(extra=extra))[0].status

    def test_the_team_over_its_share_is_refused_and_the_other_served(self):
        self.start_entry()
        self.assertEqual([503, 200], [self.status('a'), self.status('b')])
        shown = self.entry.state()['teams']
        self.assertGreater(shown['a']['had'], shown['a']['share'])
        self.assertEqual(1, shown['a']['no_place'])
        self.assertEqual(0, shown['b']['no_place'])
        (line,) = [
            entry
            for entry in map(str, self.entry.log.recent)
            if 'others go first' in entry
        ]
        self.assertIn('share', line)

    def test_no_request_is_refused_while_a_slot_is_free(self):
        self.start_entry()
        self.entry.fleet.loads.own.online['i-1'] -= 2
        self.assertEqual(200, self.status('a'))

    def test_without_teams_no_request_is_refused(self):
        self.start_entry(teams=())
        self.assertEqual(200, self.status(None))
