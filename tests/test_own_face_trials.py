"""What crashed engines of bendlead-node is tried again once that has ended.

Guards against sound requests that are refused for an hour because engines
crashed for other causes while they ran.
"""

import unittest
from itertools import product

from bendlead_gateway.suspects import CrashHistory
from bendlead_node._entry.trial_schedule import remaining_pause
from bendlead_schema.gateway import SuspectRecord
from bendlead_store import Failure, FailureKind
from bendlead_testing.face_replay import FaceLoad, FaceReplay
from parameterized import parameterized
from result import Err

from tests.bounded_store import BoundedStore

#: Twice the 4 s of contact_ms, and an answer of 2 s.
_RELEASED_SECONDS = 10.0
#: So much later each entry begins its own trials while the service is away.
_TURN_SECONDS = 1.0
#: Sends later than 3 s after the third crash that a deadly request may have.
_CONTACT_SECONDS = 3.0
_LATE_SENDS = 3
_SEEDS = range(20)
_DEADLY_SEEDS = range(10)


class AwayStore:
    """An object service that can't be reached."""

    def fetch(self, key):
        return Err(Failure(FailureKind.NOT_DONE, 'fetch', key))

    def put(self, key, _body, _expected):
        return Err(Failure(FailureKind.NOT_DONE, 'put', key))


def play(load, seed, seconds, store=None):
    """Play a load with one object service for all entries."""
    shared = store or BoundedStore()
    return FaceReplay(load, seed, [shared] * load.entries).play(seconds)


def refused_in_calm(load, calm_after, store=None, released=_RELEASED_SECONDS):
    """Return the seeds in which it is refused too long after the trouble."""
    refused = []
    quarantined = 0
    for seed in _SEEDS:
        outcome = play(load, seed, calm_after + released + 5, store)
        quarantined += bool(outcome.quarantined)
        served = [at for at in outcome.answered if at > calm_after]
        since = max(outcome.quarantined, default=0)
        if not served or since > calm_after + released:
            refused.append(seed)
    return quarantined, refused


class OtherCausesTest(unittest.TestCase):
    """Engines crash for other causes while a sound request runs on them."""

    @parameterized.expand(
        [
            ('short', 6, 1.2, 6.0, 3),
            ('two', 2, 0.5, 60.0, 1),
            ('three', 3, 0.5, 60.0, 1),
            ('all_at_once', 6, 2.8, 28.0, 6),
            ('half_at_once', 6, 1.2, 30.0, 3),
            ('sparse', 2, 2.5, 50.0, 1),
        ]
    )
    def test_is_served_soon(self, _name, engines, every, until, crashing):
        for entries in (1, 3):
            load = FaceLoad(
                entries=entries,
                engines=engines,
                every=every,
                crashes_until=until,
                crashing=crashing,
            )
            quarantined, refused = refused_in_calm(load, until)
            self.assertTrue(quarantined)
            self.assertEqual([], refused, f'{entries} entries')


class UntellingTrialTest(unittest.TestCase):
    """Trials end in silence, which says nothing about the request."""

    @parameterized.expand([('12', 12.0), ('60', 60.0)])
    def test_is_served_soon(self, _name, until):
        for entries in (1, 3):
            load = FaceLoad(
                entries=entries, deadly_until=1.5, silent_until=until
            )
            quarantined, refused = refused_in_calm(load, until)
            self.assertTrue(quarantined)
            self.assertEqual([], refused, f'{entries} entries')


class StoreAwayTest(unittest.TestCase):
    """The object service is away, so that no trial can be claimed."""

    def test_is_served_soon(self):
        """Entries don't learn from each other, and take turns."""
        load = FaceLoad(entries=3, every=1.2, crashes_until=6.0, crashing=3)
        quarantined, refused = refused_in_calm(
            load, 6.0, AwayStore(), _RELEASED_SECONDS + 2 * _TURN_SECONDS
        )
        self.assertTrue(quarantined)
        self.assertEqual([], refused)

    def test_each_entry_has_its_own_trials(self):
        """The cost: the allowance of each of three entries."""
        for seed in _DEADLY_SEEDS:
            load = FaceLoad(entries=3, deadly_until=1000)
            outcome = play(load, seed, 70, AwayStore())
            late = outcome.late(_CONTACT_SECONDS, 60)
            self.assertLessEqual(late, 3 * _LATE_SENDS, f'seed {seed}')


class ForeverDeadlyTest(unittest.TestCase):
    """It crashes each engine for ever, and few engines get it."""

    @parameterized.expand(
        [
            ('alone', 6, 1.0, 0, 1),
            ('beside_a_series', 6, 0.5, 80.0, 1),
            ('beside_half_at_once', 6, 1.2, 80.0, 3),
            ('beside_sparse_crashes', 6, 2.5, 80.0, 1),
            ('behind_a_series', 6, 1.2, 20.0, 3),
        ]
    )
    def test_few_engines_get_it(self, _name, engines, every, until, crashing):
        for entries, seed in product((1, 3), _DEADLY_SEEDS):
            load = FaceLoad(
                entries=entries,
                engines=engines,
                every=every,
                crashes_until=until,
                crashing=crashing,
                deadly_until=1000,
            )
            outcome = play(load, seed, 70)
            late = outcome.late(_CONTACT_SECONDS, 60)
            self.assertLessEqual(
                late, _LATE_SENDS, f'{entries} entries, seed {seed}'
            )


class PauseTest(unittest.TestCase):
    """Pauses by what is known of a request that crashed three engines."""

    @parameterized.expand(
        [
            ('no_trial', [], 0, 2.0),
            ('trial_of_which_nothing_is_known', [2.1], 0, 4.0),
            ('one_failed', [2.0], 1, 15.1),
            ('two_late_ones', [4.0, 19.1], 2, 15.1),
            ('third_late_one', [4.0, 19.1, 34.1], 3, 30.1),
            ('sixth_late_one', [4, 20, 36, 67, 128, 250], 6, 240.1),
            ('no_longer_than_an_hour', range(4, 4 + 12 * 9, 9), 12, 3600.1),
        ]
    )
    def test_pause(self, _name, trials, failed, pause):
        """It ends so long after the latest trial, or crash without one."""
        record = self.record(trials, failed)
        latest = max(trials, default=0)
        for early in (0.5, -0.01):
            left = remaining_pause(record, {}, latest + pause - early, 0)
            self.assertAlmostEqual(max(0, early), left, 2)

    @parameterized.expand(
        [('crash', 'd@9', '2000'), ('trial', 'd@0', '3600000')]
    )
    def test_times_ahead_of_the_own_clock(self, _name, crash, trial):
        """A clock that is ahead by an hour costs no hour."""
        record = self.record([2.0], 0)
        record.ends[crash] = 3_600_000 if crash == 'd@9' else 0
        record.trials[trial] = 'd'
        self.assertEqual(0, remaining_pause(record, {}, 10, 0))

    def test_waits_for_calm_for_a_bounded_time(self):
        record = self.record([], 0)
        self.assertEqual(2, remaining_pause(record, {}, 3, 2))
        self.assertEqual(0, remaining_pause(record, {}, 17.1, 2))

    def test_record_stays_bounded(self):
        history = CrashHistory()
        for second in range(200):
            history.merge(self.record([second], 1), second)
        record = history.record('r')
        self.assertLessEqual(len(record.trials), 16)
        self.assertLessEqual(len(record.ends), 16)

    def record(self, trials, failed):
        """Return a record of three crashes, trials, and those that failed."""
        record = SuspectRecord(digest='r', ends={f'{n}@0': 0 for n in 'abc'})
        for number, began in enumerate(trials):
            began_ms = round(began * 1000)
            record.trials[str(began_ms)] = 'd'
            if number < failed:
                record.ends[f'd@{began_ms}'] = began_ms + 100
        return record


if __name__ == '__main__':
    unittest.main()
