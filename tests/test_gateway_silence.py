"""Open connections that fall silent for good, while new ones work."""

import time
import unittest

import gevent
from bendlead_gateway._entry import EntryNode
from bendlead_gateway.types import NodeRole
from bendlead_platform import PlatformDialect, PlatformStore
from bendlead_testing.platform_store import PlatformStandIn
from parameterized import parameterized
from result import Ok

from tests.gateway_standins import (
    SilentLink,
    configuration,
    eventually,
    free_port,
    route,
    settings,
)
from tests.test_gateway_jobs import OwnerCase

#: A machine counts as in touch again this long (s) after its connections fell
#: silent; what was acknowledged up to a second later must be in force then.
_IN_TOUCH_SECONDS = 3


class StoreSilenceTest(unittest.TestCase):
    """The connections to the object service that are kept."""

    def setUp(self):
        self.service = PlatformStandIn(f'127.0.0.1:{free_port()}')
        self.service.start()
        self.service.set('things', 'a', {'n': 1})
        self.link = SilentLink(self.service.address)
        self.addCleanup(self.link.close)
        self.store = PlatformStore(self.link.address)

    def test_one_lost_answer_shows_all(self):
        """The others are as old, and each would cost a time-out."""
        calls = [
            gevent.spawn(self.store.fetch, 'things/a') for _call in range(4)
        ]
        gevent.joinall(calls)
        self.link.silence()
        began = time.monotonic()
        while not isinstance(self.store.fetch('things/a'), Ok):
            self.assertLess(time.monotonic() - began, 10)
        self.assertLess(time.monotonic() - began, 2)


class WatchSilenceTest(OwnerCase):
    """All connections of all processes to the object service at once."""

    @parameterized.expand([('idle', 0.0), ('soon_after_a_call', 0.9)])
    def test_configuration_is_seen(self, _name, rest):
        link = SilentLink(self.store.address)
        self.addCleanup(link.close)
        self.configure()
        service, self.store.address = self.store, link.address
        self.owner()
        made = settings('entry-1', NodeRole.ENTRY, link.address)
        entry = EntryNode(made, PlatformStore(link.address), PlatformDialect())
        entry.serve()
        gevent.spawn(entry._sweep)
        eventually(lambda: entry.fleet.config_watch.holding)
        eventually(lambda: entry.peers.claims.able_owners(), 5)
        gevent.sleep(1 + rest)
        link.silence()
        began = time.monotonic()
        service.set('config', 'main', configuration(2, route('batch')))
        holder = entry.fleet.configuration
        eventually(lambda: holder.known.version == 2, 12)
        seconds = time.monotonic() - began
        self.assertLess(seconds, _IN_TOUCH_SECONDS)


if __name__ == '__main__':
    unittest.main()
