"""Base test cases with gateway nodes and scripted engines in one process."""

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
    TaskTracker,
    chunked,
    configuration,
    engine,
    event,
    eventually,
    route,
    settings,
)

#: A truncated event stream, after which the engine closes the connection.
TRUNCATED = chunked(event(1, 'a'), last=False)


class EntryCase(unittest.TestCase):
    """Starts an object service, scripted engines and an entry."""

    def setUp(self):
        self.addCleanup(TaskTracker().end)
        self.store = PlatformStandIn(f'127.0.0.1:{free_port()}')
        self.store.start()
        self.engines = []

    def start(self, *routes, answers=(), others=0, **changed):
        """Start one engine for each answer, and the entry.

        ``others`` engines are already registered; ``changed`` are settings of
        the entry.
        """
        for number, answer in enumerate(answers):
            self._start_engine(number, answer)
        config = configuration(1, *routes)
        self.start_configured(config, len(answers) + others, **changed)

    def start_configured(self, config, engines, **changed):
        """Start the entry, and wait until it knows ``engines`` engines."""
        self.store.set('config', 'main', config)
        own = settings('entry-1', NodeRole.ENTRY, self.store.address)
        own = structs.replace(own, **changed)
        store = PlatformStore(own.store_address)
        self.entry = EntryNode(own, store, PlatformDialect())
        self.entry.serve()
        eventually(
            lambda: (
                self.entry.fleet.configuration.current
                and len(self.entry.fleet.engines.all()) == engines
            )
        )

    def wait_for_watch(self):
        """Wait until the object service holds the configuration watch."""
        eventually(lambda: self.entry.fleet.config_watch.is_waiting)
        gevent.sleep(0.1)

    def send_request(self, path='/x/1', timeout_ms=2000, extra=()):
        """Send one request and return the connection."""
        connection = HttpConnection(self.entry.settings.clients_address, 1)
        self.addCleanup(connection.close)
        headers = [
            ('Host', 'a.example'),
            ('X-Attempt-Id', 'id1'),
            ('X-Deadline-Ms', str(timeout_ms)),
            *extra,
        ]
        connection.send('POST', path, headers, b'prompt', 1)
        return connection

    def read(self, connection):
        """Read a complete response and return its head and body."""
        head = connection.read_head(3)
        return head, b''.join(connection.read_parts(head, 3))

    def count_engine_requests(self):
        """Return the number of requests that reached engines."""
        return sum(len(peer.requests) for peer in self.engines)

    def _start_engine(self, number, answer):
        def script(sock):
            request = peer.read_request(sock)
            if peer.answer_health(sock, request):
                return
            if callable(answer):
                answer(sock, request)
            elif answer:
                sock.sendall(answer)
            if answer is None:
                # The engine does not respond.
                gevent.sleep(5)

        peer = ScriptedPeer([script] * 8)
        self.addCleanup(peer.close)
        self.engines.append(peer)
        self.store.set('servers', f'i-{number}', engine(peer.address))


class OwnerCase(unittest.TestCase):
    """Starts an object service, one scripted engine and owners."""

    def setUp(self):
        self.addCleanup(TaskTracker().end)
        self.store = PlatformStandIn(f'127.0.0.1:{free_port()}')
        self.store.start()

    def configure(self, answers=(), **changed):
        """Start one engine that sends its answers in turn."""
        changed = {'max_attempts': 3, **changed}
        config = configuration(1, route('batch', **changed))
        self.store.set('config', 'main', config)
        remaining = list(answers)

        def script(sock):
            while True:
                if not self.engine.read_request(sock):
                    return
                if not remaining:
                    # The engine runs on without sending an event.
                    gevent.sleep(5)
                    return
                sock.sendall(remaining.pop(0))
                if remaining and remaining[0] is TRUNCATED:
                    return

        self.engine = ScriptedPeer([script] * 50)
        self.addCleanup(self.engine.close)
        registration = engine(self.engine.address)
        self.store.set('servers', 'i-1', registration)

    def start_owner(self, name='owner-1'):
        """Start an owner."""
        own = settings(name, NodeRole.OWNER, self.store.address)
        store = PlatformStore(own.store_address)
        node = OwnerNode(own, store, PlatformDialect())
        node.serve()
        return node

    def start_sole_owner(self, name='owner-1'):
        """Start an owner and wait until it owns all shards."""
        node = self.start_owner(name)
        eventually(lambda: len(node._shard_manager.owned) == 4)
        return node

    def start_two_owners(self):
        """Start an owner with a job, and another that could take it over."""
        self.configure()
        first = self.start_sole_owner()
        self.submit(first)
        second = self.start_owner('owner-2')
        eventually(second.peers.claims.available_owners)
        return first, second

    def call(self, node, method, target, body=b'', wait=0, name='j1'):
        """Send a job call as an entry does when it forwards one."""
        connection = HttpConnection(node.record.address, 1)
        self.addCleanup(connection.close)
        headers = [
            ('Host', 'a.example'),
            ('X-Attempt-Id', name),
            ('X-Wait-Ms', str(wait)),
        ]
        return connection.request(method, target, headers, body, 4)

    def submit(self, node, body=None):
        """Submit a job and return the response status."""
        return self.call(node, 'POST', '/x/j1', body or job()).head.status

    def results(self, node):
        """Return all results of the job, or none if it is not found."""
        response = self.call(node, 'GET', '/-/lots/j1?watch_after=0')
        if response.head.status != 200:
            return []
        return json.loads(response.body)['results']


def job(items=1, tokens=10, size=6):
    """Return the body of a job."""
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
    """Return the shard of the tests' host."""
    from bendlead_gateway._jobs.shards import shard_of

    return shard_of('a.example')
