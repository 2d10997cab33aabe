"""Origins of streams, kept by a few processes each.

The entry that relays the first event of a stream tells some peers its origin,
also in other data halls. An entry at which a client resumes the stream asks
them, also after the first entry has ended.
"""

from collections import deque
from collections.abc import Callable, Iterator, Sequence
from itertools import islice

import gevent
import msgspec
from bendlead_schema.gateway import OriginQuery
from bendlead_schema.gateway import StreamOrigin as OriginMessage
from bendlead_schema.gateway import StreamOrigins as OriginsMessage
from bendlead_store import clock
from gevent.lock import BoundedSemaphore

from bendlead_gateway._fleet.peer_call import call_peer
from bendlead_gateway._log import Log
from bendlead_gateway._metrics import Metrics
from bendlead_gateway._streams.holder_ring import HolderRing
from bendlead_gateway._streams.origin import StreamOrigin
from bendlead_gateway._streams.origin_sender import OriginSender, PendingOrigin
from bendlead_gateway._streams.origin_table import OriginTable
from bendlead_gateway.json_values import DECODE_ERRORS
from bendlead_gateway.types import (
    EngineVersion,
    NodeName,
    PeerRecord,
    RequestId,
    ServiceName,
    TeamName,
)

QUERY_PATH = '/peer/origin'
#: Peers that are told an origin, and that are asked for it: some that were
#: passed over may seem to be alive to the entry that asks.
_HOLDERS = 3
_ASKED = 8
#: Timeout of one call of a query, and of all together.
_CALL_SECONDS = 0.2
_QUERY_SECONDS = 0.3
#: Queries at a time: clients may name many unknown requests.
_MAX_QUERIES = 32
#: Origins kept for peers until the first ones are listed.
_MAX_UNTOLD = 500
#: A peer that did not accept origins is passed over for this long.
_PASSED_OVER_SECONDS = 1.0
_MS_PER_SECOND = 1000
_CALL_ERRORS = (OSError, *DECODE_ERRORS)
_ORIGINS_DECODER = msgspec.json.Decoder(OriginsMessage)
_QUERY_DECODER = msgspec.json.Decoder(OriginQuery)


class StreamOrigins:
    """Record the origins of streams with peers, and look them up."""

    def __init__(
        self,
        own: NodeName,
        ring: HolderRing,
        is_down: Callable[[NodeName], bool],
        log: Log,
        metrics: Metrics,
    ) -> None:
        """Use the processes of a ring, unless they are known to be down."""
        self._own = own
        self._ring = ring
        self._is_down = is_down
        self._log = log
        self._metrics = metrics
        self.table = OriginTable()
        self._senders: dict[NodeName, OriginSender] = {}
        #: Recorded before any peer was listed.
        self._untold: deque[PendingOrigin] = deque(maxlen=_MAX_UNTOLD)
        self._failed_at: dict[NodeName, float] = {}
        self._queries = BoundedSemaphore(_MAX_QUERIES)

    def record(
        self, request: RequestId, origin: StreamOrigin, seconds: float
    ) -> None:
        """Keep an origin here and at peers for some seconds; does not block."""
        self._keep(request, origin, seconds)
        pending = PendingOrigin(_encode(request, origin, seconds))
        self._untold.append(pending)
        if next(self._candidates(request), None) is not None:
            self._give_untold()

    def find(self, request: RequestId) -> StreamOrigin | None:
        """Return the origin of a stream, known here or at a peer."""
        return self.table.find(request) or self._query(request)

    def receive(self, body: bytes) -> bytes:
        """Keep the origins that a peer sends; raises DECODE_ERRORS."""
        for message in _ORIGINS_DECODER.decode(body).origins or ():
            self._keep_message(message)
        return b'{}'

    def answer(self, body: bytes) -> bytes:
        """Answer the query of a peer; raises DECODE_ERRORS."""
        request = RequestId(_QUERY_DECODER.decode(body).request)
        origin = self.table.find(request)
        found = []
        if origin is not None:
            remaining = self.table.remaining_seconds(request)
            found.append(_encode(request, origin, remaining))
        return msgspec.json.encode(OriginsMessage(origins=found))

    def _keep(
        self, request: RequestId, origin: StreamOrigin, seconds: float
    ) -> None:
        self.table.add(request, origin, seconds)
        self._metrics.streams.origins_dropped = self.table.dropped_early

    def _keep_message(self, message: OriginMessage) -> None:
        self._keep(
            RequestId(message.request),
            _decode(message),
            message.ttl_ms / _MS_PER_SECOND,
        )

    def _give_untold(self) -> None:
        while self._untold:
            self._give(self._untold.popleft(), _HOLDERS)

    def _give(self, pending: PendingOrigin, count: int = 1) -> None:
        """Queue an origin for the next peers in the order."""
        for holder in list(islice(self._next_holders(pending), count)):
            pending.given_to.add(holder.node)
            self._sender(holder).put(pending)

    def _sender(self, holder: PeerRecord) -> OriginSender:
        sender = self._senders.get(holder.node)
        if sender is None or sender.ended or sender.record != holder:
            sender = OriginSender(
                holder, self._give_to_others, self._log.task_failed
            )
            self._senders[holder.node] = sender
        return sender

    def _next_holders(self, pending: PendingOrigin) -> Iterator[PeerRecord]:
        """Yield peers that an entry will ask and that are not known as down."""
        oldest = clock.uptime() - _PASSED_OVER_SECONDS
        for peer in self._candidates(RequestId(pending.message.request)):
            passed_over = self._failed_at.get(peer.node, 0) > oldest
            if peer.node in pending.given_to or passed_over:
                continue
            if not self._is_down(peer.node):
                yield peer

    def _give_to_others(
        self, failed: PeerRecord, batch: Sequence[PendingOrigin]
    ) -> None:
        """Replace a peer that did not accept origins."""
        self._failed_at[failed.node] = clock.uptime()
        self._log.event(
            'origins-not-accepted', peer=failed.node, origins=len(batch)
        )
        for pending in batch:
            self._give(pending)

    def _candidates(self, request: RequestId) -> Iterator[PeerRecord]:
        others = (
            peer for peer in self._ring.order(request) if peer.node != self._own
        )
        return islice(others, _ASKED)

    def _query(self, request: RequestId) -> StreamOrigin | None:
        """Ask the peers that may keep an origin; the first answer counts."""
        body = msgspec.json.encode(OriginQuery(request=request))
        asked_at = clock.uptime()
        with self._queries:
            calls = [
                gevent.spawn(_ask, peer.address, body)
                for peer in self._candidates(request)
            ]
            message = _first_found(calls)
        self._log.event(
            'origin-asked',
            resumes=request,
            asked=len(calls),
            found=message is not None,
            ms=round((clock.uptime() - asked_at) * _MS_PER_SECOND, 1),
        )
        if message is None:
            return None
        self._keep_message(message)
        return self.table.find(request)


def _first_found(calls: Sequence[gevent.Greenlet]) -> OriginMessage | None:
    for call in gevent.iwait(calls, timeout=_QUERY_SECONDS):
        if call.value is not None:
            return call.value
    return None


def _ask(address: str, body: bytes) -> OriginMessage | None:
    try:
        answer = call_peer(address, 'POST', QUERY_PATH, body, _CALL_SECONDS)
        found = _ORIGINS_DECODER.decode(answer).origins
    except _CALL_ERRORS:
        # Another peer may know it.
        return None
    return found[0] if found else None


def _encode(
    request: RequestId, origin: StreamOrigin, seconds: float
) -> OriginMessage:
    return OriginMessage(
        request=request,
        service=origin.service,
        version=origin.version,
        route=origin.route,
        team=origin.team or msgspec.UNSET,
        ttl_ms=round(seconds * _MS_PER_SECOND),
    )


def _decode(message: OriginMessage) -> StreamOrigin:
    return StreamOrigin(
        ServiceName(message.service),
        EngineVersion(message.version),
        message.route,
        TeamName(message.team or ''),
    )
