"""Fair order of batch items across teams and jobs.

By age alone, a team that submits many items would delay those of all others.
"""

import heapq
from collections import Counter, deque
from collections.abc import Iterable, Iterator, Mapping, Sequence

from msgspec import Struct

from bendlead_gateway._scheduling.decayed_tokens import (
    MIN_TOKENS,
    DecayedTokens,
)
from bendlead_gateway._scheduling.urgency import Urgency
from bendlead_gateway.types import JobId, TeamName

#: Jobs accepted in the same interval count as equally old.
_AGE_BUCKET_SECONDS = 1.0


class ItemCost(Struct, frozen=True):
    """Urgency, owner and size of a batch item."""

    urgency: Urgency
    team: TeamName
    job: JobId
    tokens: int


class FairOrder:
    """Fair queueing by team, then by job, measured in tokens.

    Every run of an item counts in full, since its prompt is processed again.
    """

    def __init__(self) -> None:
        self._teams = DecayedTokens[TeamName]({})
        self._jobs = DecayedTokens[JobId]({})

    def record_start(self, cost: ItemCost, now: float) -> None:
        """Record the start of an item run."""
        tokens = max(cost.tokens, MIN_TOKENS)
        self._teams.add(cost.team, tokens, now)
        self._jobs.add(cost.job, tokens, now)

    def order(self, waiting: Sequence[ItemCost], now: float) -> Iterator[int]:
        """Yield the indexes of waiting items in the order to run them.

        Items that can still meet their target go first. Among these comes the
        team with the fewest tokens, its oldest job first; among jobs of the
        same age, the one with the fewest tokens.
        """
        by_prospect: dict[int, list[int]] = {}
        for index, item in enumerate(waiting):
            by_prospect.setdefault(item.urgency.prospect, []).append(index)
        teams = Counter(self._teams.current(now))
        jobs = self._jobs.current(now)
        for prospect in sorted(by_prospect):
            ranked = _rank(waiting, by_prospect[prospect], jobs)
            yield from _by_team(waiting, ranked, teams)


def _rank(
    waiting: Sequence[ItemCost],
    indexes: Sequence[int],
    jobs: Mapping[JobId, float],
) -> list[int]:
    """Sort items by job age, then by the tokens their job has had."""
    ranks = [(*_sort_key(waiting[index], jobs), index) for index in indexes]
    return [rank[-1] for rank in sorted(ranks)]


def _sort_key(
    item: ItemCost, jobs: Mapping[JobId, float]
) -> tuple[float, float, float]:
    accepted_at = item.urgency.accepted_at
    bucket = accepted_at // _AGE_BUCKET_SECONDS
    return bucket, jobs.get(item.job, 0), accepted_at


def _by_team(
    waiting: Sequence[ItemCost],
    indexes: Iterable[int],
    teams: Counter[TeamName],
) -> Iterator[int]:
    """Yield the next item of the team with the fewest tokens so far."""
    queues: dict[TeamName, deque[int]] = {}
    for index in indexes:
        queues.setdefault(waiting[index].team, deque()).append(index)
    by_tokens = [(teams[team], team) for team in queues]
    heapq.heapify(by_tokens)
    while by_tokens:
        _tokens, team = heapq.heappop(by_tokens)
        index = queues[team].popleft()
        teams[team] += max(waiting[index].tokens, MIN_TOKENS)
        if queues[team]:
            heapq.heappush(by_tokens, (teams[team], team))
        yield index
