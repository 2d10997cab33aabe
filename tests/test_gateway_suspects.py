"""Crash history of suspects, by itself and in a simulated load."""

import unittest

from bendlead_gateway._suspects.crash_history import (
    CRASHES_UNTIL_QUARANTINE,
    MAX_QUARANTINE_SECONDS,
    CrashHistory,
)
from bendlead_gateway._suspects.digest import digest_request
from bendlead_schema.gateway import SuspectRecord
from bendlead_testing.crash_replay import CrashLoad, CrashOutcome, CrashReplay
from parameterized import parameterized

_NOW = 1_000_000.0
_SEEDS = 10


class DigestTest(unittest.TestCase):
    """Digests of equal and of different requests."""

    def test_same(self):
        one = digest_request('t', 'POST', 'A.example', '/x?y=1', b'body')
        two = digest_request('t', 'POST', 'a.example', '/x?y=1', b'body')
        self.assertEqual(one, two)

    @parameterized.expand(
        [
            ('team', ('u', 'POST', 'a', '/x', b'body')),
            ('method', ('t', 'PUT', 'a', '/x', b'body')),
            ('host', ('t', 'POST', 'b', '/x', b'body')),
            ('target', ('t', 'POST', 'a', '/x?', b'body')),
            ('body', ('t', 'POST', 'a', '/x', b'bodies')),
            ('split', ('tP', 'OST', 'a', '/x', b'body')),
        ]
    )
    def test_other(self, _name, parts):
        same = digest_request('t', 'POST', 'a', '/x', b'body')
        self.assertNotEqual(same, digest_request(*parts))


class CrashHistoryTest(unittest.TestCase):
    """Crashes, complete responses, and records of peers."""

    def setUp(self):
        self.history = CrashHistory()

    def end(self, count, begin=0):
        """Add crashes of different engines, one a second."""
        for number in range(begin, begin + count):
            self.history.add_crash('d', f'i-{number}@0', _NOW + number)

    def left(self, after):
        """Return the quarantine left some seconds after the first crash."""
        return self.history.remaining_quarantine('d', _NOW + after)

    @parameterized.expand(
        [
            ('none', 0, 0),
            ('one', 1, 0),
            ('two', 2, 0),
            ('three', 3, 3600),
            ('four', 4, 7200),
            ('five', 5, 14_400),
            ('six', 6, MAX_QUARANTINE_SECONDS),
            ('many', 40, MAX_QUARANTINE_SECONDS),
        ]
    )
    def test_ends(self, _name, count, lasts):
        self.end(count)
        self.assertAlmostEqual(lasts, self.left(count - 1), 2)

    @parameterized.expand([('three', 3), ('many', 40)])
    def test_item_is_never_quarantined(self, _name, count):
        for number in range(count):
            self.history.add_crash('item-d', f'i-{number}@0', _NOW)
        self.assertFalse(self.history.any_quarantined)

    def test_complete_response_clears_crashes_of_a_clock_ahead(self):
        self.end(CRASHES_UNTIL_QUARANTINE, 60)
        self.history.clear('d', _NOW)
        self.assertFalse(self.left(0))

    def test_crash_noticed_by_several_counts_once(self):
        for seen in range(5):
            self.history.add_crash('d', 'i-1@0', _NOW + seen / 10)
        self.assertEqual(1, self.history.crash_count('d'))

    def test_engine_that_started_again_under_its_id(self):
        for born in range(3):
            self.history.add_crash('d', f'i-1@{born}', _NOW + born)
        self.assertTrue(self.left(2))

    def test_complete_response_clears(self):
        self.end(2)
        self.assertTrue(self.history.clear('d', _NOW + 1.5))
        self.end(2, 2)
        self.assertEqual(2, self.history.crash_count('d'))
        self.assertFalse(self.left(3))

    def test_nothing_to_clear(self):
        self.assertFalse(self.history.clear('d', _NOW))
        self.assertFalse(self.history.any_suspects)

    def test_records_merge_in_any_order(self):
        records = [
            SuspectRecord(digest='d', ends={'i-1@0': 1000, 'i-2@0': 2000}),
            SuspectRecord(digest='d', ends={'i-3@0': 5000, 'i-1@0': 900}),
            SuspectRecord(digest='d', cleared_ms=1500),
        ]
        joined = []
        for order in ((0, 1, 2), (2, 1, 0), (1, 2, 0), (1, 0, 2, 1, 0)):
            history = CrashHistory()
            for number in order:
                history.merge(records[number], _NOW)
            joined.append(history.record('d'))
        ends = {'i-2@0': 2000, 'i-3@0': 5000}
        wanted = SuspectRecord(digest='d', ends=ends, cleared_ms=1500)
        self.assertEqual([wanted] * 4, joined)

    def test_known_record_changes_nothing(self):
        self.end(2)
        self.assertFalse(self.history.merge(self.history.record('d'), _NOW))

    def test_changes_are_listed_newest_first(self):
        for name in ('a', 'b', 'c'):
            self.history.add_crash(name, 'i-1@0', _NOW)
        changes = list(self.history.changes_after(0, _NOW - 1))
        self.assertEqual(
            ['c', 'b', 'a'], [record.digest for _revision, record in changes]
        )
        self.assertEqual(
            [], list(self.history.changes_after(changes[0][0], _NOW - 1))
        )

    def test_forgotten_after_a_day(self):
        self.end(3)
        self.history.remove_expired(_NOW + MAX_QUARANTINE_SECONDS + 5)
        self.assertFalse(self.history.any_suspects)
        self.assertFalse(self.history.any_quarantined)

    def test_quarantined_suspects_are_evicted_last(self):
        self.end(3)
        for number in range(5000):
            self.history.add_crash(f'd-{number}', 'i-1@0', _NOW)
        self.assertTrue(self.left(3))
        self.assertLess(len(self.history.summary()), 4100)


class ReplayTest(unittest.TestCase):
    """Requests that crash engines and are sent again, beside good ones."""

    def play(self, load, bound):
        """Simulate a load with several seeds; return the sums."""
        total = CrashOutcome()
        for seed in range(_SEEDS):
            found = CrashReplay(load, bound, seed).play()
            for name in CrashOutcome.__struct_fields__:
                summed = getattr(total, name) + getattr(found, name)
                setattr(total, name, summed)
        return total

    @parameterized.expand(
        [
            ('two_of_them', CrashLoad(), 0.99),
            ('four_of_them', CrashLoad(crashing=4), 0.96),
            ('busy', CrashLoad(good_per_second=85), 0.96),
            (
                'long_runs',
                CrashLoad(good_seconds=5, good_per_second=10, crashing=4),
                0.92,
            ),
        ]
    )
    def test_engine_crashes_are_bounded(self, _name, load, served):
        found = self.play(load, CRASHES_UNTIL_QUARANTINE)
        most = load.crashing * CRASHES_UNTIL_QUARANTINE * _SEEDS
        self.assertLessEqual(found.ends, most)
        self.assertEqual(0, found.quarantined)
        self.assertGreater(found.served / found.good, served)
        without = self.play(load, None)
        self.assertGreater(without.ends, 5 * most)
