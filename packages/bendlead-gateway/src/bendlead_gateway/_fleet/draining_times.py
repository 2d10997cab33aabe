"""Times at which engines began to drain."""

from bendlead_store import clock

from bendlead_gateway.types import Engine, EngineId, EngineState

#: A draining engine may get a request this long after its entry said so, well
#: within the 2 s after which it must get none.
_USE_SECONDS = 1.2


class DrainingTimes:
    """Track which engines have only just begun to drain."""

    def __init__(self) -> None:
        self._since: dict[EngineId, float] = {}

    def record(self, engine: Engine | None) -> None:
        """Record the state that a change of the engine's entry tells.

        A complete list must not be recorded: it may be late.
        """
        if engine is None:
            return
        if engine.state is EngineState.DRAINING:
            self._since.setdefault(engine.engine, clock.uptime())
        else:
            self.forget(engine.engine)

    def forget(self, name: EngineId) -> None:
        """Drop an engine that is gone or has started again."""
        self._since.pop(name, None)

    def recent(self) -> list[EngineId]:
        """List the draining engines that may still get requests."""
        oldest = clock.uptime() - _USE_SECONDS
        return [name for name, since in self._since.items() if since > oldest]
