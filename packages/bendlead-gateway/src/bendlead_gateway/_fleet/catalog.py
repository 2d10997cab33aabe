"""The active configuration and the engines found by service discovery."""

import time
from collections.abc import Callable, Collection, Mapping, Sequence

import gevent
from bendlead_store import Change, Entry, Failure, clock
from bendlead_store.tasks import attempt, for_each
from msgspec import Struct, field
from result import Err

from bendlead_gateway._fleet.draining_times import DrainingTimes
from bendlead_gateway._log import Log
from bendlead_gateway.dialect import Dialect
from bendlead_gateway.types import (
    ClientLimits,
    Configuration,
    Engine,
    EngineId,
    EngineState,
    KeyDigest,
    Route,
    RouteKind,
    ServiceName,
    Team,
    TeamName,
)

#: Engines that are missing from the list after an outage of the store are kept
#: this long, since their entries may have expired meanwhile.
_OUTAGE_GRACE_SECONDS = 2.0
_MS_PER_SECOND = 1000
#: If at least this share of a service's engines is removed at once, their
#: entries probably expired during an outage that the watch did not notice.
_MASS_REMOVAL_SHARE = 0.5
#: How long such engines are kept. An engine that was really removed must get no
#: more work after 2 s, which include the time to gather and receive changes.
_MASS_REMOVAL_GRACE_SECONDS = 1.75


class _ActiveConfiguration(Struct, frozen=True):
    """One version with its indexes, replaced as a whole."""

    configuration: Configuration | None = None
    by_host: Mapping[str, Sequence[Route]] = field(default_factory=dict)
    by_key: Mapping[KeyDigest, Team] = field(default_factory=dict)
    by_name: Mapping[TeamName, Team] = field(default_factory=dict)


class ConfigurationHolder:
    """Hold the latest configuration; older versions are ignored."""

    def __init__(self, dialect: Dialect, log: Log) -> None:
        self._dialect = dialect
        self._log = log
        self._active = _ActiveConfiguration()

    @property
    def current(self) -> Configuration | None:
        """Return the active configuration, if there is one."""
        return self._active.configuration

    @property
    def version(self) -> int:
        """Return the active version, or 0 for none."""
        return self.current.version if self.current else 0

    @property
    def limits(self) -> ClientLimits:
        """Return the limits for client connections and requests."""
        return self.current.limits if self.current else ClientLimits()

    def health_path(self, service: ServiceName) -> str | None:
        """Return the path of the health checks of a service, if configured."""
        found = self.current.services.get(service) if self.current else None
        return found.health_path if found else None

    @property
    def requires_key(self) -> bool:
        """Return whether callers must send the key of a team."""
        return bool(self.current and self.current.teams)

    def team_by_key(self, key: KeyDigest) -> Team | None:
        """Return the team that a key belongs to, if any."""
        return self._active.by_key.get(key)

    def team_named(self, name: TeamName) -> Team | None:
        """Return the team of a name, if configured."""
        return self._active.by_name.get(name)

    def has_public_batch_route(self, host: str) -> bool:
        """Return whether a host has a batch route that needs no key."""
        return any(
            route.public and route.kind is RouteKind.BATCH
            for route in self._active.by_host.get(host, ())
        )

    def reset(self, entries: Sequence[Entry], after_outage: bool) -> None:
        """Apply the complete content of the prefix."""
        for_each(self._apply_entry, entries)

    def change(self, change: Change) -> None:
        """Apply one change."""
        if not change.deleted:
            self._apply_entry(Entry(change.key, change.version, change.body))

    def activate(self, configuration: Configuration, source: str) -> None:
        """Activate a configuration if it is newer than the active one."""
        if self.current and configuration.version <= self.version:
            self._log.event(
                'config-older',
                version=configuration.version,
                in_force=self.version,
                source=source,
            )
            return
        self._active = _ActiveConfiguration(
            configuration,
            _routes_by_host(configuration.routes),
            _teams_by_key(configuration.teams),
            {team.name: team for team in configuration.teams},
        )
        self._log.event(
            'config-in-force',
            version=configuration.version,
            source=source,
            routes=len(configuration.routes),
            teams=len(configuration.teams),
        )

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of a host with the longest matching path prefix."""
        for route in self._active.by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def _apply_entry(self, entry: Entry) -> None:
        if entry.key != self._dialect.config_key:
            return
        decoded = self._dialect.configuration(entry)
        if isinstance(decoded, Err):
            self._log.event('config-unreadable', reason=decoded.err_value)
            return
        self.activate(decoded.ok_value, 'object service')


class EngineList:
    """Hold the engines that service discovery lists."""

    def __init__(
        self,
        dialect: Dialect,
        log: Log,
        on_removed: Callable[[Engine], None],
    ) -> None:
        self._dialect = dialect
        self._log = log
        self._on_removed = on_removed
        self.draining = DrainingTimes()
        self._engines: dict[EngineId, Engine] = {}
        self._ready: dict[ServiceName, list[Engine]] = {}
        self._listed_at: dict[EngineId, float] = {}
        self._revision: dict[EngineId, int] = {}
        self._expected: set[EngineId] = set()
        self._removals: set[EngineId] = set()

    def ready(self, service: ServiceName) -> Sequence[Engine]:
        """List the engines of a service that accept new requests."""
        return self._ready.get(service, ())

    def all(self) -> Sequence[Engine]:
        """List all engines, including draining ones."""
        return list(self._engines.values())

    def find(self, name: EngineId) -> Engine | None:
        """Return the engine of an id, if it is listed."""
        return self._engines.get(name)

    def is_ready(self, engine: Engine) -> bool:
        """Return whether this incarnation of an engine is listed as ready."""
        listed = self._engines.get(engine.engine)
        if listed is None or listed.born != engine.born:
            return False
        return listed.state is EngineState.READY

    def warming(self, engine: Engine) -> bool:
        """Return whether an engine is still in its warm-up time."""
        elapsed = clock.uptime() - self._listed_at.get(engine.engine, 0)
        if engine.born:
            # A start that lies ahead counts from when the engine was listed.
            since_start = time.time() - engine.born / _MS_PER_SECOND
            elapsed = max(elapsed, since_start)
        return elapsed < engine.warmup

    def reset(self, entries: Sequence[Entry], after_outage: bool) -> None:
        """Replace the list; after an outage keep missing ones for a while."""
        listed: set[EngineId] = set()
        for entry in entries:
            attempt(
                'engine-entry',
                self._log.task_failed,
                self._list_entry,
                entry,
                listed,
            )
        missing = [name for name in self._engines if name not in listed]
        if after_outage:
            self._keep_for(missing, _OUTAGE_GRACE_SECONDS)
            return
        for name in missing:
            self._schedule_removal(name)

    def change(self, change: Change) -> None:
        """Apply one change."""
        if change.deleted:
            name = EngineId(change.key.rpartition('/')[2])
            self._revision[name] = int(change.version)
            if name in self._engines:
                self._schedule_removal(name)
            return
        name = EngineId(change.key.rpartition('/')[2])
        previous = self._engines.get(name)
        self._apply_entry(Entry(change.key, change.version, change.body))
        self.draining.record(previous, self._engines.get(name))

    def _schedule_removal(self, name: EngineId) -> None:
        """Remove an engine once all changes of the same batch were applied."""
        if not self._removals:
            gevent.spawn(self._process_removals)
        self._removals.add(name)

    def _process_removals(self) -> None:
        removals = self._removals.intersection(self._engines)
        self._removals = set()
        kept = [
            name for name in removals if self._is_mass_removal(name, removals)
        ]
        self._keep_for(kept, _MASS_REMOVAL_GRACE_SECONDS)
        for_each(
            lambda name: self._drop(name, 'removed from service discovery'),
            removals.difference(kept),
        )

    def _is_mass_removal(
        self, name: EngineId, removals: Collection[EngineId]
    ) -> bool:
        service = self._engines[name].service
        listed = [
            engine.engine
            for engine in self._engines.values()
            if engine.service == service
        ]
        removed = sum(engine in removals for engine in listed)
        several = removed > 1 or len(listed) == 1
        return several and removed >= len(listed) * _MASS_REMOVAL_SHARE

    def _keep_for(self, missing: Collection[EngineId], seconds: float) -> None:
        """Keep engines whose entries may have expired for some seconds."""
        if not missing:
            return
        self._log.event(
            'engines-awaited', engines=','.join(missing), seconds=seconds
        )
        self._expected.update(missing)
        gevent.spawn_later(seconds, self._drop_expired, set(missing))

    def _drop_expired(self, missing: Collection[EngineId]) -> None:
        expired = self._expected.intersection(missing)
        self._expected -= expired
        for_each(
            lambda name: self._drop(
                name, 'not listed again within the grace period'
            ),
            expired,
        )

    def _list_entry(self, entry: Entry, listed: set[EngineId]) -> None:
        # The engine of an entry that raises stays as it was.
        listed.add(EngineId(entry.key.rpartition('/')[2]))
        name = self._apply_entry(entry)
        if name:
            listed.add(name)

    def _apply_entry(self, entry: Entry) -> EngineId | None:
        decoded = self._dialect.engine(entry)
        if isinstance(decoded, Err):
            self._skip_unreadable(entry, decoded.err_value)
            return None
        engine = decoded.ok_value
        previous = self._engines.get(engine.engine)
        if int(entry.version) < self._revision.get(engine.engine, 0):
            return engine.engine
        self._revision[engine.engine] = int(entry.version)
        self._expected.discard(engine.engine)
        self._removals.discard(engine.engine)
        if previous is None or previous.born != engine.born:
            self._start_incarnation(previous, engine)
        if previous != engine:
            self._engines[engine.engine] = engine
            self._index_ready()
            self._log.event(
                'engine-listed',
                engine=engine.engine,
                address=engine.address,
                state=engine.state.value,
                slots=engine.slots,
                version=engine.version,
                born=engine.born,
                revision=entry.version,
            )
        return engine.engine

    def _skip_unreadable(self, entry: Entry, failure: Failure) -> None:
        """Log an entry that cannot be decoded, and drop its engine."""
        name = EngineId(entry.key.rpartition('/')[2])
        self._log.event('engine-unreadable', engine=name, reason=failure)
        if name in self._engines:
            self._drop(name, 'entry cannot be decoded')

    def _start_incarnation(
        self, previous: Engine | None, engine: Engine
    ) -> None:
        """Record a new incarnation and discard the state of the previous."""
        self._listed_at[engine.engine] = clock.uptime()
        self.draining.forget(engine.engine)
        if previous is not None:
            self._log.event(
                'engine-born-again',
                engine=engine.engine,
                born=engine.born,
                before=previous.born,
            )
            self._on_removed(previous)

    def _drop(self, name: EngineId, reason: str) -> None:
        engine = self._engines.pop(name, None)
        if engine is None:
            return
        self._listed_at.pop(name, None)
        self.draining.forget(name)
        self._index_ready()
        self._log.event('engine-gone', engine=name, reason=reason)
        self._on_removed(engine)

    def _index_ready(self) -> None:
        ready: dict[ServiceName, list[Engine]] = {}
        for engine in self._engines.values():
            # An engine without slots cannot run requests.
            if engine.state is EngineState.READY and engine.slots > 0:
                ready.setdefault(engine.service, []).append(engine)
        self._ready = ready


def _routes_by_host(routes: Sequence[Route]) -> dict[str, list[Route]]:
    by_host: dict[str, list[Route]] = {}
    for route in sorted(routes, key=_prefix_length, reverse=True):
        by_host.setdefault(route.host, []).append(route)
    return by_host


def _teams_by_key(teams: Sequence[Team]) -> dict[KeyDigest, Team]:
    return {key: team for team in teams for key in team.keys}


def _prefix_length(route: Route) -> int:
    return len(route.prefix)
