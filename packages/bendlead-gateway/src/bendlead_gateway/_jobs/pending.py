"""Jobs that are being accepted: their ids and tokens are taken already."""

from msgspec import Struct, field

from bendlead_gateway.types import JobId, Submission, TeamName


class PendingJobs(Struct):
    """Keep the jobs whose acceptance is not known to have failed or worked."""

    _submissions: dict[JobId, Submission] = field(default_factory=dict)

    def add(self, submission: Submission) -> None:
        """Keep a job from now on."""
        self._submissions[submission.job] = submission

    def drop(self, job: JobId) -> None:
        """Forget a job that is held now, or surely was not accepted."""
        self._submissions.pop(job, None)

    def team_of(self, job: JobId) -> TeamName | None:
        """Tell whose job has an id, if one has."""
        found = self._submissions.get(job)
        return found.team if found else None

    def tokens(self, host: str, team: TeamName) -> int:
        """Count the tokens of a team for a host."""
        return sum(
            one.tokens
            for one in self._submissions.values()
            if one.host == host and one.team == team
        )
