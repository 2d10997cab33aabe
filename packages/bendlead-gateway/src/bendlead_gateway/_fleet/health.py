"""Passive health of engines, from the outcome of requests."""

from bendlead_store import clock
from msgspec import Struct

from bendlead_gateway.types import EngineId

#: Backoff of an engine that fails.
_FIRST_PAUSE_SECONDS = 0.5
_MAX_PAUSE_SECONDS = 4.0
#: Consecutive failures after which an engine is paused. One that is
#: unreachable is paused at once.
_FAILURE_THRESHOLD = 2
#: An engine with running requests that sends nothing on any connection for
#: this long is unresponsive or overloaded.
_UNRESPONSIVE_SECONDS = 0.25


class _Record(Struct):
    """The recent outcomes of one engine."""

    failures: int = 0
    paused_until: float = 0
    #: When a silence last paused it.
    silent_at: float = 0
    pause: float = _FIRST_PAUSE_SECONDS
    last_activity_at: float = 0
    #: Start of the activity that has not paused since.
    active_since: float = 0


class EngineHealth:
    """Track failures and backoff of each engine."""

    def __init__(self) -> None:
        self._records: dict[EngineId, _Record] = {}

    def paused(self, engine: EngineId) -> bool:
        """Return whether an engine gets no requests for now."""
        record = self._records.get(engine)
        return bool(record) and clock.uptime() < record.paused_until

    def record_activity(self, engine: EngineId) -> None:
        """Record that bytes of a response arrived."""
        record = self._record(engine)
        now = clock.uptime()
        if now - record.last_activity_at > _UNRESPONSIVE_SECONDS:
            record.active_since = now
        record.last_activity_at = now

    def last_activity_at(self, engine: EngineId) -> float:
        """Return when bytes last arrived (uptime, s), or 0 for never."""
        record = self._records.get(engine)
        return record.last_activity_at if record else 0

    def active_seconds(self, engine: EngineId) -> float:
        """Return for how long (s) an engine has been sending without pause."""
        record = self._records.get(engine)
        now = clock.uptime()
        if not record or now - record.last_activity_at > _UNRESPONSIVE_SECONDS:
            return 0
        return now - record.active_since

    def is_unresponsive(
        self, engine: EngineId, busy_since: float | None
    ) -> bool:
        """Return whether an engine with running requests stopped sending."""
        if busy_since is None:
            return False
        record = self._records.get(engine)
        active_at = max(busy_since, record.last_activity_at if record else 0)
        return clock.uptime() - active_at > _UNRESPONSIVE_SECONDS

    def record_success(self, engine: EngineId) -> None:
        """Record a complete response and end the backoff."""
        record = self._record(engine)
        record.failures = 0
        record.pause = _FIRST_PAUSE_SECONDS
        record.paused_until = 0

    def record_failure(
        self,
        engine: EngineId,
        unreachable: bool = False,
        since: float | None = None,
    ) -> bool:
        """Record a failed request; return whether the engine is paused now.

        ``since`` is when a silence began (uptime, s). A silence pauses an
        engine once, not for each request that it holds up.
        """
        record = self._record(engine)
        record.failures += 1
        if record.failures < _FAILURE_THRESHOLD and not unreachable:
            return False
        if since is not None:
            if since <= record.silent_at:
                return self.paused(engine)
            record.silent_at = clock.uptime()
        record.paused_until = clock.uptime() + record.pause
        record.pause = min(_MAX_PAUSE_SECONDS, record.pause * 2)
        return True

    def forget(self, engine: EngineId) -> None:
        """Remove an engine that is no longer listed."""
        self._records.pop(engine, None)

    def _record(self, engine: EngineId) -> _Record:
        return self._records.setdefault(engine, _Record())
