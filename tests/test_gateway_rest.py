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
    Tasks,
    configuration,
    eventually,
    route,
    settings,
)

_ENGINE = EngineId('i-1')


class RestTest(unittest.TestCase):
    """Two entries, of which the first is the client."""

    def setUp(self):
        self.addCleanup(Tasks().end)
        self.store = PlatformStandIn(f'127.0.0.1:{free_port()}')
        self.store.start()
        self.store.set('config', 'main', configuration(1, route('safe')))

    def start(self, first_hall, second_hall):
        """Start both entries and wait until they exchange reports."""
        self.asks = self.entry('entry-1', first_hall)
        self.answers = self.entry('entry-2', second_hall)
        eventually(lambda: self.asks.peers.entry_group().heard == 2)
        gevent.sleep(0.3)

    def entry(self, name, hall):
        """Start an entry in a data hall."""
        made = settings(name, NodeRole.ENTRY, self.store.address)
        made = structs.replace(made, hall=DataHall(hall))
        node = EntryNode(
            made, PlatformStore(made.store_address), PlatformDialect()
        )
        node.serve()
        return node

    def exchanges(self, seconds):
        """Count the exchanges within some seconds."""
        counted = []
        for name in ('exchange', 'exchange_changes'):
            answer = getattr(self.answers.peers, name)

            def count(body, answer=answer):
                counted.append(body)
                return answer(body)

            path = '/peer/report' if name == 'exchange' else '/peer/changes'
            self.answers._exchanges[path] = count
        gevent.sleep(seconds)
        return len(counted)

    def is_heard(self, loads, count):
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
        found = self.exchanges(1)
        self.assertGreaterEqual(found, least)
        self.assertLessEqual(found, most)

    @parameterized.expand(
        [
            ('of_the_one_that_asks', 'asks', 'answers', 0.1),
            ('of_the_one_that_answers', 'answers', 'asks', 0.2),
        ]
    )
    def test_change_is_heard_soon(self, _name, changes, hears, bound):
        self.start('hall-a', 'hall-b')
        loads = getattr(self, hears).fleet.loads
        waited = []
        for count in range(1, 6):
            getattr(self, changes).fleet.loads.start_online(_ENGINE)
            began = clock.uptime()
            eventually(partial(self.is_heard, loads, count))
            waited.append(clock.uptime() - began)
        self.assertLess(sorted(waited)[2], bound)
