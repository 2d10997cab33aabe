"""What must always hold, under each fault and under pairs of them."""

import unittest

from bendlead_testing.faults import FAULTS
from bendlead_testing.trial import Trial, cluster_for_trials
from parameterized import parameterized

_PAIRS = [
    ('entry_killed', 'store_away'),
    ('entry_paused', 'replies_lost'),
    ('endpoint_killed', 'entry_cut_off'),
    ('engine_killed', 'entry_killed'),
]


class FaultTest(unittest.TestCase):
    cluster = None

    @classmethod
    def setUpClass(cls) -> None:
        cls.cluster = cluster_for_trials()

    @classmethod
    def tearDownClass(cls) -> None:
        cls.cluster.__exit__()

    @parameterized.expand(
        [
            *((name, [name]) for name in sorted(FAULTS)),
            *(('_and_'.join(pair), list(pair)) for pair in _PAIRS),
        ]
    )
    def test_promises_hold_under(self, name, faults) -> None:
        seed = sorted(FAULTS).index(faults[0]) + 100 * len(faults)
        outcome = Trial(self.cluster, seed).run(faults, 2.5)
        states = [] if outcome.whole else self._states()
        self.assertTrue(outcome.whole, f'{name}: {outcome} {states}')
        self.assertGreater(outcome.completed, 0)

    def _states(self) -> list[str]:
        states = [self.cluster.state(entry) for entry in self.cluster.entries]
        return [
            f'{state["node"]} {state["shards"]} {state["jobs"]}'
            for state in states
        ]
