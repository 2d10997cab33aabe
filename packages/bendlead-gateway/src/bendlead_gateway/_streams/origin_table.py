"""Bounded table of the origins of streams."""

from bendlead_store import clock
from msgspec import Struct
from msgspec.structs import replace

from bendlead_gateway._streams.origin import StreamOrigin
from bendlead_gateway.types import EngineVersion, RequestId

#: About 5 MB.
_MAX_ORIGINS = 10_000


class _Kept(Struct):
    origin: StreamOrigin
    expires_at: float


class OriginTable:
    """Keep the first origin of each request until it expires."""

    def __init__(self, max_origins: int = _MAX_ORIGINS) -> None:
        self._max_origins = max_origins
        #: Ordered by arrival.
        self._kept: dict[RequestId, _Kept] = {}
        #: Origins dropped before they expired, for lack of room.
        self.dropped_early = 0

    def __len__(self) -> int:
        """Return the number of origins, expired ones included."""
        return len(self._kept)

    def add(
        self, request: RequestId, origin: StreamOrigin, seconds: float
    ) -> None:
        """Keep an origin for some seconds, unless there is one already.

        Two different ones leave the version unknown.
        """
        now = clock.uptime()
        expires_at = now + seconds
        kept = self._kept.get(request)
        if kept is None or kept.expires_at < now:
            self._kept.pop(request, None)
            self._drop_oldest()
            self._kept[request] = _Kept(origin, expires_at)
        elif kept.origin == origin:
            kept.expires_at = max(kept.expires_at, expires_at)
        else:
            kept.origin = replace(kept.origin, version=EngineVersion(''))

    def find(self, request: RequestId) -> StreamOrigin | None:
        """Return the origin of a stream, if it is known."""
        kept = self._kept.get(request)
        if kept is None or kept.expires_at < clock.uptime():
            return None
        return kept.origin

    def remaining_seconds(self, request: RequestId) -> float:
        """Return the seconds until the origin expires, 0 if unknown."""
        kept = self._kept.get(request)
        return max(0, kept.expires_at - clock.uptime()) if kept else 0

    def _drop_oldest(self) -> None:
        """Drop expired origins, and the oldest one if there is no room."""
        now = clock.uptime()
        while self._kept:
            oldest = next(iter(self._kept))
            expired = self._kept[oldest].expires_at < now
            if not expired and len(self._kept) < self._max_origins:
                return
            self.dropped_early += not expired
            self._kept.pop(oldest)
