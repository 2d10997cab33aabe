"""Watchers apply every change and need few calls for a series of changes."""

import unittest

import gevent
from bendlead_gateway._fleet.watcher import Watcher
from bendlead_gateway._log import Log
from bendlead_platform import PlatformDialect, PlatformStore
from bendlead_testing.platform_store import PlatformStandIn
from bendlead_testing.ports import free_port
from gevent.lock import Semaphore
from parameterized import parameterized

from tests.gateway_standins import eventually

_CHANGES = 20


class _Keys:
    """Follower that collects keys."""

    def __init__(self):
        self.seen = set()

    def reset(self, entries, after_outage):
        self.seen.update(entry.key for entry in entries)

    def change(self, change):
        self.seen.add(change.key)


class WatcherTest(unittest.TestCase):
    """One watcher and a store that counts its calls."""

    @parameterized.expand([('at_once', 0.0, 20), ('gathered', 0.3, 5)])
    def test_series_of_changes(self, _name, gather, most):
        store = PlatformStandIn(f'127.0.0.1:{free_port()}')
        store.start()
        keys = _Keys()
        watcher = Watcher(
            PlatformStore(store.address),
            PlatformDialect.peers_prefix,
            keys,
            Log('test'),
            Semaphore(),
            gather,
        )
        task = gevent.spawn(watcher.run)
        self.addCleanup(task.kill)
        eventually(lambda: watcher.current)
        before = len(store.calls)
        for number in range(_CHANGES):
            store.set('bendlead-nodes', f'node-{number}', {'n': number})
            gevent.sleep(0.02)
        eventually(lambda: len(keys.seen) == _CHANGES)
        gevent.sleep(gather)
        self.assertLessEqual(len(store.calls) - before, most + 1)
