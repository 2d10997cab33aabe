"""Crashes of engines in series, and the calm between them.

Guards against trials in a series, and against waits that no calm ends.
"""

import unittest
from itertools import product
from unittest import mock

from bendlead_gateway._suspects.calm import EngineCalm
from bendlead_gateway._suspects.crash_table import CrashTable
from bendlead_gateway._suspects.digest import RequestDigest
from bendlead_store import clock
from bendlead_testing.trial_replay import (
    SuspectKind,
    TrialLoad,
    TrialReplay,
)
from parameterized import parameterized

_CALM = 2.0
#: Most suspects wait for a calm that is longer than this, 5 s at most.
_APART_SECONDS = 4.2
#: A trial is due after so long, however engines crash.
_LONGEST_WAIT_SECONDS = 60
_SECONDS = 200
#: Crashes that the table keeps.
_MOST_CRASHES = 128


class CalmCase(unittest.TestCase):
    """A calm with a simulated clock."""

    def setUp(self):
        self.now = 0.0
        self.calm = EngineCalm()
        patched = mock.patch.object(clock, 'uptime', lambda: self.now)
        patched.start()
        self.addCleanup(patched.stop)


class NewsTest(CalmCase):
    """Reports of crashes come later than that of the latest one."""

    @parameterized.expand(
        [
            ('older', {'y@0': 4000}, 0),
            ('known', {'x@0': 5000}, 0),
            ('older_and_known', {'y@0': 4000, 'x@0': 5000}, 0),
            ('none', {}, 0),
            ('of_the_same_time', {'y@0': 5000}, 0),
            ('later', {'y@0': 5001}, _CALM),
        ]
    )
    def test_only_later_crashes_start_a_new_calm(self, _name, news, remaining):
        """Guards against a wait for calm with each report of a peer."""
        self.calm.record_crashes({'x@0': 5000})
        self.now = 3.0
        self.calm.record_crashes(news)
        self.assertEqual(remaining, self.calm.remaining(_CALM))
        self.assertEqual(3, self.calm.series_seconds)

    def test_old_news_begins_no_series(self):
        """Guards against a wait for calm that begins anew."""
        self.calm.record_crashes({'x@0': 5000})
        self.now = 60.0
        self.calm.record_crashes({'y@0': 4000})
        self.assertEqual(60, self.calm.series_seconds)


class GapTest(CalmCase):
    """Crashes at even intervals."""

    @parameterized.expand(
        [('dense', 0.5, 30), ('longest_gap', 5.9, 30), ('apart', 6.1, 0)]
    )
    def test_series(self, _name, gap, gaps):
        """A series is longer than any calm that trials wait for."""
        for number in range(31):
            self.now = number * gap
            self.calm.record_crashes({f'x-{number}@0': number + 1})
        self.assertAlmostEqual(gaps * gap, self.calm.series_seconds)

    @parameterized.expand(product(SuspectKind))
    def test_trials_go_on_in_a_series(self, kind):
        """Guards against crashes that each begin a new wait for calm."""
        load = TrialLoad(
            kind, deadly_until=1000, every=_APART_SECONDS, crashes_until=1000
        )
        outcome = TrialReplay(load, seed=1).play(_SECONDS)
        longest = outcome.longest_wait(0, _SECONDS)
        self.assertLess(longest, _LONGEST_WAIT_SECONDS + 1)


class TriedTest(unittest.TestCase):
    """Which crashes are known as those of trials."""

    def test_tried_are_known_crashes(self):
        """Guards against a set that grows for as long as the process runs."""
        table = CrashTable()
        for number in range(_MOST_CRASHES + 9):
            table.add(RequestDigest('d'), {f'x-{number}@0': number})
            table.add_tried(f'x-{number}@0')
        newest = {f'x-{number}@0' for number in range(9, _MOST_CRASHES + 9)}
        self.assertEqual(newest, table.tried)

    def test_crash_that_has_been_dropped(self):
        """A record may tell of it again."""
        table = CrashTable()
        for number in range(_MOST_CRASHES):
            table.add(RequestDigest('d'), {f'x-{number}@0': 10 + number})
        table.add(RequestDigest('d'), {'old@0': 1})
        table.add_tried('old@0')
        self.assertEqual(set(), table.tried)


if __name__ == '__main__':
    unittest.main()
