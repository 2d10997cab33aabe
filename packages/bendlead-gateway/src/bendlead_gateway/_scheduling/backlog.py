"""Retry times for teams whose batch backlog is full.

A fixed time would make all callers of a team retry together, most of them
before there is room.
"""

import math

from bendlead_gateway._scheduling.decayed_tokens import (
    HALF_LIFE_SECONDS,
    DecayedTokens,
)
from bendlead_gateway._scheduling.view import RandomSource
from bendlead_gateway.types import TeamName

#: Retry time while the completion rate of a team is unknown.
_DEFAULT_SECONDS = 1.0
#: Bounds of the retry time.
_MIN_SECONDS = 0.3
_MAX_SECONDS = 10.0
#: Random part added to the retry time, as a share of it.
_JITTER_SHARE = 0.25


class BacklogRates:
    """Rates at which the queued tokens of each team complete."""

    def __init__(self) -> None:
        self._finished = DecayedTokens[tuple[str, TeamName]]({})

    def record_finished(
        self, host: str, team: TeamName, tokens: int, now: float
    ) -> None:
        """Record the tokens of an item that left the backlog."""
        self._finished.add((host, team), tokens, now)

    def estimate_seconds(
        self,
        host: str,
        team: TeamName,
        excess: int,
        now: float,
        draw: RandomSource,
    ) -> float:
        """Estimate the seconds until ``excess`` tokens of the backlog are done.

        The estimate is bounded and has a random part added.
        """
        recent = self._finished.current(now).get((host, team), 0)
        if not recent:
            return _DEFAULT_SECONDS
        rate = recent * math.log(2) / HALF_LIFE_SECONDS
        expected = min(max(excess / rate, _MIN_SECONDS), _MAX_SECONDS)
        return expected * (1 + draw() * _JITTER_SHARE)
