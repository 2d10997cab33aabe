"""Routes and engines in an entry while the store is slow, down or stale."""

import unittest
from unittest import mock

import gevent
from bendlead_gateway._entry import EntryNode
from bendlead_gateway.http import HttpConnection
from bendlead_gateway.types import NodeRole
from bendlead_platform import PlatformDialect, PlatformStore
from bendlead_schema.gateway import NodeReport
from bendlead_testing.platform_store import Trouble
from parameterized import parameterized

from tests.gateway_cases import EntryCase
from tests.gateway_standins import (
    configuration,
    engine,
    eventually,
    route,
    settings,
)

_PLAIN = (
    b'HTTP/1.1 200 OK\r\nX-Response-Seal: s1\r\nContent-Length: 2\r\n\r\nok'
)


class RoutingTest(EntryCase):
    """Configuration and engines that an entry uses."""

    def test_unknown_route(self):
        self.start(route('safe'), answers=[_PLAIN])
        head, _body = self.read(self.send_request('/other/1'))
        self.assertEqual(404, head.status)

    def test_unknown_route_while_the_store_is_away(self):
        self.start(route('safe'), answers=[_PLAIN])
        self.entry.fleet.config_watch._current = False
        self.store.trouble = Trouble.AWAY
        head, _body = self.read(self.send_request('/other/1'))
        self.assertEqual(503, head.status)

    def test_older_configuration_is_ignored(self):
        self.start(route('safe'), answers=[_PLAIN])
        self.store.set(
            'config', 'main', configuration(3, route('safe', path_prefix='/y/'))
        )
        eventually(lambda: self.entry.fleet.configuration.current.version == 3)
        self.store.set('config', 'main', configuration(2, route('safe')))
        gevent.sleep(0.1)
        self.assertEqual(3, self.entry.fleet.configuration.current.version)
        head, _body = self.read(self.send_request('/x/1'))
        self.assertEqual(404, head.status)

    def test_history_gone(self):
        self.start(route('safe'), answers=[_PLAIN])
        self.store.set('config', 'main', configuration(3, route('safe')))
        self.store.forget_history()
        eventually(lambda: self.entry.fleet.configuration.current.version == 3)

    def test_draining_engine_gets_no_requests(self):
        self.start(route('safe'), answers=[_PLAIN, _PLAIN])
        address = self.engines[0].address
        self.store.set('servers', 'i-0', engine(address, state='draining'))
        eventually(lambda: len(self.entry.fleet.engines.ready('s1')) == 1)
        for _attempt in range(3):
            self.read(self.send_request())
        self.assertEqual([], self.engines[0].requests)

    @parameterized.expand(
        [
            ('store_was_away', Trouble.AWAY, 1.4, 2),
            ('watch_was_cut', Trouble.CUT, 0.1, 1),
            ('only_the_history_was_gone', Trouble.NONE, 0, 1),
        ],
    )
    def test_engine_missing_after(self, _name, trouble, away, kept):
        self.start(route('safe'), answers=[_PLAIN, _PLAIN])
        self.store.trouble = trouble
        self.store.remove('servers', 'i-0', unseen=True)
        self.store.forget_history()
        gevent.sleep(away)
        self.store.trouble = Trouble.NONE
        watch = self.entry.fleet.engines_watch
        gevent.sleep(0.05)
        eventually(lambda: watch.current)
        self.assertEqual(kept, len(self.entry.fleet.engines.all()))
        eventually(lambda: len(self.entry.fleet.engines.all()) == 1, 3)

    @parameterized.expand(
        [
            ('one_of_four_expires', 4, 1, 3),
            ('one_of_two_expires', 2, 1, 1),
            ('half_expire', 4, 2, 4),
            ('all_expire', 3, 3, 3),
            ('the_only_one_expires', 1, 1, 1),
        ],
    )
    def test_expired_engines(self, _name, listed, removed, kept):
        """Engines that expire together, as after an outage, are kept longer."""
        self.start(route('safe'), answers=[_PLAIN] * listed)
        for number in range(removed):
            self.store.remove('servers', f'i-{number}')
        gevent.sleep(0.4)
        self.assertEqual(kept, len(self.entry.fleet.engines.ready('s1')))
        gevent.sleep(1.5)
        left = len(self.entry.fleet.engines.ready('s1'))
        self.assertEqual(listed - removed, left)

    @parameterized.expand([('soon', 0.4), ('after_the_slowest', 1.66)])
    def test_expired_engine_that_registers_again(self, _name, seconds):
        """Expired engines are kept until live ones have registered again."""
        self.start(route('safe'), answers=[_PLAIN] * 2)
        for number in range(2):
            self.store.remove('servers', f'i-{number}')
        gevent.sleep(seconds)
        self.assertEqual(2, len(self.entry.fleet.engines.ready('s1')))
        self.store.set('servers', 'i-0', engine(self.engines[0].address))
        gevent.sleep(2 - seconds)
        names = [ready.engine for ready in self.entry.fleet.engines.ready('s1')]
        self.assertEqual(['i-0'], names)

    @parameterized.expand([('at_once', 0.0), ('after_the_peers', 0.2)])
    def test_one_watch_polls_while_the_store_is_away(self, _name, seconds):
        """Only one watch polls a store that is away; all recover after it."""
        self._delay_engines(seconds)
        self.start(route('safe'), answers=[_PLAIN])
        self.store.trouble = Trouble.AWAY
        # A watch at the newest revision needs no history, so make one more
        # change before the history is dropped.
        self.store.set('config', 'main', configuration(2, route('safe')))
        self.store.forget_history()
        watches = [
            self.entry.fleet.config_watch,
            self.entry.fleet.engines_watch,
            self.entry.peers_watch,
        ]
        # Each watch fails once before it waits for the others, and its backoff
        # reaches its maximum of 0.2 to 0.6 s within 2 s.
        eventually(lambda: not any(watch.current for watch in watches))
        gevent.sleep(2)
        before = len(self.store.calls)
        gevent.sleep(2)
        self.assertLessEqual(len(self.store.calls) - before, 10)
        self.store.trouble = Trouble.NONE
        eventually(lambda: all(watch.current for watch in watches), 1.5)

    def _delay_engines(self, seconds):
        """Delay the listing of engines by some seconds."""
        listed = PlatformStore.list_entries

        def list_late(store, prefix):
            if prefix == 'servers/':
                gevent.sleep(seconds)
            return listed(store, prefix)

        patched = mock.patch.object(PlatformStore, 'list_entries', list_late)
        patched.start()
        self.addCleanup(patched.stop)

    @parameterized.expand(
        [('reported_by_a_peer', True), ('not_reported', False)]
    )
    def test_silent_watch(self, _name, reported):
        """A peer's newer revision reveals a watch whose connection is dead."""
        holder = self._silence_watches()
        gevent.sleep(0.3)
        self.store.trouble = Trouble.NONE
        made = configuration(3, route('safe'))
        revision = self.store.set('config', 'main', made)
        for _report in range(20):
            if reported:
                self.entry.fleet.receive(
                    NodeReport(
                        node='entry-2',
                        sound=True,
                        leaving=False,
                        revisions={'config/': revision},
                    )
                )
            gevent.sleep(0.05)
        self.assertEqual(3 if reported else 2, holder.current.version)

    @parameterized.expand(
        [
            ('peer_saw_it_end', 400, 100, 3),
            ('peer_still_fails', 100, 400, 2),
            ('outage_was_before_the_call', 9000, 100, 2),
        ]
    )
    def test_watch_held_over_an_outage(self, _name, failed, answered, version):
        """Watches restart after an outage that only a peer has noticed."""
        holder = self._silence_watches()
        gevent.sleep(1)
        self.store.trouble = Trouble.NONE
        self.store.set('config', 'main', configuration(3, route('safe')))
        reported = NodeReport(
            node='owner-1',
            sound=True,
            leaving=False,
            failed_ms=failed,
            answered_ms=answered,
        )
        self.entry.fleet.receive(reported)
        gevent.sleep(0.3)
        self.assertEqual(version, holder.current.version)

    def test_not_ready_before_the_first_configuration(self):
        made = settings('entry-1', NodeRole.ENTRY, self.store.address)
        store = PlatformStore(made.store_address)
        self.entry = EntryNode(made, store, PlatformDialect())
        self.entry.serve()
        self.assertEqual(503, self._ready())
        self.store.set('config', 'main', configuration(1, route('safe')))
        eventually(lambda: self._ready() == 200)
        self.entry.draining = True
        self.assertEqual(503, self._ready())

    def _silence_watches(self):
        """Make the held watches silent after one more change."""
        self.start(route('safe'), answers=[_PLAIN])
        self.wait_for_watch()
        self.store.trouble = Trouble.SILENT
        self.store.set('config', 'main', configuration(2, route('safe')))
        holder = self.entry.fleet.configuration
        eventually(lambda: holder.current.version == 2)
        return holder

    def _ready(self):
        connection = HttpConnection(self.entry.settings.ready_address, 1)
        self.addCleanup(connection.close)
        return connection.request('GET', '/-/readiness').head.status


if __name__ == '__main__':
    unittest.main()
