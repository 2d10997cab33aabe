"""Tell what is known of the engines of a service, and choose among them."""

import random
from collections.abc import Collection, Sequence

from bendlead_gateway._fleet.catalog import EngineList
from bendlead_gateway._fleet.health import EngineHealth
from bendlead_gateway._fleet.loads import LoadTable
from bendlead_gateway._fleet.pace import PaceTable
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
    Route,
    ServiceName,
    ServiceShare,
)

_NOTHING_FOUND = HealthAssessment()


class Balancer:
    """Bring together what this process knows of each engine."""

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
        self._loads = loads
        self._health = health
        self._pace = pace
        self._hall = hall
        self._shared = shared

    @property
    def traffic(self) -> Traffic:
        """Tell how long requests run, and how old news of them are."""
        return Traffic(self._pace.run_seconds, self._loads.delay)

    def views(
        self, service: ServiceName, tried: Collection[EngineId] = ()
    ) -> list[EngineView]:
        """Show the engines that take new requests and were not tried."""
        return [
            self.view(one)
            for one in self._engines.ready(service)
            if one.engine not in tried
        ]

    def view(self, engine: Engine) -> EngineView:
        """Show what is known of one engine now."""
        name = engine.engine
        busy_since = self._loads.own_busy_since(name)
        if self._shared is None:
            found = _NOTHING_FOUND
            paused = self._health.paused(name)
        else:
            found = self._shared.assess(engine)
            paused = found.out_of_rotation
        return EngineView(
            engine,
            online=self._loads.online(name) + found.failure_load,
            batch=self._loads.batch(name),
            non_preemptible=self._loads.non_preemptible(name),
            event_gap=self._pace.gap(name),
            slowness=self._pace.slowness(engine),
            stall=self._pace.stall(engine),
            same_hall=engine.hall == self._hall,
            silent=self._health.silent(name, busy_since),
            warming=self._engines.warming(engine),
            paused=paused,
            doubted=found.state is HealthState.DOUBTED,
        )

    def choose(
        self,
        service: ServiceName,
        tried: Collection[EngineId],
        *,
        once: bool = False,
    ) -> Placement | None:
        """Choose an engine for an online request.

        What may be sent once tries no engine that is doubted.
        """
        views = self.views(service, tried)
        if self._shared is not None:
            tried_now = None if once else self._shared.start_trial(views)
            if tried_now is not None:
                return Placement(tried_now, 0)
            views = list(prefer_trusted(views, once=once))
        return choose_engine(views, self.traffic, random.random)

    def take_trial(self, service: ServiceName) -> EngineView | None:
        """Take an engine that an item is to try now, if there is one."""
        if self._shared is None or not self._shared.any_failures:
            return None
        return self._shared.start_trial(self.views(service))

    def wait(self, service: ServiceName) -> float | None:
        """Give the wait (s) of one more online request, if any is taken."""
        # Nobody goes there now, so no trial is taken.
        placed = self.choose(service, (), once=True)
        return placed.wait if placed else None


def pick_service(route: Route) -> ServiceName:
    """Pick a service of a route by weight."""
    shares: Sequence[ServiceShare] = route.shares
    if len(shares) == 1:
        return shares[0].service
    weights = [max(0, one.weight) for one in shares]
    if not any(weights):
        weights = [1 for _share in shares]
    return random.choices(shares, weights)[0].service
