"""Clears of suspects by processes whose clocks differ."""

import itertools
import random
import unittest

import msgspec
from bendlead_gateway._suspects.crash_history import CrashHistory
from bendlead_schema.gateway import SuspectRecord
from parameterized import parameterized

_NOW = 1_000_000.0
_NOW_MS = 1_000_000_000
_SKEW = 60.0
_SUSPECTS = (('request', 'd'), ('part', 'part-p'), ('item', 'item-d'))
_CLOCKS = (('ahead', _SKEW), ('right', 0.0), ('behind', -_SKEW))
#: Each suspect with each clock of the process that clears it, and of the one
#: that notices crashes.
_CASES = tuple(
    (f'{kind}_{clears}_{notices}', suspect, cleared_by, noticed_by)
    for kind, suspect in _SUSPECTS
    for clears, cleared_by in _CLOCKS
    for notices, noticed_by in _CLOCKS
)


def share(*histories):
    """Tell all of each history to the others, twice."""
    for one, other in 2 * list(itertools.permutations(histories, 2)):
        for digest in one.summary():
            other.merge(reread(one.record(digest)), _NOW)


def reread(record, *, earlier=False):
    """Return a record as another process, or an earlier version, has it."""
    fields = msgspec.json.decode(msgspec.json.encode(record))
    if earlier:
        fields.pop('cleared', None)
        fields.pop('all_cleared_ms', None)
    body = msgspec.json.encode(fields)
    return msgspec.json.decode(body, type=SuspectRecord)


class TwoClocksTest(unittest.TestCase):
    """One process clears a suspect, another one notices its crashes."""

    def setUp(self):
        self.clearing = CrashHistory()
        self.noticing = CrashHistory()
        self.histories = (self.clearing, self.noticing)

    def assert_crashes(self, suspect, *incarnations):
        """Check that both processes know these crashes, and these alone."""
        share(*self.histories)
        for history in self.histories:
            ends = history.record(suspect).ends
            self.assertEqual(sorted(incarnations), sorted(ends))

    @parameterized.expand(_CASES)
    def test_clear_holds_everywhere(self, _name, suspect, cleared_by, noticed):
        for number in range(3):
            crashed_at = _NOW + noticed + number
            self.noticing.add_crash(suspect, f'i-{number}@0', crashed_at)
        share(*self.histories)
        self.assertTrue(self.clearing.clear(suspect, _NOW + cleared_by + 4))
        self.assert_crashes(suspect)
        self.assertFalse(self.clearing.any_quarantined)
        self.assertFalse(self.noticing.any_quarantined)

    @parameterized.expand(_CASES)
    def test_later_crashes_count(self, _name, suspect, cleared_by, noticed):
        """Guards against crashes that count against nobody for a minute."""
        self.noticing.add_crash(suspect, 'i-0@0', _NOW + noticed)
        share(*self.histories)
        self.clearing.clear(suspect, _NOW + cleared_by + 1)
        share(*self.histories)
        self.noticing.add_crash(suspect, 'i-1@0', _NOW + noticed + 2)
        self.clearing.add_crash(suspect, 'i-2@0', _NOW + cleared_by + 3)
        self.assert_crashes(suspect, 'i-1@0', 'i-2@0')

    @parameterized.expand(_CASES)
    def test_crash_noticed_meanwhile(self, _name, suspect, cleared_by, noticed):
        """The answer says nothing about a crash that it did not know of."""
        self.noticing.add_crash(suspect, 'i-0@0', _NOW + noticed)
        share(*self.histories)
        self.clearing.clear(suspect, _NOW + cleared_by + 1)
        self.noticing.add_crash(suspect, 'i-1@0', _NOW + noticed + 1)
        self.assert_crashes(suspect, 'i-1@0')

    @parameterized.expand(_CASES)
    def test_late_and_repeated_news(self, _name, suspect, cleared_by, noticed):
        """What was cleared does not return, in whatever order news come."""
        news = []
        for number in range(2):
            crashed_at = _NOW + noticed + number
            self.noticing.add_crash(suspect, f'i-{number}@0', crashed_at)
            news.append(self.noticing.record(suspect))
        share(*self.histories)
        self.clearing.clear(suspect, _NOW + cleared_by + 2)
        news.append(self.clearing.record(suspect))
        self.clearing.add_crash(suspect, 'i-2@0', _NOW + cleared_by + 3)
        news.append(self.clearing.record(suspect))
        for order in itertools.permutations([*news, news[0]]):
            history = CrashHistory()
            for record in order:
                history.merge(reread(record), _NOW)
            self.assertEqual(news[-1], history.record(suspect))

    @parameterized.expand(_CASES)
    def test_process_that_starts(self, _name, suspect, cleared_by, noticed):
        """A process that reads the stored record knows what others know."""
        self.noticing.add_crash(suspect, 'i-0@0', _NOW + noticed)
        before = self.noticing.record(suspect)
        self.noticing.clear(suspect, _NOW + cleared_by + 1)
        started = CrashHistory()
        started.merge(reread(self.noticing.record(suspect)), _NOW)
        self.assertFalse(started.merge(before, _NOW))
        started.add_crash(suspect, 'i-1@0', _NOW + noticed + 2)
        self.assertEqual(1, started.crash_count(suspect))

    @parameterized.expand(_CASES)
    def test_trials(self, _name, suspect, cleared_by, claimed_by):
        """A trial claimed after a clear counts, one before it does not."""
        began = [
            str(_NOW_MS + round(1000 * (claimed_by + second)))
            for second in (1, 3)
        ]
        self.noticing.add_crash(suspect, 'i-0@0', _NOW)
        first = SuspectRecord(digest=suspect, trials={began[0]: 'i-1'})
        self.noticing.merge(first, _NOW)
        share(*self.histories)
        self.clearing.clear(suspect, _NOW + cleared_by + 2)
        share(*self.histories)
        later = SuspectRecord(digest=suspect, trials={began[1]: 'i-2'})
        for history in self.histories:
            history.merge(later, _NOW)
            history.merge(first, _NOW)
            trials = history.record(suspect).trials
            self.assertEqual({began[1]: 'i-2'}, trials)

    @parameterized.expand(
        [
            (f'{clears}_{finds}', cleared_by, found_by)
            for clears, cleared_by in _CLOCKS
            for finds, found_by in _CLOCKS
        ]
    )
    def test_part_found_again(self, _name, cleared_by, found_by):
        suspect = 'part-p'
        self.noticing.record_found(suspect, _NOW + found_by)
        first = self.noticing.record(suspect)
        share(*self.histories)
        self.clearing.clear(suspect, _NOW + cleared_by + 1)
        share(*self.histories)
        self.assertFalse(self.noticing.any_quarantined)
        self.noticing.record_found(suspect, _NOW + found_by + 2)
        self.noticing.merge(first, _NOW)
        share(*self.histories)
        for history in self.histories:
            self.assertTrue(history.is_quarantined(suspect))
            left = history.remaining_quarantine(suspect, _NOW + found_by + 2)
            self.assertAlmostEqual(3600, left)

    @parameterized.expand(_SUSPECTS)
    def test_same_life_later(self, _name, suspect):
        """A crash may be a mistake: the engine runs on, and crashes later."""
        self.noticing.add_crash(suspect, 'i-0@0', _NOW)
        share(*self.histories)
        self.clearing.clear(suspect, _NOW + 1)
        share(*self.histories)
        self.noticing.add_crash(suspect, 'i-0@0', _NOW + 20)
        self.assert_crashes(suspect, 'i-0@0')

    @parameterized.expand(_SUSPECTS)
    def test_crash_that_two_noticed(self, _name, suspect):
        """A second notice, earlier than the clear, is of the same crash."""
        self.clearing.add_crash(suspect, 'i-0@0', _NOW)
        self.noticing.add_crash(suspect, 'i-0@0', _NOW + 0.3)
        self.clearing.clear(suspect, _NOW + 0.5)
        self.assert_crashes(suspect)

    @parameterized.expand(_SUSPECTS)
    def test_same_life_cleared_by_two(self, _name, suspect):
        """The later clear counts, whichever is heard of last."""
        self.clearing.add_crash(suspect, 'i-0@0', _NOW)
        self.noticing.add_crash(suspect, 'i-0@0', _NOW + 3)
        second = self.noticing.record(suspect)
        self.clearing.clear(suspect, _NOW + 1)
        self.noticing.clear(suspect, _NOW + 4)
        self.assert_crashes(suspect)
        for history in self.histories:
            self.assertFalse(history.merge(second, _NOW))


class EarlierVersionTest(unittest.TestCase):
    """Records of processes that name nothing in a clear."""

    @parameterized.expand(_SUSPECTS)
    def test_its_clear_is_by_time(self, _name, suspect):
        ends = {f'i-{number}@0': 1000 * number for number in range(1, 5)}
        records = [
            SuspectRecord(digest=suspect, ends=ends),
            SuspectRecord(digest=suspect, cleared_ms=2500),
            SuspectRecord(
                digest=suspect, cleared_ms=3500, cleared={'i-3@0': 3500}
            ),
        ]
        for order in itertools.permutations([*records, records[0]]):
            history = CrashHistory()
            for record in order:
                history.merge(reread(record), _NOW)
            self.assertEqual({'i-4@0': 4000}, history.record(suspect).ends)

    @parameterized.expand(_SUSPECTS)
    def test_it_takes_a_clear_by_its_time(self, _name, suspect):
        """It drops the crashes up to ``cleared_ms``, whatever the clock."""
        for clock in (-_SKEW, 0, _SKEW):
            history = CrashHistory()
            for number in range(3):
                history.add_crash(suspect, f'i-{number}@0', _NOW + number)
            latest = max(history.record(suspect).ends.values())
            history.clear(suspect, _NOW + clock)
            told = reread(history.record(suspect), earlier=True)
            self.assertGreaterEqual(told.cleared_ms, latest)
            self.assertEqual({}, told.ends)

    @parameterized.expand(_SUSPECTS)
    def test_it_tells_a_clear_on(self, _name, suspect):
        """It stores a record without names: the clear holds all the same."""
        history = CrashHistory()
        history.add_crash(suspect, 'i-0@0', _NOW)
        crashed = history.record(suspect)
        history.clear(suspect, _NOW + 1)
        started = CrashHistory()
        stored = reread(history.record(suspect), earlier=True)
        for record in (crashed, stored, crashed):
            started.merge(record, _NOW)
            history.merge(record, _NOW)
        self.assertFalse(started.crash_count(suspect))
        self.assertFalse(history.crash_count(suspect))
        started.add_crash(suspect, 'i-1@0', _NOW + 2)
        history.merge(started.record(suspect), _NOW)
        self.assertEqual(1, history.crash_count(suspect))


class RandomTest(unittest.TestCase):
    """Crashes, clears and news of five processes, late and repeated."""

    @parameterized.expand([(seed,) for seed in range(20)])
    def test_counted_unless_a_clear_knew_it(self, seed):
        rng = random.Random(seed)
        suspect = rng.choice(_SUSPECTS)[1]
        histories = [CrashHistory() for _process in range(5)]
        clocks = [rng.uniform(-_SKEW, _SKEW) for _process in histories]
        news = []
        crashes, cleared = set(), set()
        for step in range(200):
            process = rng.randrange(len(histories))
            history = histories[process]
            now = _NOW + step + clocks[process]
            action = rng.random()
            if action < 0.06:
                crashes.add(f'i-{step}@0')
                history.add_crash(suspect, f'i-{step}@0', now)
            elif action < 0.1:
                cleared |= history.record(suspect).ends.keys()
                history.clear(suspect, now)
            elif action < 0.5:
                news.append(history.record(suspect))
            elif news:
                history.merge(reread(rng.choice(news)), now)
        share(*histories)
        for history in histories:
            ends = history.record(suspect).ends
            self.assertEqual(sorted(crashes - cleared), sorted(ends))


class BoundTest(unittest.TestCase):
    """A suspect that is cleared often, as a part of all prompts is."""

    @parameterized.expand(_SUSPECTS)
    def test_record_is_bounded(self, _name, suspect):
        history = CrashHistory()
        for number in range(1000):
            history.add_crash(suspect, f'i-{number}@0', _NOW + number)
            first = history.record(suspect)
            history.clear(suspect, _NOW + number + 0.5)
        record = history.record(suspect)
        self.assertLess(len(msgspec.json.encode(record)), 1536)
        self.assertFalse(history.merge(first, _NOW))
        oldest = SuspectRecord(digest=suspect, ends={'i-1@0': _NOW_MS + 1000})
        self.assertFalse(history.merge(oldest, _NOW))
        history.add_crash(suspect, 'i-1000@0', _NOW + 1000)
        self.assertEqual(1, history.crash_count(suspect))

    @parameterized.expand(_SUSPECTS)
    def test_full_record_is_cleared_by_name(self, _name, suspect):
        """One clear of much by a clock ahead leaves later crashes alone."""
        history = CrashHistory()
        for number in range(40):
            began = str(_NOW_MS + 1000 * number)
            engine = f'i-{number}' if number % 2 else ''
            history.add_crash(suspect, f'i-{number}@0', _NOW + number + 0.5)
            history.merge(
                SuspectRecord(digest=suspect, trials={began: engine}), _NOW
            )
        history.clear(suspect, _NOW + 40 + _SKEW)
        self.assertFalse(history.crash_count(suspect))
        self.assertEqual({}, history.record(suspect).trials)
        history.add_crash(suspect, 'i-40@0', _NOW + 41)
        self.assertEqual(1, history.crash_count(suspect))

    @parameterized.expand(_SUSPECTS)
    def test_old_names_give_way(self, _name, suspect):
        """Crashes from time to time do not make the record longer."""
        history = CrashHistory()
        records = []
        for number in range(10):
            crashed_at = _NOW + 900 * number
            history.add_crash(suspect, f'i-{number}@0', crashed_at)
            records.append(history.record(suspect))
            history.clear(suspect, crashed_at + _SKEW)
            history.merge(reread(records[0]), _NOW)
            self.assertFalse(history.crash_count(suspect))
        size = len(msgspec.json.encode(history.record(suspect)))
        self.assertLess(size, len(msgspec.json.encode(records[0])) + 100)

    @parameterized.expand(_SUSPECTS)
    def test_crashes_beyond_the_bound(self, _name, suspect):
        """Those that a full record no longer tells are cleared with it."""
        history = CrashHistory()
        records = []
        for number in range(40):
            history.add_crash(suspect, f'i-{number}@0', _NOW + number)
            records.append(history.record(suspect))
        history.clear(suspect, _NOW + 40)
        for record in records:
            history.merge(record, _NOW)
        self.assertFalse(history.crash_count(suspect))

    def test_names_merge_alike_in_any_order(self):
        records = [
            SuspectRecord(
                digest='d',
                cleared_ms=_NOW_MS + 20 * step + 19,
                cleared={
                    f'i-{number}@0': _NOW_MS + number
                    for number in range(20 * step, 20 * step + 20)
                },
            )
            for step in range(4)
        ]
        merged = []
        for order in itertools.permutations(records):
            history = CrashHistory()
            for record in order:
                history.merge(record, _NOW)
            merged.append(history.record('d'))
        self.assertEqual([merged[0]] * len(merged), merged)
