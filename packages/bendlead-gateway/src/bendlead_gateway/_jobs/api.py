"""Serve job requests for the shards that this process owns."""

import random
from http import HTTPStatus

from bendlead_store import Failure, FailureKind, clock
from msgspec.structs import replace

from bendlead_gateway._fleet.catalog import ConfigurationHolder
from bendlead_gateway._http.messages import Request, Responder
from bendlead_gateway._jobs.owned_job import OwnedJob
from bendlead_gateway._jobs.owned_shard import OwnedShard
from bendlead_gateway._jobs.runner import ItemRunner
from bendlead_gateway._jobs.shard_manager import ShardManager
from bendlead_gateway._jobs.shards import shard_of
from bendlead_gateway._jobs.team_header import read_team
from bendlead_gateway._log import Log
from bendlead_gateway.dialect import Dialect
from bendlead_gateway.types import (
    EndJob,
    Headers,
    JobCall,
    JobId,
    ReadBody,
    ReadResults,
    Route,
    RouteKind,
    Submission,
    TeamName,
)

_UNAVAILABLE = HTTPStatus.SERVICE_UNAVAILABLE
_FULL = HTTPStatus.TOO_MANY_REQUESTS
_JSON = (('Content-Type', 'application/json'),)
_RETRY_AFTER = (('Retry-After', '0.3'),)
#: Retry-After of a job over the queue limit where no estimate is available.
_FULL_RETRY_AFTER = (('Retry-After', '1'),)
#: Tells the relay that this process does not own the shard.
_NOT_OWNED = (('X-Not-Held', '1'), ('Retry-After', '0.3'))
#: Size limit of the results in one response.
_MAX_RESULTS_BYTES = 900_000
#: Greatest age of the last proof of ownership for reads, as a share of the
#: settling time.
_OWNERSHIP_AGE_SHARE = 0.7


class JobApi:
    """Accept, read and end jobs."""

    def __init__(
        self,
        manager: ShardManager,
        runner: ItemRunner,
        configuration: ConfigurationHolder,
        dialect: Dialect,
        log: Log,
        settle: float,
    ) -> None:
        self._manager = manager
        self._runner = runner
        self._configuration = configuration
        self._dialect = dialect
        self._log = log
        self._max_ownership_age = settle * _OWNERSHIP_AGE_SHARE

    def answer(self, request: Request, responder: Responder) -> None:
        """Serve one request relayed by an entry."""
        call = self._dialect.job_call(
            request.method, request.target, request.headers
        )
        host = request.host
        shard = self._manager.owned.get(shard_of(host))
        if shard is None:
            responder.answer(_UNAVAILABLE, _NOT_OWNED)
        elif call is None:
            self._submit(request, responder, shard)
        else:
            self._serve_call(call, responder, shard, read_team(request.headers))

    def _submit(
        self, request: Request, responder: Responder, shard: OwnedShard
    ) -> None:
        submission = self._dialect.submission(
            request.target, request.headers, request.body
        )
        if submission is None:
            responder.answer(HTTPStatus.BAD_REQUEST)
            return
        submission = replace(submission, team=read_team(request.headers))
        route = self._configuration.match(submission.host, request.path)
        if route is None or route.kind is not RouteKind.BATCH:
            self._respond(
                submission,
                'no batch route matches',
                responder,
                HTTPStatus.SERVICE_UNAVAILABLE,
            )
            return
        if _team_of(shard, submission.job) not in {None, submission.team}:
            self._respond(
                submission,
                'job id is used by another team',
                responder,
                HTTPStatus.CONFLICT,
            )
            return
        if submission.job in shard.jobs:
            self._respond(
                submission, 'already accepted', responder, HTTPStatus.ACCEPTED
            )
            return
        excess = _excess_tokens(shard, submission, route)
        if excess > 0:
            self._reject_over_limit(submission, responder, excess)
            return
        accepted = shard.accept(submission)
        if accepted.is_ok():
            self._runner.wake()
            self._respond(
                submission, 'accepted', responder, HTTPStatus.ACCEPTED
            )
        else:
            failure: Failure = accepted.err_value
            status = (
                HTTPStatus.SERVICE_UNAVAILABLE
                if failure.had_no_effect
                else HTTPStatus.GATEWAY_TIMEOUT
            )
            self._respond(submission, str(failure), responder, status)

    def _reject_over_limit(
        self, submission: Submission, responder: Responder, excess: int
    ) -> None:
        """Reject a job; Retry-After is when the excess should be processed."""
        headers = _FULL_RETRY_AFTER
        if self._configuration.requires_key:
            seconds = self._runner.backlog_rates.estimate_seconds(
                submission.host,
                submission.team,
                excess,
                clock.uptime(),
                random.random,
            )
            headers = (('Retry-After', f'{seconds:.3f}'),)
        self._respond(
            submission,
            f'queue limit exceeded by {excess} tokens',
            responder,
            HTTPStatus.TOO_MANY_REQUESTS,
            headers,
        )

    def _respond(
        self,
        submission: Submission,
        reason: str,
        responder: Responder,
        status: HTTPStatus,
        headers: Headers = (),
    ) -> None:
        self._log.event(
            'job-submitted',
            job=submission.job,
            team=submission.team,
            items=len(submission.items),
            status=int(status),
            reason=reason,
        )
        if status is HTTPStatus.SERVICE_UNAVAILABLE:
            headers = _RETRY_AFTER
        responder.answer(status, headers)

    def _serve_call(
        self,
        call: JobCall,
        responder: Responder,
        shard: OwnedShard,
        team: TeamName,
    ) -> None:
        confirmed = shard.confirm_ownership(self._max_ownership_age)
        if confirmed.is_err():
            failure: Failure = confirmed.err_value
            fenced = failure.kind is FailureKind.CONFLICT
            responder.answer(
                HTTPStatus.SERVICE_UNAVAILABLE,
                _NOT_OWNED if fenced else _RETRY_AFTER,
            )
            return
        job = shard.jobs.get(call.job)
        if job is None or job.team != team:
            # Do not reveal that another team has a job with this id.
            self._log.event(
                'job-unknown',
                job=call.job,
                epoch=shard.epoch,
                team=team,
                held_by=job.team if job else '-',
            )
            responder.answer(HTTPStatus.NOT_FOUND)
        elif isinstance(call, ReadResults):
            self._read_results(call, responder, shard, job)
        elif isinstance(call, ReadBody):
            self._read_body(call, responder, job)
        elif isinstance(call, EndJob):
            self._end_job(responder, shard, job)

    def _read_results(
        self,
        call: ReadResults,
        responder: Responder,
        shard: OwnedShard,
        job: OwnedJob,
    ) -> None:
        deadline = clock.uptime() + call.wait
        while len(job.state.results) <= call.after and job.state.open:
            if not shard.is_owned:
                # The new owner records the results from now on.
                break
            remaining = deadline - clock.uptime()
            if remaining <= 0:
                break
            job.changed.wait(remaining)
        results = job.results(call.after, _MAX_RESULTS_BYTES)
        body = self._dialect.encode_results(
            job.state.accepted.total, call.after, results
        )
        responder.answer(HTTPStatus.OK, _JSON, body)

    def _read_body(
        self, call: ReadBody, responder: Responder, job: OwnedJob
    ) -> None:
        body = None if job.state.ended else job.body(call.item)
        if body is None:
            responder.answer(HTTPStatus.NOT_FOUND)
        else:
            responder.answer(HTTPStatus.OK, (), body)

    def _end_job(
        self, responder: Responder, shard: OwnedShard, job: OwnedJob
    ) -> None:
        ended = shard.end(job)
        self._runner.wake()
        status = (
            HTTPStatus.OK if ended.is_ok() else HTTPStatus.SERVICE_UNAVAILABLE
        )
        self._log.event('job-ended', job=job.job, status=int(status))
        responder.answer(status, () if ended.is_ok() else _RETRY_AFTER)


def _excess_tokens(
    shard: OwnedShard, submission: Submission, route: Route
) -> int:
    """Count the tokens by which a job would exceed the queue limit."""
    limit = route.max_waiting_tokens
    if not limit:
        return 0
    waiting = shard.waiting_tokens(submission.host, submission.team)
    return waiting + submission.tokens - limit


def _team_of(shard: OwnedShard, job: JobId) -> TeamName | None:
    """Return the team of an accepted or pending job, None if there is none."""
    accepted = shard.jobs.get(job)
    return accepted.team if accepted else shard.pending.team_of(job)
