"""Engine slots that batch items may use, and which online requests need."""

from collections.abc import Container, Sequence

from msgspec import Struct

from bendlead_gateway._fleet.balancer import Balancer
from bendlead_gateway._scheduling.deferral import (
    may_lack_slots,
    refused_recently,
    slots_for_urgent_items,
)
from bendlead_gateway._scheduling.item_slots import (
    ItemSlots,
    reserved_slots,
    runs_to_preempt,
)
from bendlead_gateway._scheduling.precedence import Precedence
from bendlead_gateway._scheduling.view import EngineView
from bendlead_gateway.types import Engine, EngineId, ServiceName


class HoldBackState(Struct):
    """Whether batch items of a service are held back."""

    #: Set while online requests are refused for lack of slots.
    held_back: bool = False
    #: Number of items that may run meanwhile, since they can wait no longer.
    urgent_slots: int = 0


class HoldBackStates:
    """Hold-back state of each service, kept across scheduling rounds."""

    def __init__(self) -> None:
        self.services: dict[ServiceName, HoldBackState] = {}

    def of(self, service: ServiceName) -> HoldBackState:
        """Return the state of a service, created on first use."""
        return self.services.setdefault(service, HoldBackState())

    def summary(self) -> dict[str, object]:
        """Return the state of each service for the state dump."""
        return {
            name: {'held_back': service.held_back}
            for name, service in self.services.items()
        }


class BatchCapacity:
    """Compute which slots items may use and which they must release.

    Make one per scheduling round: the engines of a service are read once.
    """

    def __init__(
        self,
        balancer: Balancer,
        precedence: Precedence,
    ) -> None:
        self._balancer = balancer
        self._precedence = precedence
        self._views: dict[ServiceName, _ServiceView] = {}

    def excess_runs(self, engine: Engine, runs: int) -> int:
        """Count the runs on an engine that must be preempted."""
        before = self._precedence.items_before(engine.engine)
        headroom = self._view(engine.service).headroom
        # The service's view leaves out engines that take no new requests.
        return runs_to_preempt(
            self._balancer.view(engine), runs, headroom, before
        )

    def free_slots(self, service: ServiceName) -> ItemSlots:
        """Return the slots of a service that items may use."""
        view = self._view(service)
        first_on = {
            engine.name
            for engine in view.engines
            if self._precedence.comes_first(engine.name)
        }
        return ItemSlots(view.engines, view.headroom, first_on)

    def lacks_online_slots(
        self, service: ServiceName, seconds_since_refusal: float
    ) -> bool:
        """Return whether online requests were refused for lack of slots.

        Engines that take no new requests do not count.
        """
        if not refused_recently(seconds_since_refusal):
            return False
        engines = self._view(service).engines
        online = sum(engine.online for engine in engines)
        return may_lack_slots(online, _count_slots(engines))

    def spare_slots(
        self, service: ServiceName, excluded: Container[EngineId]
    ) -> int:
        """Count the free slots beyond headroom, without the excluded engines.

        Engines that are out of rotation do not count.
        """
        view = self._view(service)
        return sum(
            max(0, engine.free - view.headroom)
            for engine in view.engines
            if not engine.paused and engine.name not in excluded
        )

    def urgent_slots(self, service: ServiceName) -> int:
        """Count the slots for urgent items while online requests lack slots."""
        slots = _count_slots(self._view(service).engines)
        return slots_for_urgent_items(slots, self._precedence.owners)

    def _view(self, service: ServiceName) -> '_ServiceView':
        view = self._views.get(service)
        if view is None:
            engines = self._balancer.views(service)
            headroom = reserved_slots(engines, self._balancer.traffic)
            view = _ServiceView(engines, headroom)
            self._views[service] = view
        return view


class _ServiceView(Struct, frozen=True):
    engines: Sequence[EngineView]
    headroom: int


def _count_slots(engines: Sequence[EngineView]) -> int:
    return sum(engine.slots for engine in engines)
