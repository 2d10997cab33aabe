"""Jobs that move between owners, and calls passed on to their owner."""

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
    Tasks,
    chunked,
    event,
    eventually,
    settings,
)

_WHOLE = chunked(event(1, 'a'), event(2, 'b'))


class TakeoverTest(OwnerCase):
    """Another owner goes on with the jobs of one that is lost."""

    def test_results_keep_their_positions(self):
        self.configure([_WHOLE])
        first = self.holding()
        self.submit(first, job(items=2))
        before = eventually(lambda: self.results(first))
        second = self.owner('owner-2')
        # The second hears nothing of the first, as when the two are cut.
        second.peers.claims.claimed = lambda _shard: 0
        second.peers.claims.able_owners = list
        first.peers.claims.claimed = lambda _shard: 0
        eventually(lambda: len(second._keeper.boards) == 4, 5)
        self.assertEqual(before, self.results(second))
        response = eventually(
            lambda: self.call(first, 'GET', '/-/lots/j1').head.status == 503,
            5,
        )
        self.assertTrue(response)

    def test_owner_that_the_store_turns_away_is_replaced(self):
        first, second = self.two_owners()
        # The held watches of the first live on; its new calls are refused.
        self._turn_away(first)
        gevent.spawn(self.call, first, 'DELETE', '/-/lots/j1')
        # Some 4 s on an idle machine; the shards are taken one by one.
        eventually(lambda: len(second._keeper.boards) == 4, 15)
        self.assertIn('j1', second._keeper.boards[node_shard()].jobs)
        eventually(lambda: not first._keeper.boards, 2)

    def test_store_down_for_all_moves_nothing(self):
        first, second = self.two_owners()
        epochs = first._keeper.epochs()
        self.store.trouble = Trouble.AWAY
        gevent.spawn(self.call, first, 'DELETE', '/-/lots/j1')
        gevent.sleep(3)
        self.store.trouble = Trouble.NONE
        gevent.sleep(0.5)
        self.assertEqual(epochs, first._keeper.epochs())
        self.assertEqual({}, second._keeper.epochs())

    @parameterized.expand([('watches_end', True), ('watches_live_on', False)])
    def test_holder_that_returns_a_moment_later(self, _name, watches_end):
        """What it holds in memory would run again at another owner."""
        first, second = self.two_owners()
        epochs = first._keeper.epochs()
        put = first.store.put
        self._turn_away(first)
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
        self.assertEqual(epochs, first._keeper.epochs())
        self.assertEqual({}, second._keeper.epochs())

    @parameterized.expand([('the_same', 'owner-1'), ('of_two', 'owner-2')])
    def test_owners_that_start_again_hold_their_shards_soon(self, _name, other):
        """Callers of their jobs have no owner until then."""
        self.configure()
        self.hold_and_end()
        began = clock.uptime()
        again = [self.owner('owner-1')]
        if other != 'owner-1':
            again.append(self.owner(other))
        eventually(lambda: sum(len(one._keeper.boards) for one in again) == 4)
        self.assertLess(clock.uptime() - began, 0.6)

    def test_shards_of_an_owner_that_is_not_heard_wait(self):
        """It may live and be cut off for a moment."""
        self.configure()
        self.hold_and_end()
        second = self.owner('owner-2')
        gevent.sleep(0.5)
        self.assertFalse(second._keeper.boards)
        eventually(lambda: len(second._keeper.boards) == 4)

    def test_leaving_owner_hands_over_at_once(self):
        first, second = self.two_owners()
        first.leaving = True
        gevent.spawn(first.leave)
        eventually(lambda: len(second._keeper.boards) == 4, 3)
        self.assertEqual(202, self.submit(second))
        self.assertIn('j1', second._keeper.boards[node_shard()].jobs)

    def hold_and_end(self):
        """Have an owner hold all shards, and end with all its tasks."""
        tasks = Tasks()
        self.holding('owner-1')
        tasks.end()

    def _turn_away(self, owner):
        """Have the store refuse the writes of an owner."""
        refused = Err(Failure(FailureKind.NOT_DONE, 'put', 'store', 'busy'))
        owner.store.put = lambda *_call: refused


class ForwardedCallTest(OwnerCase):
    """An entry that does not hear the owner asks one that does."""

    def entry(self, name):
        """Start an entry."""
        made = settings(name, NodeRole.ENTRY, self.store.address)
        store = PlatformStore(made.store_address)
        node = EntryNode(made, store, PlatformDialect())
        node.serve()
        return node

    def ask(self, entry, method, target, body=b''):
        """Call an entry as a client does."""
        connection = HttpConnection(entry.settings.clients_address, 1)
        self.addCleanup(connection.close)
        headers = [('Host', 'a.example'), ('X-Attempt-Id', 'j1')]
        answered = connection.request(method, target, headers, body, 3)
        return answered.head.status

    @parameterized.expand([('another_hears_it', True), ('nobody_does', False)])
    def test_call(self, _name, heard):
        self.configure()
        owner = self.holding()
        entries = [self.entry(name) for name in ('entry-1', 'entry-2')]
        for entry in entries:
            eventually(
                lambda node=entry: node.peers.claims.holder(node_shard())
            )
            eventually(lambda node=entry: node.fleet.configuration.known)
        eventually(lambda: entries[0].peers.claims.way_to(node_shard()))
        for entry in entries[: 1 if heard else 2]:
            entry.peers.claims.holder = lambda _shard: None
        status = self.ask(entries[0], 'POST', '/x/', job())
        self.assertEqual(202 if heard else 503, status)
        status = self.ask(entries[0], 'GET', '/-/lots/j1')
        self.assertEqual(200 if heard else 503, status)
        self.assertEqual(heard, 'j1' in owner._keeper.boards[node_shard()].jobs)


class RetirementTest(OwnerCase):
    """An owner that is to be emptied says when it is."""

    def test_shards_move_before_it_says_so(self):
        first, second = self.two_owners()
        self.store.set('retirements', 'owner-1', {'duration_s': 5})
        status = eventually(
            lambda: self.store.get('retirements', 'owner-1')['status'], 4
        )
        self.assertEqual('completed', status['state'])
        self.assertEqual({}, first._keeper.boards)
        eventually(lambda: len(second._keeper.boards) == 4, 3)

    def test_order_for_another_node(self):
        self.configure()
        node = self.holding()
        self.store.set('retirements', 'owner-9', {'duration_s': 5})
        gevent.sleep(0.5)
        self.assertEqual(4, len(node._keeper.boards))
        self.assertIsNone(self.store.get('retirements', 'owner-9')['status'])


if __name__ == '__main__':
    unittest.main()
