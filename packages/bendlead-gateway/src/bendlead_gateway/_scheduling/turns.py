"""Whose turn it is while there are fewer places than requests.

Load pattern: one or a few teams send many times their usual, or engines are
lost, and for some seconds more requests come than places can serve. If requests
were refused as they come, the teams within their shares would lose as many of
theirs as the team that takes the room.

So a share is what teams had on average for their weight. The team that had most
beyond it is refused first, at a shorter wait, and one below it last. Nothing is
kept free for anybody: a request that finds a free place is never refused.
"""

import math
from collections.abc import Mapping, Sequence

from msgspec import Struct

#: A class shares what is left of all requests after this multiple of what the
#: more urgent classes had: these may burst.
_URGENT_ROOM = 2.0
#: A less urgent class keeps this part of all requests: its callers still get
#: some answers.
_CLASS_FLOOR = 0.1
#: Exponent by which the wait that a team is allowed falls with its use over its
#: share.
_WAIT_EXPONENT = 2
#: The shortest wait of a team over its share, as a part of the longest: with
#: less, engines run out of work between two looks at them.
_LEAST_PART = 0.4


class TeamUsage(Struct, frozen=True):
    """Say what a team had lately, in requests, and how it counts."""

    requests: float
    weight: float
    priority: int = 0


class Turn(Struct, frozen=True):
    """Compare what a team had lately with its share, both in requests."""

    had: float = 0
    share: float = math.inf

    @property
    def over(self) -> bool:
        """Tell whether the team had more than its share."""
        return self.had > self.share

    @property
    def part(self) -> float:
        """Give the part of the longest wait up to which it is admitted."""
        if not self.over:
            return 1
        return max(_LEAST_PART, (self.share / self.had) ** _WAIT_EXPONENT)


#: Where nobody competes, or nothing is known.
FREE = Turn()


def shares(usages: Sequence[TeamUsage]) -> Mapping[int, float]:
    """Give the share for each unit of weight, in requests, by priority."""
    by_class: dict[int, list[TeamUsage]] = {}
    for one in usages:
        by_class.setdefault(one.priority, []).append(one)
    total = sum(one.requests for one in usages)
    urgent = 0.0
    found: dict[int, float] = {}
    for priority, members in sorted(by_class.items()):
        whole = sum(one.requests for one in members)
        left = max(total * _CLASS_FLOOR, total - urgent * _URGENT_ROOM)
        weight = sum(one.weight for one in members)
        found[priority] = min(whole, left) / weight
        urgent += whole
    return found
