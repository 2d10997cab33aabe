"""A machine that is suspended for seconds and wakes again.

The steady clock of the system leaves that time out. What had been heard or
proved just before counted as fresh after the wake, though others had taken
shards over and engines had left meanwhile.
"""

import ast
import pathlib
import unittest
from unittest import mock

import gevent
from bendlead_gateway._fleet.health import EngineHealth
from bendlead_gateway._fleet.loads import LoadTable
from bendlead_gateway._fleet.peer import Peer
from bendlead_gateway._suspension import SuspensionDetector
from bendlead_gateway.types import DataHall, NodeName, NodeRole, PeerRecord
from bendlead_store import clock
from parameterized import parameterized

from tests.gateway_cases import OwnerCase, node_shard
from tests.gateway_standins import eventually

_ROOT = pathlib.Path(__file__).parents[1]
_SLEPT = 5.0
#: Compares the two clocks, which is how a sleep is noticed.
_MAY_COMPARE = '_suspension.py'
_PEER = PeerRecord(NodeName('n'), NodeRole.OWNER, DataHall('h'), 'a:1')


def asleep():
    """Let the machine have slept."""
    awake = clock.uptime
    return mock.patch.object(clock, 'uptime', lambda: awake() + _SLEPT)


def _peer_counts_as_alive():
    peer = Peer(_PEER, last_report_at=clock.uptime())
    return lambda: not peer.is_down


def _report_counts():
    loads = LoadTable()
    loads.report(NodeName('n'), {'i-1': 3}, {}, version=1)
    return lambda: loads.latest(NodeName('n')) is not None


def _engine_is_paused():
    health = EngineHealth()
    health.failed('i-1', unreachable=True)
    return lambda: health.paused('i-1')


class AgeTest(unittest.TestCase):
    """What was fresh is old after the wake."""

    @parameterized.expand(
        [
            ('peer', _peer_counts_as_alive),
            ('report', _report_counts),
            ('pause', _engine_is_paused),
        ]
    )
    def test_fresh_before_and_old_after(self, _name, make):
        fresh = make()
        self.assertTrue(fresh())
        with asleep():
            self.assertFalse(fresh())

    def test_look_tells_the_sleep_once(self):
        watch = SuspensionDetector()
        self.assertEqual(0, watch.poll())
        with asleep():
            self.assertAlmostEqual(_SLEPT, watch.poll(), 1)
            self.assertEqual(0, watch.poll())

    def test_product_reads_one_clock(self):
        """No age or deadline is measured by the clock that leaves it out."""
        found = [
            path.name
            for folder in ('packages', 'platform')
            for path in (_ROOT / folder).rglob('*.py')
            if 'build' not in path.parts
            and 'bendlead_cli' not in path.parts
            and any(
                isinstance(node, ast.Attribute) and node.attr == 'monotonic'
                for node in ast.walk(ast.parse(path.read_text()))
            )
        ]
        self.assertEqual([_MAY_COMPARE], found)


class OwnerTest(OwnerCase):
    """An owner wakes, and another may hold its shards."""

    def test_proof_from_before_the_sleep_is_not_enough(self):
        self.configure()
        node = self.start_sole_owner()
        board = node._shard_manager.owned[node_shard()]
        self.assertTrue(board.confirm_ownership(1.5).is_ok())
        calls = len(self.store.calls)
        with asleep():
            self.assertTrue(board.confirm_ownership(1.5).is_ok())
        self.assertGreater(len(self.store.calls), calls)

    def test_held_calls_are_doubted(self):
        self.configure()
        node = self.start_sole_owner()
        eventually(lambda: node.fleet.config_watch.holding)
        gevent.spawn(node._run_maintenance)
        gevent.sleep(0.1)
        with asleep():
            line = eventually(
                lambda: [
                    one
                    for one in node.log.recent
                    if 'event=machine-suspended' in one
                ]
            )
            gevent.sleep(0.2)
        self.assertIn('seconds=5', line[0])
        doubted = [one for one in node.log.recent if 'watch-doubted' in one]
        self.assertIn('prefix=config/', '\n'.join(doubted))
