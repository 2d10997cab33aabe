"""Probes of silent engines: whether they accept connections."""

import gevent
from bendlead_store import clock
from msgspec import Struct

from bendlead_gateway._http.client import HttpConnection
from bendlead_gateway.types import Engine, EngineId

#: Connecting takes a round trip: the machine accepts also while the engine
#: stands still.
_TIMEOUT_SECONDS = 0.15
_INTERVAL_SECONDS = 0.5
#: One lost packet is no evidence.
_ATTEMPTS = 2
#: A result counts until the next probe; an older one is of another silence.
_VALID_SECONDS = 1.0


class _Probe(Struct):
    started_at: float = 0
    failed: bool = False


class Reachability:
    """Tell engines that stand still from those that can't be reached."""

    def __init__(self) -> None:
        self._probes: dict[EngineId, _Probe] = {}

    def is_unreachable(self, engine: Engine) -> bool:
        """Return whether the latest probe failed; start one that is due."""
        now = clock.uptime()
        probe = self._probes.setdefault(engine.engine, _Probe())
        if now - probe.started_at > _INTERVAL_SECONDS:
            if now - probe.started_at > _VALID_SECONDS:
                probe.failed = False
            probe.started_at = now
            gevent.spawn(self._run, engine, probe)
        return probe.failed

    def forget(self, engine: EngineId) -> None:
        """Remove an engine that is no longer listed."""
        self._probes.pop(engine, None)

    def _run(self, engine: Engine, probe: _Probe) -> None:
        probe.failed = not any(
            _accepts(engine.address) for _attempt in range(_ATTEMPTS)
        )


def _accepts(address: str) -> bool:
    try:
        HttpConnection(address, _TIMEOUT_SECONDS).close()
    except OSError:
        # That it can't be reached is the result.
        return False
    return True
