"""Retry times of requests over their team's limit.

Retries are spread: requests rejected together must not be retried as one burst
of which the limit admits a single request.
"""

from collections.abc import Callable

from msgspec import Struct

from bendlead_gateway._scheduling.view import RandomSource
from bendlead_gateway.types import TeamName

_MIN_SPREAD_SECONDS = 0.2
#: Clients ignore a retry time beyond this part of their remaining timeout.
_MAX_TIMEOUT_SHARE = 1 / 3
#: Limit for clients that state no timeout.
_MAX_RETRY_SECONDS = 1.0
#: Bound of memory, by eviction of the oldest teams.
_MAX_TEAMS = 1000


class OverLimit(Struct, frozen=True):
    """A rejected request.

    ``wait`` is the time until its team is within the limit (s), ``rate`` what
    this entry may admit of the team (1/s), ``timeout`` the client's timeout
    (s).
    """

    team: TeamName
    wait: float
    rate: float
    timeout: float | None = None


class RetryTimes:
    """Assign each rejected request of a team its own retry time."""

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        #: Time of the next free retry, by team.
        self._next_free: dict[TeamName, float] = {}

    def assign(self, request: OverLimit, draw: RandomSource) -> float:
        """Return the seconds after which a request should be retried."""
        now = self._now()
        earliest = max(
            now + request.wait, self._next_free.pop(request.team, 0.0)
        )
        delay = earliest - now
        max_delay = self._max_delay(request)
        if delay < max_delay:
            self._set_next_free(request.team, earliest + 1 / request.rate)
            return delay + draw() * max(request.wait, _MIN_SPREAD_SECONDS)
        # All retry times that the client would accept are taken.
        self._set_next_free(request.team, earliest)
        return request.wait + draw() * max(
            _MIN_SPREAD_SECONDS, max_delay - request.wait
        )

    def _max_delay(self, request: OverLimit) -> float:
        if request.timeout is None:
            return _MAX_RETRY_SECONDS
        return request.timeout * _MAX_TIMEOUT_SHARE

    def _set_next_free(self, team: TeamName, retry_at: float) -> None:
        self._next_free[team] = retry_at
        if len(self._next_free) > _MAX_TEAMS:
            self._next_free.pop(next(iter(self._next_free)))
