"""Loads to replay and the tally of their outcomes."""

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field


@dataclass(frozen=True)
class SpeedVariation:
    """Differences in speed between engines. Times are in seconds."""

    #: Step durations relative to the usual one, assigned to engines in turn.
    speeds: Sequence[float] = (1.0,)
    #: Relative slowdown of a step by each further running request.
    slowdown_per_run: float = 0.03
    #: Share of time in which an engine stalls, its slowdown while stalled,
    #: and the duration of a stall.
    stall_share: float = 0.0
    stall_factor: float = 2.5
    stall_seconds: float = 0.6
    #: Slowdown of the first engine between two times.
    slow_factor: float = 1.0
    slow_from: float = 5.0
    slow_until: float = 10.0
    #: Whether entries estimate speeds and exchange the estimates; otherwise
    #: each uses only its own moving averages.
    estimates_speeds: bool = True
    #: Times between which estimates do not reach other entries.
    reports_lost_from: float = 1000
    reports_lost_until: float = 1000
    #: Times at which all entries restart, and all engines; a restarted engine
    #: has the speed of the next one.
    entries_restart_at: float = 1000
    engines_restart_at: float = 1000


@dataclass(frozen=True)
class Load:
    """Requests, jobs and the fleet that serves them. Times are in seconds."""

    #: Number of engines in each data hall, and weight of its clients.
    engines: Sequence[int] = (8, 7, 7, 8, 7)
    client_weights: Sequence[float] = (1, 1, 1, 1, 1)
    slots: int = 7
    entries: int = 58
    owners: int = 1
    #: Whether items are held back while online requests are refused.
    holds_back: bool = False
    #: Mean number of online requests and of jobs per second.
    online_rate: float = 174
    job_rate: float = 2.2
    items_per_job: int = 10
    #: Start and rate factor of each phase in a period of the online load.
    phases: Sequence[tuple[float, float]] = ((0, 0.377), (3.8, 1.84))
    period: float = 6.6
    run_seconds: float = 0.7
    item_run_seconds: float = 4.75
    latency_target: float = 0.3
    timeout: float = 5.0
    #: Relative spread of the duration of items.
    item_spread: float = 0.4
    completion_window: float = 18.0
    #: Mean age of the counts that processes report to one another.
    report_age: float = 0.05
    #: Time at which a share of the engines becomes unavailable.
    engine_loss_at: float = 1000
    engine_loss_share: float = 0.0
    #: Share of entries that exchange reports only with one another.
    partitioned_share: float = 0.0
    duration: float = 24.0
    speed_variation: SpeedVariation | None = None

    def rate_factor(self, now: float) -> float:
        """Return the rate factor of the online load at a time."""
        offset = now % self.period
        return [factor for start, factor in self.phases if start <= offset][-1]


@dataclass
class Tally:
    """Outcomes of requests and items."""

    online: Counter[str] = field(default_factory=Counter)
    by_hall: list[Counter[str]] = field(default_factory=list)
    items: Counter[str] = field(default_factory=Counter)
    #: Preempted item runs.
    preemptions: int = 0
    #: Those that were preempted because online requests were refused.
    held_back: int = 0

    @property
    def in_time(self) -> float:
        """Return the share of online requests within the latency target."""
        return _share(self.online, 'in_time')

    @property
    def lost(self) -> float:
        """Return the share of online requests that were never served."""
        return _share(self.online, 'lost')

    @property
    def refused(self) -> float:
        """Return the share of requests served late after a refusal."""
        return _share(self.online, 'refused')

    @property
    def items_in_time(self) -> float:
        """Return the share of items that were complete when due."""
        return _share(self.items, 'in_time')

    @property
    def worst_hall(self) -> float:
        """Return the lowest share in time of any data hall."""
        return min(_share(counts, 'in_time') for counts in self.by_hall)


def _share(counts: Counter[str], outcome: str) -> float:
    return counts[outcome] / max(1, counts.total())
