"""Requests that other entries admitted, as reported by them."""

from collections.abc import Mapping

from msgspec import Struct, field

from bendlead_gateway.types import TeamName

#: Weight of the newest rate in the moving average.
_SMOOTHING_FACTOR = 0.5
#: Age from which a report is ignored: its entry is then treated as unreachable.
_MAX_REPORT_AGE_SECONDS = 1.5
#: Minimum interval between two counts for computing a rate.
_MIN_INTERVAL_SECONDS = 0.02


class TeamCounts(Struct, frozen=True):
    """Requests of each team that an entry admitted since its start.

    ``life`` is the time of that start (Unix ms). Teams without recent requests
    are left out.
    """

    life: int = 0
    counts: Mapping[TeamName, int] = field(default_factory=dict)


class _TeamCount(Struct):
    """The count of one team at one entry, and the rate of requests (1/s)."""

    count: int
    reported_at: float
    rate: float = 0

    def update(self, count: int, reported_at: float) -> int:
        """Set a later count; return how many requests it adds."""
        added = count - self.count
        interval = reported_at - self.reported_at
        if interval >= _MIN_INTERVAL_SECONDS:
            self.rate += (
                max(0, added) / interval - self.rate
            ) * _SMOOTHING_FACTOR
            self.reported_at = reported_at
        self.count = count
        return added


class EntryCounts(Struct):
    """The latest counts of one entry; ``reported_at`` is their time (s)."""

    life: int = 0
    version: int = -1
    reported_at: float = 0
    _teams: dict[TeamName, _TeamCount] = field(default_factory=dict)

    def update(
        self,
        reported: TeamCounts,
        version: int,
        reported_at: float,
        *,
        new: bool,
    ) -> dict[TeamName, int]:
        """Update the counts; return the added requests by team.

        Requests before the first report count if the entry is ``new``; else
        they are known from peers, or too old.
        """
        older = reported.life < self.life or version < self.version
        if older and reported_at - self.reported_at < _MAX_REPORT_AGE_SECONDS:
            # A relayed report that is out of date. With a longer gap the
            # entry has restarted after its clock was set back.
            return {}
        if reported.life != self.life:
            new = new or self.life > 0
            self.life = reported.life
            self._teams.clear()
        self.reported_at = max(self.reported_at, reported_at)
        if version == self.version:
            return {}
        self.version = version
        added: dict[TeamName, int] = {}
        for team, count in reported.counts.items():
            known = self._teams.get(team)
            if known is None:
                self._teams[team] = _TeamCount(count, reported_at)
                added[team] = count if new else 0
            else:
                added[team] = known.update(count, reported_at)
        for team, idle in self._teams.items():
            if team not in reported.counts:
                idle.rate = 0
        return added

    def estimate_unreported(self, team: TeamName, now: float) -> float:
        """Estimate a team's requests at the entry since its last report."""
        known = self._teams.get(team)
        if known is None:
            return 0
        age = max(0, now - self.reported_at)
        return known.rate * age if age < _MAX_REPORT_AGE_SECONDS else 0
