"""What clients and the operator saw, as the checks need it."""

import enum
import math
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

from bendlead_testing.gateway_soak.answers import DEADLY_PART_MARK
from bendlead_testing.gateway_soak.teams import SoakTeam

#: The time-out of every route of the soak (s).
ROUTE_SECONDS = 3.5

#: How long clients of requests wait (s).
DEADLINE_SECONDS = 4.0

#: How long a disruption goes on to excuse what depends on time (s). Source:
#: contact_ms of the users' sheets, and a second for a busy test machine.
CONTACT_SECONDS = 4.0

#: Time after the last crash of an engine from which on sound requests are
#: served (s). Source: twice contact_ms of the sheets, and an answer of 2 s.
RELEASED_SECONDS = 10.0

#: Time by which what is owed is done once nothing is wrong any more (s).
#: Source: finish_s of the users' sheets.
FINISH_SECONDS = 18.0

#: The name of the trouble that an engine's own end is.
ENGINE_ENDED = 'engine ended'


class Kind(enum.Enum):
    """Name a kind of request by the prefix of its route."""

    ONCE = '/once/'
    SAFE = '/safe/'
    STREAM = '/stream/'
    RESUMABLE = '/resumable/'

    @property
    def repeatable(self) -> bool:
        """Tell whether a request of this kind may run more than once."""
        return self in {Kind.SAFE, Kind.RESUMABLE}


@dataclass
class Attempt:
    """Keep one try of a request; times are on the steady clock (s)."""

    request: str
    kind: Kind
    entry: str
    path: str
    body: str
    sent: float
    total: int
    team: SoakTeam = SoakTeam.QUIET
    status: int = 0
    seal: str | None = None
    text: str = ''
    whole: bool = False
    ended: float = 0
    left: float = 0
    #: The request whose stream it takes up, and the events received before.
    resumes: str = ''
    after: int = 0
    #: Whether several callers send it alike.
    alike: bool = False
    #: How long its client waits (s), as it tells the entry.
    patience: float = DEADLINE_SECONDS

    @property
    def went_on(self) -> bool:
        """Tell whether a stream that was taken up got further events."""
        return bool(self.resumes and self.status == 200 and self.text)


@dataclass(frozen=True)
class Call:
    """Keep one call of which only an answer is asked."""

    name: str
    entry: str
    sent: float
    ended: float
    #: When its client would have given up.
    patient_until: float
    answered: bool


@dataclass
class JobSeen:
    """Keep what was seen of one batch job."""

    job: str
    items: dict[str, int]
    bodies: dict[str, str]
    statuses: list[int] = field(default_factory=list)
    accepted: float = 0
    results: dict[int, tuple[str, str, str]] = field(default_factory=dict)
    end_answered: float = 0
    wrongs: list[str] = field(default_factory=list)
    #: Whether items with a part on which engines end for a time are owed too.
    marked_owed: bool = False

    @property
    def missing(self) -> set[str]:
        """Give the items that are owed and not listed.

        By the users' pages requests with a part on which engines end aren't
        missed for as long as each run would end another engine.
        """
        return self._unlisted if self.marked_owed else self.sound_missing

    @property
    def sound_missing(self) -> set[str]:
        """Give the items without such a part that are not listed."""
        return {
            item
            for item in self._unlisted
            if not item.endswith(DEADLY_PART_MARK)
        }

    @property
    def only_refused(self) -> bool:
        """Tell whether every try was answered with a promise."""
        return bool(self.statuses) and set(self.statuses) <= {429, 503}

    @property
    def _unlisted(self) -> set[str]:
        listed = {name for name, _state, _text in self.results.values()}
        return set(self.items) - listed


@dataclass
class Probe:
    """Keep one request that only tests which configuration is in force."""

    entry: str
    life: int
    version: int
    sent: float
    found: bool


@dataclass
class Trouble:
    """Keep one disruption; ``planned`` work is a stop, a change, a reload."""

    name: str
    target: str
    began: float
    ended: float = 0
    planned: bool = False


@dataclass(frozen=True)
class OwedSeen:
    """Keep what an owner shows of the items that it owes.

    ``dump`` is ``None`` where its state has no such key.
    """

    answered: bool
    dump: dict[str, Any] | None = None

    @property
    def overdue(self) -> Sequence[dict[str, Any]]:
        """List the items that it shows as overdue."""
        return self.dump['overdue'] if self.dump else ()


@dataclass
class Sightings:
    """Gather everything that is checked."""

    attempts: list[Attempt] = field(default_factory=list)
    jobs: dict[str, JobSeen] = field(default_factory=dict)
    calls: list[Call] = field(default_factory=list)
    probes: list[Probe] = field(default_factory=list)
    troubles: list[Trouble] = field(default_factory=list)
    #: When each entry told for the first time that it is ready.
    ready_since: dict[str, float] = field(default_factory=dict)
    #: When each version of the configuration was acknowledged.
    versions: dict[int, float] = field(default_factory=dict)
    #: Engines at which a request of each kind may run, where not ``attempts``.
    attempts_of: dict[Kind, int] = field(default_factory=dict)
    max_attempts: int = 3
    unasked_ends: list[str] = field(default_factory=list)
    #: What each owner owed after the calm, and once the clients had ended.
    owed: dict[str, OwedSeen] = field(default_factory=dict)
    owed_at_end: dict[str, OwedSeen] = field(default_factory=dict)
    #: The owners that hold each accepted job.
    holders: dict[str, list[str]] = field(default_factory=dict)
    #: Tasks and processes of the soak that died of an error.
    deaths: list[str] = field(default_factory=list)
    #: The last lines of tracebacks that a process of ours printed.
    tracebacks: dict[str, list[str]] = field(default_factory=dict)
    #: Most memory that each process of ours held at a time (MB).
    peaks: dict[str, float] = field(default_factory=dict)
    #: Until when engines end under deadly requests and parts.
    deadly_until: float = math.inf

    @property
    def deadly_for_a_time(self) -> bool:
        """Tell whether deadly requests and parts are sound in the end."""
        return math.isfinite(self.deadly_until)

    @property
    def healed(self) -> float:
        """Give the time up to which disruptions excuse anything."""
        return max((one.ended for one in self.troubles), default=0)

    def may_run(self, one: Attempt) -> int:
        """Give the number of engines at which a request may run."""
        return self.attempts_of.get(one.kind, self.max_attempts)

    def begin(self, name: str, target: str, *, planned: bool) -> Trouble:
        """Note that a disruption begins."""
        trouble = Trouble(name, target, time.monotonic(), planned=planned)
        self.troubles.append(trouble)
        return trouble


def calm(
    troubles: Sequence[Trouble],
    since: float,
    until: float,
    *,
    also_planned: bool = True,
) -> bool:
    """Tell whether no disruption touches a span of time."""
    for one in troubles:
        if one.planned and not also_planned:
            continue
        ended = one.ended or float('inf')
        if one.began < until and ended > since:
            return False
    return True
