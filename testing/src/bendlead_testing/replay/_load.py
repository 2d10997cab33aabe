"""What comes and what serves it, and what became of it."""

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field


@dataclass(frozen=True)
class Uneven:
    """Describe how engines differ in speed. Times are in seconds."""

    #: Times the usual time for a step, given to the engines in turn.
    speeds: Sequence[float] = (1.0,)
    #: What each further request that runs adds to a step, as a share.
    per_running: float = 0.03
    #: Share of the time for which an engine stalls, how much slower it then
    #: is, and for how long.
    stalled: float = 0.0
    stall_factor: float = 2.5
    stall_seconds: float = 0.6
    #: The first engine is this much slower for a while.
    turns_slow: float = 1.0
    slow_from: float = 5.0
    slow_until: float = 10.0
    #: Whether entries learn; else each has its own moving averages alone.
    learns: bool = True
    #: Entries hear nothing of engines' paces from one time to another.
    unheard_from: float = 1000
    unheard_until: float = 1000
    #: When every entry starts again, and when every engine does, with the
    #: speed of the next one.
    entries_restart_at: float = 1000
    engines_restart_at: float = 1000


@dataclass(frozen=True)
class Load:
    """Describe what comes, and what serves it. Times are in seconds."""

    #: Engines and clients' share of each data hall.
    engines: Sequence[int] = (8, 7, 7, 8, 7)
    clients: Sequence[float] = (1, 1, 1, 1, 1)
    slots: int = 7
    entries: int = 58
    #: Processes that run items, each those of its own jobs.
    owners: int = 1
    #: Whether items give places back while requests are refused.
    holds_back: bool = False
    #: Requests a second on average, and jobs a second.
    online: float = 174
    jobs: float = 2.2
    items: int = 10
    #: Begin and factor of each phase of one period of the online load.
    phases: Sequence[tuple[float, float]] = ((0, 0.377), (3.8, 1.84))
    period: float = 6.6
    run: float = 0.7
    item_run: float = 4.75
    aim: float = 0.3
    patience: float = 5.0
    #: Share by which items differ in length.
    item_spread: float = 0.4
    item_due: float = 18.0
    age: float = 0.05
    #: When a share of the engines takes no more requests.
    lost_at: float = 1000
    lost_share: float = 0.0
    #: The share of the entries that hear only one another.
    apart: float = 0.0
    length: float = 24.0
    #: How engines differ in speed; nothing where they are all alike.
    uneven: Uneven | None = None

    def factor(self, now: float) -> float:
        """Give the factor of the online load at a time."""
        into = now % self.period
        return [factor for begin, factor in self.phases if begin <= into][-1]


@dataclass
class Tally:
    """Count how requests and items ended."""

    online: Counter[str] = field(default_factory=Counter)
    by_hall: list[Counter[str]] = field(default_factory=list)
    items: Counter[str] = field(default_factory=Counter)
    stops: int = 0
    #: Of the stops, those for requests that were refused.
    held_back: int = 0

    @property
    def in_time(self) -> float:
        """Give the share of online requests that began within the aim."""
        return _share(self.online, 'in_time')

    @property
    def lost(self) -> float:
        """Give the share of online requests that nobody served."""
        return _share(self.online, 'lost')

    @property
    def refused(self) -> float:
        """Give the share of online requests refused at their first try."""
        return _share(self.online, 'refused')

    @property
    def items_in_time(self) -> float:
        """Give the share of items that were whole when due."""
        return _share(self.items, 'in_time')

    @property
    def worst_hall(self) -> float:
        """Give the share in time of the hall that is served worst."""
        return min(_share(one, 'in_time') for one in self.by_hall)


def _share(counts: Counter[str], ending: str) -> float:
    return counts[ending] / max(1, counts.total())
