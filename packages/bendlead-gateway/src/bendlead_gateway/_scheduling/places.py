"""Which places items of batch jobs take, and when they step aside.

Load pattern: square bursts that double online load within 0.2 s, and gaps of
some seconds between them that are shorter than an item's run.
"""

from collections.abc import Iterable
from dataclasses import replace

from bendlead_gateway._scheduling.view import EngineView
from bendlead_gateway.types import EngineId

#: Places left to online requests, by how much of a job's time has passed.
#: A burst doubles online load within 0.2 s, and a report of it takes up to
#: 0.1 s; what is due soon takes the risk that it has to step aside.
_HEADROOM = ((0.2, 2), (0.4, 1))
_LEAST_HEADROOM = 0


class ItemPlaces:
    """Give out the places that are idle at one moment."""

    def __init__(self, views: Iterable[EngineView]) -> None:
        self._views: dict[EngineId, EngineView] = {
            one.name: one for one in views if not one.paused
        }

    def take(self, age: float) -> EngineView | None:
        """Take the place for an item of a job, of whose time a share is over.

        The engine with most idle places gets it.
        """
        found = max(self._views.values(), key=_free, default=None)
        if found is None or found.free <= _headroom(age):
            return None
        taken = replace(found, batch=found.batch + 1)
        self._views[found.name] = taken
        return taken


def surplus(view: EngineView, runs: int) -> int:
    """Count those of this process's runs that must step aside."""
    return max(0, view.online + runs - view.slots)


def _free(view: EngineView) -> int:
    return view.free


def _headroom(age: float) -> int:
    for below, places in _HEADROOM:
        if age < below:
            return places
    return _LEAST_HEADROOM
