"""Jobs whose acceptance is being committed."""

from msgspec import Struct, field

from bendlead_gateway.types import JobId, Submission, TeamName


class PendingJobs(Struct):
    """Submitted jobs until their commit is known to have failed or succeeded.

    Their ids are taken and their tokens count against the queue limit.
    """

    _submissions: dict[JobId, Submission] = field(default_factory=dict)

    def add(self, submission: Submission) -> None:
        """Add a job whose commit begins."""
        self._submissions[submission.job] = submission

    def drop(self, job: JobId) -> None:
        """Remove a job that was accepted or definitely not."""
        self._submissions.pop(job, None)

    def team_of(self, job: JobId) -> TeamName | None:
        """Return the team of a pending job, None if there is none."""
        submission = self._submissions.get(job)
        return submission.team if submission else None

    def tokens(self, host: str, team: TeamName) -> int:
        """Count a team's pending tokens for a host."""
        return sum(
            submission.tokens
            for submission in self._submissions.values()
            if submission.host == host and submission.team == team
        )
