"""Check of engines whose answers ended with their connections."""

import gevent

from bendlead_gateway._fleet.probe import refuses_connections
from bendlead_gateway.types import Engine, EngineId

#: The listening socket of a process may close some ms after its connections.
_PAUSE_SECONDS = 0.03
_PROBE_TIMEOUT_SECONDS = 0.15


class EndCheck:
    """Ask for each engine at most one probe at a time."""

    def __init__(self) -> None:
        self._running: dict[EngineId, gevent.Greenlet] = {}

    def has_ended(self, engine: Engine) -> bool:
        """Return whether an engine refuses connections after a pause."""
        probe = self._running.get(engine.engine)
        if probe is None:
            probe = gevent.spawn(self._probe, engine)
            self._running[engine.engine] = probe
        return bool(probe.get())

    def _probe(self, engine: Engine) -> bool:
        try:
            gevent.sleep(_PAUSE_SECONDS)
            return refuses_connections(engine.address, _PROBE_TIMEOUT_SECONDS)
        finally:
            self._running.pop(engine.engine, None)
