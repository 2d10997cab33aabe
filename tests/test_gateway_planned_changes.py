"""Requests of all kinds beside changes of the configuration and stops.

Engines stand still for a second meanwhile, as sound engines may.
"""

import random
from unittest import mock

import gevent
from bendlead_gateway._entry import EntryNode
from bendlead_gateway._reload import Reloader
from bendlead_gateway.http import HttpConnection
from bendlead_gateway.types import NodeRole
from bendlead_platform import PlatformDialect, PlatformStore
from msgspec.structs import replace
from parameterized import parameterized
from result import Ok

from tests.gateway_cases import EntryCase
from tests.gateway_standins import (
    configuration,
    engine,
    eventually,
    route,
    settings,
)
from tests.still_engine import StillEngine

_STILL_SECONDS = 1.2
_TIMEOUT_MS = 4000
#: What remains of it to a request that was refused before; it may be queued.
_RETURNED_MS = 3200
_GRACE_SECONDS = 8
#: Between the stops of two entries.
_STOP_INTERVAL_SECONDS = 0.9
#: Pause of a client between two requests.
_PAUSE_SECONDS = 0.02
_KINDS = {
    'safe': {'kind': 'safe'},
    'unsafe': {'kind': 'unsafe', 'max_attempts': 1},
    'stream': {'kind': 'streaming', 'max_attempts': 3},
    'resumable': {'kind': 'streaming', 'resumable': True, 'max_attempts': 3},
    'jobs': {'kind': 'batch'},
}


def _routes(*left_out, **changed):
    """Return a route for each kind."""
    return [
        route(
            **{
                'name': f'r-{name}',
                'path_prefix': f'/{name}/',
                'timeout_ms': _TIMEOUT_MS,
                **fields,
                **changed,
            }
        )
        for name, fields in _KINDS.items()
        if name not in left_out
    ]


class _Clients:
    """Clients that send one request after the other, each at an entry.

    Half of them keep their connections. They move on from an entry that
    accepts no connection.
    """

    def __init__(self, entries, seed, kinds=tuple(_KINDS)):
        self._entries = entries
        self._kinds = kinds
        self._random = random.Random(seed)
        self._stopped = False
        self._count = 0
        self.statuses = []
        #: Names of requests that got no head, or a part of a body.
        self.unanswered = []
        self.cut = []

    def start(self, count):
        """Start clients; return their tasks."""
        return [
            gevent.spawn(self._run, number % 2 == 0) for number in range(count)
        ]

    def stop(self):
        """Send no more requests."""
        self._stopped = True

    def _run(self, kept):
        connection = None
        while not self._stopped:
            if connection is None:
                connection = self._connect()
            if connection is None:
                return
            reusable = self._send(connection)
            if not reusable or not kept:
                connection.close()
                connection = None
            gevent.sleep(self._random.uniform(0, _PAUSE_SECONDS))

    def _connect(self):
        for entry in self._random.sample(self._entries, len(self._entries)):
            try:
                return HttpConnection(entry.settings.clients_address, 1)
            except OSError:
                continue
        return None

    def _send(self, connection):
        """Send one request; return whether the connection may be reused."""
        self._count += 1
        name = f'id{self._count}'
        kind = self._random.choice(self._kinds)
        timeout_ms = self._random.choice((_TIMEOUT_MS, _RETURNED_MS))
        headers = [
            ('Host', 'a.example'),
            ('X-Attempt-Id', name),
            ('X-Deadline-Ms', str(timeout_ms)),
        ]
        try:
            connection.send('POST', f'/{kind}/1', headers, b'prompt', 1)
            head = connection.read_head(_TIMEOUT_MS / 1000)
        except OSError:
            self.unanswered.append(name)
            return False
        try:
            for _part in connection.read_parts(head, _TIMEOUT_MS / 1000):
                continue
        except OSError:
            self.cut.append(name)
            return False
        self.statuses.append(head.status)
        return head.find('connection') != 'close'


class PlannedChangeCase(EntryCase):
    """Starts engines that may stand still, and entries."""

    def begin(self, entries, slots):
        """Start the entries; note what each leaves without an answer."""
        self.told = []
        for number in range(3):
            added = StillEngine(slots)
            self.addCleanup(added.close)
            self.engines.append(added)
            self.store.set(
                'servers', f'i-{number}', engine(added.address, slots=slots)
            )
        self.store.set('config', 'main', configuration(1, *_routes()))
        return [self._start_entry(f'entry-{at}') for at in range(entries)]

    def stand_still_in_turn(self, rounds=1):
        """Have one engine after the other stand still."""
        for still in self.engines * rounds:
            still.stand_still(_STILL_SECONDS)
            gevent.sleep(_STILL_SECONDS * 3 / 4)

    def assert_all_answered(self, clients):
        """Check that no whole request was left without its answer."""
        self.assertEqual([], self.told)
        self.assertEqual([], clients.cut)
        self.assertIn(200, clients.statuses)
        self.assertLessEqual(set(clients.statuses), {200, 404, 502, 503, 504})

    def assert_left(self, entry):
        """Check that an entry left once and cut nothing.

        Its peers are heard until the process is gone, so it may not be the
        last line.
        """
        left = [line for line in entry.log.recent if 'event=left' in line]
        self.assertEqual(1, len(left))
        self.assertIn(f'node={entry.settings.node} cut=0', left[0])

    def _start_entry(self, name):
        own = settings(name, NodeRole.ENTRY, self.store.address)
        own = replace(own, grace=_GRACE_SECONDS)
        store = PlatformStore(own.store_address)
        entry = EntryNode(own, store, PlatformDialect())
        entry.serve()
        events = entry._client_server.events
        events.unanswered = lambda one: self.told.append(
            (one.request.target, one.end, one.sent_bytes)
        )
        eventually(
            lambda: (
                entry.fleet.configuration.current
                and len(entry.fleet.engines.all()) == 3
            )
        )
        return entry


class SeriesOfChangesTest(PlannedChangeCase):
    """Configurations, SIGHUP and SIGTERM one after the other."""

    @parameterized.expand(
        [
            ('room', 32, tuple(_KINDS)),
            ('queues', 4, ('safe', 'unsafe', 'stream', 'jobs')),
            ('queues_and_resumable', 4, tuple(_KINDS)),
        ]
    )
    def test_series(self, _name, slots, kinds):
        (entry,) = self.begin(1, slots)
        source = mock.Mock()
        source.changed.side_effect = [
            Ok(replace(entry.settings, grace=grace)) for grace in (6, 7, 8)
        ]
        entry._reloader = Reloader(source, entry.store, entry.log)
        clients = _Clients([entry], 1, kinds)
        tasks = clients.start(24)
        still = gevent.spawn(self.stand_still_in_turn)
        changes = (
            _routes(timeout_ms=3000),
            _routes('unsafe', 'jobs'),
            _routes(max_attempts=2),
            _routes('resumable'),
            _routes(),
        )
        for version, routes in enumerate(changes, 2):
            gevent.sleep(0.3)
            self.store.set('config', 'main', configuration(version, *routes))
            if version % 2:
                entry._on_hup()
        entry._on_term()
        entry.done.wait()
        clients.stop()
        gevent.joinall([*tasks, still])
        self.assert_all_answered(clients)
        self.assert_left(entry)


class StoppedHallTest(PlannedChangeCase):
    """All entries of a hall are told to stop within two seconds."""

    def test_streams_at_still_engines(self):
        entries = self.begin(3, 32)
        clients = _Clients(entries, 1)
        tasks = clients.start(36)
        still = gevent.spawn(self.stand_still_in_turn, rounds=2)
        for entry in entries:
            entry._on_term()
            gevent.sleep(_STOP_INTERVAL_SECONDS)
        for entry in entries:
            entry.done.wait()
        clients.stop()
        gevent.joinall([*tasks, still])
        self.assert_all_answered(clients)
        for entry in entries:
            self.assert_left(entry)
