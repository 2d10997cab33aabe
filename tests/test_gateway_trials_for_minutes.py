"""What crashes engines for longer than a minute, or for minutes until it ends.

Guards against late sends beyond the three allowed, and against items that wait
for longer than owed. Both together hold for less than a minute only.
"""

import unittest
from itertools import product

from bendlead_testing.trial_replay import (
    SuspectKind,
    TrialLoad,
    TrialReplay,
)
from parameterized import parameterized

from tests.test_gateway_trials_used_up import play_until_calm

_CONTACT_SECONDS = 3.0
_LATE_SENDS = 3
_KNOWN = {False: 3, True: 5}
_SEEDS = range(4)


class MinutesTest(unittest.TestCase):
    """The same suspects as in the first minute."""

    @parameterized.expand(product(SuspectKind))
    def test_few_engines_get_it_in_three_minutes(self, kind):
        for seed in _SEEDS:
            load = TrialLoad(kind, deadly_until=1000)
            outcome = TrialReplay(load, seed).play(180)
            late = outcome.late(_KNOWN[kind.is_part], _CONTACT_SECONDS)
            self.assertLessEqual(late, _LATE_SENDS)

    @parameterized.expand(product(SuspectKind, (60.0, 90.0)))
    def test_is_answered_in_time(self, kind, until):
        load = TrialLoad(kind, deadly_until=until)
        self.assertEqual([], play_until_calm(load, calm_after=until))


if __name__ == '__main__':
    unittest.main()
