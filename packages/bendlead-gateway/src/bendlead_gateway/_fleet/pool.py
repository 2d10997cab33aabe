"""Keep connections to engines for the next request."""

from bendlead_store import clock
from msgspec import Struct, field

from bendlead_gateway._http.client import HttpConnection
from bendlead_gateway.types import Engine, EngineId

#: A new connection gets this long (s), half of the shortest aim: engines are a
#: few ms away, and one that does not answer is passed over while the aim can
#: still be met.
_CONNECT_SECONDS = 0.15
#: Use no connection that has rested longer than this share of the time an
#: engine keeps it, nor longer than the default (s): engines drop idle
#: connections early and silently, and a request sent on one is lost, while
#: opening another costs a millisecond.
_IDLE_SHARE = 0.6
_IDLE_SECONDS = 1.0
_KEPT_PER_ENGINE = 24


class _Rested(Struct):
    connection: HttpConnection
    until: float


class EnginePool(Struct):
    """Lend connections; the one used last goes out first."""

    _kept: dict[EngineId, list[_Rested]] = field(default_factory=dict)

    def take(self, engine: Engine) -> HttpConnection:
        """Lend a kept connection or open one, or raise OSError."""
        now = clock.uptime()
        kept = self._kept.get(engine.engine, [])
        while kept:
            rested = kept.pop()
            if rested.until > now and rested.connection.is_idle:
                return rested.connection
            rested.connection.close()
        return HttpConnection(engine.address, _CONNECT_SECONDS)

    def give_back(
        self,
        engine: Engine,
        connection: HttpConnection,
        idle_seconds: float | None,
    ) -> None:
        """Keep a connection whose answer was read whole."""
        kept = self._kept.setdefault(engine.engine, [])
        if not connection.reusable or len(kept) >= _KEPT_PER_ENGINE:
            connection.close()
            return
        rest = _IDLE_SECONDS
        if idle_seconds is not None:
            rest = min(rest, idle_seconds * _IDLE_SHARE)
        kept.append(_Rested(connection, clock.uptime() + rest))

    def forget(self, engine: EngineId) -> None:
        """Close the kept connections of an engine that is gone."""
        for rested in self._kept.pop(engine, ()):
            rested.connection.close()

    def forget_all(self) -> None:
        """Close all kept connections."""
        for engine in list(self._kept):
            self.forget(engine)

    def close_expired(self) -> None:
        """Close the connections that have rested too long."""
        now = clock.uptime()
        for engine, kept in list(self._kept.items()):
            for rested in kept:
                if rested.until <= now:
                    rested.connection.close()
            self._kept[engine] = [one for one in kept if one.until > now]
