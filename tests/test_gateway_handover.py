"""Requests under way at an owner that gives up its shards."""

from unittest import mock

import gevent
from bendlead_gateway._jobs import shard_manager
from bendlead_gateway.http import HttpConnection
from gevent.event import Event

from tests.gateway_cases import OwnerCase
from tests.gateway_standins import eventually

_HEADERS = [('Host', 'a.example'), ('X-Wait-Ms', '1000')]


class RequestUnderWayTest(OwnerCase):
    """A read that waits for results is answered before the owner is gone."""

    def test_leaving_owner(self):
        """A process must answer all requests before it exits."""
        self.configure()
        owner = self.start_sole_owner()
        read = self._start_read(owner)
        owner.draining = True
        owner.shut_down()
        self.assertEqual(0, owner.internal.busy)
        self.assertEqual(200, read.read_head(1).status)

    def test_retiring_owner(self):
        """A node may be removed as soon as it reports completion."""
        self.configure()
        first = self.start_sole_owner()
        second = self.start_owner('owner-2')
        eventually(second.peers.claims.available_owners)
        eventually(first.peers.claims.available_owners)
        read = self._start_read(first)
        self.store.set('retirements', 'owner-1', {'duration_s': 5})
        status = eventually(
            lambda: self.store.get('retirements', 'owner-1')['status'], 4
        )
        self.assertEqual('completed', status['state'])
        self.assertEqual(200, read.read_head(0.1).status)

    def _start_read(self, owner):
        """Submit a job and start a read that waits for its results."""
        self.assertEqual(202, self.submit(owner))
        connection = HttpConnection(owner.record.address, 1)
        self.addCleanup(connection.close)
        connection.send('GET', '/-/lots/j1?watch_after=0', _HEADERS, b'', 1)
        eventually(lambda: owner.internal.busy)
        gevent.sleep(0.05)
        return connection


class TakeoverUnderWayTest(OwnerCase):
    """An owner that leaves during a takeover."""

    def test_no_shard_is_owned_after_leaving(self):
        opened = Event()
        resumed = Event()

        def open_late(*args):
            result = take_over_shard(*args)
            opened.set()
            resumed.wait(3)
            return result

        take_over_shard = shard_manager.take_over_shard
        with mock.patch.object(shard_manager, 'take_over_shard', open_late):
            owner = self.start_owner()
            self.assertTrue(opened.wait(3))
            owner.draining = True
            owner.shut_down()
            resumed.set()
            gevent.sleep(0.3)
        self.assertEqual({}, owner._shard_manager.epochs())
