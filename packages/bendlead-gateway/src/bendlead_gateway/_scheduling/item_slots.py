"""Slots for batch items, and preemption of items in favour of others.

Online load may double faster than reports reach the owners of items, and the
gaps between bursts are shorter than an item run.
"""

from collections.abc import Container, Sequence

from msgspec.structs import replace

from bendlead_gateway._scheduling.placement import Traffic
from bendlead_gateway._scheduling.view import EngineView
from bendlead_gateway.types import EngineId, EngineVersion

#: Slots left free by job age, a share of the job's time: up to which age, and
#: how many. Items of older jobs risk preemption to meet their target.
_HEADROOM = ((0.2, 1),)
_MIN_HEADROOM = 0
#: Mean number of unseen requests per engine from which a slot is kept for them.
_MIN_UNSEEN = 0.3
#: Further slots left where another owner has precedence: both may take the same
#: slot before their reports arrive, and this owner's run would be preempted.
PRECEDENCE_HEADROOM = 1


def reserved_slots(views: Sequence[EngineView], traffic: Traffic) -> int:
    """Return the slots to keep on each engine for unseen requests."""
    if not views:
        return 0
    unseen = traffic.unseen(sum(view.online for view in views)) / len(views)
    return int(unseen + 1 - _MIN_UNSEEN)


class ItemSlots:
    """Allocator of the idle slots at one moment.

    ``first_on`` are the engines on which this owner comes first, ``None`` if on
    all.
    """

    def __init__(
        self,
        views: Sequence[EngineView],
        reserved: int = 0,
        first_on: Container[EngineId] | None = None,
    ) -> None:
        self._reserved = reserved
        self._first_on = first_on
        # If all engines are paused, the fault is more likely on this side.
        usable = [view for view in views if not view.paused] or views
        self._views: dict[EngineId, EngineView] = {
            view.name: view for view in usable
        }

    @property
    def is_empty(self) -> bool:
        """Return whether there is no engine at all."""
        return not self._views

    def any_idle(
        self, age: float, version: EngineVersion | None = None
    ) -> bool:
        """Return whether any engine, of a version if given, has a slot."""
        return any(
            self._idle(view) > headroom(age)
            for view in self._views.values()
            if version is None or view.engine.version == version
        )

    def has_version(self, version: EngineVersion) -> bool:
        """Return whether there are engines of a version, if it is known."""
        return bool(version) and any(
            view.engine.version == version for view in self._views.values()
        )

    def take(
        self,
        age: float,
        version: EngineVersion | None = None,
        avoided: Container[EngineId] = (),
    ) -> EngineView | None:
        """Take a slot on the engine with most idle ones, if there is one.

        ``age`` is the elapsed share of the job's time. With a version, only
        its engines are used; avoided ones only if there are no others.
        """
        views = [
            view
            for view in self._views.values()
            if version is None or view.engine.version == version
        ]
        others = [view for view in views if view.name not in avoided]
        best = max(others or views, key=self._idle, default=None)
        if best is None or self._idle(best) <= headroom(age):
            return None
        updated = replace(best, batch=best.batch + 1)
        self._views[best.name] = updated
        return updated

    def _idle(self, view: EngineView) -> int:
        """Count the idle slots of an engine, before headroom by age."""
        idle = view.free - self._reserved
        if self._first_on is None or view.name in self._first_on:
            return idle
        return idle - PRECEDENCE_HEADROOM


def runs_to_preempt(
    view: EngineView, runs: int, reserved: int = 0, items_before: int = 0
) -> int:
    """Return how many of this process's runs to preempt on an engine.

    They make room for online requests, for the reserved slots and for items of
    owners that have precedence.
    """
    excess = view.online + reserved + items_before + runs - view.slots
    return min(max(0, excess), runs)


def headroom(age: float) -> int:
    """Return the slots that an item leaves free, by the age of its job."""
    for max_age, slots in _HEADROOM:
        if age < max_age:
            return slots
    return _MIN_HEADROOM
