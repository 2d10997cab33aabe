"""Keep-alive connections to engines."""

from bendlead_store import clock
from msgspec import Struct, field

from bendlead_gateway._http.client import HttpConnection
from bendlead_gateway.types import Engine, EngineId

#: Half of the shortest latency target, so that another engine can still meet
#: it if the first does not accept the connection.
_CONNECT_TIMEOUT_SECONDS = 0.15
#: Idle connections are closed well before the engine's own idle timeout:
#: engines drop them early and silently, and a request sent on one is lost.
_IDLE_TIMEOUT_SHARE = 0.6
_MAX_IDLE_SECONDS = 1.0
_MAX_IDLE_PER_ENGINE = 24


class _IdleConnection(Struct):
    connection: HttpConnection
    expires_at: float


class EnginePool(Struct):
    """Pool of idle connections; the most recently used is taken first."""

    _idle: dict[EngineId, list[_IdleConnection]] = field(default_factory=dict)

    def acquire(self, engine: Engine) -> HttpConnection:
        """Return an idle connection or open one.

        Raises OSError if the engine cannot be connected to.
        """
        now = clock.uptime()
        idle = self._idle.get(engine.engine, [])
        while idle:
            entry = idle.pop()
            if entry.expires_at > now and entry.connection.is_idle:
                return entry.connection
            entry.connection.close()
        return HttpConnection(engine.address, _CONNECT_TIMEOUT_SECONDS)

    def release(
        self,
        engine: Engine,
        connection: HttpConnection,
        idle_seconds: float | None,
    ) -> None:
        """Return a connection whose response was read completely."""
        idle = self._idle.setdefault(engine.engine, [])
        if not connection.reusable or len(idle) >= _MAX_IDLE_PER_ENGINE:
            connection.close()
            return
        seconds = _MAX_IDLE_SECONDS
        if idle_seconds is not None:
            seconds = min(seconds, idle_seconds * _IDLE_TIMEOUT_SHARE)
        idle.append(_IdleConnection(connection, clock.uptime() + seconds))

    def close_engine(self, engine: EngineId) -> None:
        """Close the idle connections of an engine."""
        for entry in self._idle.pop(engine, ()):
            entry.connection.close()

    def close_all(self) -> None:
        """Close all idle connections."""
        for engine in list(self._idle):
            self.close_engine(engine)

    def close_expired(self) -> None:
        """Close the connections that were idle for too long."""
        now = clock.uptime()
        for engine, idle in list(self._idle.items()):
            for entry in idle:
                if entry.expires_at <= now:
                    entry.connection.close()
            self._idle[engine] = [
                entry for entry in idle if entry.expires_at > now
            ]
