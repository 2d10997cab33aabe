"""Teams' items take turns, and teams learn when there is room."""

import random
import unittest

from bendlead_gateway._scheduling.backlog import BacklogRates
from bendlead_gateway._scheduling.fair_order import FairOrder, ItemCost
from bendlead_gateway._scheduling.urgency import Prospect, Urgency
from bendlead_gateway.types import JobId, TeamName
from parameterized import parameterized

_LARGE = TeamName('large')
_SMALL = TeamName('small')
_HOST = 'a.example'


def _turn(team, accepted_at=0.0, tokens=100, prospect=Prospect.LIKELY, name=''):
    return ItemCost(
        Urgency(prospect, accepted_at), team, JobId(name or team), tokens
    )


class TurnsTest(unittest.TestCase):
    """No team waits for all items of another."""

    def setUp(self):
        self.turns = FairOrder()

    def run_all(self, waiting, places=4):
        """Run items in turn; give the round in which each one began."""
        left = list(enumerate(waiting))
        begun = {}
        number = 0
        while left:
            number += 1
            order = self.turns.order([one for _at, one in left], float(number))
            taken = [
                place for place, _at in zip(order, range(places), strict=False)
            ]
            for place in taken:
                at, one = left[place]
                begun[at] = number
                self.turns.record_start(one, float(number))
            left = [one for place, one in enumerate(left) if place not in taken]
        return begun

    def last_of_small(self, many, few):
        """Tell in which round the last item of the small team began."""
        begun = self.run_all([*many, *few])
        return max(begun[at] for at in range(len(many), len(many) + len(few)))

    @parameterized.expand(
        [
            ('alike', 100, 100, 5),
            ('large_items_of_the_other', 800, 100, 4),
            ('large_items_of_ones_own', 100, 200, 8),
        ]
    )
    def test_a_thousand_and_ten(self, _name, many, few, most):
        """Two teams of which each has half of four places."""
        thousand = [_turn(_LARGE, 0, many) for _item in range(1000)]
        ten = [_turn(_SMALL, 1, few) for _item in range(10)]
        self.assertLessEqual(self.last_of_small(thousand, ten), most)

    def test_fifty_small_teams(self):
        thousand = [_turn(_LARGE) for _item in range(1000)]
        ten = [_turn(TeamName(f't{at % 50}'), 1) for at in range(500)]
        self.assertLessEqual(self.last_of_small(thousand, ten), 130)

    def test_team_that_had_much_waits(self):
        for _item in range(5):
            self.turns.record_start(_turn(_LARGE), 1)
        waiting = [_turn(_LARGE), _turn(_SMALL, 5), _turn(_SMALL, 6)]
        self.assertEqual([1, 2, 0], list(self.turns.order(waiting, 2)))

    def test_what_a_team_had_long_ago_is_forgotten(self):
        self.turns.record_start(_turn(_LARGE), 1)
        waiting = [_turn(_LARGE), _turn(_SMALL, 5)]
        self.assertEqual([0, 1], list(self.turns.order(waiting, 500)))

    @parameterized.expand(
        [
            (
                'too_late_ones_last',
                [_turn(_LARGE, 0, prospect=Prospect.TOO_LATE), _turn(_SMALL)],
                [1, 0],
            ),
            (
                'oldest_job_of_a_team',
                [_turn(_LARGE, 9, name='b'), _turn(_LARGE, 3, name='a')],
                [1, 0],
            ),
            ('nothing', [], []),
            ('no_size', [_turn(_LARGE, tokens=0), _turn(_SMALL)], [0, 1]),
        ]
    )
    def test_order(self, _name, waiting, expected):
        self.assertEqual(expected, list(self.turns.order(waiting, 1)))

    def test_jobs_due_alike_take_turns(self):
        self.turns.record_start(_turn(_LARGE, 0.1, name='a'), 1)
        waiting = [
            _turn(_LARGE, 0.1, name='a'),
            _turn(_LARGE, 0.2, name='b'),
        ]
        self.assertEqual([1, 0], list(self.turns.order(waiting, 1)))

    def test_renamed_team_begins_anew(self):
        """Its items of before count for nobody; nobody waits for ever."""
        for _item in range(100):
            self.turns.record_start(_turn(_LARGE), 1)
        renamed = TeamName('renamed')
        waiting = [_turn(_SMALL), *(_turn(renamed) for _item in range(50))]
        self.assertIn(0, list(self.turns.order(waiting, 1))[:2])

    def test_no_item_is_lost_or_given_twice(self):
        """Property: an order holds each item once."""
        noise = random.Random(3)
        for _case in range(100):
            waiting = [
                _turn(
                    TeamName(f't{noise.randrange(5)}'),
                    noise.uniform(0, 5),
                    noise.randrange(1000),
                    noise.choice(list(Prospect)),
                )
                for _item in range(noise.randrange(40))
            ]
            order = list(self.turns.order(waiting, noise.uniform(0, 20)))
            self.assertEqual(list(range(len(waiting))), sorted(order))


class DrainTest(unittest.TestCase):
    """A team that has no room is told when it will have some."""

    def seconds(self, rate, over):
        """Tell the time after a rate of tokens a second for long."""
        rates = BacklogRates()
        for tenth in range(1000):
            rates.record_finished(_HOST, _LARGE, rate // 10, tenth / 10)
        return rates.estimate_seconds(_HOST, _LARGE, over, 100, lambda: 0)

    @parameterized.expand(
        [
            ('nothing_finished', 0, 100, 1),
            ('fast', 10_000, 10_000, 1),
            ('slow', 1000, 5000, 5),
            ('endless', 10, 10**6, 10),
            ('at_once', 10_000, 1, 0.3),
        ]
    )
    def test_seconds(self, _name, rate, over, expected):
        self.assertAlmostEqual(expected, self.seconds(rate, over), delta=0.4)

    def test_other_teams_do_not_count(self):
        rates = BacklogRates()
        rates.record_finished(_HOST, _LARGE, 10**6, 1)
        self.assertEqual(
            1, rates.estimate_seconds(_HOST, _SMALL, 10, 1, lambda: 0)
        )
