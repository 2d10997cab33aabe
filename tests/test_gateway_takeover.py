"""Takeover of jobs by another owner, and relay of requests to owners."""

import unittest

import gevent
from bendlead_gateway._entry import EntryNode
from bendlead_gateway.http import HttpConnection
from bendlead_gateway.types import NodeRole
from bendlead_platform import PlatformDialect, PlatformStore
from bendlead_store import Failure, FailureKind, clock
from bendlead_testing.platform_store import Trouble
from parameterized import parameterized
from result import Err

from tests.gateway_cases import OwnerCase, job, node_shard
from tests.gateway_standins import (
    TaskTracker,
    chunked,
    event,
    eventually,
    settings,
)

_COMPLETE = chunked(event(1, 'a'), event(2, 'b'))


class TakeoverTest(OwnerCase):
    """Another owner continues the jobs of a lost one."""

    def test_results_keep_their_positions(self):
        self.configure([_COMPLETE])
        first = self.start_sole_owner()
        self.submit(first, job(items=2))
        results = eventually(lambda: self.results(first))
        second = self.start_owner('owner-2')
        # Neither owner has reports of the other, as in a network partition.
        second.peers.claims.highest_epoch = lambda _shard: 0
        second.peers.claims.available_owners = list
        first.peers.claims.highest_epoch = lambda _shard: 0
        eventually(lambda: len(second._shard_manager.owned) == 4, 5)
        self.assertEqual(results, self.results(second))
        response = eventually(
            lambda: self.call(first, 'GET', '/-/lots/j1').head.status == 503,
            5,
        )
        self.assertTrue(response)

    def test_owner_refused_by_the_store_is_replaced(self):
        first, second = self.start_two_owners()
        # Open watches of the first stay up; its writes are refused.
        self._refuse_writes(first)
        gevent.spawn(self.call, first, 'DELETE', '/-/lots/j1')
        # Shards are taken over one after the other.
        eventually(lambda: len(second._shard_manager.owned) == 4, 15)
        self.assertIn('j1', second._shard_manager.owned[node_shard()].jobs)
        eventually(lambda: not first._shard_manager.owned, 2)

    def test_store_outage_moves_no_shards(self):
        first, second = self.start_two_owners()
        epochs = first._shard_manager.epochs()
        self.store.trouble = Trouble.AWAY
        gevent.spawn(self.call, first, 'DELETE', '/-/lots/j1')
        gevent.sleep(3)
        self.store.trouble = Trouble.NONE
        gevent.sleep(0.5)
        self.assertEqual(epochs, first._shard_manager.epochs())
        self.assertEqual({}, second._shard_manager.epochs())

    @parameterized.expand([('watches_end', True), ('watches_stay_up', False)])
    def test_owner_that_recovers_shortly_after_the_store(
        self, _name, watches_end
    ):
        """It keeps its shards: another owner would repeat unsaved work."""
        first, second = self.start_two_owners()
        epochs = first._shard_manager.epochs()
        put = first.store.put
        self._refuse_writes(first)
        self.store.trouble = Trouble.AWAY
        if watches_end:
            self.store.forget_history()
        gevent.spawn(self.call, first, 'DELETE', '/-/lots/j1')
        gevent.sleep(4)
        self.store.trouble = Trouble.NONE
        eventually(lambda: second.peers_watch.current)
        gevent.sleep(0.8)
        first.store.put = put
        gevent.sleep(1.5)
        self.assertEqual(epochs, first._shard_manager.epochs())
        self.assertEqual({}, second._shard_manager.epochs())

    @parameterized.expand(
        [('same_owner', 'owner-1'), ('two_owners', 'owner-2')]
    )
    def test_restarted_owners_take_their_shards_quickly(self, _name, other):
        """Clients cannot reach their jobs until then."""
        self.configure()
        self.run_first_owner()
        started_at = clock.uptime()
        restarted = [self.start_owner('owner-1')]
        if other != 'owner-1':
            restarted.append(self.start_owner(other))
        eventually(
            lambda: (
                sum(len(owner._shard_manager.owned) for owner in restarted) == 4
            )
        )
        self.assertLess(clock.uptime() - started_at, 0.6)

    def test_takeover_waits_for_an_owner_without_report(self):
        """It may be alive and briefly unreachable."""
        self.configure()
        self.run_first_owner()
        second = self.start_owner('owner-2')
        gevent.sleep(0.5)
        self.assertFalse(second._shard_manager.owned)
        eventually(lambda: len(second._shard_manager.owned) == 4)

    def test_leaving_owner_hands_over_immediately(self):
        first, second = self.start_two_owners()
        first.draining = True
        gevent.spawn(first.shut_down)
        eventually(lambda: len(second._shard_manager.owned) == 4, 3)
        self.assertEqual(202, self.submit(second))
        self.assertIn('j1', second._shard_manager.owned[node_shard()].jobs)

    def run_first_owner(self):
        """Run an owner until it has all shards, then end all its tasks."""
        tasks = TaskTracker()
        self.start_sole_owner('owner-1')
        tasks.end()

    def _refuse_writes(self, owner):
        """Make all writes of an owner fail."""
        refused = Err(Failure(FailureKind.NOT_DONE, 'put', 'store', 'busy'))
        owner.store.put = lambda *_call: refused


class ForwardedRequestTest(OwnerCase):
    """An entry without a report of the owner forwards to one that has it."""

    def entry(self, name):
        """Start an entry."""
        node_settings = settings(name, NodeRole.ENTRY, self.store.address)
        store = PlatformStore(node_settings.store_address)
        node = EntryNode(node_settings, store, PlatformDialect())
        node.serve()
        return node

    def request(self, entry, method, target, body=b''):
        """Send a client's request to an entry; return the status."""
        connection = HttpConnection(entry.settings.clients_address, 1)
        self.addCleanup(connection.close)
        headers = [('Host', 'a.example'), ('X-Attempt-Id', 'j1')]
        response = connection.request(method, target, headers, body, 3)
        return response.head.status

    @parameterized.expand(
        [('another_entry_has_report', True), ('no_entry_has', False)]
    )
    def test_forwarding(self, _name, known):
        self.configure()
        owner = self.start_sole_owner()
        entries = [self.entry(name) for name in ('entry-1', 'entry-2')]
        for entry in entries:
            eventually(lambda node=entry: node.peers.claims.owner(node_shard()))
            eventually(lambda node=entry: node.fleet.configuration.current)
        eventually(lambda: entries[0].peers.claims.relay_to_owner(node_shard()))
        for entry in entries[: 1 if known else 2]:
            entry.peers.claims.owner = lambda _shard: None
        status = self.request(entries[0], 'POST', '/x/', job())
        self.assertEqual(202 if known else 503, status)
        status = self.request(entries[0], 'GET', '/-/lots/j1')
        self.assertEqual(200 if known else 503, status)
        self.assertEqual(
            known, 'j1' in owner._shard_manager.owned[node_shard()].jobs
        )


class RetirementTest(OwnerCase):
    """A retiring owner reports completion once it is drained."""

    def test_shards_are_given_up_before_completion(self):
        first, second = self.start_two_owners()
        self.store.set('retirements', 'owner-1', {'duration_s': 5})
        status = eventually(
            lambda: self.store.get('retirements', 'owner-1')['status'], 4
        )
        self.assertEqual('completed', status['state'])
        self.assertEqual({}, first._shard_manager.owned)
        eventually(lambda: len(second._shard_manager.owned) == 4, 3)

    def test_order_for_another_node(self):
        self.configure()
        node = self.start_sole_owner()
        self.store.set('retirements', 'owner-9', {'duration_s': 5})
        gevent.sleep(0.5)
        self.assertEqual(4, len(node._shard_manager.owned))
        self.assertIsNone(self.store.get('retirements', 'owner-9')['status'])


if __name__ == '__main__':
    unittest.main()
