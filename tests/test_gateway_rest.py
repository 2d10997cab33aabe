"""Exchanges between data halls slow down while there are no updates."""

import unittest
from functools import partial

import gevent
from bendlead_gateway._entry import EntryNode
from bendlead_gateway.types import DataHall, EngineId, NodeRole
from bendlead_platform import PlatformDialect, PlatformStore
from bendlead_store import clock
from bendlead_testing.platform_store import PlatformStandIn
from bendlead_testing.ports import free_port
from msgspec import structs
from parameterized import parameterized

from tests.gateway_standins import (
    TaskTracker,
    configuration,
    eventually,
    route,
    settings,
)

_ENGINE = EngineId('i-1')


class RestTest(unittest.TestCase):
    """Two entries, of which the first is the client."""

    def setUp(self):
        self.addCleanup(TaskTracker().end)
        self.store = PlatformStandIn(f'127.0.0.1:{free_port()}')
        self.store.start()
        self.store.set('config', 'main', configuration(1, route('safe')))

    def start(self, first_hall, second_hall):
        """Start both entries and wait until they exchange reports."""
        self.client = self.entry('entry-1', first_hall)
        self.server = self.entry('entry-2', second_hall)
        eventually(lambda: self.client.peers.entry_group().reachable == 2)
        gevent.sleep(0.3)

    def entry(self, name, hall):
        """Start an entry in a data hall."""
        node_settings = settings(name, NodeRole.ENTRY, self.store.address)
        node_settings = structs.replace(node_settings, hall=DataHall(hall))
        node = EntryNode(
            node_settings,
            PlatformStore(node_settings.store_address),
            PlatformDialect(),
        )
        node.serve()
        return node

    def exchanges(self, seconds):
        """Count the exchanges within some seconds."""
        counted = []
        for name in ('exchange', 'exchange_changes'):
            handle = getattr(self.server.peers, name)

            def count(body, handle=handle):
                counted.append(body)
                return handle(body)

            path = '/peer/report' if name == 'exchange' else '/peer/changes'
            self.server._exchanges[path] = count
        gevent.sleep(seconds)
        return len(counted)

    def is_known(self, loads, count):
        """Return whether this number of requests is known."""
        return loads.online(_ENGINE) == count

    @parameterized.expand(
        [
            ('other_hall', 'hall-b', 1, 10),
            ('same_hall', 'hall-a', 11, 26),
        ]
    )
    def test_idle(self, _name, hall, least, most):
        self.start('hall-a', hall)
        exchanges = self.exchanges(1)
        self.assertGreaterEqual(exchanges, least)
        self.assertLessEqual(exchanges, most)

    @parameterized.expand(
        [
            ('of_the_one_that_asks', 'client', 'server', 0.1),
            ('of_the_one_that_answers', 'server', 'client', 0.2),
        ]
    )
    def test_change_arrives_soon(self, _name, changed, receiver, bound):
        self.start('hall-a', 'hall-b')
        loads = getattr(self, receiver).fleet.loads
        delays = []
        for count in range(1, 6):
            getattr(self, changed).fleet.loads.start_online(_ENGINE)
            started = clock.uptime()
            eventually(partial(self.is_known, loads, count))
            delays.append(clock.uptime() - started)
        self.assertLess(sorted(delays)[2], bound)
