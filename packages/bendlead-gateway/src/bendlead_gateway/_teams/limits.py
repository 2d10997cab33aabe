"""Rate limits of teams, shared by all entries."""

import math
import time
from collections.abc import Callable, Mapping

from bendlead_store import clock
from msgspec import Struct

from bendlead_gateway._teams.own_counts import OwnCounts
from bendlead_gateway._teams.quota import (
    Allowance,
    Bucket,
    EntryGroup,
    allowance,
    max_burst,
)
from bendlead_gateway._teams.reported_counts import EntryCounts, TeamCounts
from bendlead_gateway._teams.shares import TeamShares
from bendlead_gateway.types import LimitWindow, NodeName, Team, TeamName

_MS_PER_SECOND = 1000
#: Time after the start in which peers are asked for their levels; each linked
#: peer has reported by then.
_STARTUP_SECONDS = 1.5
#: Interval between two reports of an entry from which on part of the requests
#: has drained from the bucket already.
_OVERDUE_SECONDS = 1.5
#: Interval of updates of the group of reachable entries.
_GROUP_UPDATE_SECONDS = 0.05


class _Usage(Struct):
    """A team's limit and the buckets that enforce it."""

    bucket: Bucket
    #: Applies while this entry reaches no majority of the entries. It admits
    #: one request at first, so that all entries may start at the same time.
    minority_bucket: Bucket
    limit: Team


class TeamLimits:
    """Enforce the limits of teams over this entry and the reachable ones.

    An entry that starts doesn't know earlier requests. It assumes that bursts
    are used up, and asks its peers for their levels.
    """

    def __init__(
        self,
        window: LimitWindow,
        group: Callable[[], EntryGroup],
        team_named: Callable[[TeamName], Team | None],
        now: Callable[[], float] = clock.uptime,
        incarnation: int = 0,
        shares: TeamShares | None = None,
    ) -> None:
        """Start with full buckets.

        ``incarnation`` identifies this start of the process; the default is
        the time of the start (Unix ms). ``shares`` receives the requests of
        all teams, also of those without a limit.
        """
        self._window = window
        self._find_group = group
        self._team_named = team_named
        self._now = now
        self._started = now()
        self._incarnation = incarnation or round(time.time() * _MS_PER_SECOND)
        self._usage: dict[TeamName, _Usage] = {}
        self._own = OwnCounts(shares)
        self._reported: dict[NodeName, EntryCounts] = {}
        self._group = EntryGroup(1, 1)
        self._next_group_update = 0.0

    @property
    def group(self) -> EntryGroup:
        """The reachable entries as of the last update."""
        return self._group

    @property
    def needs_levels(self) -> bool:
        """Whether peers are asked for their levels."""
        return self._now() - self._started < _STARTUP_SECONDS

    @property
    def counts(self) -> TeamCounts:
        """The requests admitted here, of teams with recent requests."""
        return TeamCounts(self._incarnation, self._own.recent(self._now()))

    def levels(self) -> dict[TeamName, float]:
        """Return the bucket level of each team with requests in its bucket."""
        levels: dict[TeamName, float] = {}
        for name, usage in self._usage.items():
            self._drain(usage)
            if usage.bucket.level > 0:
                levels[name] = round(usage.bucket.level, 1)
        return levels

    def usage(self) -> dict[TeamName, dict[str, float]]:
        """Return the limit and use of each team, for the state dump."""
        levels = self.levels()
        return {
            name: {
                'rate': usage.limit.rate,
                'burst': usage.limit.burst,
                'level': levels.get(name, 0),
                'passed_here': self._own.count(name),
            }
            for name, usage in self._usage.items()
        }

    def take(self, team: Team) -> float:
        """Count a request and return 0, or the seconds until one fits."""
        if not team.limited:
            if self._own.shares:
                self._own.add(team.name, 1, self._now())
            return 0
        usage = self._usage_of(team)
        allowed = self._drain(usage)
        bucket = usage.bucket if self._group.majority else usage.minority_bucket
        unreported = self._estimate_unreported(team.name, self._now())
        wait = bucket.wait(unreported, allowed)
        if wait <= 0:
            self._add(usage, 1)
        return wait

    def refund(self, team: Team) -> None:
        """Uncount a request that did not run."""
        if not team.limited and self._own.shares:
            self._own.add(team.name, -1, self._now())
            return
        usage = self._usage.get(team.name)
        if usage is not None:
            self._add(usage, -1)

    def receive(
        self,
        node: NodeName,
        counts: TeamCounts,
        version: int,
        reported_at: float,
    ) -> None:
        """Add the requests that another entry has admitted.

        ``version`` is the entry's rising number of these counts,
        ``reported_at`` their time on the steady clock (s).
        """
        known = self._reported.setdefault(node, EntryCounts())
        interval = reported_at - known.reported_at
        overdue = interval > _OVERDUE_SECONDS
        admitted = known.update(
            counts, version, reported_at, new=not self.needs_levels
        )
        if self._own.shares:
            self._own.shares.receive(admitted, interval)
        for name, added in admitted.items():
            usage = self._usage_named(name)
            if usage is not None and added:
                self._add_reported(usage, added, overdue=overdue)

    def adopt_levels(self, levels: Mapping[str, float]) -> None:
        """Raise levels to those of a peer, only shortly after the start."""
        if not self.needs_levels:
            return
        for name, level in levels.items():
            usage = self._usage_named(TeamName(name))
            if usage is not None:
                usage.bucket.level = max(usage.bucket.level, level)

    def _estimate_unreported(self, team: TeamName, now: float) -> float:
        return sum(
            entry.estimate_unreported(team, now)
            for entry in self._reported.values()
        )

    def _add_reported(
        self, usage: _Usage, added: int, *, overdue: bool
    ) -> None:
        """Add requests that another entry admitted.

        Part of what an overdue report adds has drained already, so it fills
        the bucket up to its capacity only.
        """
        allowed = self._drain(usage)
        max_level = allowed.capacity if overdue else math.inf
        for bucket in (usage.bucket, usage.minority_bucket):
            bucket.add(added, max_level)

    def _add(self, usage: _Usage, requests: int) -> None:
        for bucket in (usage.bucket, usage.minority_bucket):
            bucket.add(requests)
        self._own.add(usage.limit.name, requests, self._now())

    def _drain(self, usage: _Usage) -> Allowance:
        allowed = self._allowed(usage.limit)
        now = self._now()
        usage.bucket.drain(now, allowed)
        usage.minority_bucket.drain(now, allowed)
        if self._group.majority:
            # Continue from this level if the majority becomes unreachable.
            usage.minority_bucket.level = usage.bucket.level
        return allowed

    def _usage_of(self, team: Team) -> _Usage:
        usage = self._usage.get(team.name)
        if usage is None:
            usage = self._start_usage(team)
        elif usage.limit != team:
            self._change_limit(usage, team)
        return usage

    def _usage_named(self, name: TeamName) -> _Usage | None:
        team = self._team_named(name)
        if team is None or not team.limited:
            return None
        return self._usage_of(team)

    def _start_usage(self, team: Team) -> _Usage:
        usage = _Usage(
            Bucket(max_burst(team, self._window), self._started),
            Bucket(max(0, self._allowed(team).capacity - 1), self._now()),
            team,
        )
        self._usage[team.name] = usage
        return usage

    def _change_limit(self, usage: _Usage, team: Team) -> None:
        """Apply a new limit; the level is cut to the new capacity."""
        usage.limit = team
        capacity = self._allowed(team).capacity
        usage.bucket.level = min(usage.bucket.level, capacity)

    def _allowed(self, team: Team) -> Allowance:
        now = self._now()
        if now >= self._next_group_update:
            self._next_group_update = now + _GROUP_UPDATE_SECONDS
            self._group = self._find_group()
        return allowance(team, self._window, self._group)
