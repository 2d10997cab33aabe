"""Which places items of batch jobs take, and when they step aside.

Load pattern: square bursts that double online load within 0.2 s, and gaps of
some seconds between them that are shorter than an item's run.
"""

from collections.abc import Container, Sequence

from msgspec.structs import replace

from bendlead_gateway._scheduling.placement import Traffic
from bendlead_gateway._scheduling.view import EngineView
from bendlead_gateway.types import EngineId

#: Places left to online requests, by how much of a job's time has passed.
#: A burst doubles online load within 0.2 s, and a report of it takes up to
#: 0.1 s; what is due soon takes the risk that it has to step aside. More room
#: protects no further request and makes items late.
_HEADROOM = ((0.2, 1),)
_LEAST_HEADROOM = 0
#: A place is left for unseen requests where an engine gets this many of them
#: on average, since one that finds no place waits until an item has gone.
_LEAST_UNSEEN = 0.3
#: Left more where the items of another owner go first: both may find the same
#: place within the 0.05 s that news take, and the latter's run is stopped.
LEFT_TO_FIRST = 1


def places_kept(views: Sequence[EngineView], traffic: Traffic) -> int:
    """Count the places to leave at each engine for requests not known yet."""
    if not views:
        return 0
    unseen = traffic.unseen(sum(one.online for one in views)) / len(views)
    return int(unseen + 1 - _LEAST_UNSEEN)


class ItemPlaces:
    """Give out the places that are idle at one moment."""

    def __init__(
        self,
        views: Sequence[EngineView],
        kept: int = 0,
        led: Container[EngineId] | None = None,
    ) -> None:
        self._kept = kept
        self._led = led
        # All of them failing says more about us than about them.
        able = [one for one in views if not one.paused] or views
        self._views: dict[EngineId, EngineView] = {
            one.name: one for one in able
        }

    def take(self, age: float) -> EngineView | None:
        """Take the place for an item of a job, of whose time a share is over.

        The engine with most idle places gets it.
        """
        found = max(self._views.values(), key=self._room, default=None)
        if found is None or self._room(found) <= headroom(age):
            return None
        taken = replace(found, batch=found.batch + 1)
        self._views[found.name] = taken
        return taken

    def _room(self, view: EngineView) -> int:
        """Count the places there that an item of no age could take."""
        room = view.free - self._kept
        if self._led is None or view.name in self._led:
            return room
        return room - LEFT_TO_FIRST


def surplus(
    view: EngineView, runs: int, kept: int = 0, items_before: int = 0
) -> int:
    """Count those of this process's runs that must step aside.

    They do so for requests and for the items of owners that go first.
    """
    over = view.online + kept + items_before + runs - view.slots
    return min(max(0, over), runs)


def headroom(age: float) -> int:
    """Count the places left to bursts by an item of a job of an age."""
    for below, places in _HEADROOM:
        if age < below:
            return places
    return _LEAST_HEADROOM
