"""Items that would find no slot, as one of their route has found none."""

from collections.abc import Sequence

from bendlead_gateway._jobs.candidates import Candidate
from bendlead_gateway._jobs.item_states import ItemReason
from bendlead_gateway._scheduling.item_slots import headroom
from bendlead_gateway.types import PromptPart

#: Reasons for which no item of the route finds a slot.
_FULL_FOR_ALL = frozenset((ItemReason.NO_SLOT, ItemReason.NO_ENGINE))


class FullRoutes:
    """Routes without a slot for all or some of their items, in one round.

    Thousands of items may wait, so each round asks once for all alike.
    """

    def __init__(self) -> None:
        #: Slots that items have to leave free to find none, 0 for all items.
        self._headroom: dict[str, int] = {}
        self._parts: set[tuple[str, Sequence[PromptPart]]] = set()

    @property
    def any_by_parts(self) -> bool:
        """Return whether some items find no slot because of their parts."""
        return bool(self._parts)

    def add(
        self,
        candidate: Candidate,
        reason: ItemReason,
        parts: Sequence[PromptPart],
    ) -> None:
        """Hold up the items that are like one that found no slot."""
        route = candidate.route.name
        if reason in _FULL_FOR_ALL:
            self._headroom[route] = 0
        elif reason is ItemReason.HEADROOM:
            self._headroom[route] = headroom(candidate.elapsed_share)
        elif reason is ItemReason.AVOIDED_ENGINES:
            self._parts.add((route, tuple(parts)))

    def holds_up(self, candidate: Candidate) -> bool:
        """Return whether no item of this age finds a slot on its route."""
        least = self._headroom.get(candidate.route.name)
        if least is None:
            return False
        return not least or headroom(candidate.elapsed_share) >= least

    def holds_up_parts(
        self, candidate: Candidate, parts: Sequence[PromptPart]
    ) -> bool:
        """Return whether no item with these parts finds a slot there."""
        return (candidate.route.name, tuple(parts)) in self._parts
