"""Times at which engines began to drain."""

from bendlead_store import clock

from bendlead_gateway.types import Engine, EngineId, EngineState

#: A draining engine may get a request this long after its change was received;
#: it must get none 2 s after the object service accepted the change.
_USE_SECONDS = 0.8


class DrainingTimes:
    """Track which engines have only just begun to drain."""

    def __init__(self) -> None:
        self._since: dict[EngineId, float] = {}

    def record(self, previous: Engine | None, engine: Engine | None) -> None:
        """Record a change of an engine's entry, if it begins to drain.

        Not for a complete list, nor for an engine first listed as draining:
        these do not tell how long ago it was.
        """
        if previous is None or engine is None:
            return
        drains = engine.state is EngineState.DRAINING
        if drains and previous.state is EngineState.READY:
            self._since[engine.engine] = clock.uptime()

    def forget(self, name: EngineId) -> None:
        """Drop an engine that is gone or has started again."""
        self._since.pop(name, None)

    def recent(self) -> list[EngineId]:
        """List the draining engines that may still get requests."""
        oldest = clock.uptime() - _USE_SECONDS
        return [name for name, since in self._since.items() if since > oldest]
