"""Which items run first, and which are stopped first."""

from dataclasses import dataclass

#: Weight of the newest item in the smoothed time of a whole item.
_NEWEST = 0.1
#: Until items have been timed, one is taken to hold its place this long (s).
_FIRST_GUESS = 4.0
#: Clients read twice a second; a result later than this (s) before it is due
#: is seen too late.
_SEEN_SECONDS = 0.3


@dataclass(frozen=True, slots=True, order=True)
class Urgency:
    """Order items: those that can still be in time, oldest job first."""

    too_late: bool
    accepted_at: float


class ItemPace:
    """Learn how long an item holds places until it is whole."""

    def __init__(self) -> None:
        self._seconds = _FIRST_GUESS

    @property
    def seconds(self) -> float:
        """Give the smoothed time of a whole item in seconds."""
        return self._seconds

    def observe(self, seconds: float) -> None:
        """Take the time that a whole item held places."""
        self._seconds += (seconds - self._seconds) * _NEWEST

    def urgency(
        self, accepted_at: float, age: float, spent: float, target: float
    ) -> Urgency:
        """Rank an item of a job of an age, run for some seconds so far."""
        left = max(self._seconds - spent, 0)
        too_late = bool(target) and age + left > target - _SEEN_SECONDS
        return Urgency(too_late, accepted_at)
