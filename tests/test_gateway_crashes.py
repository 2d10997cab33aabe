"""A request under which every engine ends that begins to run it.

Its caller sent it again and again, to whichever entry took the connection.
On the CI platform thirteen engines ended under one such request, and most of
the 22 streams that broke off within 12 s only ran beside it. Each entry served
each attempt by itself and forgot with the answer what had become of it: the
lines of all attempts showed ``runs=1``, at another entry each time.
"""

import base64
import json
import unittest
from functools import partial

import gevent
from bendlead_gateway._entry import EntryNode
from bendlead_gateway._owner import OwnerNode
from bendlead_gateway.http import BrokenAnswerError, HttpConnection
from bendlead_gateway.types import NodeRole
from bendlead_platform import PlatformDialect, PlatformStore
from bendlead_testing.platform_store import PlatformStandIn
from bendlead_testing.ports import free_port

from tests.gateway_standins import (
    MortalEngine,
    ProcessLife,
    Tasks,
    configuration,
    engine,
    eventually,
    route,
    settings,
)

_DEADLY = b'deadly prompt'
_ENGINES = 9
#: Engines that end under a request until it is kept from all others.
_ENDS = 3


class CrashCase(unittest.TestCase):
    """Start a store, engines that can end, and entries."""

    def setUp(self):
        self.addCleanup(Tasks().end)
        self.store = PlatformStandIn(f'127.0.0.1:{free_port()}')
        self.store.start()
        self.engines = []
        self.attempts = 0

    def configure(self, *routes, engines=_ENGINES, runs_seconds=0.02):
        """Set the routes and list engines."""
        self.store.set('config', 'main', configuration(1, *routes))
        for _number in range(engines):
            self.add_engine(runs_seconds)

    def add_engine(self, runs_seconds=0.02):
        """List one more engine."""
        started = MortalEngine(_DEADLY, runs_seconds)
        self.addCleanup(started.close)
        name = f'i-{len(self.engines)}'
        self.engines.append(started)
        self.store.set('servers', name, engine(started.address))

    def entry(self, number=1):
        """Start an entry and wait until it knows the engines."""
        made = settings(f'entry-{number}', NodeRole.ENTRY, self.store.address)
        store = PlatformStore(made.store_address)
        node = EntryNode(made, store, PlatformDialect())
        node.serve()
        eventually(
            lambda: (
                node.fleet.configuration.known
                and len(node.fleet.engines.all()) == len(self.engines)
            )
        )
        return node

    def owner(self):
        """Start an owner and wait until it holds all shards."""
        made = settings('owner-1', NodeRole.OWNER, self.store.address)
        store = PlatformStore(made.store_address)
        node = OwnerNode(made, store, PlatformDialect())
        node.serve()
        eventually(lambda: len(node._keeper.boards) == 4)
        return node

    def submit(self, owner, *bodies):
        """Hand a job in whose items have these bodies."""
        items = [
            {
                'id': f'i{at}',
                'path': '/x/1',
                'body': base64.b64encode(body).decode(),
                'tokens': 10,
            }
            for at, body in enumerate(bodies)
        ]
        connection = HttpConnection(owner.record.address, 1)
        self.addCleanup(connection.close)
        headers = [('Host', 'a.example'), ('X-Attempt-Id', 'j1')]
        told = json.dumps({'items': items}).encode()
        answer = connection.request('POST', '/x/j1', headers, told, 4)
        self.assertEqual(202, answer.head.status)

    def ask(self, entry, body=_DEADLY, path='/x/1'):
        """Send a request as a new attempt; give its status, 0 if cut."""
        self.attempts += 1
        connection = HttpConnection(entry.settings.clients_address, 1)
        self.addCleanup(connection.close)
        headers = [
            ('Host', 'a.example'),
            ('X-Attempt-Id', f'id{self.attempts}'),
            ('X-Deadline-Ms', '2000'),
        ]
        try:
            connection.send('POST', path, headers, body, 1)
            head = connection.read_head(3)
            b''.join(connection.read_parts(head, 3))
        except BrokenAnswerError:
            return 0
        return head.status

    @property
    def ended(self):
        """Count the engines that have ended."""
        return sum(one.ended for one in self.engines)


class SightTest(CrashCase):
    """What the lines tell of an engine's end."""

    def test_lines_name_the_end_and_the_request(self):
        self.configure(route('streaming'), engines=2)
        entry = self.entry()
        self.ask(entry)
        told = eventually(lambda: self.lines(entry, 'event=engine-ended'))
        self.assertIn('reason="refuses connections"', told[0])
        asked = self.lines(entry, 'event=request')[0]
        digest = asked.partition('digest=')[2].split()[0]
        self.assertIn(f'digests={digest}', told[0])
        self.assertEqual(1, entry.metrics.engine_ends)

    def test_engine_that_breaks_off_one_answer_has_not_ended(self):
        self.configure(route('streaming'), engines=1)
        entry = self.entry()
        # The connection of the answer closes, and nothing else does.
        started = self.engines[0]
        started.close = lambda: started._open[-1].close()
        self.ask(entry)
        gevent.sleep(0.5)
        self.assertEqual([], self.lines(entry, 'event=engine-ended'))

    def test_planned_end_is_held_against_nobody(self):
        self.configure(route('streaming'), engines=1, runs_seconds=0.4)
        entry = self.entry()
        asked = gevent.spawn(self.ask, entry)
        gevent.sleep(0.1)
        listed = engine(self.engines[0].address, state='draining')
        self.store.set('servers', 'i-0', listed)
        asked.join()
        gevent.sleep(0.5)
        self.assertEqual([], self.lines(entry, 'event=engine-ended'))

    def lines(self, entry, text):
        """List the lines of an entry with some text."""
        return [line for line in entry.log.recent if text in line]


class RepeatedTest(CrashCase):
    """The request comes again; few engines may end under it."""

    def test_entries_together(self):
        self.configure(route('streaming'))
        entries = [self.entry(number) for number in range(3)]
        for attempt in range(12):
            self.ask(entries[attempt % 3])
            gevent.sleep(0.15)
        self.assertEqual(_ENDS, self.ended)

    def test_after_all_entries_were_restarted(self):
        self.configure(route('streaming'))
        for number in range(3):
            life = ProcessLife()
            entry = life.start(partial(self.entry, number))
            for _attempt in range(4):
                self.ask(entry)
                gevent.sleep(0.15)
            life.end()
        self.assertEqual(_ENDS, self.ended)

    def test_item_of_a_job(self):
        self.configure(route('batch', max_attempts=3))
        owner = self.owner()
        self.submit(owner, _DEADLY)
        eventually(lambda: self.ended >= _ENDS, 8)
        gevent.sleep(3)
        self.assertEqual(_ENDS, self.ended)
