"""Order in which batch jobs are granted runs."""

import time
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator

from msgspec import Struct

from bendlead_ledger._state import JobState

#: A job whose deadline is nearer than this goes before fair shares.
_AT_RISK_SECONDS = 600.0
_MIN_SHARE = 0.001


class TeamPolicy(Struct, frozen=True):
    """Rank and share of a team's batch work."""

    rank: int = 0
    share: float = 1.0
    may_use_spare: bool = True


PolicyOf = Callable[[str], TeamPolicy]


def default_policy(_team: str) -> TeamPolicy:
    """Return the same policy for every team."""
    return TeamPolicy()


class GrantOrder:
    """Order of jobs by policy rank, deadline risk and weighted use."""

    def __init__(self, policy_of: PolicyOf = default_policy) -> None:
        self._policy_of = policy_of
        self._used: dict[str, float] = defaultdict(float)

    def ranked(self, jobs: Iterable[JobState]) -> Iterator[JobState]:
        """Yield active jobs, the one to be granted first at the start."""
        allowed = [job for job in jobs if job.active and self._may_run(job)]
        yield from sorted(allowed, key=self._sort_key)

    def charge(self, job: JobState, items: int) -> None:
        """Add finished items to the use of the job's team."""
        team = job.accepted.team
        share = max(self._policy_of(team).share, _MIN_SHARE)
        # An idle team gains no credit: it starts at the lowest use of all.
        floor = min(self._used.values(), default=0.0)
        self._used[team] = max(self._used[team], floor) + items / share

    def _may_run(self, job: JobState) -> bool:
        return self._policy_of(job.accepted.team).may_use_spare

    def _sort_key(self, job: JobState) -> tuple[int, int, float, float]:
        team = job.accepted.team
        slack = job.accepted.deadline - time.time()
        at_risk = 0 if slack < _AT_RISK_SECONDS else 1
        rank = self._policy_of(team).rank
        return (-rank, at_risk, self._used[team], job.accepted.deadline)
