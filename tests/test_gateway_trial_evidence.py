"""What lets a suspect be tried, or keeps it from being tried.

Guards against trials without evidence, and sound requests that get none.
"""

import time
import unittest
from types import SimpleNamespace
from unittest import mock

import msgspec
from bendlead_gateway._online.quarantine import Quarantine
from bendlead_gateway._scheduling.view import EngineView
from bendlead_gateway._suspects.digest import RequestDigest, name_part
from bendlead_gateway._suspects.suspects import Suspects
from bendlead_gateway.types import (
    DataHall,
    Engine,
    EngineId,
    EngineState,
    PromptPart,
    ServiceName,
)
from bendlead_schema.gateway import SuspectRecord
from bendlead_store import Change, Entry, clock
from parameterized import parameterized

_PREFIX = 's/'
_MS = 1000
_SLOTS = 8
_ENGINE = Engine(
    EngineId('i-0'),
    ServiceName('llm'),
    '127.0.0.1:1',
    DataHall('a'),
    _SLOTS,
    EngineState.READY,
)
_OWED_SECONDS = 20


def at_ms(seconds):
    """Return a time so many seconds before or after now (Unix ms)."""
    return round((time.time() + seconds) * _MS)


def record(digest, crashes, trials=()):
    """Return a record; the engines are named by the seconds."""
    return SuspectRecord(
        digest=digest,
        ends={f'{digest}{second}@0': at_ms(second) for second in crashes},
        trials={
            str(at_ms(second - 0.5)): f'{digest}{second}' for second in trials
        },
    )


def entry(suspect, version=1):
    """Return the record as the object service holds it."""
    body = msgspec.json.encode(suspect)
    return Entry(f'{_PREFIX}{suspect.digest}', version, body)


class EvidenceTest(unittest.TestCase):
    """A process whose engines are calm."""

    def setUp(self):
        self.suspects = Suspects(
            lambda _engine: True,
            lambda _service: 9,
            lambda _engine: 0.0,
            mock.Mock(),
            _PREFIX,
            mock.Mock(),
            mock.Mock(),
        )

    def start(self, *records):
        """Read stored records; the engines have been calm since."""
        with mock.patch.object(clock, 'uptime', lambda: 0.0):
            self.suspects.store.reset(list(map(entry, records)), False)

    def pause(self, digest):
        return self.suspects.trial_pause(RequestDigest(digest), ())

    def test_release_is_no_evidence(self):
        """An operator removes the record of one, or it expires somewhere."""
        deadly = record('a', (-100, -99, -98, -4), trials=(-4,))
        other = record('b', (-80, -79, -78, -60), trials=(-60,))
        self.start(deadly, other)
        before = self.pause('a')
        gone = Change(f'{_PREFIX}b', 2, deleted=True)
        self.suspects.store.change(gone)
        self.assertAlmostEqual(before, self.pause('a'), delta=1)

    def test_new_process_knows_of_other_crashes(self):
        """Five trials failed beside crashes under requests never seen again."""
        crashes = [-1 - 10 * number for number in range(5)]
        sound = record('a', (-60, -59, -58, *crashes), trials=crashes)
        others = [record(f'o{at}', (at - 1,)) for at in crashes]
        self.start(sound, *others)
        self.assertLess(self.pause('a'), _OWED_SECONDS)
        self.setUp()
        # Requests with a single crash are not stored.
        self.start(sound)
        self.assertLess(self.pause('a'), _OWED_SECONDS)

    @parameterized.expand([(2,), (5,), (7,)])
    def test_part_on_probation_is_tried_soon(self, failed):
        """Its trials failed beside crashes of other causes."""
        crashes = [-1 - 10 * number for number in range(failed)]
        part = name_part(PromptPart('p'))
        others = [record(f'o{at}', (at - 1, at + 0.2)) for at in crashes]
        probed = record(part, (-90, -89, -88, *crashes), trials=crashes)
        self.start(probed, *others)
        trials = self.suspects.item_trials
        pause = trials.remaining_part_pause(PromptPart('p'))
        self.assertLess(pause, _OWED_SECONDS)

    @parameterized.expand(
        [
            ('idle', 0, 0, 0, True),
            ('items_that_yield', 0, _SLOTS, 0, True),
            ('items_that_stay', 0, _SLOTS, _SLOTS, False),
            ('requests', _SLOTS, 0, 0, False),
        ]
    )
    def test_trial_takes_the_place_of_an_item(
        self, _name, online, batch, non_preemptible, is_tried
    ):
        """Other requests are sent to an engine whose items yield."""
        self.start(record('a', (-100, -99, -98)))
        exchange = SimpleNamespace(
            digest=RequestDigest('a'),
            facts=SimpleNamespace(shared_parts=()),
            in_trial=False,
            claim_refused=False,
            sends=0,
            held_seconds=0.0,
        )
        view = EngineView(_ENGINE, online, batch, non_preemptible)
        self.assertEqual(is_tried, not view.waiting)
        pause = Quarantine(self.suspects).begin_trial(exchange, view)
        self.assertEqual(is_tried, not pause)


if __name__ == '__main__':
    unittest.main()
