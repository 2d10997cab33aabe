"""The places of engines, as one round of an owner sees them."""

from collections.abc import Sequence

from msgspec import Struct

from bendlead_gateway._fleet.balancer import Balancer
from bendlead_gateway._scheduling.places import (
    ItemPlaces,
    places_kept,
    surplus,
)
from bendlead_gateway._scheduling.precedence import Precedence
from bendlead_gateway._scheduling.view import EngineView
from bendlead_gateway.types import Engine, ServiceName


class Room:
    """Tell which places items may take, and which they have to leave.

    Engines are looked at once a round.
    """

    def __init__(self, balancer: Balancer, precedence: Precedence) -> None:
        self._balancer = balancer
        self._precedence = precedence
        self._looked: dict[ServiceName, _ServiceView] = {}

    def surplus(self, engine: Engine, runs: int) -> int:
        """Count those of the runs on an engine that must step aside."""
        before = self._precedence.items_before(engine.engine)
        kept = self._look(engine.service).kept
        # An engine that takes nothing new is none of those looked at.
        return surplus(self._balancer.view(engine), runs, kept, before)

    def idle_places(self, service: ServiceName) -> ItemPlaces:
        """Give the places that items may take."""
        found = self._look(service)
        led = {
            one.name
            for one in found.engines
            if self._precedence.leads(one.name)
        }
        return ItemPlaces(found.engines, found.kept, led)

    def _look(self, service: ServiceName) -> '_ServiceView':
        found = self._looked.get(service)
        if found is None:
            engines = self._balancer.views(service)
            kept = places_kept(engines, self._balancer.traffic)
            found = _ServiceView(engines, kept)
            self._looked[service] = found
        return found


class _ServiceView(Struct, frozen=True):
    engines: Sequence[EngineView]
    kept: int
