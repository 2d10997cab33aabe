"""Who may try a suspect now: turns, claims, and what a refused claim ends.

Guards against several trials at once, and requests that poll for one.
"""

import time
import unittest
from types import SimpleNamespace
from unittest import mock

from bendlead_gateway._online.quarantine import Quarantine
from bendlead_gateway._scheduling.retry import RETRY_AFTER_SECONDS
from bendlead_gateway._suspects.digest import RequestDigest, name_part
from bendlead_gateway._suspects.suspects import Suspects
from bendlead_gateway._suspects.trial_claims import MAX_TRIAL_SECONDS
from bendlead_gateway.types import EngineId, PromptPart
from bendlead_schema.gateway import SuspectRecord
from bendlead_store import clock
from parameterized import parameterized
from result import Err, Ok

#: The first of three entries has its turn.
_NOW = 999_999.0
_ENTRIES = 3
_MS = 1000
_REQUEST = RequestDigest('d')
_ITEM = RequestDigest('item-d')
_PART = PromptPart('p')
_ENGINE = EngineId('i-1')
_VIEW = SimpleNamespace(free=1, name=_ENGINE)
_AWAY = Err('away')
#: A trial of which nothing is known holds the next one up for so long by its
#: record.
_UNKNOWN_SECONDS = 5.0


class ClaimCase(unittest.TestCase):
    """Entries and owners with simulated clocks and object service."""

    def setUp(self):
        self.now = 0.0
        self.store = mock.Mock()
        self.store.put.return_value = Ok(1)
        self.store.fetch.return_value = Ok(None)
        for module, name in ((time, 'time'), (clock, 'uptime')):
            patched = mock.patch.object(module, name, lambda: _NOW + self.now)
            patched.start()
            self.addCleanup(patched.stop)

    def start(self, suspect, rank=0):
        """Return the suspects of a process, one with three crashes."""
        suspects = Suspects(
            lambda _engine: True,
            lambda _service: 9,
            lambda _engine: 0.0,
            self.store,
            's/',
            mock.Mock(),
            mock.Mock(),
        )
        suspects.turns.configure_peers(lambda _digest: (rank, _ENTRIES))
        for second in (-9, -8, -7):
            self.now = second
            suspects._history.add_crash(
                suspect, f'i{second}@0', time.time(), share=0.1
            )
        self.now = 0.0
        return suspects

    def start_entry(self, suspect=_REQUEST, rank=0, found=False):
        """Return the quarantine of an entry."""
        suspects = self.start(suspect, rank)
        if found:
            suspects._history.record_found(suspect, _NOW - 7)
        return Quarantine(suspects)

    def leave(self):
        """Let the object service be away."""
        self.store.put.return_value = _AWAY
        self.store.fetch.return_value = _AWAY


def exchange(digest=_REQUEST, parts=()):
    """Return what the quarantine reads of a request."""
    return SimpleNamespace(
        digest=digest,
        facts=SimpleNamespace(shared_parts=parts),
        in_trial=False,
        claim_refused=False,
        sends=0,
        held_seconds=0.0,
    )


class AwayTest(ClaimCase):
    """The object service is away, so that no claim is stored."""

    def setUp(self):
        super().setUp()
        self.leave()

    @parameterized.expand([(rank,) for rank in range(_ENTRIES)])
    def test_one_entry_tries_a_request(self, turn):
        """Guards against a trial by each entry at once."""
        entries = [self.start_entry(rank=rank) for rank in range(_ENTRIES)]
        self.now = turn
        tried = []
        for rank, entry in enumerate(entries):
            asking = exchange()
            self.assertEqual(0, entry.begin_trial(asking, _VIEW))
            if entry.claim(asking, _ENGINE):
                tried.append(rank)
        self.assertEqual([turn], tried)

    @parameterized.expand([(rank,) for rank in range(_ENTRIES)])
    def test_each_entry_tries_a_suspected_part(self, rank):
        """Guards against sound parts that wait for the object service."""
        entry = self.start_entry(name_part(_PART), rank)
        asking = exchange(parts=(_PART,))
        self.assertEqual([name_part(_PART)], entry.part_turn(asking).suspects)
        self.assertTrue(entry.claim(asking, _ENGINE))

    @parameterized.expand(
        [('item', _ITEM, ()), ('part', name_part(_PART), (_PART,))]
    )
    def test_no_owner_tries(self, _name, suspect, parts):
        """Guards against a trial by each owner at once."""
        trials = self.start(suspect).item_trials
        trials.begin('run', parts)
        self.assertFalse(trials.claim('run', _ITEM, _ENGINE))


class OneTrialTest(ClaimCase):
    """A run of the same entry tries the suspect."""

    @parameterized.expand(
        [
            ('request', _REQUEST, (), False),
            ('found_part', name_part(_PART), (_PART,), True),
        ]
    )
    def test_claim_that_is_being_stored(self, _name, suspect, parts, found):
        """Guards against two trials, as no record tells of the first yet."""
        entry = self.start_entry(suspect, found=found)
        first, second = exchange(parts=parts), exchange(parts=parts)
        self.assertEqual(0, entry.begin_trial(first, _VIEW))
        pauses = []

        def put(*_written):
            pauses.append(entry.begin_trial(second, _VIEW))
            return Ok(1)

        self.store.put.side_effect = put
        self.assertTrue(entry.claim(first, _ENGINE))
        self.assertEqual([RETRY_AFTER_SECONDS], pauses)

    def test_claim_of_a_suspected_part_that_is_being_stored(self):
        """Guards against as many trials as requests come at once."""
        entry = self.start_entry(name_part(_PART))
        asking = exchange(parts=(_PART,))
        turns = []

        def put(*_written):
            turns.append(entry.part_turn(asking))
            return Ok(1)

        self.store.put.side_effect = put
        self.assertTrue(entry.claim(exchange(parts=(_PART,)), _ENGINE))
        self.assertTrue(turns[0].pause)
        self.assertTrue(turns[0].in_trial)

    @parameterized.expand(
        [
            ('unknown', _UNKNOWN_SECONDS + 0.1, RETRY_AFTER_SECONDS),
            ('longest', MAX_TRIAL_SECONDS - 0.1, RETRY_AFTER_SECONDS),
            ('endless', MAX_TRIAL_SECONDS + 0.1, 0),
        ]
    )
    def test_request_waits_for_the_trial(self, _name, elapsed, expected):
        """Its answer may begin late, and an endless one holds none up."""
        entry = self.start_entry()
        first = exchange()
        self.assertEqual(0, entry.begin_trial(first, _VIEW))
        self.assertTrue(entry.claim(first, _ENGINE))
        self.now = elapsed
        self.assertEqual(expected, entry.begin_trial(exchange(), _VIEW))

    @parameterized.expand(
        [
            ('unknown', _UNKNOWN_SECONDS + 0.1, True),
            ('longest', MAX_TRIAL_SECONDS - 0.1, True),
            ('endless', MAX_TRIAL_SECONDS + 0.1, False),
        ]
    )
    def test_suspected_part_waits_for_the_trial(self, _name, elapsed, busy):
        entry = self.start_entry(name_part(_PART))
        asking = exchange(parts=(_PART,))
        self.assertTrue(entry.claim(exchange(parts=(_PART,)), _ENGINE))
        self.now = elapsed
        turn = entry.part_turn(asking)
        self.assertEqual((busy, busy), (bool(turn.pause), turn.in_trial))


class RefusedClaimTest(ClaimCase):
    """A request could be tried, and its claim was refused."""

    def test_request_is_refused_for_good(self):
        """Guards against claims each 20 ms until the deadline passes."""
        self.leave()
        entry = self.start_entry(rank=1)
        asking = exchange()
        self.assertEqual(0, entry.begin_trial(asking, _VIEW))
        self.assertFalse(entry.claim(asking, _ENGINE))
        for elapsed in (0.2, 1.0):
            self.now = elapsed
            pause = entry.begin_trial(asking, _VIEW)
            self.assertEqual(RETRY_AFTER_SECONDS, pause)
        self.assertEqual(0, entry.begin_trial(exchange(), _VIEW))

    def test_request_whose_part_another_entry_tries(self):
        """Guards against a request in trial that polls to its deadline."""
        entry = self.start_entry()
        part = self.start(name_part(_PART))._history.record(name_part(_PART))
        asking = exchange(parts=(_PART,))
        self.assertEqual(0, entry.begin_trial(asking, _VIEW))
        part.trials[str(round(_NOW * _MS))] = 'i-2'
        entry._suspects._history.merge(part, _NOW)
        self.assertFalse(entry.claim(asking, _ENGINE))
        self.assertGreater(entry.begin_trial(asking, _VIEW), 0)

    def test_request_that_is_no_trial_waits_for_its_part(self):
        """Guards against sound requests refused for a claim of another."""
        entry = self.start_entry(name_part(_PART))
        asking = exchange(parts=(_PART,))
        trial = SuspectRecord(
            digest=name_part(_PART), trials={str(round(_NOW * _MS)): 'i-2'}
        )
        entry._suspects._history.merge(trial, _NOW)
        self.assertFalse(entry.claim(asking, _ENGINE))
        self.assertFalse(asking.claim_refused)
        self.now = 3
        self.assertTrue(entry.claim(asking, _ENGINE))


if __name__ == '__main__':
    unittest.main()
