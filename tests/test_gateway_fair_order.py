"""Fair order of items across teams, and retry times of full backlogs."""

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


def _cost(team, accepted_at=0.0, tokens=100, prospect=Prospect.LIKELY, name=''):
    return ItemCost(
        Urgency(prospect, accepted_at), team, JobId(name or team), tokens
    )


class FairOrderTest(unittest.TestCase):
    """Teams share slots whatever the number of their items."""

    def setUp(self):
        self.fair_order = FairOrder()

    def run_all(self, waiting, slots=4):
        """Run all items in order; return the round in which each started."""
        left = list(enumerate(waiting))
        begun = {}
        number = 0
        while left:
            number += 1
            order = self.fair_order.order(
                [item for _index, item in left], float(number)
            )
            taken = [
                position
                for position, _slot in zip(order, range(slots), strict=False)
            ]
            for position in taken:
                index, item = left[position]
                begun[index] = number
                self.fair_order.record_start(item, float(number))
            left = [
                item
                for position, item in enumerate(left)
                if position not in taken
            ]
        return begun

    def last_of_small(self, many, few):
        """Return the round in which the last item of the small team started."""
        begun = self.run_all([*many, *few])
        return max(
            begun[index] for index in range(len(many), len(many) + len(few))
        )

    @parameterized.expand(
        [
            ('alike', 100, 100, 5),
            ('large_items_of_the_other', 800, 100, 4),
            ('large_items_of_ones_own', 100, 200, 8),
        ]
    )
    def test_small_team_beside_large_one(self, _name, many, few, most):
        """Each of two teams gets half of four slots."""
        thousand = [_cost(_LARGE, 0, many) for _item in range(1000)]
        ten = [_cost(_SMALL, 1, few) for _item in range(10)]
        self.assertLessEqual(self.last_of_small(thousand, ten), most)

    def test_fifty_small_teams(self):
        thousand = [_cost(_LARGE) for _item in range(1000)]
        ten = [_cost(TeamName(f't{at % 50}'), 1) for at in range(500)]
        self.assertLessEqual(self.last_of_small(thousand, ten), 130)

    def test_recent_use_counts(self):
        for _item in range(5):
            self.fair_order.record_start(_cost(_LARGE), 1)
        waiting = [_cost(_LARGE), _cost(_SMALL, 5), _cost(_SMALL, 6)]
        self.assertEqual([1, 2, 0], list(self.fair_order.order(waiting, 2)))

    def test_old_use_is_forgotten(self):
        self.fair_order.record_start(_cost(_LARGE), 1)
        waiting = [_cost(_LARGE), _cost(_SMALL, 5)]
        self.assertEqual([0, 1], list(self.fair_order.order(waiting, 500)))

    @parameterized.expand(
        [
            (
                'too_late_ones_last',
                [_cost(_LARGE, 0, prospect=Prospect.TOO_LATE), _cost(_SMALL)],
                [1, 0],
            ),
            (
                'oldest_job_of_a_team',
                [_cost(_LARGE, 9, name='b'), _cost(_LARGE, 3, name='a')],
                [1, 0],
            ),
            ('nothing', [], []),
            ('no_size', [_cost(_LARGE, tokens=0), _cost(_SMALL)], [0, 1]),
        ]
    )
    def test_order(self, _name, waiting, expected):
        self.assertEqual(expected, list(self.fair_order.order(waiting, 1)))

    def test_jobs_of_the_same_age_alternate(self):
        self.fair_order.record_start(_cost(_LARGE, 0.1, name='a'), 1)
        waiting = [
            _cost(_LARGE, 0.1, name='a'),
            _cost(_LARGE, 0.2, name='b'),
        ]
        self.assertEqual([1, 0], list(self.fair_order.order(waiting, 1)))

    def test_renamed_team_starts_without_use(self):
        """Use under the old name counts for nobody, and nobody starves."""
        for _item in range(100):
            self.fair_order.record_start(_cost(_LARGE), 1)
        renamed = TeamName('renamed')
        waiting = [_cost(_SMALL), *(_cost(renamed) for _item in range(50))]
        self.assertIn(0, list(self.fair_order.order(waiting, 1))[:2])

    def test_each_item_is_ordered_once(self):
        """Property: an order is a permutation of the items."""
        noise = random.Random(3)
        for _case in range(100):
            waiting = [
                _cost(
                    TeamName(f't{noise.randrange(5)}'),
                    noise.uniform(0, 5),
                    noise.randrange(1000),
                    noise.choice(list(Prospect)),
                )
                for _item in range(noise.randrange(40))
            ]
            order = list(self.fair_order.order(waiting, noise.uniform(0, 20)))
            self.assertEqual(list(range(len(waiting))), sorted(order))


class BacklogRatesTest(unittest.TestCase):
    """Retry times for teams whose backlog is full."""

    def seconds(self, rate, over):
        """Return the estimate after a steady rate of tokens per second."""
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
