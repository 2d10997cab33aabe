"""Limits of teams that all entries count together, told by heartbeats.

Requests under way that began since the last heartbeats are not known yet: what
all entries let through at one moment may be beyond the limit until then.
"""

from collections import Counter
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
    running: dict[str, int]


class SharedLimits:
    """Count the requests of teams here and at the entries that are heard."""

    def __init__(
        self, node: str, config: ConfigTable, members: Members
    ) -> None:
        self._node = node
        self._config = config
        self._members = members
        self._running: Counter[str] = Counter()
        self._beats = 0
        self._limits = TeamLimits(
            LimitWindow(), members.group, self._limit_named
        )

    def take(self, team: Team) -> float:
        """Let a request through, or give the seconds until one fits."""
        return self._limits.take(_limit_of(team))

    def has_place(self, team: Team) -> bool:
        """Tell whether one more request of a team may be under way.

        Who hears too few others uses its part, so that groups that do not hear
        one another stay within the limit together.
        """
        group = self._members.group()
        if not group.majority:
            part = max(1, int(team.concurrency * group.share))
            return self._running[team.name] < part
        elsewhere = sum(
            one.running.get(team.name, 0) for one in self._members.entries()
        )
        return self._running[team.name] + elsewhere < team.concurrency

    def begin(self, team: Team) -> None:
        """Count a request that is under way from now on."""
        self._running[team.name] += 1

    def end(self, team: Team) -> None:
        """Count a request that has ended."""
        self._running[team.name] -= 1

    def news(self) -> LimitNews:
        """Tell other entries what was let through here."""
        self._beats += 1
        counts = self._limits.counts
        return LimitNews(
            counts.life,
            self._beats,
            dict(counts.counts),
            dict(self._limits.levels()),
            {name: count for name, count in self._running.items() if count},
        )

    def hear(self, heartbeat: EntryHeartbeat) -> None:
        """Count what another entry let through."""
        if heartbeat.node == self._node:
            return
        teams = {
            TeamName(name): count for name, count in heartbeat.teams.items()
        }
        self._limits.adopt_levels(heartbeat.levels)
        self._limits.receive(
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
