"""Counts of the requests on each engine, of this process and its peers."""

import math
from collections import Counter
from collections.abc import Iterator, Mapping

from bendlead_store import clock
from msgspec import Struct, field

from bendlead_gateway._fleet.recent_sums import RecentSums
from bendlead_gateway._teams.reported_counts import TeamCounts
from bendlead_gateway.types import EngineId, NodeName

#: Reported requests count for this long; then the peer counts as stopped.
_EXPIRY_SECONDS = 1.5
#: Reported items count longer: if a machine loses power, no connection is
#: closed, and its items run on and keep their slots.
_BATCH_EXPIRY_SECONDS = 4.0
#: Items of a peer whose reports are overdue by this time, and by this many
#: intervals, can't be preempted: its machine is down, or it does not receive
#: reports about online requests.
_OVERDUE_SECONDS = 0.4
_OVERDUE_INTERVALS = 4
#: Share of the previous interval that remains after a shorter one: relayed
#: reports come between direct ones.
_INTERVAL_DECAY = 0.8
#: Smoothing factor of the update delay.
_DELAY_SMOOTHING = 0.01
#: Intervals are capped to this: longer ones mean that nothing changed.
_MAX_INTERVAL_SECONDS = 0.1
#: Time that a relayed report may be on its way, on top of its age.
_TRANSIT_SECONDS = 0.1
#: Time for which others may tell the counts of a process that has ended.
_ENDED_SECONDS = 30.0
#: Interval between updates of the list of overdue peers.
_OVERDUE_CHECK_SECONDS = 0.05


_NO_TEAMS = TeamCounts()


class PeerLoad(Struct):
    """Requests of a peer as last reported."""

    online: Mapping[EngineId, int]
    batch: Mapping[EngineId, int]
    reported_at: float
    #: Version of the counts, set by the peer; 0 if it sends none.
    version: int = 0
    #: Sequence number of the counts in this process, in order of arrival.
    sequence: int = 0
    #: Smoothed seconds between reports, direct and relayed.
    interval: float = 0
    #: Requests that the peer admitted, by team.
    teams: TeamCounts = _NO_TEAMS

    @property
    def quiet(self) -> bool:
        """Whether several reports are overdue."""
        return self.age > max(
            _OVERDUE_SECONDS, self.interval * _OVERDUE_INTERVALS
        )

    @property
    def age(self) -> float:
        """Seconds since the peer made the report."""
        return clock.uptime() - self.reported_at

    def next_interval(self, reported_at: float) -> float:
        """Return the interval if the next report is of the given time."""
        return max(
            reported_at - self.reported_at, self.interval * _INTERVAL_DECAY
        )


class OwnLoad(Struct):
    """Requests of this process on each engine."""

    online: Counter[EngineId] = field(default_factory=Counter)
    batch: Counter[EngineId] = field(default_factory=Counter)
    busy_since: dict[EngineId, float] = field(default_factory=dict)


def format_ages(ages: Mapping[NodeName, float | None]) -> str:
    """Format the ages of reports for the log; ``-`` for missing reports."""
    return ','.join(
        f'{node}:-' if age is None else f'{node}:{age:.2f}'
        for node, age in ages.items()
    )


class LoadTable:
    """Sums of the requests on each engine over all processes."""

    def __init__(self) -> None:
        self.own = OwnLoad()
        #: Ordered by arrival.
        self._reports: dict[NodeName, PeerLoad] = {}
        self._last_sequence = 0
        #: Smoothed seconds until a change of a peer's counts is known here.
        self.delay = 0.0
        self._online = RecentSums(_EXPIRY_SECONDS)
        self._batch = RecentSums(_BATCH_EXPIRY_SECONDS)
        self._overdue: list[PeerLoad] = []
        self._next_check = 0.0
        self._ended_at: dict[NodeName, float] = {}

    def start_online(self, engine: EngineId) -> None:
        """Count a request that starts now in this process."""
        if not self.own.online[engine]:
            self.own.busy_since[engine] = clock.uptime()
        self.own.online[engine] += 1

    def own_busy_since(self, engine: EngineId) -> float | None:
        """Return since when own requests run there without a gap."""
        if self.own.online[engine]:
            return self.own.busy_since.get(engine)
        return None

    def report(
        self,
        node: NodeName,
        online: Mapping[EngineId, int],
        batch: Mapping[EngineId, int],
        age: float = 0,
        version: int = 0,
        teams: TeamCounts = _NO_TEAMS,
    ) -> None:
        """Store a peer's counts, reported ``age`` seconds ago.

        Relayed counts of a process that has ended are ignored.
        """
        reported_at = clock.uptime() - age
        ended_at = self._ended_at.get(node, -math.inf)
        if age and reported_at <= ended_at + _TRANSIT_SECONDS:
            return
        previous = self.latest(node)
        if previous and (previous.version, previous.reported_at) >= (
            version,
            reported_at,
        ):
            return
        if previous in self._overdue:
            self._next_check = 0
        if previous:
            self._observe_delay(reported_at - previous.reported_at, age)
        interval = previous.next_interval(reported_at) if previous else 0
        if previous and version and previous.version == version:
            previous.reported_at = reported_at
            previous.interval = interval
        else:
            self._reports.pop(node, None)
            self._last_sequence += 1
            self._reports[node] = PeerLoad(
                online,
                batch,
                reported_at,
                version,
                self._last_sequence,
                interval,
                teams,
            )
        self._online.put(node, online, reported_at)
        self._batch.put(node, batch, reported_at)

    def reported_after(
        self, sequence: int
    ) -> Iterator[tuple[NodeName, PeerLoad]]:
        """List the reports after a sequence number, oldest first."""
        newer: list[tuple[NodeName, PeerLoad]] = []
        for node, report in reversed(self._reports.items()):
            if report.sequence <= sequence:
                break
            newer.append((node, report))
        return reversed(newer)

    def latest(self, node: NodeName) -> PeerLoad | None:
        """Return the last report of a peer unless it has expired."""
        load = self._reports.get(node)
        if load is None or load.age > _EXPIRY_SECONDS:
            return None
        return load

    def has_report(self, node: NodeName) -> bool:
        """Return whether a peer has ever reported its counts."""
        return node in self._reports

    def age_of(self, node: NodeName) -> float | None:
        """Return the age of a peer's last report if more are expected."""
        load = self._reports.get(node)
        if load and (load.online or load.batch or load.teams.life):
            return load.age
        return None

    def online(self, engine: EngineId) -> int:
        """Count the online requests on an engine."""
        return self.own.online[engine] + self._online.total(engine)

    def batch(self, engine: EngineId) -> int:
        """Count the batch items on an engine."""
        return self.own.batch[engine] + self._batch.total(engine)

    def item_owners(self) -> dict[NodeName, PeerLoad]:
        """List the peers whose items may occupy slots."""
        return {
            node: report
            for node, report in self._reports.items()
            if report.batch and report.age < _BATCH_EXPIRY_SECONDS
        }

    def non_preemptible(self, engine: EngineId) -> int:
        """Count the items that can't be preempted for online requests."""
        now = clock.uptime()
        if now >= self._next_check:
            self._next_check = now + _OVERDUE_CHECK_SECONDS
            owners = self.item_owners().values()
            self._overdue = [report for report in owners if report.quiet]
        return sum(report.batch.get(engine, 0) for report in self._overdue)

    def forget(self, node: NodeName) -> None:
        """Remove the counts of a peer whose process has ended."""
        now = clock.uptime()
        self._ended_at = {
            ended: at
            for ended, at in self._ended_at.items()
            if now - at < _ENDED_SECONDS
        }
        self._ended_at[node] = now
        self._reports.pop(node, None)
        self._online.drop(node)
        self._batch.drop(node)
        self._next_check = 0

    def _observe_delay(self, interval: float, age: float) -> None:
        """Update the delay; on average counts change in mid-interval."""
        delay = min(interval, _MAX_INTERVAL_SECONDS) / 2 + age
        self.delay += (delay - self.delay) * _DELAY_SMOOTHING
