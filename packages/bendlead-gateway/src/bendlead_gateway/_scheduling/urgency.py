"""Which items run first, and which are stopped first.

Load pattern: more items than the places beside square bursts can finish in
time. Whoever counts on a place that the next burst takes back spends it on
items that end just after they are due.
"""

import math
from collections.abc import Iterable
from enum import IntEnum

from msgspec import Struct

#: Weight of the newest item in the smoothed times of whole items.
_NEWEST = 0.1
#: Until items have been timed, one is taken to hold its place this long (s).
_FIRST_GUESS = 4.0
#: Clients read twice a second; a result later than this (s) before it is due
#: is seen too late.
_SEEN_SECONDS = 0.3
#: No item is taken to need longer than this many times the seconds for which
#: it holds places: one that was stopped for long tells little of the next.
_MOST_STRETCH = 3.0
#: Seconds between two looks at the work that is left.
LOOK_SECONDS = 0.25
#: Weight of the newest count of places in the smoothed one, which holds over
#: some 5 s of looks, longer than a burst.
_NEWEST_HELD = 0.05
#: Where the places held lately would take this many times the time in which an
#: item is due to do all work that is left, new items yield. A lower number
#: takes a load for hopeless that only a few items are too many for.
_CROWDED = 2.0


class Prospect(IntEnum):
    """Say whether an item can be whole in time, the best prospect first."""

    LIKELY = 0
    #: Only if nothing stops it.
    UNSTOPPED = 1
    TOO_LATE = 2


class Urgency(Struct, frozen=True, order=True):
    """Order items: those that can still be in time, oldest job first."""

    prospect: Prospect
    accepted_at: float


class ItemPace:
    """Learn how long an item holds places, and how long it takes, stops too."""

    def __init__(self) -> None:
        self._seconds = _FIRST_GUESS
        self._stretch = 1.0
        self._held: float | None = None
        self._clear_seconds = 0.0

    @property
    def seconds(self) -> float:
        """Give the smoothed seconds for which a whole item held places."""
        return self._seconds

    def look(self, spent: Iterable[float], held: int) -> None:
        """Take the seconds spent on each unfinished item, and places held."""
        if self._held is None:
            self._held = held
        self._held += (held - self._held) * _NEWEST_HELD
        work = sum(max(self._seconds - one, 0) for one in spent)
        self._clear_seconds = work / max(1, self._held)

    def observe(self, seconds: float, took: float | None = None) -> None:
        """Take the seconds that a whole item held places, and took in all."""
        self._seconds += (seconds - self._seconds) * _NEWEST
        if took is not None and seconds > 0:
            stretch = min(max(took / seconds, 1), _MOST_STRETCH)
            self._stretch += (stretch - self._stretch) * _NEWEST

    def urgency(
        self,
        accepted_at: float,
        age: float,
        spent: float,
        target: float,
    ) -> Urgency:
        """Rank an item of a job of an age, run for some seconds so far.

        Where there is far more work than places, a new item is taken to be
        stopped as often as the items before it, and yields to those that need
        less luck; one that was begun is not, since what was spent on it would
        be lost. Elsewhere all are taken to run on to their end.
        """
        if not target:
            return Urgency(Prospect.LIKELY, accepted_at)
        left = self.left(spent)
        spare = target - _SEEN_SECONDS - age
        if left > spare:
            prospect = Prospect.TOO_LATE
        elif not spent and left * self._likely_stretch(target) > spare:
            prospect = Prospect.UNSTOPPED
        else:
            prospect = Prospect.LIKELY
        return Urgency(prospect, accepted_at)

    def left(self, spent: float) -> float:
        """Give the seconds for which an item will still hold places."""
        return max(self._seconds - spent, 0)

    def spare(self, age: float, spent: float, target: float) -> float:
        """Give how long (s) before it is due an item would be whole.

        It is below 0 for one that is too late, and endless for one that is
        never due.
        """
        if not target:
            return math.inf
        return target - _SEEN_SECONDS - age - self.left(spent)

    def _likely_stretch(self, target: float) -> float:
        crowded = self._clear_seconds > target * _CROWDED
        return self._stretch if crowded else 1.0
