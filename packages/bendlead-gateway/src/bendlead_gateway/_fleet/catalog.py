"""The configuration and the engines that this process believes in."""

import time
from collections.abc import Callable, Collection, Sequence

import gevent
from bendlead_store import Change, Entry
from result import Err

from bendlead_gateway._log import Log
from bendlead_gateway.dialect import Dialect
from bendlead_gateway.types import (
    ClientLimits,
    Configuration,
    Engine,
    EngineId,
    EngineState,
    Route,
    ServiceName,
)

#: An engine that left the list while the store was away is kept this long
#: (s) after the store's return. Source: the users' second letter.
_LAPSE_SECONDS = 2.0
#: Engines of a service that vanish together, this share of them or more, have
#: rather lapsed than left: a held watch lives on while the store is away, and
#: tells of all of them when it returns.
_TOGETHER_SHARE = 0.5
#: They are kept this long (s) to be listed again: those that live were seen
#: back up to 1.66 s after the news. Within the 2 s in which an engine that has
#: left must get no more work, less 0.15 s of gathering and the way of the news.
_TOGETHER_SECONDS = 1.75


class ConfigurationHolder:
    """Hold the newest configuration seen; it never goes back."""

    def __init__(self, dialect: Dialect, log: Log) -> None:
        self._dialect = dialect
        self._log = log
        self._known: Configuration | None = None
        self._by_host: dict[str, list[Route]] = {}

    @property
    def known(self) -> Configuration | None:
        """Give the configuration in force here, if one is known."""
        return self._known

    @property
    def limits(self) -> ClientLimits:
        """Give the limits for clients."""
        return self._known.limits if self._known else ClientLimits()

    def reset(self, entries: Sequence[Entry], after_outage: bool) -> None:
        """Take the whole content of the prefix."""
        for entry in entries:
            self._take(entry)

    def change(self, change: Change) -> None:
        """Take one change."""
        if not change.deleted:
            self._take(Entry(change.key, change.version, change.body))

    def match(self, host: str, path: str) -> Route | None:
        """Find the route of a host with the longest prefix of a path."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def _take(self, entry: Entry) -> None:
        if entry.key != self._dialect.config_key:
            return
        decoded = self._dialect.configuration(entry)
        if isinstance(decoded, Err):
            self._log.event('config-unreadable', reason=decoded.err_value)
            return
        found = decoded.ok_value
        if self._known and found.version <= self._known.version:
            self._log.event(
                'config-older',
                version=found.version,
                in_force=self._known.version,
            )
            return
        self._known = found
        self._by_host = _routes_by_host(found.routes)
        self._log.event(
            'config-in-force',
            version=found.version,
            revision=entry.version,
            routes=len(found.routes),
        )


class EngineList:
    """Hold the engines that service discovery tells of."""

    def __init__(
        self,
        dialect: Dialect,
        log: Log,
        on_gone: Callable[[Engine], None],
    ) -> None:
        self._dialect = dialect
        self._log = log
        self._on_gone = on_gone
        self._engines: dict[EngineId, Engine] = {}
        self._ready: dict[ServiceName, list[Engine]] = {}
        self._since: dict[EngineId, float] = {}
        self._revision: dict[EngineId, int] = {}
        self._awaited: set[EngineId] = set()
        self._vanished: set[EngineId] = set()

    def ready(self, service: ServiceName) -> Sequence[Engine]:
        """List the engines of a service that take new requests."""
        return self._ready.get(service, ())

    def all(self) -> Sequence[Engine]:
        """List all engines, draining ones too."""
        return list(self._engines.values())

    def warming(self, engine: Engine) -> bool:
        """Tell whether an engine is still slow from its start."""
        seen = self._since.get(engine.engine, 0)
        return time.monotonic() < seen + engine.warmup

    def reset(self, entries: Sequence[Entry], after_outage: bool) -> None:
        """Take the whole list; after an outage wait for the missing."""
        listed: set[EngineId] = set()
        for entry in entries:
            taken = self._take(entry)
            if taken:
                listed.add(taken)
        missing = [one for one in self._engines if one not in listed]
        if after_outage:
            self._await(missing, _LAPSE_SECONDS)
            return
        for engine in missing:
            self._vanish(engine)

    def change(self, change: Change) -> None:
        """Take one change."""
        if change.deleted:
            name = EngineId(change.key.rpartition('/')[2])
            self._revision[name] = int(change.version)
            if name in self._engines:
                self._vanish(name)
        else:
            self._take(Entry(change.key, change.version, change.body))

    def _vanish(self, name: EngineId) -> None:
        """Judge what vanished once all of the same news have been read."""
        if not self._vanished:
            gevent.spawn(self._judge_vanished)
        self._vanished.add(name)

    def _judge_vanished(self) -> None:
        vanished = self._vanished.intersection(self._engines)
        self._vanished = set()
        awaited = [
            one for one in vanished if self._vanished_together(one, vanished)
        ]
        self._await(awaited, _TOGETHER_SECONDS)
        for engine in vanished.difference(awaited):
            self._drop(engine, 'not listed any more')

    def _vanished_together(
        self, name: EngineId, vanished: Collection[EngineId]
    ) -> bool:
        service = self._engines[name].service
        known = [
            one.engine
            for one in self._engines.values()
            if one.service == service
        ]
        gone = sum(one in vanished for one in known)
        together = gone > 1 or len(known) == 1
        return together and gone >= len(known) * _TOGETHER_SHARE

    def _await(self, missing: Collection[EngineId], seconds: float) -> None:
        """Keep engines that may have lapsed, for some seconds."""
        if not missing:
            return
        self._log.event(
            'engines-awaited', engines=','.join(missing), seconds=seconds
        )
        self._awaited.update(missing)
        gevent.spawn_later(seconds, self._drop_lapsed, set(missing))

    def _drop_lapsed(self, missing: Collection[EngineId]) -> None:
        lapsed = self._awaited.intersection(missing)
        self._awaited -= lapsed
        for engine in lapsed:
            self._drop(engine, 'lapsed and did not come back')

    def _take(self, entry: Entry) -> EngineId | None:
        decoded = self._dialect.engine(entry)
        if isinstance(decoded, Err):
            self._log.event('engine-unreadable', reason=decoded.err_value)
            return None
        engine = decoded.ok_value
        known = self._engines.get(engine.engine)
        if int(entry.version) < self._revision.get(engine.engine, 0):
            return engine.engine
        self._revision[engine.engine] = int(entry.version)
        self._awaited.discard(engine.engine)
        self._vanished.discard(engine.engine)
        self._since[engine.engine] = time.monotonic()
        if known != engine:
            self._engines[engine.engine] = engine
            self._sort()
            self._log.event(
                'engine-listed',
                engine=engine.engine,
                address=engine.address,
                state=engine.state.value,
                slots=engine.slots,
                revision=entry.version,
            )
        return engine.engine

    def _drop(self, name: EngineId, reason: str) -> None:
        engine = self._engines.pop(name, None)
        if engine is None:
            return
        self._since.pop(name, None)
        self._sort()
        self._log.event('engine-gone', engine=name, reason=reason)
        self._on_gone(engine)

    def _sort(self) -> None:
        ready: dict[ServiceName, list[Engine]] = {}
        for engine in self._engines.values():
            # One that is listed with no places can run nothing.
            if engine.state is EngineState.READY and engine.slots > 0:
                ready.setdefault(engine.service, []).append(engine)
        self._ready = ready


def _routes_by_host(routes: Sequence[Route]) -> dict[str, list[Route]]:
    by_host: dict[str, list[Route]] = {}
    for route in sorted(routes, key=_prefix_length, reverse=True):
        by_host.setdefault(route.host, []).append(route)
    return by_host


def _prefix_length(route: Route) -> int:
    return len(route.prefix)
