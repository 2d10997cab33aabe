"""Requests of teams that this process admitted, as reported to peers."""

from msgspec import Struct, field

from bendlead_gateway._teams.shares import TeamShares
from bendlead_gateway.types import TeamName

#: Time after its last change for which a count is reported: peers that got no
#: report for longer count this process as unreachable.
_REPORTED_SECONDS = 1.5


class _OwnCount(Struct):
    """The requests of one team since the start."""

    count: int = 0
    changed_at: float = 0


class OwnCounts(Struct):
    """Count admitted requests by team, also for the fair shares.

    Counts are not reset when a team gets or loses its limit: peers interpret
    a decrease as requests that did not run.
    """

    shares: TeamShares | None = None
    _counts: dict[TeamName, _OwnCount] = field(default_factory=dict)

    def add(self, team: TeamName, requests: int, now: float) -> None:
        """Add requests; a negative number for those that did not run."""
        own = self._counts.setdefault(team, _OwnCount())
        own.count += requests
        own.changed_at = now
        if self.shares:
            self.shares.add(team, requests)

    def count(self, team: TeamName) -> int:
        """Return the requests of a team since the start."""
        own = self._counts.get(team)
        return own.count if own else 0

    def recent(self, now: float) -> dict[TeamName, int]:
        """Return the counts that changed recently."""
        oldest = now - _REPORTED_SECONDS
        return {
            name: own.count
            for name, own in self._counts.items()
            if own.changed_at > oldest
        }
