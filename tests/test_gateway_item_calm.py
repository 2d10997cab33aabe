"""Sound items among crashes of other causes, replayed without input and output.

Guards against items that use up their trials in a series of crashes.
"""

import unittest
from random import Random
from unittest import mock

from bendlead_gateway._suspects import trial_schedule
from bendlead_gateway._suspects.crash_history import CrashHistory
from bendlead_gateway._suspects.crash_table import CrashTable
from bendlead_gateway._suspects.item_trials import ItemTrials
from bendlead_gateway._suspects.trial_schedule import TrialSchedule
from bendlead_schema.gateway import SuspectRecord
from parameterized import parameterized

_START = 1_700_000_000.0
_STEP_SECONDS = 0.05
#: An answer that has gone on for so long clears the item.
_CLEARED_SECONDS = 1.2
#: Trials of an item that crashes each engine, in a minute.
_MOST_TRIALS = 4
_RETRY_SECONDS = 0.3
_ITEMS = 200
#: The users count items that are owed so long after the traffic.
_OWED_SECONDS = 18
_DEADLY_CRASH_SECONDS = 0.2
_MS = 1000


class ItemReplay:
    """Run one item beside crashes at even intervals, until some time."""

    def __init__(self, seed, *, engines=5, every=0.5, until=12.0, deadly=False):
        self._random = Random(seed)
        self._engines = engines
        self._every = every
        self._until = until
        self._deadly = deadly
        self._now = _START
        self._crashed_at = 0.0
        self.history = CrashHistory()
        self._crashes = CrashTable()
        self.trials = ItemTrials(
            self.history,
            mock.Mock(),
            TrialSchedule(self._crashes, self),
        )
        #: When runs began (s from the start), and when the item was cleared.
        self.runs = []
        self.done_at = None

    def play(self, seconds):
        """Play so many seconds; stop once the item is done."""
        with mock.patch.object(trial_schedule, 'time') as replaced:
            replaced.time.side_effect = lambda: self._now
            self._play(seconds)

    def _play(self, seconds):
        began = engine = None
        next_crash = self._every
        crashes = 0
        for step in range(round(seconds / _STEP_SECONDS)):
            elapsed = step * _STEP_SECONDS
            self._now = _START + elapsed
            hit = None
            if next_crash <= elapsed <= self._until:
                next_crash += self._every
                hit = self._random.randrange(self._engines)
                self._crashed_at = self._now
                end = {f'other-{step}@0': round(self._now * _MS)}
                self._crashes.add('other', end)
            if began is None:
                if not self._pause():
                    began, engine = (
                        elapsed,
                        self._random.randrange(self._engines),
                    )
                    self._begin(engine)
                continue
            own = self._deadly and elapsed - began >= _DEADLY_CRASH_SECONDS
            if own or hit == engine:
                crashes += 1
                self.history.add_crash(
                    'item-1', f'{engine}@{crashes}', self._now
                )
                self._crashed_at = self._now
                began = None
            elif elapsed - began > _CLEARED_SECONDS:
                self.done_at = elapsed
                return

    def _pause(self):
        ends = self.history.record('item-1').ends.values()
        retry = max(ends, default=0) / _MS + _RETRY_SECONDS - self._now
        return max(0, retry, self.trials.remaining_pause('item-1'))

    def _begin(self, engine):
        self.runs.append(self._now - _START)
        if self.history.crash_count('item-1') >= 3:
            trial = {str(round(self._now * _MS)): f'{engine}'}
            self.history.merge(
                SuspectRecord(digest='item-1', trials=trial), self._now
            )

    @property
    def series_seconds(self):
        """Return the time since engines began to crash."""
        return self._now - _START - self._every

    def remaining(self, seconds):
        """Return the seconds until there was no crash for a time."""
        return max(0, self._crashed_at + seconds - self._now)


def owed(**load):
    """Count the items that are owed too long after the last crash."""
    count = 0
    for seed in range(_ITEMS):
        replay = ItemReplay(seed, **load)
        replay.play(load['until'] + _OWED_SECONDS)
        count += replay.done_at is None
    return count


class SoundItemTest(unittest.TestCase):
    """The series of crashes ends, and the item is done in time."""

    @parameterized.expand(
        [
            ('few_engines', {'engines': 2, 'every': 0.5, 'until': 12.0}),
            ('five_engines', {'engines': 5, 'every': 0.3, 'until': 16.0}),
            ('sparse', {'engines': 2, 'every': 1.5, 'until': 30.0}),
        ]
    )
    def test_none_is_owed(self, _name, load):
        self.assertEqual(0, owed(**load))


class DeadlyItemTest(unittest.TestCase):
    """The item crashes each engine: its trials stay as few."""

    @parameterized.expand([('alone', 0), ('beside_others', 20)])
    def test_runs(self, _name, until):
        for seed in range(8):
            replay = ItemReplay(seed, until=until, deadly=True)
            replay.play(60)
            self.assertLessEqual(len(replay.runs), 3 + _MOST_TRIALS)


if __name__ == '__main__':
    unittest.main()
