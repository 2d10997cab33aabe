"""Requests with a suspected part run one after the other."""

import unittest

from bendlead_gateway._suspects.crash_table import CrashTable
from bendlead_gateway._suspects.digest import RequestDigest
from bendlead_gateway._suspects.part_probation import (
    crashes_in_trials,
    find_turn,
    is_suspected,
    remaining_pause,
    remaining_trial,
)
from bendlead_schema.gateway import SuspectRecord
from parameterized import parameterized

_NOW = 1_000_000.0
_MS = 1000


def at_ms(second):
    return round((_NOW + second) * _MS)


def record(ends=(), trials=()):
    """Return the record of a part with crashes and trials at given seconds."""
    return SuspectRecord(
        digest='part-p',
        ends={f'i-{second}@0': at_ms(second) for second in ends},
        trials={str(at_ms(began)): engine for began, engine in trials},
    )


class SuspectedTest(unittest.TestCase):
    """A part is suspected if it was at many of the crashes in its time."""

    @parameterized.expand(
        [
            ('two_crashes', (0, 1), (), False),
            ('three_crashes', (0, 1, 2), (), True),
            ('one_instant', (0, 0.05, 0.1), (), False),
            ('one_of_two_others', (0, 1, 2), (0.5, 1.5), True),
            ('one_of_many', (0, 1, 2), (0.1, 0.2, 0.3, 0.4, 0.5), False),
            ('others_before', (0, 1, 2), (-5, -4, -3, -2, -1), True),
        ]
    )
    def test_suspected(self, _name, ends, others, expected):
        crashes = CrashTable()
        for second in (*ends, *others):
            digest = RequestDigest(f'd{second}')
            crashes.add(digest, {f'i-{second}@0': at_ms(second)})
        self.assertIs(expected, is_suspected(record(ends), crashes, ()))

    @parameterized.expand(
        [('rare', 0.1, True), ('of_most_requests', 0.8, False)]
    )
    def test_share(self, _name, share, expected):
        """A part of most requests is at every crash, and all would wait."""
        crashes = CrashTable()
        suspect = record((0, 1, 2))
        suspect.shares.update(dict.fromkeys(suspect.ends, share))
        self.assertIs(expected, is_suspected(suspect, crashes, ()))

    def test_crashes_of_another_part_do_not_count(self):
        crashes = CrashTable()
        self.assertFalse(is_suspected(record((0, 1, 2)), crashes, {'i-1@0'}))


class PauseTest(unittest.TestCase):
    """Each trial waits longer, which bounds the engines that may crash."""

    @parameterized.expand(
        [
            ('no_trial', (-3, -2, -1), (), 0),
            ('running', (-3,), [(-0.5, 'i')], 1.5),
            ('crashed', (-3, -0.25), [(-0.5, 'i')], 1.75),
            ('over', (-3,), [(-2.5, 'i')], 0),
            ('second', (-9,), [(-6, 'i'), (-1, 'j')], 3),
            ('third', (-9,), [(-9, 'h'), (-6, 'i'), (-1, 'j')], 7),
            ('many', (-99,), [(-50 - at, 'i') for at in range(9)], 0),
            ('two_failed', (-6, -1), [(-6, 'i--6'), (-1, 'i--1')], 3),
            (
                'three_failed',
                (-9, -6, -1),
                [(-9, 'i--9'), (-6, 'i--6'), (-1, 'i--1')],
                7,
            ),
            ('given_back', (-9,), [(-1, '')], 0),
            ('clock_ahead', (-9,), [(30, 'i')], 2),
            (
                'many_failed',
                tuple(range(-17, -1)),
                [(at, f'i-{at}') for at in range(-17, -1)],
                958,
            ),
        ]
    )
    def test_pause(self, _name, ends, trials, expected):
        pause = remaining_pause(record(ends, trials), _NOW)
        self.assertAlmostEqual(expected, pause, 2)

    @parameterized.expand(
        [
            ('none', (-1,), (), 0),
            ('running', (-1,), [(-0.5, 'i')], 0.7),
            ('crashed', (-0.2,), [(-0.5, 'i')], 0),
            ('over', (-3,), [(-1.5, 'i')], 0),
        ]
    )
    def test_time_of_a_trial(self, _name, ends, trials, expected):
        left = remaining_trial(record(ends, trials), _NOW)
        self.assertAlmostEqual(expected, left, 2)

    def test_one_at_a_time_in_this_process(self):
        """Also while the claim is being stored."""
        turn = find_turn([record((-3, -2, -1))], _NOW, busy=True)
        self.assertGreater(turn.pause, 0)
        self.assertTrue(turn.in_trial)

    def test_crashes_in_trials(self):
        tried = record((-3, -1), [(-3.1, 'i--3'), (-2, 'i--1'), (-9, 'i-0')])
        self.assertEqual({'i--3@0', 'i--1@0'}, set(crashes_in_trials(tried)))


if __name__ == '__main__':
    unittest.main()
