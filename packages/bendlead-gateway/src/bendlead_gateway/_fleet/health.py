"""How engines did with real requests: pace, failures, pauses."""

from bendlead_store import clock
from msgspec import Struct

from bendlead_gateway.types import EngineId

#: First and longest pause of an engine that fails (s).
_FIRST_PAUSE = 0.5
_LAST_PAUSE = 4.0
#: Weight of the newest value in a moving average.
_NEWEST = 0.15
#: The same for what a peer tells, which is smooth already and comes often.
_PEERS_NEWEST = 0.02
#: Failures in a row after which an engine is paused, unless it refused the
#: connection, which pauses it at once.
_FAILURES = 2
#: An engine that works for us and sends nothing on any connection for this
#: long (s) is dark or full; events come every 20 ms.
_SILENT_SECONDS = 0.25


class _Record(Struct):
    """Keep how one engine did."""

    pace: float = 0
    failures: int = 0
    paused_until: float = 0
    pause: float = _FIRST_PAUSE
    heard: float = 0


class EngineHealth:
    """Remember how each engine did, from its answers alone."""

    def __init__(self) -> None:
        self._records: dict[EngineId, _Record] = {}
        #: Smoothed seconds for which a request holds its place.
        self.run_seconds = 0.0

    def pace(self, engine: EngineId) -> float:
        """Give the smoothed seconds between events, or 0 if unknown."""
        record = self._records.get(engine)
        return record.pace if record else 0

    def paused(self, engine: EngineId) -> bool:
        """Tell whether an engine is left alone for now."""
        record = self._records.get(engine)
        return bool(record) and clock.uptime() < record.paused_until

    def heard(self, engine: EngineId) -> None:
        """Note that bytes of an answer came."""
        self._record(engine).heard = clock.uptime()

    def heard_at(self, engine: EngineId) -> float:
        """Tell when bytes of an answer came last (s), 0 for never."""
        record = self._records.get(engine)
        return record.heard if record else 0

    def silent(self, engine: EngineId, busy_since: float | None) -> bool:
        """Tell whether an engine at work for us has sent nothing lately."""
        if busy_since is None:
            return False
        record = self._records.get(engine)
        latest = max(busy_since, record.heard if record else 0)
        return clock.uptime() - latest > _SILENT_SECONDS

    def observe_gap(self, engine: EngineId, seconds: float) -> None:
        """Take the time between two events of a stream."""
        record = self._record(engine)
        if not record.pace:
            record.pace = seconds
        record.pace += (seconds - record.pace) * _NEWEST

    def observe_run(self, seconds: float) -> None:
        """Take the time from the first event of a stream to its last."""
        if not self.run_seconds:
            self.run_seconds = seconds
        self.run_seconds += (seconds - self.run_seconds) * _NEWEST

    def hear_run(self, seconds: float) -> None:
        """Take a peer's smoothed time, for those who run few requests."""
        if seconds > 0:
            if not self.run_seconds:
                self.run_seconds = seconds
            self.run_seconds += (seconds - self.run_seconds) * _PEERS_NEWEST

    def succeeded(self, engine: EngineId) -> None:
        """Note a whole answer."""
        record = self._record(engine)
        record.failures = 0
        record.pause = _FIRST_PAUSE
        record.paused_until = 0

    def failed(self, engine: EngineId, unreachable: bool = False) -> bool:
        """Note a failed answer; tell whether the engine is paused now."""
        record = self._record(engine)
        record.failures += 1
        if record.failures < _FAILURES and not unreachable:
            return False
        record.paused_until = clock.uptime() + record.pause
        record.pause = min(_LAST_PAUSE, record.pause * 2)
        return True

    def forget(self, engine: EngineId) -> None:
        """Forget an engine that is gone."""
        self._records.pop(engine, None)

    def _record(self, engine: EngineId) -> _Record:
        return self._records.setdefault(engine, _Record())
