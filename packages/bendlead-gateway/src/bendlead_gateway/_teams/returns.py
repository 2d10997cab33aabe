"""When callers over the limit of their team come back.

Load pattern: a team sends many times its limit for some seconds. All that are
refused in one moment would be told the same wait, and come back as one burst of
which the limit lets one through.
"""

from collections.abc import Callable

from msgspec import Struct

from bendlead_gateway._scheduling.view import RandomSource
from bendlead_gateway.types import TeamName

#: Callers come back within at least this (s) of one another.
_LEAST_SPREAD = 0.2
#: A client ignores a time to come back beyond this part of what it has left.
#: One that does not say is told a time up to the longest (s).
_LONGEST_PART = 1 / 3
_LONGEST = 1.0
#: Times are dealt to this many teams; past that the oldest are forgotten.
_MOST_TEAMS = 1000


class Over(Struct, frozen=True):
    """Say of a caller whose team has no room when it has some (s).

    ``rate`` is the requests a second of the team for which there is room here.
    """

    team: TeamName
    wait: float
    rate: float
    patience: float | None = None


class ReturnTimes:
    """Deal each caller of a team a time of its own."""

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._dealt: dict[TeamName, float] = {}

    def deal(self, over: Over, chance: RandomSource) -> float:
        """Give the seconds until a caller should come back."""
        now = self._now()
        first = max(now + over.wait, self._dealt.pop(over.team, 0.0))
        later = first - now
        longest = self._longest(over)
        if later < longest:
            self._remember(over.team, first + 1 / over.rate)
            return later + chance() * max(over.wait, _LEAST_SPREAD)
        # All times are dealt that it would heed.
        self._remember(over.team, first)
        return over.wait + chance() * max(_LEAST_SPREAD, longest - over.wait)

    def _longest(self, over: Over) -> float:
        if over.patience is None:
            return _LONGEST
        return over.patience * _LONGEST_PART

    def _remember(self, team: TeamName, dealt: float) -> None:
        self._dealt[team] = dealt
        if len(self._dealt) > _MOST_TEAMS:
            self._dealt.pop(next(iter(self._dealt)))
