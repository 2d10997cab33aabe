"""Part of a team's limit that a group of connected entries may use.

The limit holds over all entries while they are partitioned and clients reach
several parts, and while entries restart without knowing earlier requests.
"""

import math

from msgspec import Struct

from bendlead_gateway.types import LimitWindow, Team

#: Part of the tolerance, the requests allowed beyond rate and burst, that is
#: added to the burst: uneven arrivals must not get a team just below its limit
#: rejected. The parts add up to less than 1, so that the bound holds.
_BURST_TOLERANCE_SHARE = 0.4
#: Part of the tolerance for what unreachable entries may admit, so that a few
#: restarts don't lower the limits elsewhere.
_UNREACHABLE_TOLERANCE_SHARE = 0.35
#: Minimum capacity of a minority if one request for each entry is within the
#: tolerance.
_MINORITY_REQUESTS = 1.0


class EntryGroup(Struct, frozen=True):
    """The number of connected entries, with this one, and of all entries."""

    reachable: int
    entries: int

    @property
    def majority(self) -> bool:
        """Whether no other group can be as large."""
        return self.reachable * 2 > self.entries

    @property
    def share(self) -> float:
        """The fraction of all entries that is in this group."""
        return self.reachable / self.entries


class Allowance(Struct, frozen=True):
    """What a group may admit: a rate (1/s) and a burst of requests."""

    rate: float
    capacity: float


def allowance(team: Team, window: LimitWindow, group: EntryGroup) -> Allowance:
    """Return the part of a team's limit that a group of entries may use.

    A minority uses its fraction of the entries. The majority leaves what the
    minorities may use, beyond what the tolerance covers. So the sum over all
    groups is within the limit for any partition.
    """
    total = team.rate * window.seconds + team.burst
    tolerance = _tolerance(team, window)
    capacity = max_burst(team, window)
    if not group.majority:
        min_capacity = _MINORITY_REQUESTS if group.entries <= tolerance else 0
        return Allowance(
            team.rate * group.share, max(min_capacity, capacity * group.share)
        )
    unreachable = (1 - group.share) * total
    covered = tolerance * _UNREACHABLE_TOLERANCE_SHARE
    part = min(1, (total + covered - unreachable) / total)
    return Allowance(team.rate * part, max(1, capacity * part))


def max_burst(team: Team, window: LimitWindow) -> float:
    """Return how many requests of a team may be admitted at once.

    An entry that starts assumes that all of them are used up.
    """
    return max(
        1, team.burst + _tolerance(team, window) * _BURST_TOLERANCE_SHARE
    )


def _tolerance(team: Team, window: LimitWindow) -> float:
    total = team.rate * window.seconds + team.burst
    return total * window.excess + window.slack


class Bucket(Struct):
    """Leaky bucket: a team's requests that have not drained at its rate."""

    level: float
    updated_at: float

    def drain(self, now: float, allowed: Allowance) -> None:
        """Drain at the allowed rate up to ``now``, on the steady clock (s)."""
        elapsed = max(0, now - self.updated_at)
        self.updated_at = max(self.updated_at, now)
        self.level = max(0, self.level - elapsed * allowed.rate)

    def add(self, requests: float, max_level: float = math.inf) -> None:
        """Add requests, but raise the level to no more than ``max_level``."""
        filled = min(self.level + requests, max(self.level, max_level))
        self.level = max(0, filled)

    def wait(self, unreported: float, allowed: Allowance) -> float:
        """Return the seconds until one more request fits, 0 if it does now.

        ``unreported`` estimates the requests of other entries that are not in
        the level yet.
        """
        excess = self.level + unreported + 1 - allowed.capacity
        if excess <= 0:
            return 0
        return excess / allowed.rate
