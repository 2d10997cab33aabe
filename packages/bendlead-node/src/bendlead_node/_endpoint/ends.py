"""Notice that the engine has ended, and under which requests."""

import time
from collections import deque
from collections.abc import Callable

import gevent
from bendlead_gateway.suspects import RequestDigest, refuses_connections
from bendlead_schema.messages import EngineEnd

from bendlead_node._common.telemetry import Journal

#: When the engine is asked for a connection after an answer broke off (s).
_PROBE_PAUSES = (0.03, 0.27)
_PROBE_SECONDS = 0.15
#: Ends told with each heartbeat; an engine runs some dozens of requests.
_MOST_TOLD = 64
_MS = 1000


class EngineEnds:
    """Keep the latest ends of one engine for the entries."""

    def __init__(
        self,
        endpoint: str,
        address: str,
        tell: Callable[[], None],
        journal: Journal,
    ) -> None:
        """Watch the engine at an address; tell has entries hear at once."""
        self._endpoint = endpoint
        self._address = address
        self._tell = tell
        self._journal = journal
        self._broken: set[RequestDigest] = set()
        self._latest: deque[EngineEnd] = deque(maxlen=_MOST_TOLD)

    @property
    def latest(self) -> list[EngineEnd]:
        """List the latest ends."""
        return list(self._latest)

    def broke_off(self, digest: RequestDigest) -> None:
        """Note that the engine's answer to a request broke off."""
        if not digest:
            return
        if not self._broken:
            gevent.spawn(self._probe)
        self._broken.add(digest)

    def _probe(self) -> None:
        for pause in _PROBE_PAUSES:
            gevent.sleep(pause)
            if refuses_connections(self._address, _PROBE_SECONDS):
                self._end()
                break
        self._broken.clear()

    def _end(self) -> None:
        ended = round(time.time() * _MS)
        life = f'{self._endpoint}@{ended}'
        for digest in self._broken:
            self._latest.append(
                EngineEnd(digest=digest, life=life, at_ms=ended)
            )
        self._journal.decide(
            'engine-ended',
            reason='refuses connections',
            digests=','.join(sorted(self._broken)),
        )
        self._tell()
