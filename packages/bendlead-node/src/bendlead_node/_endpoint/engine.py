"""Speak to the engine or plain service of this endpoint."""

from collections import deque
from collections.abc import Mapping, Sequence

import gevent
import msgspec
from bendlead_store import Failure, clock
from result import Result

from bendlead_node._common.limited import LimitedResponse, Report, ignore
from bendlead_node._common.upstream import Clients, read_body
from bendlead_node._common.web import JSON_TYPE

_ENGINE_SECONDS = 600.0
ONLINE_PRIORITY = '0'
BATCH_PRIORITY = '10'
_YIELDS_KEPT = 1000
_MILLISECONDS = 1000


class _Cancel(msgspec.Struct):
    requests: list[str]


class Engine:
    """Send requests to the one engine this process stands before."""

    def __init__(self, address: str, report: Report = ignore) -> None:
        """Speak to an address; ``report`` is told of answers beyond limits."""
        self._address = address
        self._clients = Clients(_ENGINE_SECONDS, report)
        self._yields: deque[float] = deque(maxlen=_YIELDS_KEPT)

    def send(
        self,
        method: str,
        path: str,
        body: bytes,
        headers: Mapping[str, str],
    ) -> Result[LimitedResponse, Failure]:
        """Send one request and wait for the head of the answer."""
        return self._clients.send(method, self._address, path, body, headers)

    @property
    def yields(self) -> list[float]:
        """List the latest times, in ms, until the engine freed slots."""
        return list(self._yields)

    def cancel(self, requests: Sequence[str]) -> None:
        """Have the engine stop requests at its next step."""
        gevent.spawn(self._cancel_now, list(requests), clock.uptime())

    def _cancel_now(self, requests: list[str], started: float) -> None:
        body = msgspec.json.encode(_Cancel(requests))
        headers = {'Content-Type': JSON_TYPE}
        sent = self.send('POST', '/v1/cancel', body, headers)
        sent.map(read_body)
        waited = clock.uptime() - started
        self._yields.append(round(waited * _MILLISECONDS, 2))
