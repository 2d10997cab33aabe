"""Urgency of batch items, for the order of starts and preemptions.

Under overload, an item that would need an uninterrupted run to meet its target
is likely to be preempted by a burst and to complete too late.
"""

import math
from collections.abc import Iterable
from enum import IntEnum

from msgspec import Struct

#: Smoothing factor of item times.
_SMOOTHING = 0.1
#: Run time assumed until items have completed.
_INITIAL_RUN_SECONDS = 4.0
#: Margin before the target, for clients that poll for results.
_POLL_MARGIN_SECONDS = 0.3
#: Upper bound of the stretch, as a long preemption tells little of later ones.
_MAX_STRETCH = 3.0
#: Interval between updates of the remaining work.
UPDATE_INTERVAL_SECONDS = 0.25
#: Smoothing factor of the slots in use; its window is longer than a burst.
_SLOTS_SMOOTHING = 0.05
#: Overload: the remaining work takes this many times the target of an item. A
#: lower factor would include loads that only a few items are too many for.
_OVERLOAD_FACTOR = 2.0


class Prospect(IntEnum):
    """Chance of an item to meet its target, the best one first."""

    LIKELY = 0
    #: Only if it is not preempted.
    UNINTERRUPTED = 1
    TOO_LATE = 2


class Urgency(Struct, frozen=True, order=True):
    """Sort key of items: prospect first, then the age of the job."""

    prospect: Prospect
    accepted_at: float


class ItemDurations:
    """Moving averages of item run time and of its stretch by preemptions."""

    def __init__(self) -> None:
        self._seconds = _INITIAL_RUN_SECONDS
        self._stretch = 1.0
        self._slots_used: float | None = None
        self._clear_seconds = 0.0

    @property
    def seconds(self) -> float:
        """Return the mean run time of a complete item in seconds."""
        return self._seconds

    def update_work(
        self, run_seconds: Iterable[float], slots_used: int
    ) -> None:
        """Update the remaining work and the slots in use.

        ``run_seconds`` are the run times so far of all incomplete items.
        """
        if self._slots_used is None:
            self._slots_used = slots_used
        self._slots_used += (slots_used - self._slots_used) * _SLOTS_SMOOTHING
        work = sum(max(self._seconds - seconds, 0) for seconds in run_seconds)
        self._clear_seconds = work / max(1, self._slots_used)

    def observe(self, seconds: float, elapsed: float | None = None) -> None:
        """Add a complete item's run time and total time, in seconds."""
        self._seconds += (seconds - self._seconds) * _SMOOTHING
        if elapsed is not None and seconds > 0:
            stretch = min(max(elapsed / seconds, 1), _MAX_STRETCH)
            self._stretch += (stretch - self._stretch) * _SMOOTHING

    def urgency(
        self,
        accepted_at: float,
        age: float,
        run_seconds: float,
        target: float,
    ) -> Urgency:
        """Return the urgency of an item; ``age`` and ``target`` are in seconds.

        Under overload, a new item is expected to be preempted as often as
        previous ones. An item that has started is not, since its progress
        would be lost.
        """
        if not target:
            return Urgency(Prospect.LIKELY, accepted_at)
        left = self.remaining_seconds(run_seconds)
        spare = target - _POLL_MARGIN_SECONDS - age
        if left > spare:
            prospect = Prospect.TOO_LATE
        elif not run_seconds and left * self._expected_stretch(target) > spare:
            prospect = Prospect.UNINTERRUPTED
        else:
            prospect = Prospect.LIKELY
        return Urgency(prospect, accepted_at)

    def remaining_seconds(self, run_seconds: float) -> float:
        """Return the remaining run time of an item in seconds."""
        return max(self._seconds - run_seconds, 0)

    def spare(self, age: float, run_seconds: float, target: float) -> float:
        """Return the seconds between completion and target of an item.

        Negative if it will be late, infinite without a target.
        """
        if not target:
            return math.inf
        return (
            target
            - _POLL_MARGIN_SECONDS
            - age
            - self.remaining_seconds(run_seconds)
        )

    def _expected_stretch(self, target: float) -> float:
        overloaded = self._clear_seconds > target * _OVERLOAD_FACTOR
        return self._stretch if overloaded else 1.0
