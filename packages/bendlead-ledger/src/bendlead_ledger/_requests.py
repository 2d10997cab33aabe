"""Commands on recorded online requests."""

import time

from bendlead_schema.messages import (
    AcceptRequest,
    Acknowledged,
    CompleteRequest,
    FindRequest,
    Refusal,
    RefuseRequest,
    Reply,
    RequestPhase,
    RequestView,
)
from bendlead_schema.records import (
    RequestAccepted,
    RequestCompleted,
    RequestRefused,
)
from result import Err

from bendlead_ledger._committer import Committer
from bendlead_ledger._jobs import refusal
from bendlead_ledger._state import RequestState, ShardState

_COMMIT_SECONDS = 5.0


class RequestCommands:
    """Handler of commands on the recorded requests of one shard."""

    def __init__(self, state: ShardState, committer: Committer) -> None:
        self._state = state
        self._committer = committer

    def accept(self, command: AcceptRequest) -> Reply:
        """Record a request once; only the caller that created it may run it."""
        if command.request not in self._state.requests:
            record = _request_accepted(command)
            done = self._committer.commit([record], _COMMIT_SECONDS)
            if isinstance(done, Err):
                return refusal(done.err_value)
        return self._view(command.request, command.team, command.nonce)

    def complete(self, command: CompleteRequest) -> Reply:
        """Record the result of a request; return the one that is recorded."""
        record = RequestCompleted(
            request=command.request,
            status=command.status,
            body=command.body,
            at=time.time(),
        )
        done = self._committer.commit([record])
        if isinstance(done, Err):
            return refusal(done.err_value)
        request = self._state.requests.get(command.request)
        return (
            _request_view(request, created=False) if request else Acknowledged()
        )

    def refuse(self, command: RefuseRequest) -> Reply:
        """Release the key of a request that certainly has not run."""
        record = RequestRefused(request=command.request)
        done = self._committer.commit([record], _COMMIT_SECONDS)
        if isinstance(done, Err):
            return refusal(done.err_value)
        return Acknowledged()

    def find(self, command: FindRequest) -> Reply:
        """Return a recorded request."""
        return self._view(command.request, command.team)

    def _view(self, request_id: str, team: str, nonce: str = '') -> Reply:
        request = self._state.requests.get(request_id)
        if request is None or request.accepted.team != team:
            return Refusal(
                code='not_found',
                message=f'no recorded request {request_id}',
            )
        # A resend after a lost reply has the same nonce and counts as creator.
        return _request_view(request, created=request.accepted.nonce == nonce)


def _request_view(request: RequestState, *, created: bool) -> RequestView:
    phase = RequestPhase.completed if request.status else RequestPhase.accepted
    accepted = request.accepted
    return RequestView(
        request=accepted.request,
        team=accepted.team,
        fingerprint=accepted.fingerprint,
        path=accepted.path,
        repeatable=accepted.repeatable,
        phase=phase,
        created=created,
        status=request.status,
        body=request.body,
    )


def _request_accepted(command: AcceptRequest) -> RequestAccepted:
    return RequestAccepted(
        request=command.request,
        team=command.team,
        key=command.key,
        fingerprint=command.fingerprint,
        path=command.path,
        repeatable=command.repeatable,
        body=command.body,
        nonce=command.nonce,
        runner=command.runner,
        service=command.service,
        model=command.model,
        method=command.method,
        stream=command.stream,
        at=time.time(),
    )
