"""Recent requests of teams over all entries, and their fair shares."""

import math
from collections.abc import Callable, Iterable, Mapping
from statistics import fmean

from bendlead_store import clock
from msgspec import Struct

from bendlead_gateway._scheduling.team_shares import (
    UNCONTESTED,
    ShareUse,
    TeamUsage,
    shares_by_priority,
)
from bendlead_gateway.types import Team, TeamName

#: Time in which the weight of past requests falls by a factor of e.
DECAY_SECONDS = 1.0
#: Requests of each team that don't count towards its share, so that random
#: arrivals don't put a small team over it: one that sends a request a second
#: would exceed its share half of the time.
_FREE_REQUESTS = 2.0
#: Minimum interval between two computations of the shares.
_UPDATE_INTERVAL_SECONDS = 0.1
#: Above this scale, the sums are divided by it and it restarts at 1. Teams with
#: fewer than the negligible number of requests are then dropped.
_MAX_SCALE = 1e6
_NEGLIGIBLE_REQUESTS = 1e-3


class _Snapshot(Struct, frozen=True):
    """Shares by priority as of some time."""

    made_at: float = -math.inf
    by_priority: dict[int, float] = {}  # noqa: RUF012
    default_weight: float = 1
    #: Recent requests of each busy team at that time.
    used: dict[TeamName, float] = {}  # noqa: RUF012


class TeamShares:
    """Sum the requests of teams with exponential decay, and compute shares.

    Instead of decaying each sum, new requests are added with a growing scale.
    """

    def __init__(
        self,
        team_named: Callable[[TeamName], Team | None],
        now: Callable[[], float] = clock.uptime,
    ) -> None:
        self._team_named = team_named
        self._now = now
        self._since = now()
        self._sums: dict[TeamName, float] = {}
        self._snapshot = _Snapshot()

    def add(self, team: TeamName, requests: float) -> None:
        """Add requests; a negative number for those that did not run."""
        scaled = requests * self._scale()
        self._sums[team] = max(0, self._sums.get(team, 0.0) + scaled)

    def receive(
        self, admitted: Mapping[TeamName, int], interval: float
    ) -> None:
        """Add what another entry admitted in an interval (s)."""
        # Only the last part of a long interval is recent.
        part = DECAY_SECONDS / max(interval, DECAY_SECONDS)
        for name, requests in admitted.items():
            if requests:
                self.add(name, requests * part)

    def share_use(self, team: Team | None) -> ShareUse:
        """Return a team's recent requests and its share."""
        if team is None:
            return UNCONTESTED
        return self._share_use(team, self._scale(), self._current())

    def summary(self) -> dict[TeamName, dict[str, float]]:
        """Return requests and shares by team (1/s), for the state dump."""
        scale = self._scale()
        snapshot = self._current()
        summary: dict[TeamName, dict[str, float]] = {}
        for name, scaled in self._sums.items():
            team = self._team_named(name)
            if team is None or scaled < _NEGLIGIBLE_REQUESTS * scale:
                continue
            use = self._share_use(team, scale, snapshot)
            summary[name] = {'had': round(scaled / scale / DECAY_SECONDS, 2)}
            if use.share < math.inf:
                summary[name]['share'] = round(use.share / DECAY_SECONDS, 2)
        return summary

    def _share_use(
        self, team: Team, scale: float, snapshot: _Snapshot
    ) -> ShareUse:
        share = snapshot.by_priority.get(team.priority)
        if share is None:
            return ShareUse(self._sums.get(team.name, 0.0) / scale)
        # Use the requests as of the snapshot: the current ones could exceed
        # the share of a single active team whose load rises.
        used = snapshot.used.get(team.name, 0.0)
        weight = team.rate or snapshot.default_weight
        return ShareUse(used, share * weight + _FREE_REQUESTS)

    def _scale(self) -> float:
        """Return the weight of a request that is added now."""
        scale = math.exp((self._now() - self._since) / DECAY_SECONDS)
        if scale < _MAX_SCALE:
            return scale
        self._since = self._now()
        self._sums = {
            name: scaled / scale
            for name, scaled in self._sums.items()
            if scaled > _NEGLIGIBLE_REQUESTS * scale
        }
        return 1

    def _current(self) -> _Snapshot:
        now = self._now()
        if now - self._snapshot.made_at >= _UPDATE_INTERVAL_SECONDS:
            self._snapshot = self._compute(now)
        return self._snapshot

    def _compute(self, now: float) -> _Snapshot:
        busy = self._busy_teams(_FREE_REQUESTS)
        default = _default_weight(team for team, _used in busy)
        by_priority = shares_by_priority(
            [
                TeamUsage(used, team.rate or default, team.priority)
                for team, used in busy
            ]
        )
        used = {team.name: used + _FREE_REQUESTS for team, used in busy}
        return _Snapshot(now, dict(by_priority), default, used)

    def _busy_teams(self, free: float) -> list[tuple[Team, float]]:
        """Return the teams with more than ``free`` requests, and the excess.

        Teams that were removed from the configuration are left out.
        """
        scale = self._scale()
        scaled_free = free * scale
        busy = [
            (self._team_named(name), (scaled - scaled_free) / scale)
            for name, scaled in self._sums.items()
            if scaled > scaled_free
        ]
        return [(team, used) for team, used in busy if team is not None]


def _default_weight(teams: Iterable[Team]) -> float:
    """Return the weight of teams without a limit: the mean of the others."""
    limits = [team.rate for team in teams if team.limited]
    return fmean(limits) if limits else 1
