"""Find the other processes of ours and exchange reports with them."""

import random
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from http import HTTPStatus

import gevent
import msgspec
from bendlead_schema.gateway import HeldShard, NodeReport
from bendlead_store import ABSENT, Change, Entry, FollowedStore
from result import Err, Ok

from bendlead_gateway._fleet.loads import LoadTable
from bendlead_gateway._http.client import HttpConnection
from bendlead_gateway._log import Log
from bendlead_gateway.dialect import Dialect
from bendlead_gateway.types import EngineId, NodeName, NodeRole, PeerRecord

REPORT_PATH = '/peer/report'
#: Seconds between two exchanges with one peer while peers are few.
_EXCHANGE_SECONDS = 0.04
#: Exchanges a second that a process starts at most; more peers mean longer
#: pauses, so that the work of one node does not grow with the fleet.
_EXCHANGES_PER_SECOND = 160
_ANSWER_SECONDS = 0.6
#: A peer that was not heard for this long (s) is taken as stopped.
_SILENT_SECONDS = 0.9
_FIRST_PAUSE = 0.2
_LAST_PAUSE = 2.0
_DECODER = msgspec.json.Decoder(NodeReport)


@dataclass(slots=True)
class _Peer:
    """Keep what is known of one peer."""

    record: PeerRecord
    report: NodeReport | None = None
    heard: float = 0
    task: gevent.Greenlet | None = None


@dataclass(frozen=True, slots=True)
class Claim:
    """Say who holds a shard and where to reach it."""

    node: NodeName
    address: str
    epoch: int


class PeerTable:
    """Know the peers, what they run, and which shards they hold."""

    def __init__(
        self,
        own: PeerRecord,
        store: FollowedStore,
        dialect: Dialect,
        loads: LoadTable,
        log: Log,
        report: Callable[[], NodeReport],
    ) -> None:
        self._own = own
        self._own_key = f'{dialect.peers_prefix}{own.node}'
        self._store = store
        self._dialect = dialect
        self._loads = loads
        self._log = log
        self._report = report
        self._peers: dict[NodeName, _Peer] = {}

    def reset(self, entries: Sequence[Entry], after_outage: bool) -> None:
        """Take the whole list of processes."""
        versions = {entry.key: entry for entry in entries}
        own = versions.get(self._own_key)
        for entry in entries:
            self._take(entry)
        body = self._dialect.encode_peer(self._own)
        if own is None or self._differs(own):
            gevent.spawn(self._register, own, body)

    def change(self, change: Change) -> None:
        """Take one change."""
        if not change.deleted:
            self._take(Entry(change.key, change.version, change.body))

    def exchange(self, body: bytes) -> bytes:
        """Take a peer's report and answer with our own."""
        self._hear(_DECODER.decode(body))
        return msgspec.json.encode(self._report())

    def holder(self, shard: int) -> Claim | None:
        """Find the live peer that holds a shard at the highest epoch."""
        best: Claim | None = None
        for peer in self._live():
            epoch = _epoch_of(peer, shard)
            if best is None or epoch > best.epoch:
                best = Claim(peer.record.node, peer.record.address, epoch)
        return best if best and best.epoch else None

    def claimed(self, shard: int) -> int:
        """Give the highest epoch at which a live node holds a shard, or 0.

        What peers hear counts too: an owner that is cut off from this node
        alone still holds its shards.
        """
        return max(
            (_highest(peer.report, shard) for peer in self._live()),
            default=0,
        )

    def holder_is_stuck(self, shard: int, epoch: int) -> bool:
        """Tell whether the holder at an epoch says it can't write."""
        return any(
            peer.report is not None
            and not peer.report.sound
            and _epoch_of(peer, shard) == epoch
            for peer in self._live()
        )

    def heard(self) -> list[HeldShard]:
        """List the claims that this node hears itself."""
        return [
            held
            for peer in self._live()
            if peer.report
            for held in peer.report.shards
        ]

    def able_owners(self) -> list[NodeName]:
        """List the live peers that can hold shards."""
        return [
            peer.record.node
            for peer in self._live()
            if peer.record.role is NodeRole.OWNER
            and peer.report
            and peer.report.sound
            and not peer.report.leaving
        ]

    def summary(self) -> dict[str, float]:
        """Show how long ago each peer was heard, for the state dump."""
        now = time.monotonic()
        return {
            node: round(now - peer.heard, 2) if peer.heard else -1
            for node, peer in self._peers.items()
        }

    def _differs(self, entry: Entry) -> bool:
        decoded = self._dialect.peer(entry)
        return isinstance(decoded, Err) or decoded.ok_value != self._own

    def _register(self, present: Entry | None, body: bytes) -> None:
        while present is None or self._differs(present):
            version = present.version if present else ABSENT
            written = self._store.put(self._own_key, body, version)
            if isinstance(written, Ok):
                self._log.event('registered', address=self._own.address)
                return
            gevent.sleep(_FIRST_PAUSE * (1 + random.random()))
            found = self._store.fetch(self._own_key)
            present = found.unwrap_or(present)

    def _take(self, entry: Entry) -> None:
        decoded = self._dialect.peer(entry)
        if isinstance(decoded, Err):
            self._log.event('peer-unreadable', reason=decoded.err_value)
            return
        record = decoded.ok_value
        known = self._peers.get(record.node)
        if record.node == self._own.node:
            return
        if known is not None and known.record == record:
            return
        if known is not None and known.task is not None:
            known.task.kill(block=False)
        peer = _Peer(record)
        self._peers[record.node] = peer
        self._log.event('peer-listed', peer=record.node, address=record.address)
        if self._own.node < record.node:
            peer.task = gevent.spawn(self._talk, peer)

    def _talk(self, peer: _Peer) -> None:
        """Exchange reports with one peer for as long as it is listed."""
        connection: HttpConnection | None = None
        pause = _FIRST_PAUSE
        while True:
            try:
                if connection is None:
                    connection = HttpConnection(
                        peer.record.address, _ANSWER_SECONDS
                    )
                self._exchange_once(connection)
            except OSError:
                # Logged once by the change of its liveness in _live.
                if connection is not None:
                    connection.close()
                connection = None
                gevent.sleep(pause * (0.5 + random.random()))
                pause = min(_LAST_PAUSE, pause * 2)
                continue
            pause = _FIRST_PAUSE
            gevent.sleep(self._interval())

    def _exchange_once(self, connection: HttpConnection) -> None:
        body = msgspec.json.encode(self._report())
        response = connection.request(
            'POST',
            REPORT_PATH,
            [('Host', connection.address)],
            body,
            _ANSWER_SECONDS,
        )
        if response.head.status != HTTPStatus.OK:
            raise OSError(f'status {response.head.status}')
        self._hear(_DECODER.decode(response.body))

    def _interval(self) -> float:
        shared = len(self._peers) / _EXCHANGES_PER_SECOND
        return max(_EXCHANGE_SECONDS, shared)

    def _hear(self, report: NodeReport) -> None:
        node = NodeName(report.node)
        peer = self._peers.get(node)
        if peer is None:
            # It is listed within moments; the store tells its address.
            return
        if time.monotonic() - peer.heard > self._silence():
            self._log.event('peer-heard', peer=node)
        peer.report = report
        peer.heard = time.monotonic()
        self._loads.report(
            node,
            {EngineId(name): count for name, count in report.online.items()},
            {EngineId(name): count for name, count in report.batch.items()},
        )

    def _silence(self) -> float:
        return max(_SILENT_SECONDS, 4 * self._interval())

    def _live(self) -> list[_Peer]:
        oldest = time.monotonic() - self._silence()
        return [peer for peer in self._peers.values() if peer.heard > oldest]


def _epoch_of(peer: _Peer, shard: int) -> int:
    """Give the epoch at which a peer holds a shard, or 0."""
    report = peer.report
    if report is None:
        return 0
    return max(
        (held.epoch for held in report.shards if held.shard == shard),
        default=0,
    )


def _highest(report: NodeReport | None, shard: int) -> int:
    """Give the highest epoch of a shard that a report claims or tells of."""
    if report is None:
        return 0
    told = (*report.shards, *report.heard)
    return max((one.epoch for one in told if one.shard == shard), default=0)


def held_shards(epochs: dict[int, int]) -> list[HeldShard]:
    """Make the claims of a report."""
    return [
        HeldShard(shard=shard, epoch=epoch) for shard, epoch in epochs.items()
    ]
