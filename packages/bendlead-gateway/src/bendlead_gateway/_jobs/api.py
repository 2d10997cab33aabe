"""Answer clients' calls about jobs for the shards held here."""

import random
from http import HTTPStatus

from bendlead_store import Failure, FailureKind, clock
from msgspec.structs import replace

from bendlead_gateway._fleet.catalog import ConfigurationHolder
from bendlead_gateway._http.messages import Request, Responder
from bendlead_gateway._jobs.board import Board
from bendlead_gateway._jobs.held import HeldJob
from bendlead_gateway._jobs.keeper import ShardKeeper
from bendlead_gateway._jobs.runner import ItemRunner
from bendlead_gateway._jobs.shards import shard_of
from bendlead_gateway._jobs.told_team import told_team
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

_AWAY = HTTPStatus.SERVICE_UNAVAILABLE
_FULL = HTTPStatus.TOO_MANY_REQUESTS
_JSON = (('Content-Type', 'application/json'),)
_RETRY_AFTER = (('Retry-After', '0.3'),)
#: A client whose job does not fit should come back when items are done (s).
_FULL_RETRY_AFTER = (('Retry-After', '1'),)
#: Marks an answer that only says who does not hold the shard.
_NOT_HELD = (('X-Not-Held', '1'), ('Retry-After', '0.3'))
#: Results of one answer (bytes of text).
_MOST_RESULTS = 900_000
#: Ownership proved this share of the settling time ago is fresh enough.
_SURE_SHARE = 0.7


class JobApi:
    """Accept, show and end jobs."""

    def __init__(
        self,
        keeper: ShardKeeper,
        runner: ItemRunner,
        configuration: ConfigurationHolder,
        dialect: Dialect,
        log: Log,
        settle: float,
    ) -> None:
        self._keeper = keeper
        self._runner = runner
        self._configuration = configuration
        self._dialect = dialect
        self._log = log
        self._sure = settle * _SURE_SHARE

    def answer(self, request: Request, responder: Responder) -> None:
        """Answer one call that an entry relays."""
        call = self._dialect.job_call(
            request.method, request.target, request.headers
        )
        host = request.host
        board = self._keeper.boards.get(shard_of(host))
        if board is None:
            responder.answer(_AWAY, _NOT_HELD)
        elif call is None:
            self._submit(request, responder, board)
        else:
            self._call(call, responder, board, told_team(request.headers))

    def _submit(
        self, request: Request, responder: Responder, board: Board
    ) -> None:
        submission = self._dialect.submission(
            request.target, request.headers, request.body
        )
        if submission is None:
            responder.answer(HTTPStatus.BAD_REQUEST)
            return
        submission = replace(submission, team=told_team(request.headers))
        route = self._configuration.match(submission.host, request.path)
        if route is None or route.kind is not RouteKind.BATCH:
            self._said(
                submission,
                'no route',
                responder,
                HTTPStatus.SERVICE_UNAVAILABLE,
            )
            return
        if _team_of(board, submission.job) not in {None, submission.team}:
            self._said(
                submission,
                'id of another team',
                responder,
                HTTPStatus.CONFLICT,
            )
            return
        if submission.job in board.jobs:
            self._said(submission, 'again', responder, HTTPStatus.ACCEPTED)
            return
        over = _tokens_over(board, submission, route)
        if over > 0:
            self._refuse_full(submission, responder, over)
            return
        accepted = board.accept(submission)
        if accepted.is_ok():
            self._runner.wake()
            self._said(submission, 'accepted', responder, HTTPStatus.ACCEPTED)
        else:
            failure: Failure = accepted.err_value
            status = (
                HTTPStatus.SERVICE_UNAVAILABLE
                if failure.had_no_effect
                else HTTPStatus.GATEWAY_TIMEOUT
            )
            self._said(submission, str(failure), responder, status)

    def _refuse_full(
        self, submission: Submission, responder: Responder, over: int
    ) -> None:
        """Tell when the tokens that are too many will have been done."""
        headers = _FULL_RETRY_AFTER
        if self._configuration.asks_for_keys:
            seconds = self._runner.backlog_rates.estimate_seconds(
                submission.host,
                submission.team,
                over,
                clock.uptime(),
                random.random,
            )
            headers = (('Retry-After', f'{seconds:.3f}'),)
        self._said(
            submission,
            f'does not fit by {over} tokens',
            responder,
            HTTPStatus.TOO_MANY_REQUESTS,
            headers,
        )

    def _said(
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

    def _call(
        self,
        call: JobCall,
        responder: Responder,
        board: Board,
        team: TeamName,
    ) -> None:
        sure = board.sure(self._sure)
        if sure.is_err():
            failure: Failure = sure.err_value
            fenced = failure.kind is FailureKind.CONFLICT
            responder.answer(
                HTTPStatus.SERVICE_UNAVAILABLE,
                _NOT_HELD if fenced else _RETRY_AFTER,
            )
            return
        job = board.jobs.get(call.job)
        if job is None or job.team != team:
            # The answer shows a team nothing of the jobs of others.
            self._log.event(
                'job-unknown',
                job=call.job,
                epoch=board.epoch,
                team=team,
                held_by=job.team if job else '-',
            )
            responder.answer(HTTPStatus.NOT_FOUND)
        elif isinstance(call, ReadResults):
            self._read(call, responder, board, job)
        elif isinstance(call, ReadBody):
            self._body(call, responder, job)
        elif isinstance(call, EndJob):
            self._end(responder, board, job)

    def _read(
        self,
        call: ReadResults,
        responder: Responder,
        board: Board,
        job: HeldJob,
    ) -> None:
        until = clock.uptime() + call.wait
        while len(job.state.results) <= call.after and job.state.open:
            if not board.held:
                # Results come at another owner from now on.
                break
            left = until - clock.uptime()
            if left <= 0:
                break
            job.changed.wait(left)
        given = job.results(call.after, _MOST_RESULTS)
        body = self._dialect.encode_results(
            job.state.accepted.total, call.after, given
        )
        responder.answer(HTTPStatus.OK, _JSON, body)

    def _body(self, call: ReadBody, responder: Responder, job: HeldJob) -> None:
        body = None if job.state.ended else job.body(call.item)
        if body is None:
            responder.answer(HTTPStatus.NOT_FOUND)
        else:
            responder.answer(HTTPStatus.OK, (), body)

    def _end(self, responder: Responder, board: Board, job: HeldJob) -> None:
        ended = board.end(job)
        self._runner.wake()
        status = (
            HTTPStatus.OK if ended.is_ok() else HTTPStatus.SERVICE_UNAVAILABLE
        )
        self._log.event('job-ended', job=job.job, status=int(status))
        responder.answer(status, () if ended.is_ok() else _RETRY_AFTER)


def _tokens_over(board: Board, submission: Submission, route: Route) -> int:
    """Count the tokens by which a job does not fit."""
    limit = route.max_waiting_tokens
    if not limit:
        return 0
    waiting = board.waiting_tokens(submission.host, submission.team)
    return waiting + submission.tokens - limit


def _team_of(board: Board, job: JobId) -> TeamName | None:
    """Tell whose job has an id, held or being accepted, if one has."""
    held = board.jobs.get(job)
    return held.team if held else board.pending.team_of(job)
