"""Calls about jobs at an owner that gives its shards up."""

from unittest import mock

import gevent
from bendlead_gateway._jobs import keeper
from bendlead_gateway.http import HttpConnection
from gevent.event import Event

from tests.gateway_cases import OwnerCase
from tests.gateway_standins import eventually

_HEADERS = [('Host', 'a.example'), ('X-Wait-Ms', '1000')]


class CallUnderWayTest(OwnerCase):
    """A read is held at an owner for a second, or until there are results."""

    def test_leaving_owner(self):
        """A process must not end with a call that it has not answered."""
        self.configure()
        owner = self.holding()
        read = self._hold_read(owner)
        owner.leaving = True
        owner.leave()
        self.assertEqual(0, owner.internal.busy)
        self.assertEqual(200, read.read_head(1).status)

    def test_retiring_owner(self):
        """Who says that it is empty is removed in the same moment."""
        self.configure()
        first = self.holding()
        second = self.owner('owner-2')
        eventually(second.peers.claims.able_owners)
        eventually(first.peers.claims.able_owners)
        read = self._hold_read(first)
        self.store.set('retirements', 'owner-1', {'duration_s': 5})
        said = eventually(
            lambda: self.store.get('retirements', 'owner-1')['status'], 4
        )
        self.assertEqual('completed', said['state'])
        self.assertEqual(200, read.read_head(0.1).status)

    def _hold_read(self, owner):
        """Have a read of a job without results wait at an owner."""
        self.assertEqual(202, self.submit(owner))
        connection = HttpConnection(owner.record.address, 1)
        self.addCleanup(connection.close)
        connection.send('GET', '/-/lots/j1?watch_after=0', _HEADERS, b'', 1)
        eventually(lambda: owner.internal.busy)
        gevent.sleep(0.05)
        return connection


class TakeoverUnderWayTest(OwnerCase):
    """An owner that is told to stop while it takes a shard over."""

    def test_nothing_is_taken_after_the_shards_were_given_up(self):
        asked = Event()
        answered = Event()

        def open_late(*given):
            opened = keeper_open(*given)
            asked.set()
            answered.wait(3)
            return opened

        keeper_open = keeper.open_board
        with mock.patch.object(keeper, 'open_board', open_late):
            owner = self.owner()
            self.assertTrue(asked.wait(3))
            owner.leaving = True
            owner.leave()
            answered.set()
            gevent.sleep(0.3)
        self.assertEqual({}, owner._keeper.epochs())
