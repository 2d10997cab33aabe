"""Fair sharing of slots among teams while there are more requests than slots.

The share of a team is the mean use by all teams in proportion to its weight. A
team beyond its share is admitted only at a shorter wait, so it is refused
before teams within theirs. No slots are reserved: a request that finds a free
slot is never refused.
"""

import math
from collections.abc import Mapping, Sequence

from msgspec import Struct

#: Multiple of the use of higher priorities that is set aside for their bursts.
_BURST_FACTOR = 2.0
#: Share of all requests that a lower priority keeps, to avoid starvation.
_MIN_CLASS_SHARE = 0.1
#: Exponent with which the admissible wait falls as a team exceeds its share.
_WAIT_EXPONENT = 2
#: Lower bound of the wait factor; below it, engines would run idle.
_MIN_WAIT_FACTOR = 0.4


class TeamUsage(Struct, frozen=True):
    """Recent use of a team in requests, with its weight and priority."""

    requests: float
    weight: float
    priority: int = 0


class ShareUse(Struct, frozen=True):
    """Recent use and share of a team, in requests."""

    used: float = 0
    share: float = math.inf

    @property
    def over_share(self) -> bool:
        """Return whether the team exceeds its share."""
        return self.used > self.share

    @property
    def wait_factor(self) -> float:
        """Return the factor of the longest wait up to which it is admitted."""
        if not self.over_share:
            return 1
        return max(_MIN_WAIT_FACTOR, (self.share / self.used) ** _WAIT_EXPONENT)


#: Without competing teams, or without data.
UNCONTESTED = ShareUse()


def shares_by_priority(usages: Sequence[TeamUsage]) -> Mapping[int, float]:
    """Return the share per unit of weight, in requests, by priority."""
    by_class: dict[int, list[TeamUsage]] = {}
    for usage in usages:
        by_class.setdefault(usage.priority, []).append(usage)
    total = sum(usage.requests for usage in usages)
    higher = 0.0
    by_priority: dict[int, float] = {}
    for priority, members in sorted(by_class.items()):
        used = sum(usage.requests for usage in members)
        left = max(total * _MIN_CLASS_SHARE, total - higher * _BURST_FACTOR)
        weight = sum(usage.weight for usage in members)
        by_priority[priority] = min(used, left) / weight
        higher += used
    return by_priority
