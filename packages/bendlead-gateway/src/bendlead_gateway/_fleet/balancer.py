"""Selection of an engine for a request by load, speed and health."""

import random
from collections.abc import Collection, Sequence

from bendlead_gateway._fleet.catalog import EngineList
from bendlead_gateway._fleet.health import EngineHealth
from bendlead_gateway._fleet.loads import LoadTable
from bendlead_gateway._fleet.pace import PaceTable
from bendlead_gateway._fleet.resume_targets import ResumeTargets
from bendlead_gateway._health.health_state import HealthAssessment, HealthState
from bendlead_gateway._health.preference import prefer_trusted
from bendlead_gateway._health.shared import SharedHealth
from bendlead_gateway._scheduling.placement import (
    Placement,
    Traffic,
    choose_engine,
)
from bendlead_gateway._scheduling.view import EngineView
from bendlead_gateway.types import (
    DataHall,
    Engine,
    EngineId,
    EngineVersion,
    Route,
    ServiceName,
    ServiceShare,
)

_NO_ASSESSMENT = HealthAssessment()


class Balancer:
    """Build views of engines and choose among them."""

    def __init__(
        self,
        engines: EngineList,
        loads: LoadTable,
        health: EngineHealth,
        pace: PaceTable,
        hall: DataHall,
        shared: SharedHealth | None = None,
    ) -> None:
        self._engines = engines
        self.resume_targets = ResumeTargets(engines)
        self._loads = loads
        self._health = health
        self._pace = pace
        self._hall = hall
        self._shared = shared

    @property
    def traffic(self) -> Traffic:
        """Return how long requests run and how old peers' load reports are."""
        return Traffic(self._pace.run_seconds, self._loads.delay)

    def views(
        self,
        service: ServiceName,
        tried: Collection[EngineId] = (),
        version: EngineVersion | None = None,
    ) -> list[EngineView]:
        """List the engines that accept new requests and were not tried.

        With a version, list those that may continue what it has begun.
        """
        if version is None:
            engines = [
                engine
                for engine in self._engines.ready(service)
                if engine.engine not in tried
            ]
        else:
            engines = self.resume_targets.at_version(service, version, tried)
        return [self.view(engine) for engine in engines]

    def view(self, engine: Engine) -> EngineView:
        """Return the current load, speed and health of one engine."""
        name = engine.engine
        busy_since = self._loads.own_busy_since(name)
        if self._shared is None:
            assessment = _NO_ASSESSMENT
            paused = self._health.paused(name)
        else:
            assessment = self._shared.assess(engine)
            paused = assessment.out_of_rotation or self._shared.is_unreachable(
                engine
            )
        return EngineView(
            engine,
            online=self._loads.online(name) + assessment.failure_load,
            batch=self._loads.batch(name),
            non_preemptible=self._loads.non_preemptible(name),
            event_gap=self._pace.gap(name),
            slowness=self._pace.slowness(engine),
            stall=self._pace.stall(engine),
            same_hall=engine.hall == self._hall,
            silent=self._health.is_unresponsive(name, busy_since),
            warming=self._engines.warming(engine),
            paused=paused,
            doubted=assessment.state is HealthState.DOUBTED,
        )

    def choose(
        self,
        service: ServiceName,
        tried: Collection[EngineId],
        *,
        once: bool = False,
        version: EngineVersion | None = None,
    ) -> Placement | None:
        """Choose an engine for an online request.

        Set once for a request that cannot be retried: it is not used as a
        trial and avoids doubted engines. With a version, the request continues
        a stream that an engine of this version has begun.
        """
        once = once or version is not None
        views = self.views(service, tried, version)
        if self._shared is not None:
            trial = None if once else self._shared.start_trial(views)
            if trial is not None:
                return Placement(trial, 0)
            views = list(prefer_trusted(views, once=once))
        return choose_engine(views, self.traffic, random.random)

    def start_trial(self, service: ServiceName) -> EngineView | None:
        """Return an engine that is due for a trial by a batch item, if any."""
        if self._shared is None or not self._shared.any_failures:
            return None
        return self._shared.start_trial(self.views(service))

    def estimate_wait(self, service: ServiceName) -> float | None:
        """Estimate the wait (s) of a further request; None without engines."""
        # No request is sent, so no trial may be started.
        placement = self.choose(service, (), once=True)
        return placement.wait if placement else None


def pick_service(route: Route) -> ServiceName:
    """Choose a service of a route at random by weight."""
    shares: Sequence[ServiceShare] = route.shares
    if len(shares) == 1:
        return shares[0].service
    weights = [max(0, share.weight) for share in shares]
    if not any(weights):
        weights = [1 for _share in shares]
    return random.choices(shares, weights)[0].service
