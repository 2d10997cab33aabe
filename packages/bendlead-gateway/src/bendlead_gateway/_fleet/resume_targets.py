"""Engines that may continue what another engine has begun."""

from collections.abc import Collection, Iterator, Sequence

from bendlead_gateway._fleet.catalog import EngineList
from bendlead_gateway.types import Engine, EngineId, EngineVersion, ServiceName


class ResumeTargets:
    """Find the engines at which a stream or an item may go on.

    What engines of two versions write does not fit together, and engines do
    not check it.
    """

    def __init__(self, engines: EngineList) -> None:
        self._engines = engines

    def at_version(
        self,
        service: ServiceName,
        version: EngineVersion,
        excluded: Collection[EngineId] = (),
    ) -> Sequence[Engine]:
        """List the engines of a version, none if it is unknown.

        Engines that have only just begun to drain are used if there are no
        others.
        """
        if not version:
            return ()
        ready = [
            engine
            for engine in self._engines.ready(service)
            if engine.version == version and engine.engine not in excluded
        ]
        if ready:
            return ready
        return [
            engine
            for engine in self._draining_recently(service)
            if engine.version == version and engine.engine not in excluded
        ]

    def _draining_recently(self, service: ServiceName) -> Iterator[Engine]:
        for name in self._engines.draining.recent():
            engine = self._engines.find(name)
            if engine and engine.service == service:
                yield engine
