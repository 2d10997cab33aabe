"""Limits of teams that all entries count together, told by heartbeats."""

from dataclasses import dataclass

from bendlead_gateway.teams import (
    LimitWindow,
    NodeName,
    TeamCounts,
    TeamLimits,
    TeamName,
)
from bendlead_gateway.teams import Team as LimitedTeam
from bendlead_schema.messages import EntryHeartbeat
from bendlead_schema.objects import Team
from bendlead_store import clock

from bendlead_node._common.config import ConfigTable
from bendlead_node._entry.members import Members

#: A team may send as many requests at once as its rate brings in this time (s).
_BURST_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class LimitNews:
    """Hold what a heartbeat tells of teams."""

    life: int
    beat: int
    teams: dict[str, int]
    levels: dict[str, float]


class SharedLimits:
    """Count the requests of teams here and at the entries that are heard."""

    def __init__(
        self, node: str, config: ConfigTable, members: Members
    ) -> None:
        self._node = node
        self._config = config
        self._beats = 0
        self._limits = TeamLimits(
            LimitWindow(), members.group, self._limit_named
        )

    def take(self, team: Team) -> float:
        """Let a request through, or give the seconds until one fits."""
        return self._limits.take(_limit_of(team))

    def news(self) -> LimitNews:
        """Tell other entries what was let through here."""
        self._beats += 1
        counts = self._limits.counts
        return LimitNews(
            counts.life,
            self._beats,
            dict(counts.counts),
            dict(self._limits.levels()),
        )

    def hear(self, heartbeat: EntryHeartbeat) -> None:
        """Count what another entry let through."""
        if heartbeat.node == self._node:
            return
        teams = {
            TeamName(name): count for name, count in heartbeat.teams.items()
        }
        self._limits.adopt(heartbeat.levels)
        self._limits.hear(
            NodeName(heartbeat.node),
            TeamCounts(heartbeat.life, teams),
            heartbeat.beat,
            clock.uptime(),
        )

    def _limit_named(self, name: TeamName) -> LimitedTeam | None:
        found = self._config.teams().get(name)
        return _limit_of(found) if found else None


def _limit_of(team: Team) -> LimitedTeam:
    rate = team.requests_per_second
    burst = max(1, rate * _BURST_SECONDS)
    return LimitedTeam(TeamName(team.name), rate=rate, burst=burst)
