"""Decide whose batch work runs next."""

import time
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator

from msgspec import Struct

from bendlead_ledger._state import JobState

#: A job whose deadline is this near goes before the shares of teams.
_AT_RISK_SECONDS = 600.0
_LEAST_SHARE = 0.001


class TeamPolicy(Struct, frozen=True):
    """Say how a policy ranks the batch work of a team."""

    rank: int = 0
    share: float = 1.0
    may_use_spare: bool = True


PolicyOf = Callable[[str], TeamPolicy]


def default_policy(_team: str) -> TeamPolicy:
    """Treat all teams alike where no policy is in force."""
    return TeamPolicy()


class GrantOrder:
    """Order jobs by policy rank, deadline risk, then weighted use."""

    def __init__(self, policy_of: PolicyOf = default_policy) -> None:
        self._policy_of = policy_of
        self._used: dict[str, float] = defaultdict(float)

    def ranked(self, jobs: Iterable[JobState]) -> Iterator[JobState]:
        """List active jobs, the one most in need first."""
        allowed = [job for job in jobs if job.active and self._may_run(job)]
        yield from sorted(allowed, key=self._need)

    def charge(self, job: JobState, items: int) -> None:
        """Count finished items against the share of a team."""
        team = job.accepted.team
        share = max(self._policy_of(team).share, _LEAST_SHARE)
        # A team that was idle does not save up: it starts at the least used.
        floor = min(self._used.values(), default=0.0)
        self._used[team] = max(self._used[team], floor) + items / share

    def _may_run(self, job: JobState) -> bool:
        return self._policy_of(job.accepted.team).may_use_spare

    def _need(self, job: JobState) -> tuple[int, int, float, float]:
        team = job.accepted.team
        slack = job.accepted.deadline - time.time()
        at_risk = 0 if slack < _AT_RISK_SECONDS else 1
        rank = self._policy_of(team).rank
        return (-rank, at_risk, self._used[team], job.accepted.deadline)
