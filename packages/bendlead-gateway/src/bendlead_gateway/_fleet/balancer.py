"""Choose the engine that gets the next request."""

import random
from collections.abc import Collection, Sequence

from bendlead_gateway._fleet.catalog import EngineList
from bendlead_gateway._fleet.health import EngineHealth
from bendlead_gateway._fleet.loads import LoadTable
from bendlead_gateway.types import (
    DataHall,
    Engine,
    EngineId,
    Route,
    ServiceName,
    ServiceShare,
)

#: Where no place is free an item has to step aside first, which costs this
#: much, and less on an engine with few online requests.
_STEP_ASIDE_COST = 1.0
_ONLINE_SHARE = 0.1
#: A request that finds all places with online requests waits for one; each
#: that waits before it costs this much, in requests.
_WAITING_COST = 3.0
#: What being in another data hall costs, in requests. Entries of one hall
#: share its engines and know their load at once or nearly; if all entries
#: took the least loaded engine of the fleet by reports of 0.1 s ago, they
#: would all take the same one.
_FAR_COST = 1.5
#: Random parts of the cost, in requests, that keep entries from choosing the
#: same engine by the same old reports.
_FAR_SPREAD = 1.5
_NEAR_SPREAD = 0.3
#: An engine that is warming up counts as this much slower.
_WARMING_FACTOR = 2.0
#: An engine that has fallen silent is asked only where all others are full.
_SILENT_COST = 16.0
#: How much slower than the median an engine must be to be told apart.
_SLOW_FACTOR = 1.3


class Balancer:
    """Choose by load known here and at the peers, pace, and data hall."""

    def __init__(
        self,
        engines: EngineList,
        loads: LoadTable,
        health: EngineHealth,
        hall: DataHall,
    ) -> None:
        self._engines = engines
        self._loads = loads
        self._health = health
        self._hall = hall

    def choose(
        self, service: ServiceName, tried: Collection[EngineId]
    ) -> Engine | None:
        """Choose an engine for an online request."""
        able = self._able(service, tried)
        if not able:
            return None
        usual = self._usual_pace(able)
        return min(able, key=lambda one: self._cost(one, usual))

    def expected_wait(self, engine: Engine) -> float:
        """Estimate the seconds until a request would get a place."""
        online = self._loads.online(engine.engine)
        stuck = self._loads.unstoppable(engine.engine)
        waiting = max(0, online + stuck + 1 - engine.slots)
        places = max(1, engine.slots - stuck)
        return waiting * self._health.run_seconds / places

    def _able(
        self, service: ServiceName, tried: Collection[EngineId]
    ) -> Sequence[Engine]:
        untried = [
            one
            for one in self._engines.ready(service)
            if one.engine not in tried
        ]
        sound = [one for one in untried if not self._health.paused(one.engine)]
        # All of them failing says more about us than about them.
        return sound or untried

    def _usual_pace(self, able: Sequence[Engine]) -> float:
        paces = sorted(self._health.pace(one.engine) for one in able)
        return paces[len(paces) // 2]

    def _cost(self, engine: Engine, usual: float) -> float:
        online = self._loads.online(engine.engine)
        batch = self._loads.batch(engine.engine)
        stuck = self._loads.unstoppable(engine.engine)
        load = _places_cost(online + stuck, batch - stuck, engine.slots)
        busy_since = self._loads.own_busy_since(engine.engine)
        if self._health.silent(engine.engine, busy_since):
            load += _SILENT_COST
        spread = _NEAR_SPREAD
        if engine.hall != self._hall:
            load += _FAR_COST
            spread = _FAR_SPREAD
        load = (load + random.random() * spread) / engine.slots
        pace = self._health.pace(engine.engine)
        if usual and pace > usual * _SLOW_FACTOR:
            load *= pace / usual
        if self._engines.warming(engine):
            load *= _WARMING_FACTOR
        return load


def _places_cost(online: int, batch: int, slots: int) -> float:
    """Cost a request at an engine, in requests, by the places taken there."""
    taken = online + batch
    if taken < slots:
        return taken + 1
    waiting = max(0, online + 1 - slots)
    cost = slots + _STEP_ASIDE_COST + online * _ONLINE_SHARE
    return cost + waiting * _WAITING_COST


def pick_service(route: Route) -> ServiceName:
    """Pick a service of a route by weight."""
    shares: Sequence[ServiceShare] = route.shares
    if len(shares) == 1:
        return shares[0].service
    weights = [max(0, one.weight) for one in shares]
    if not any(weights):
        weights = [1 for _share in shares]
    return random.choices(shares, weights)[0].service
