"""Who may try a suspect now: turns, claims, and what a refused claim ends.

Guards against several trials at once, and requests that poll for one.
"""

import time
import unittest
from types import SimpleNamespace
from unittest import mock

from bendlead_gateway._online.quarantine import Quarantine
from bendlead_gateway._suspects.digest import RequestDigest, name_part
from bendlead_gateway._suspects.suspects import Suspects
from bendlead_gateway.types import EngineId, PromptPart
from bendlead_store import clock
from parameterized import parameterized
from result import Err, Ok

#: The first of three entries has its turn.
_NOW = 999_999.0
_ENTRIES = 3
_REQUEST = RequestDigest('d')
_ITEM = RequestDigest('item-d')
_PART = PromptPart('p')
_ENGINE = EngineId('i-1')
_VIEW = SimpleNamespace(free=1, name=_ENGINE)
_AWAY = Err('away')


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


if __name__ == '__main__':
    unittest.main()
