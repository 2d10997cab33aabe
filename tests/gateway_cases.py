"""Base cases: an entry or an owner beside scripted engines, in one process."""

import base64
import json
import unittest

import gevent
from bendlead_gateway._entry import EntryNode
from bendlead_gateway._owner import OwnerNode
from bendlead_gateway.http import HttpConnection
from bendlead_gateway.types import NodeRole
from bendlead_platform import PlatformDialect, PlatformStore
from bendlead_testing.platform_store import PlatformStandIn
from bendlead_testing.ports import free_port
from msgspec import structs

from tests.gateway_standins import (
    ScriptedPeer,
    Tasks,
    chunked,
    configuration,
    engine,
    event,
    eventually,
    route,
    settings,
)

#: The stream of an item that breaks off; its engine closes the connection.
CUT = chunked(event(1, 'a'), last=False)


class EntryCase(unittest.TestCase):
    """Start a store, scripted engines and an entry."""

    def setUp(self):
        self.addCleanup(Tasks().end)
        self.store = PlatformStandIn(f'127.0.0.1:{free_port()}')
        self.store.start()
        self.engines = []

    def start(self, *routes, answers=(), others=0, **changed):
        """Start engines that each give their answers, and the entry.

        What is given by name changes the settings of the entry.
        """
        for number, given in enumerate(answers):
            self._start_engine(number, given)
        self.store.set('config', 'main', configuration(1, *routes))
        made = settings('entry-1', NodeRole.ENTRY, self.store.address)
        made = structs.replace(made, **changed)
        store = PlatformStore(made.store_address)
        self.entry = EntryNode(made, store, PlatformDialect())
        self.entry.serve()
        eventually(
            lambda: (
                self.entry.fleet.configuration.current
                and len(self.entry.fleet.engines.all()) == len(answers) + others
            )
        )

    def hold(self):
        """Wait until the watch of the configuration is held by the store."""
        eventually(lambda: self.entry.fleet.config_watch.is_waiting)
        gevent.sleep(0.1)

    def ask(self, path='/x/1', patience=2000, extra=()):
        """Send one request and give the connection."""
        connection = HttpConnection(self.entry.settings.clients_address, 1)
        self.addCleanup(connection.close)
        headers = [
            ('Host', 'a.example'),
            ('X-Attempt-Id', 'id1'),
            ('X-Deadline-Ms', str(patience)),
            *extra,
        ]
        connection.send('POST', path, headers, b'prompt', 1)
        return connection

    def read(self, connection):
        """Read a whole answer."""
        head = connection.read_head(3)
        return head, b''.join(connection.read_parts(head, 3))

    def sent(self):
        """Count the requests that reached engines."""
        return sum(len(one.requests) for one in self.engines)

    def _start_engine(self, number, given):
        def script(sock):
            request = peer.read_request(sock)
            if callable(given):
                given(sock, request)
            elif given:
                sock.sendall(given)
            if given is None:
                # The engine stays silent.
                gevent.sleep(5)

        peer = ScriptedPeer([script] * 4)
        self.addCleanup(peer.close)
        self.engines.append(peer)
        self.store.set('servers', f'i-{number}', engine(peer.address))


class OwnerCase(unittest.TestCase):
    """Start a store and owners."""

    def setUp(self):
        self.addCleanup(Tasks().end)
        self.store = PlatformStandIn(f'127.0.0.1:{free_port()}')
        self.store.start()

    def configure(self, answers=(), **changed):
        """Start one engine that gives its answers one after the other."""
        changed = {'max_attempts': 3, **changed}
        made = configuration(1, route('batch', **changed))
        self.store.set('config', 'main', made)
        given = list(answers)

        def script(sock):
            while True:
                if not self.engine.read_request(sock):
                    return
                if not given:
                    # The engine works on without an event.
                    gevent.sleep(5)
                    return
                sock.sendall(given.pop(0))
                if given and given[0] is CUT:
                    return

        self.engine = ScriptedPeer([script] * 50)
        self.addCleanup(self.engine.close)
        listed = engine(self.engine.address)
        self.store.set('servers', 'i-1', listed)

    def owner(self, name='owner-1'):
        """Start an owner and wait until it holds shards."""
        made = settings(name, NodeRole.OWNER, self.store.address)
        store = PlatformStore(made.store_address)
        node = OwnerNode(made, store, PlatformDialect())
        node.serve()
        return node

    def holding(self, name='owner-1'):
        """Start an owner that holds all shards."""
        node = self.owner(name)
        eventually(lambda: len(node._keeper.owned) == 4)
        return node

    def two_owners(self):
        """Start an owner with a job, and one that could take over."""
        self.configure()
        first = self.holding()
        self.submit(first)
        second = self.owner('owner-2')
        eventually(second.peers.claims.available_owners)
        return first, second

    def call(self, node, method, target, body=b'', wait=0, name='j1'):
        """Make a call as an entry relays it."""
        connection = HttpConnection(node.record.address, 1)
        self.addCleanup(connection.close)
        headers = [
            ('Host', 'a.example'),
            ('X-Attempt-Id', name),
            ('X-Wait-Ms', str(wait)),
        ]
        return connection.request(method, target, headers, body, 4)

    def submit(self, node, body=None):
        """Hand the job in."""
        return self.call(node, 'POST', '/x/j1', body or job()).head.status

    def results(self, node):
        """Read all results."""
        response = self.call(node, 'GET', '/-/lots/j1?watch_after=0')
        if response.head.status != 200:
            return []
        return json.loads(response.body)['results']


def job(items=1, tokens=10, size=6):
    """Make the body of a job."""
    body = base64.b64encode(b'p' * size).decode()
    return json.dumps(
        {
            'items': [
                {'id': f'i{at}', 'path': '/x/1', 'body': body, 'tokens': tokens}
                for at in range(items)
            ],
        },
    ).encode()


def node_shard() -> int:
    """Give the shard of the test's host."""
    from bendlead_gateway._jobs.shards import shard_of

    return shard_of('a.example')
