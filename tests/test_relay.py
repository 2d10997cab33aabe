"""The configuration relay, over a network of calls within the process."""

import time
import unittest

import gevent
from bendlead_node._common.config import ConfigTable, config_key
from bendlead_node._common.telemetry import Journal
from bendlead_node._entry.relay import Relay
from bendlead_schema.messages import EntryHeartbeat, VersionedKey
from bendlead_store import Failure, FailureKind
from parameterized import parameterized
from result import Err, Ok

from tests.gateway_standins import TaskTracker

_NODES = 100


class Network:
    """Let relays reach each other, but for those that are gone."""

    def __init__(self, count: int) -> None:
        self.gone: set[str] = set()
        self.tables = {f'node-{at}': ConfigTable() for at in range(count)}
        self.relays = {
            name: Relay(name, table, self._others(name), self, Journal(name))
            for name, table in self.tables.items()
        }

    def ask(self, address, _path, message, _reply):
        gevent.sleep(0)
        if address in self.gone:
            kind = FailureKind.NOT_DONE
            return Err(Failure(kind, 'push', address))
        return Ok(self.relays[address].take_push(message))

    def missing(self, key: str) -> int:
        return sum(
            key not in table.versions
            for name, table in self.tables.items()
            if name not in self.gone
        )

    def _others(self, name: str):
        peers = [
            EntryHeartbeat(node=other, address=other, data_hall='h', shards=[])
            for other in self.tables
            if other != name
        ]
        return lambda: peers


def change(number: int, version: int, deleted: bool = False) -> VersionedKey:
    key = config_key('limit', f'key-{number}')
    return VersionedKey(key=key, version=version, deleted=deleted, body='{}')


class RelayTest(unittest.TestCase):
    """A change reaches all in a bounded processor time of all nodes.

    Time on the clock would tell how busy the machine is: beside 30 processes
    on one core, nodes had not had their turn within 0.3 s.
    """

    def setUp(self) -> None:
        self._tasks = TaskTracker()
        self.addCleanup(self._tasks.end)
        self._began = time.process_time()

    def settle(self) -> None:
        """Wait until nobody passes anything on any more."""
        self._tasks.finish()
        self.assertLess(time.process_time() - self._began, 0.3)

    @parameterized.expand(
        [
            ('one node', ['node-3']),
            ('the first and the last node at once', ['node-0', 'node-99']),
            ('many nodes at once', [f'node-{at}' for at in range(0, 100, 9)]),
        ]
    )
    def test_reaches_all_wherever_it_enters(self, _name, entered) -> None:
        network = Network(_NODES)
        for name in entered:
            gevent.spawn(network.relays[name].learn, [change(1, 1)])
        self.settle()
        self.assertEqual(network.missing(change(1, 1).key), 0)

    def test_reaches_all_around_lost_nodes(self) -> None:
        network = Network(_NODES)
        ranked = network.relays['node-0']._ranked()[1]
        network.gone = set(ranked[1:9])
        network.relays[ranked[0]].learn([change(1, 1)])
        self.settle()
        self.assertEqual(network.missing(change(1, 1).key), 0)


class ConfigTableTest(unittest.TestCase):
    @parameterized.expand(
        [
            ('rising', [(1, False), (2, False)], 2, False),
            ('late old one', [(2, False), (1, False)], 2, False),
            ('deleted', [(1, False), (2, True)], 2, True),
            ('old one after its deletion', [(2, True), (1, False)], 2, True),
            ('made again', [(2, True), (3, False)], 3, False),
            ('twice', [(2, False), (2, False)], 2, False),
        ]
    )
    def test_versions_only_rise(self, _name, steps, version, deleted) -> None:
        table = ConfigTable()
        for at, gone in steps:
            table.merge([change(1, at, gone)])
        held = table.above({})[0]
        self.assertEqual((held.version, held.deleted), (version, deleted))

    def test_digest_is_the_same_in_any_order(self) -> None:
        changes = [change(1, 1), change(2, 2), change(1, 3), change(3, 4)]
        tables = [ConfigTable() for _order in range(2)]
        tables[0].merge(changes)
        for one in reversed(changes):
            tables[1].merge([one])
        self.assertEqual(tables[0].digest, tables[1].digest)
