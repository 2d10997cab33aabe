"""Traffic estimates of a process that serves no online requests."""

import unittest

from bendlead_gateway._fleet.loads import LoadTable
from bendlead_gateway._fleet.pace import PaceTable
from bendlead_gateway._scheduling.item_slots import reserved_slots
from bendlead_gateway._scheduling.placement import Traffic
from bendlead_gateway._scheduling.view import EngineView
from bendlead_gateway.types import (
    DataHall,
    Engine,
    EngineId,
    EngineState,
    NodeName,
    ServiceName,
)
from parameterized import parameterized

_ENGINE = Engine(
    EngineId('a'),
    ServiceName('chat'),
    '127.0.0.1:1',
    DataHall('near'),
    8,
    EngineState.READY,
)


class TrafficTest(unittest.TestCase):
    """Run times and delays as reported by entries."""

    @parameterized.expand(
        [
            ('first', [0.7], 0.7),
            ('nobody_has_seen_one', [0, 0], 0),
            ('one_that_has_not_counts_for_nothing', [0.7, 0], 0.7),
            ('all_count', [0.7] + [0.9] * 300, 0.9),
        ]
    )
    def test_run_seconds(self, _name, reported, expected):
        pace = PaceTable()
        for seconds in reported:
            pace.add_peer_run(seconds)
        self.assertAlmostEqual(expected, pace.run_seconds, delta=0.01)

    @parameterized.expand(
        [
            ('nothing_known', 0, 0.05, 0),
            ('fresh', 0.7, 0.0, 0),
            ('few', 0.7, 0.02, 0),
            ('a_burst', 0.7, 0.06, 1),
            ('old', 0.7, 0.2, 2),
        ]
    )
    def test_reserved_slots(self, _name, run_seconds, delay, expected):
        views = [EngineView(_ENGINE, online=7)] * 3
        self.assertEqual(
            expected, reserved_slots(views, Traffic(run_seconds, delay))
        )

    def test_delay_is_learnt(self):
        loads = LoadTable()
        for version in range(1, 800):
            loads.report(NodeName('peer'), {}, {}, age=0.05, version=version)
        self.assertAlmostEqual(0.05, loads.delay, delta=0.01)
