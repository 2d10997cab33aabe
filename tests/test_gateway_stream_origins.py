"""Origins of streams at several processes, within bounds."""

import json
import os
import random
import time
import unittest
from itertools import islice
from unittest import mock

from bendlead_gateway._http.server import HttpServer
from bendlead_gateway._log import Log
from bendlead_gateway._metrics import Metrics
from bendlead_gateway._streams.holder_ring import HolderRing
from bendlead_gateway._streams.origin import StreamOrigin
from bendlead_gateway._streams.origin_table import OriginTable
from bendlead_gateway._streams.origins import StreamOrigins
from bendlead_gateway._streams.resumption import (
    resume_refusal,
    retention_seconds,
)
from bendlead_gateway.types import (
    ClientLimits,
    DataHall,
    EngineVersion,
    NodeName,
    NodeRole,
    PeerRecord,
    RequestId,
    Route,
    RouteKind,
    ServiceName,
    ServiceShare,
    TeamName,
)
from bendlead_store import clock
from bendlead_testing.ports import free_port
from msgspec.structs import replace
from parameterized import parameterized

from tests.gateway_standins import TaskTracker, eventually

_HOLDERS = 3
_ASKED = 8
_STREAMS = 1000
_SERVICE = ServiceName('chat')


def _records(count, halls):
    return [
        PeerRecord(
            NodeName(f'node-{number}'),
            NodeRole.ENTRY,
            DataHall(f'hall-{number % halls}'),
            f'127.0.0.1:{number + 1}',
        )
        for number in range(count)
    ]


def _origin(version='v1'):
    return StreamOrigin(_SERVICE, EngineVersion(version), 'r-1')


class HolderRingTest(unittest.TestCase):
    """Who is told an origin, and who is asked for it."""

    @parameterized.expand([('few', 9, 3), ('two', 2, 1), ('many', 300, 3)])
    def test_all_processes_compute_the_same_order(self, _name, count, halls):
        records = _records(count, halls)
        first, second = HolderRing(), HolderRing()
        first.rebuild(records)
        random.Random(1).shuffle(records)
        second.rebuild(records)
        for number in range(20):
            request = RequestId(f'id{number}')
            order = list(first.order(request))
            self.assertEqual(order, list(second.order(request)))
            self.assertCountEqual(records, order)

    def test_each_hall_has_a_holder(self):
        ring = HolderRing()
        ring.rebuild(_records(300, 3))
        for number in range(_STREAMS):
            holders = islice(ring.order(RequestId(f'id{number}')), _HOLDERS)
            self.assertEqual(3, len({holder.hall for holder in holders}))

    @parameterized.expand([(4, 1, 1), (3, 2, 1), (3, 6, 2), (1, 3, 3)])
    def test_each_role_has_a_holder(self, halls, entries, owners):
        """All entries may be killed at once, with one copy of each origin."""
        records = _records(halls * entries, halls)
        for number, record in enumerate(_records(halls * owners, halls)):
            owner = NodeName(f'owner-{number}')
            records.append(replace(record, node=owner, role=NodeRole.OWNER))
        ring = HolderRing()
        ring.rebuild(records)
        for number in range(_STREAMS):
            order = ring.order(RequestId(f'{number}'))
            holders = list(islice(order, _HOLDERS))
            roles = {holder.role for holder in holders}
            self.assertEqual(set(NodeRole), roles, number)
            used = {holder.hall for holder in holders}
            self.assertEqual(min(halls, _HOLDERS), len(used), number)

    def test_holders_are_spread_evenly(self):
        ring = HolderRing()
        ring.rebuild(_records(30, 3))
        counts = dict.fromkeys((record.node for record in _records(30, 3)), 0)
        for number in range(_STREAMS):
            for holder in islice(
                ring.order(RequestId(f'id{number}')), _HOLDERS
            ):
                counts[holder.node] += 1
        self.assertLess(max(counts.values()), _STREAMS * _HOLDERS / 30 * 2)

    @parameterized.expand(
        [
            # Share of the processes killed, and share of streams still known.
            ('a_third_of_nine', 9, 3, 0.33, 0.9),
            ('half_of_nine', 9, 3, 0.55, 0.7),
            ('half_of_many', 300, 3, 0.55, 0.7),
            ('half_in_one_hall', 6, 1, 0.5, 0.8),
        ]
    )
    def test_known_after_processes_were_killed(
        self, _name, count, halls, killed_share, known_share
    ):
        """The entry that began each stream is among those killed."""
        chance = random.Random(2)
        records = _records(count, halls)
        ring = HolderRing()
        ring.rebuild(records)
        known = 0
        for number in range(_STREAMS):
            request = RequestId(f'id{number}')
            killed = set(chance.sample(records, round(count * killed_share)))
            began = chance.choice(sorted(killed, key=str))
            alive = (peer for peer in ring.order(request) if peer != began)
            holders = set(islice(alive, _HOLDERS))
            asked = set(islice(ring.order(request), _ASKED))
            known += bool(holders & asked - killed)
        self.assertGreater(known / _STREAMS, known_share)

    def test_known_after_a_hall_was_lost(self):
        records = _records(9, 3)
        ring = HolderRing()
        ring.rebuild(records)
        for number in range(_STREAMS):
            holders = list(
                islice(ring.order(RequestId(f'id{number}')), _HOLDERS)
            )
            for hall in {record.hall for record in records}:
                self.assertTrue(any(peer.hall != hall for peer in holders))


class ToldPeersTest(unittest.TestCase):
    """Peers get each origin, whichever of them accept it."""

    def setUp(self):
        self.addCleanup(TaskTracker().end)
        self.told = []
        address = f'127.0.0.1:{free_port()}'
        server = HttpServer(address, self.answer, ClientLimits, time.monotonic)
        server.start()
        self.addCleanup(server.stop_accepting)
        self.peer = PeerRecord(
            NodeName('peer'), NodeRole.OWNER, DataHall('hall-1'), address
        )
        self.ring = HolderRing()
        sink = os.open(os.devnull, os.O_WRONLY)
        self.addCleanup(os.close, sink)
        self.origins = StreamOrigins(
            NodeName('own'),
            self.ring,
            lambda _node: False,
            Log('own', sink),
            Metrics(),
        )

    def answer(self, request, responder):
        """Accept origins."""
        origins = json.loads(request.body)['origins']
        self.told.extend(origin['request'] for origin in origins)
        responder.answer(200, (), b'{}')

    def record(self, request):
        """Record an origin."""
        self.origins.record(RequestId(request), _origin(), 5)

    def test_recorded_before_a_peer_is_listed(self):
        self.record('id1')
        self.ring.rebuild([self.peer])
        self.record('id2')
        eventually(lambda: sorted(self.told) == ['id1', 'id2'])

    def test_replaces_peers_that_do_not_accept(self):
        dead = [
            PeerRecord(
                NodeName(f'dead-{number}'),
                NodeRole.ENTRY,
                DataHall('hall-1'),
                f'127.0.0.1:{free_port()}',
            )
            for number in range(4)
        ]
        self.ring.rebuild([self.peer, *dead])
        for number in range(5):
            self.record(f'id{number}')
        eventually(lambda: len(set(self.told)) == 5)


class OriginTableTest(unittest.TestCase):
    """Memory of the origins is bounded, and the first one stays."""

    def test_first_origin_stays(self):
        table = OriginTable()
        table.add(RequestId('id1'), _origin(), 5)
        table.add(RequestId('id1'), _origin(), 5)
        self.assertEqual(_origin(), table.find(RequestId('id1')))

    def test_different_origins_leave_the_version_unknown(self):
        table = OriginTable()
        table.add(RequestId('id1'), _origin('v1'), 5)
        table.add(RequestId('id1'), _origin('v2'), 5)
        self.assertEqual('', table.find(RequestId('id1')).version)

    def test_expires(self):
        table = OriginTable()
        table.add(RequestId('id1'), _origin(), 5)
        later = clock.uptime() + 6
        with mock.patch.object(clock, 'uptime', lambda: later):
            self.assertIsNone(table.find(RequestId('id1')))
            table.add(RequestId('id2'), _origin(), 5)
        self.assertEqual((1, 0), (len(table), table.dropped_early))

    def test_oldest_is_dropped_for_lack_of_room(self):
        table = OriginTable(max_origins=3)
        for number in range(5):
            table.add(RequestId(f'id{number}'), _origin(), 5)
        self.assertEqual((3, 2), (len(table), table.dropped_early))
        self.assertIsNone(table.find(RequestId('id1')))
        self.assertEqual(_origin(), table.find(RequestId('id2')))


class ResumptionTest(unittest.TestCase):
    """Which streams may be resumed, and for how long."""

    def route(self, services=('chat',)):
        """Return a resumable route to services."""
        shares = [ServiceShare(ServiceName(name), 1) for name in services]
        return Route(
            'r-1', 'a', '/', RouteKind.STREAM, shares, 5, 0.3, 2, resumable=True
        )

    @parameterized.expand(
        [
            ('known', _origin(), ('chat',), False),
            ('split_route', _origin(), ('other', 'chat'), False),
            ('unknown', None, ('chat',), True),
            ('version_unknown', _origin(''), ('chat',), True),
            ('service_moved', _origin(), ('other',), True),
        ]
    )
    def test_refusal(self, _name, origin, services, refused):
        refusal = resume_refusal(origin, self.route(services), TeamName(''))
        self.assertEqual(refused, refusal is not None)

    @parameterized.expand(
        [
            ('client_is_patient', 20, 22),
            ('client_is_impatient', 1, 7),
            ('client_states_none', None, 12),
            ('bounded', 1e9, 60),
        ]
    )
    def test_retention(self, _name, timeout, seconds):
        self.assertEqual(seconds, retention_seconds(self.route(), timeout))
