"""Send origins to one peer over one connection."""

from collections import deque
from collections.abc import Callable, Sequence
from http import HTTPStatus

import msgspec
from bendlead_schema.gateway import StreamOrigin as OriginMessage
from bendlead_schema.gateway import StreamOrigins as OriginsMessage
from bendlead_store.tasks import Report, keep_running, print_failure
from gevent.event import Event
from msgspec import Struct, field

from bendlead_gateway._http.client import HttpConnection
from bendlead_gateway.types import NodeName, PeerRecord

ORIGINS_PATH = '/peer/origins'
_CONNECT_SECONDS = 0.2
_RESPONSE_SECONDS = 0.3
#: Below the peer's idle timeout.
_IDLE_SECONDS = 10.0
_MAX_PER_CALL = 200


class PendingOrigin(Struct):
    """Origin on its way to peers, and those it was given to."""

    message: OriginMessage
    given_to: set[NodeName] = field(default_factory=set)


class OriginSender:
    """Sends what is queued together in one call at a time.

    Origins that cannot be delivered are handed to ``on_failed``.
    """

    def __init__(
        self,
        record: PeerRecord,
        on_failed: Callable[[PeerRecord, Sequence[PendingOrigin]], None],
        report: Report = print_failure,
    ) -> None:
        self.record = record
        self._on_failed = on_failed
        self._queue: deque[PendingOrigin] = deque()
        self._queued = Event()
        self._connection: HttpConnection | None = None
        self._task = keep_running('origins', report, self._run)

    @property
    def ended(self) -> bool:
        """Return whether the task has ended, after some idle seconds."""
        return bool(self._task.dead)

    def put(self, pending: PendingOrigin) -> None:
        """Queue an origin."""
        self._queue.append(pending)
        self._queued.set()

    def _run(self) -> None:
        try:
            while self._queue or self._queued.wait(_IDLE_SECONDS):
                self._send_next()
        finally:
            self._close()

    def _send_next(self) -> None:
        self._queued.clear()
        count = min(len(self._queue), _MAX_PER_CALL)
        batch = [self._queue.popleft() for _origin in range(count)]
        if batch and not self._deliver(batch):
            self._on_failed(self.record, batch)

    def _deliver(self, batch: Sequence[PendingOrigin]) -> bool:
        """Send a batch; return whether the peer has accepted it."""
        origins = [pending.message for pending in batch]
        body = msgspec.json.encode(OriginsMessage(origins=origins))
        while True:
            reused = self._connection is not None
            try:
                return self._send(body)
            except OSError:
                self._close()
                if not reused:
                    return False
                # The peer may have restarted since the last call.

    def _send(self, body: bytes) -> bool:
        if self._connection is None:
            self._connection = HttpConnection(
                self.record.address, _CONNECT_SECONDS
            )
        response = self._connection.request(
            'POST',
            ORIGINS_PATH,
            [('Host', self.record.address)],
            body,
            _RESPONSE_SECONDS,
        )
        if not self._connection.reusable:
            self._close()
        return response.head.status == HTTPStatus.OK

    def _close(self) -> None:
        if self._connection is not None:
            self._connection.close()
        self._connection = None
