"""Pauses between the trials of a suspect, by its record."""

import unittest
from unittest import mock

import msgspec
from bendlead_gateway._suspects import trial_schedule
from bendlead_gateway._suspects.calm import EngineCalm
from bendlead_gateway._suspects.crash_history import CrashHistory
from bendlead_gateway._suspects.crash_table import CrashTable
from bendlead_gateway._suspects.digest import RequestDigest
from bendlead_gateway._suspects.suspects import Suspects
from bendlead_gateway._suspects.trial_schedule import (
    ITEM_RULES,
    PART_RULES,
    REQUEST_RULES,
    TrialSchedule,
)
from bendlead_gateway._suspects.trial_turns import TrialTurns
from bendlead_schema.gateway import SuspectRecord
from bendlead_store import Entry, clock
from parameterized import parameterized

_NOW = 1_000_000.0
_MS = 1000
_FAILED = 15
_CALM = 2
#: Failed accepted items are owed if they rest for longer.
_OWED_SECONDS = 20


def at_ms(second):
    return round((_NOW + second) * _MS)


def record(crashes, trials=(), digest='item-d', found=None):
    """Return a record of crashes and trials, at seconds before or after now.

    A trial is a second and an engine, which crashed if it is in ``crashes``.
    """
    return SuspectRecord(
        digest=digest,
        ends={f'{engine}@0': at_ms(second) for engine, second in crashes},
        trials={str(at_ms(second)): engine for second, engine in trials},
        found_ms=at_ms(found) if found is not None else 0,
    )


def crashed(*seconds):
    """Return crashes of an engine each."""
    return [(f'i-{second}', second) for second in seconds]


class PauseTest(unittest.TestCase):
    """What ended the latest trial decides on the next one."""

    def setUp(self):
        self.crashes = CrashTable()
        self.calm = EngineCalm()
        self.schedule = TrialSchedule(self.crashes, self.calm)

    def pause(self, suspect, rules=ITEM_RULES, now=0):
        with mock.patch.object(trial_schedule, 'time') as replaced:
            replaced.time.return_value = _NOW + now
            return self.schedule.remaining_pause(suspect, rules)

    @parameterized.expand(
        [
            ('no_trial', (-3, -2, -1), (), 1),
            ('many_crashes', range(-40, 0), (), 1),
            ('running', (-9, -8, -7), [(-1, 'i-a')], 4),
            (
                'second_that_runs',
                (-29, -28, -27),
                [(-9, 'i-a'), (-1, 'i-b')],
                7,
            ),
            ('told_nothing', (-19, -18, -17), [(-8, 'i-a')], 0),
            (
                'told_nothing_eleven_times',
                (-99, -98, -97),
                [(-88 + 8 * number, 'i-a') for number in range(11)],
                0,
            ),
            ('failed', (-9, -8, -7, -1), [(-1.5, 'i--1')], _FAILED - 1),
            ('noticed_late', (-19, -18, -17, -1), [(-8, 'i--1')], _FAILED - 1),
            (
                'failed_early_and_told_nothing',
                (-99, -98, -97, -90),
                [(-91, 'i--90'), (-8, 'i-a')],
                0,
            ),
            ('not_run', (-9, -8, -7), [(-0.05, '')], 0.05),
            ('crash_of_another_run', (-19, -18, -17, -1), [(-16, 'i-a')], 1),
            ('clock_ahead', (60, 61, 62), (), 0),
        ]
    )
    def test_pause_of_an_item(self, _name, crashes, trials, expected):
        suspect = record(crashed(*crashes), trials)
        self.assertAlmostEqual(expected, self.pause(suspect), 2)

    @parameterized.expand(
        [
            ('first', 0, 15),
            ('second', 1, 15),
            ('third', 2, 15),
            ('fourth', 3, 30),
            ('fifth', 4, 60),
            ('fourteenth', 12, 3600),
        ]
    )
    def test_late_trials_that_failed(self, _name, late, expected):
        """Three a minute are allowed to what crashes engines for ever."""
        last = -0.5
        seconds = [last - 40 * number for number in range(late)]
        suspect = record(
            crashed(*seconds, -998, -999, -1000, -1000.5),
            [
                (-998.4, 'i--998'),
                *((second - 0.2, f'i-{second}') for second in seconds),
            ],
        )
        since = -last if late else 998
        pause = self.pause(suspect, now=last if late else -998)
        self.assertAlmostEqual(expected, pause, 2, since)

    @parameterized.expand(
        [
            ('item', ITEM_RULES, None, 1),
            ('request', REQUEST_RULES, None, 1),
            ('part', PART_RULES, -1, 1),
        ]
    )
    def test_first_trial(self, _name, rules, found, expected):
        suspect = record(crashed(-3, -2, -1), found=found)
        self.assertAlmostEqual(expected, self.pause(suspect, rules), 2)

    @parameterized.expand(
        [('item', ITEM_RULES, 0), ('request', REQUEST_RULES, _CALM)]
    )
    def test_calm_before_the_first_trial(self, _name, rules, expected):
        self.calm.record_crashes({'x@0': 1})
        suspect = record(crashed(-5, -4, -3))
        self.assertAlmostEqual(expected, self.pause(suspect, rules), 1)

    def test_wait_for_calm_is_bounded(self):
        """Guards against items that wait for as long as engines crash."""
        suspect = record(crashed(-16, -15.5, -15))
        self.calm.record_crashes({'x@0': 1})
        self.assertGreater(self.pause(suspect, REQUEST_RULES), 1)
        self.calm._series_began_at -= 15
        self.assertEqual(0, self.pause(suspect, REQUEST_RULES))

    def test_trial_that_failed_beside_other_crashes(self):
        """Guards against trials spent in a series of crashes."""
        suspect = record(crashed(-9, -8, -7, -4), [(-5, 'i--4')])
        self.crashes.add(RequestDigest('other'), {'x@0': at_ms(-4.5)})
        self.assertEqual(0, self.pause(suspect))
        self.calm.record_crashes({'x@0': 1})
        self.assertLess(self.pause(suspect), 5)

    @parameterized.expand(
        [
            ('once', 1, 15),
            ('twice', 2, 15),
            ('three_times', 3, 30),
            ('often', 4, 60),
            ('six_times', 6, 60),
        ]
    )
    def test_longest_wait_for_calm(self, _name, count, expected):
        """It grows while engines go on crashing, and calm ends it."""
        seconds = [-9 - 20 * number for number in range(count)]
        suspect = record(
            crashed(-99, -98, -97, *seconds),
            [(second - 0.2, f'i-{second}') for second in seconds],
        )
        for second in seconds:
            other = {f'x-{second}@0': at_ms(second - 1)}
            self.crashes.add(RequestDigest('other'), other)
        self.calm.record_crashes({'x@0': 1})
        self.calm._series_began_at -= 99
        self.assertGreater(self.pause(suspect, now=expected - 10), 0)
        self.assertEqual(0, self.pause(suspect, now=expected - 8.9))
        self.calm._noticed_at -= 5
        self.assertEqual(0, self.pause(suspect, now=-6))

    def test_trial_of_another_suspect_is_no_other_cause(self):
        """Guards against two suspects that never wait for each other."""
        suspect = record(crashed(-9, -8, -7, -4), [(-4.5, 'i--4')])
        self.crashes.add(RequestDigest('item-e'), {'x@0': at_ms(-5)})
        self.assertLess(self.pause(suspect), 5)
        self.crashes.add_tried('x@0')
        self.assertGreater(self.pause(suspect), 10)

    @parameterized.expand([('no_longer_known', 128, 0), ('known', 127, 11)])
    def test_trial_beside_crashes_that_may_be_dropped(
        self, _name, later, expected
    ):
        """Guards against trials taken for such that failed alone."""
        suspect = record(crashed(-9, -8, -7, -4), [(-4.5, 'i--4')])
        self.crashes.add(RequestDigest('old'), {'old@0': at_ms(-30)})
        for number in range(later):
            newer = {f'x-{number}@0': at_ms(-3 + number / 100)}
            self.crashes.add(RequestDigest('other'), newer)
        self.assertAlmostEqual(expected, self.pause(suspect), 2)

    @parameterized.expand([(2,), (12,)])
    def test_trials_beside_others_prolong_no_later_pause(self, count):
        """Guards against the hour by another way."""
        seconds = [-20 - 20 * number for number in range(count)]
        suspect = record(
            crashed(-999, -998, -997, -1, *seconds),
            [
                (-1.2, 'i--1'),
                *((second - 0.2, f'i-{second}') for second in seconds),
            ],
        )
        for second in seconds:
            other = {f'x-{second}@0': at_ms(second - 1)}
            self.crashes.add(RequestDigest('other'), other)
        self.assertAlmostEqual(14, self.pause(suspect), 2)

    def test_one_trial_beside_others_counts_as_late(self):
        """Guards against late sends beyond the three of the first minute."""
        seconds = (-1, -41, -81)
        suspect = record(
            crashed(-999, -998, -997, *seconds),
            [(second - 0.2, f'i-{second}') for second in seconds],
        )
        self.crashes.add(RequestDigest('other'), {'x@0': at_ms(-82)})
        self.assertAlmostEqual(29, self.pause(suspect), 2)

    def test_engine_that_crashes_again_after_a_trial(self):
        """Its second crash is none of the trial, nor are those before it."""
        suspect = record(crashed(-9, -8, -7.5), [(-7, 'i-1')])
        suspect.ends.update({'i-1@0': at_ms(-6.8), 'i-1@1': at_ms(-1)})
        self.crashes.add(RequestDigest('other'), {'x@0': at_ms(-3)})
        self.assertAlmostEqual(_FAILED - 1, self.pause(suspect), 2)

    @parameterized.expand([(kind,) for kind in (ITEM_RULES, REQUEST_RULES)])
    def test_no_pause_of_the_first_minute_is_longer_than_owed(self, rules):
        for count in range(3):
            seconds = [-50 + 16 * number for number in range(count)]
            suspect = record(
                crashed(-53, -52, -51, *seconds),
                [(second - 0.2, f'i-{second}') for second in seconds],
            )
            latest = max([-51, *seconds])
            pause = self.pause(suspect, rules, now=latest)
            self.assertLess(pause, _OWED_SECONDS)


class StoredRecordTest(unittest.TestCase):
    """A process learns what others know, as it starts and later."""

    def setUp(self):
        self.suspects = Suspects(*[mock.Mock() for _argument in range(7)])
        for patched in (
            mock.patch.object(self.suspects, '_search_soon'),
            mock.patch.object(clock, 'uptime', lambda: _NOW),
        ):
            patched.start()
            self.addCleanup(patched.stop)

    def learn(self, known, source='stored'):
        """Merge a record that is stored, or that a peer reports."""
        if source == 'stored':
            self.suspects.store._load(stored(known))
        else:
            self.suspects.receive([known])

    def pause(self, suspect, rules=ITEM_RULES):
        with mock.patch.object(trial_schedule, 'time') as replaced:
            replaced.time.return_value = _NOW
            return self.suspects._schedule.remaining_pause(suspect, rules)

    def pause_of(self, digest):
        """Return the pause of an item by what is known of it."""
        return self.pause(self.suspects._history.record(RequestDigest(digest)))

    def test_crashes_of_stored_records_are_other_causes(self):
        """Guards against a series that a new process takes for one suspect."""
        self.learn(record(crashed(-5), digest='d'))
        self.learn(record(crashed(-9, -8, -7, -4), [(-4.5, 'i--4')]))
        with mock.patch.object(trial_schedule, 'time') as replaced:
            replaced.time.return_value = _NOW
            pause = self.suspects.item_trials.remaining_pause('item-d')
        self.assertLess(pause, 5)

    def test_stored_crashes_end_the_calm(self):
        """Guards against a new process that tries suspects in a series."""
        suspect = record(crashed(-5, -4, -3), digest='d')
        self.assertEqual(0, self.pause(suspect, REQUEST_RULES))
        self.learn(record(crashed(-0.1), digest='e'))
        pause = self.pause(suspect, REQUEST_RULES)
        self.assertAlmostEqual(_CALM, pause, 2)

    def test_crashes_of_parts_are_those_of_requests(self):
        """Guards against a crash that counts with a further request."""
        self.learn(record(crashed(-3, -2, -1), digest='part-p'))
        incidents = self.suspects._crashes.incidents(at_ms(0), ())
        self.assertEqual([], list(incidents))
        self.assertEqual(0, self.suspects.calm.remaining(_CALM))

    @parameterized.expand([('stored',), ('of_a_peer',)])
    def test_trial_of_another_suspect_is_no_other_cause(self, source):
        """Guards against two suspects that never wait for each other."""
        other = record(
            crashed(-29, -28, -27, -5), [(-5.5, 'i--5')], digest='item-e'
        )
        self.learn(other, source)
        self.learn(record(crashed(-9, -8, -7, -4), [(-4.5, 'i--4')]), source)
        self.assertGreater(self.pause_of('item-d'), 10)

    @parameterized.expand(
        [
            (f'{source}_{name}', source, kind, cleared)
            for source in ('stored', 'of_a_peer')
            for kind in ('item-d', 'd', 'part-d')
            for name, cleared in (('now', -1), ('ahead', 60))
        ]
    )
    def test_another_suspect_that_recovered(self, _name, source, kind, cleared):
        """Guards against late sends that nothing bounds."""
        rules = {'item-d': ITEM_RULES, 'd': REQUEST_RULES}.get(kind, PART_RULES)
        other = record(
            crashed(-29, -28, -27, -24), [(-24.5, 'i--24')], digest='item-e'
        )
        self.learn(other, source)
        deadly = record(crashed(-9, -8, -7, -4), [(-4.5, 'i--4')], digest=kind)
        self.learn(deadly, source)
        before = self.pause(deadly, rules)
        self.assertGreater(before, 10)
        recovered = SuspectRecord(digest='item-e', cleared_ms=at_ms(cleared))
        self.learn(recovered, source)
        self.assertEqual(before, self.pause(deadly, rules))


def stored(suspect):
    """Return a record as the object service has it."""
    return Entry(f's/{suspect.digest}', 1, msgspec.json.encode(suspect))


class TrialMemoryTest(unittest.TestCase):
    """A record keeps so many trials."""

    def test_trials_that_none_ran_push_no_others_out(self):
        """Guards against failed connects that hide failed trials."""
        history = CrashHistory()
        failed = record((), [(-99, 'i-1')])
        history.merge(failed, _NOW)
        for number in range(40):
            history.merge(record((), [(-40 + number, '')]), _NOW)
        trials = history.record(RequestDigest('item-d')).trials
        self.assertIn('i-1', trials.values())
        self.assertLessEqual(len(trials), 32)


class TurnTest(unittest.TestCase):
    """Entries take turns while claims can't be stored."""

    @parameterized.expand([('one', 1), ('five', 5)])
    def test_one_entry_at_a_time(self, _name, count):
        began = []
        for tenth in range(count * 20):
            for rank in range(count):
                turns = TrialTurns()
                turns.configure_peers(lambda _key, at=rank: (at, count))
                with mock.patch(
                    'bendlead_gateway._suspects.trial_turns.time'
                ) as replaced:
                    replaced.time.return_value = _NOW + tenth / 10 + 0.01
                    if turns.has_turn(RequestDigest('d')):
                        began.append((tenth, rank))
        times = [tenth for tenth, _rank in began]
        self.assertEqual(sorted(set(times)), times)
        self.assertEqual(set(range(count)), {rank for _tenth, rank in began})


if __name__ == '__main__':
    unittest.main()
