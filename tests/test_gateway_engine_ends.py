"""Which broken answers are held against their requests.

In the soak engines stand behind links that take connections for one that is
gone, and close them at once. Good items of jobs met several such engines and
were quarantined, though none had run them.
"""

import unittest
from unittest import mock

import gevent
from bendlead_gateway._log import Log
from bendlead_gateway._metrics import Metrics
from bendlead_gateway._suspects import crash_detector as detector_module
from bendlead_gateway._suspects.crash_detector import (
    BrokenResponse,
    CrashDetector,
)
from bendlead_gateway.types import DataHall, Engine, EngineState
from parameterized import parameterized

_ENGINE = Engine(
    'i-1', 's1', '127.0.0.1:1', DataHall('h'), 8, EngineState.READY
)
_FIRST_BREAK = 100.0


class EngineEndsTest(unittest.TestCase):
    """One engine that breaks answers off and then leaves the list."""

    def setUp(self):
        self.now = _FIRST_BREAK
        clock = mock.patch.object(detector_module.clock, 'uptime', self._uptime)
        clock.start()
        self.addCleanup(clock.stop)
        # Its address takes connections, whatever has become of it.
        probe = mock.patch.object(
            detector_module, 'refuses_connections', lambda *_asked: False
        )
        probe.start()
        self.addCleanup(probe.stop)
        self.heard = 0.0
        self.held = []
        self.detector = CrashDetector(
            lambda _engine: True,
            lambda _engine: self.heard,
            Log('n'),
            Metrics(),
        )
        self.detector.on_crash = lambda _engine, digest: self.held.append(
            digest
        )

    def _uptime(self):
        return self.now

    def breaks(self, digest, began, at, answered=False):
        """Let an answer break off whose request was sent some time before."""
        self.now = at
        self.detector.record_broken(
            _ENGINE, BrokenResponse(digest, began, answered)
        )

    def leaves(self, at):
        """Let the engine leave the list."""
        self.now = at
        self.detector.record_removed(_ENGINE)

    @parameterized.expand(
        [
            ('ran_beside_it', 99.9, 100.0, False, 0, ['a', 'b']),
            ('noticed_a_moment_later', 99.9, 100.4, False, 0, ['a', 'b']),
            ('sent_when_it_was_gone', 100.2, 100.21, False, 0, ['a']),
            ('sent_when_it_was_gone_long', 102.0, 102.01, False, 0, ['a']),
            # The first broken answer was no end: the engine went on.
            ('got_an_answer_itself', 100.2, 100.5, True, 0, ['b']),
            ('others_got_answers', 100.4, 100.5, False, 100.3, ['b']),
        ]
    )
    def test_second(self, _name, began, at, answered, heard, held):
        self.breaks('a', 99.9, _FIRST_BREAK)
        self.heard = heard
        self.breaks('b', began, at, answered)
        self.leaves(103.0)
        self.assertEqual(held, sorted(self.held))

    @parameterized.expand(
        [
            ('at_once', 0.003, False, []),
            ('after_a_while', 0.05, False, ['a']),
            ('with_a_part_of_its_answer', 0.003, True, ['a']),
        ]
    )
    def test_turned_away(self, _name, held_for, answered, held):
        """Whatever takes connections for it may have done so before."""
        began = _FIRST_BREAK - held_for
        self.breaks('a', began, _FIRST_BREAK, answered)
        self.leaves(103.0)
        self.assertEqual(held, self.held)

    def test_turned_away_by_an_address_that_then_refuses(self):
        """Nothing stands for it, so the request had met the engine."""
        self.breaks('a', _FIRST_BREAK - 0.003, _FIRST_BREAK)
        self.detector.record_refused(_ENGINE)
        self.assertEqual(['a'], self.held)

    def test_break_after_the_known_end(self):
        self.breaks('a', 99.9, _FIRST_BREAK)
        self.leaves(101.0)
        self.breaks('late', 99.9, 101.2)
        self.breaks('sent_later', 101.1, 101.2)
        self.assertEqual(['a', 'late'], self.held)

    def test_news_come_too_late(self):
        self.breaks('a', 99.9, _FIRST_BREAK)
        self.breaks('b', 109.9, 110.0)
        self.leaves(111.0)
        self.assertEqual(['b'], self.held)

    def tearDown(self):
        gevent.sleep(0)
