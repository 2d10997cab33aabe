"""Suspension of a machine for some seconds.

The monotonic clock does not count that time, so reports and proofs from before
the suspension must not count as recent after it.
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

from tests.gateway_cases import EntryCase, OwnerCase, node_shard
from tests.gateway_standins import eventually, route

_ROOT = pathlib.Path(__file__).parents[1]
_SUSPENDED_SECONDS = 5.0
#: The only module that may read the monotonic clock.
_SUSPENSION_MODULE = '_suspension.py'
_PEER = PeerRecord(NodeName('n'), NodeRole.OWNER, DataHall('h'), 'a:1')


def suspended():
    """Patch the clock as after a suspension."""
    awake = clock.uptime
    return mock.patch.object(
        clock, 'uptime', lambda: awake() + _SUSPENDED_SECONDS
    )


def _make_live_peer():
    peer = Peer(_PEER, last_report_at=clock.uptime())
    return lambda: not peer.is_down


def _make_current_report():
    loads = LoadTable()
    loads.report(NodeName('n'), {'i-1': 3}, {}, version=1)
    return lambda: loads.latest(NodeName('n')) is not None


def _make_paused_engine():
    health = EngineHealth()
    health.record_failure('i-1', unreachable=True)
    return lambda: health.paused('i-1')


class AgeTest(unittest.TestCase):
    """State from before a suspension is out of date after it."""

    @parameterized.expand(
        [
            ('peer', _make_live_peer),
            ('report', _make_current_report),
            ('pause', _make_paused_engine),
        ]
    )
    def test_current_before_and_expired_after(self, _name, make):
        is_current = make()
        self.assertTrue(is_current())
        with suspended():
            self.assertFalse(is_current())

    def test_suspension_is_reported_once(self):
        watch = SuspensionDetector()
        self.assertEqual(0, watch.poll())
        with suspended():
            self.assertAlmostEqual(_SUSPENDED_SECONDS, watch.poll(), 1)
            self.assertEqual(0, watch.poll())

    def test_monotonic_clock_is_not_used(self):
        """Ages and deadlines must include the time of a suspension."""
        names = [
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
        self.assertEqual([_SUSPENSION_MODULE], names)


class RequestTest(EntryCase):
    """A request that runs ends at its deadline, not later by the suspension."""

    @parameterized.expand(
        [
            ('of_the_route', 4000, 8000),
            ('of_the_client', 8000, 4000),
        ]
    )
    def test_deadline_passes(self, _name, timeout_ms, patience_ms):
        self.start(
            route('safe', max_attempts=1, timeout_ms=timeout_ms), answers=[None]
        )
        asking = self.send_request(timeout_ms=patience_ms)
        eventually(self.count_engine_requests)
        with suspended():
            self.assertEqual(504, asking.read_head(2).status)


class OwnerTest(OwnerCase):
    """An owner resumes, and another may own its shards."""

    def test_proof_from_before_the_suspension_expires(self):
        self.configure()
        node = self.start_sole_owner()
        board = node._shard_manager.owned[node_shard()]
        self.assertTrue(board.confirm_ownership(1.5).is_ok())
        calls = len(self.store.calls)
        with suspended():
            self.assertTrue(board.confirm_ownership(1.5).is_ok())
        self.assertGreater(len(self.store.calls), calls)

    def test_watch_calls_are_restarted(self):
        self.configure()
        node = self.start_sole_owner()
        eventually(lambda: node.fleet.config_watch.is_waiting)
        gevent.spawn(node._run_maintenance)
        gevent.sleep(0.1)
        with suspended():
            lines = eventually(
                lambda: [
                    line
                    for line in node.log.recent
                    if 'event=machine-suspended' in line
                ]
            )
            gevent.sleep(0.2)
        self.assertIn('seconds=5', lines[0])
        restarts = [line for line in node.log.recent if 'watch-doubted' in line]
        self.assertIn('prefix=config/', '\n'.join(restarts))
