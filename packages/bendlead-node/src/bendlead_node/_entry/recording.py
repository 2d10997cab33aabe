"""Record keyed online requests, so that a resend gets the one result."""

from collections import deque
from collections.abc import Iterable, Iterator
from http import HTTPStatus

import gevent
import msgspec
from bendlead_ledger import ShardId, digest, request_id, shard_of, unique_id
from bendlead_schema.messages import (
    AcceptRequest,
    CompleteRequest,
    ErrorOutcome,
    FindRequest,
    Refusal,
    RefuseRequest,
    Reply,
    RequestPhase,
    RequestView,
)
from bendlead_store import Failure, clock
from result import Err, Ok, Result

from bendlead_node._common.limited import AnswerTooLargeError, Report, ignore
from bendlead_node._common.limits import MAX_BODY_BYTES
from bendlead_node._common.telemetry import Journal
from bendlead_node._common.web import Answer, CallError
from bendlead_node._entry.dispatch import Dispatcher, OnlineRequest
from bendlead_node._entry.ownership import ShardTable

RECORDED_HEADER = 'X-Bendlead-Recorded'
_ACCEPT_SECONDS = 4.0
_COMPLETE_SECONDS = 2.0
_POLL_SECONDS = 0.1
_STORED_HEADERS = 'Content-Type'


class StoredAnswer(msgspec.Struct):
    """Keep an answer as it was sent."""

    content_type: str
    body: str


class _KeptAnswer:
    """Events of a stream, none of them once they go beyond the limit."""

    def __init__(self) -> None:
        self.body = bytearray()
        self.beyond = False

    def add(self, event: bytes) -> None:
        """Keep one more event."""
        size = len(self.body) + len(event)
        self.beyond = self.beyond or size > MAX_BODY_BYTES
        if self.beyond:
            self.body.clear()
        else:
            self.body += event


class Recorder:
    """Run recorded requests once and replay their answers."""

    def __init__(
        self,
        shards: ShardTable,
        dispatcher: Dispatcher,
        runner: str,
        journal: Journal,
        report: Report = ignore,
    ) -> None:
        """Prepare records; ``report`` is told of answers beyond limits."""
        self._shards = shards
        self._dispatcher = dispatcher
        self._runner = runner
        self._journal = journal
        self._report = report
        self.running: set[str] = set()

    def name(self, team: str, key: str) -> str:
        """Name the request of a key; without a key the name is new."""
        return request_id(team, key, self._shards.count)

    def run(self, request: OnlineRequest, key: str) -> Answer:
        """Run a request unless its key was used before."""
        accepted = self._accept(request, key)
        if isinstance(accepted, Err):
            return self._unrecorded(request, accepted.err_value)
        found = accepted.ok_value
        if isinstance(found, Refusal):
            return self._refused(request, found)
        if found.fingerprint != _fingerprint(request):
            raise CallError(
                HTTPStatus.UNPROCESSABLE_ENTITY,
                'idempotency_mismatch',
                'this key was used for another request',
            )
        if found.created:
            return self._run_created(request)
        return self._replay(request, found)

    def find(self, team: str, request: str) -> RequestView | None:
        """Look a recorded request up."""
        shard = shard_of(request, self._shards.count)
        if shard is None:
            return None
        command = FindRequest(request=request, team=team)
        reply = self._shards.call(shard, command, _ACCEPT_SECONDS)
        found = reply.unwrap_or(None)
        return found if isinstance(found, RequestView) else None

    def rerun(self, view: RequestView, request: OnlineRequest) -> None:
        """Finish a request whose runner was lost."""
        if request.request in self.running:
            return
        if not view.repeatable:
            self._complete(request, _unknown_answer())
            return
        self._journal.decide(
            'rerun',
            request=request.request,
            reason='its runner was lost',
        )
        try:
            answer = self._run_created(request)
        except CallError as error:
            self._journal.event('rerun-failed', reason=error)
            return
        if not isinstance(answer.body, bytes):
            # Nobody listens; the record is made at the end.
            deque(answer.body, maxlen=0)

    def _accept(
        self,
        request: OnlineRequest,
        key: str,
    ) -> Result[Reply, Failure]:
        command = AcceptRequest(
            request=request.request,
            team=request.team,
            key=key,
            fingerprint=_fingerprint(request),
            path=request.path,
            repeatable=request.repeatable,
            body=request.body.decode(),
            runner=self._runner,
            nonce=unique_id(),
            service=request.service,
            model=request.model,
            method=request.method,
            stream=request.stream,
        )
        return self._shards.call(self._shard(request), command, _ACCEPT_SECONDS)

    def _refused(self, request: OnlineRequest, refusal: Refusal) -> Answer:
        if request.repeatable and refusal.code in {'not_accepted', 'unknown'}:
            return self._unrecorded(request, refusal.message)
        raise CallError(
            HTTPStatus.SERVICE_UNAVAILABLE,
            refusal.code,
            refusal.message,
            retry_after=max(1, refusal.retry_after),
        )

    def _unrecorded(
        self,
        request: OnlineRequest,
        reason: Failure | str,
    ) -> Answer:
        if not request.repeatable:
            raise CallError(
                HTTPStatus.SERVICE_UNAVAILABLE,
                'not_recorded',
                f'not run, for it could not be recorded first: {reason}',
                retry_after=2,
            )
        self._journal.decide(
            'run-unrecorded',
            request=request.request,
            reason=reason,
        )
        answer = self._dispatcher.run(request)
        answer.headers[RECORDED_HEADER] = 'no'
        return answer

    def _run_created(self, request: OnlineRequest) -> Answer:
        self.running.add(request.request)
        try:
            answer = self._dispatcher.run(request)
        except CallError as error:
            self.running.discard(request.request)
            self._settle_failed(request, error)
            raise
        if isinstance(answer.body, bytes):
            return self._complete(request, answer)
        answer.body = self._captured(request, answer, answer.body)
        return answer

    def _captured(
        self,
        request: OnlineRequest,
        answer: Answer,
        stream: Iterable[bytes],
    ) -> Iterator[bytes]:
        # The last event leaves after the record of the whole is durable.
        kept = _KeptAnswer()
        last = b''
        try:
            for event in stream:
                if last:
                    yield last
                last = event
                kept.add(event)
        finally:
            if b'[DONE]' not in last:
                self.running.discard(request.request)
        whole = Answer(answer.status, bytes(kept.body), answer.headers)
        self._complete(
            request, self._too_large(request) if kept.beyond else whole
        )
        yield last

    def _too_large(self, request: OnlineRequest) -> Answer:
        """Return what is recorded of a stream that its caller got whole."""
        name = request.request
        error = AnswerTooLargeError('record', name, 'stream', MAX_BODY_BYTES)
        self._report(error)
        return CallError(
            HTTPStatus.BAD_GATEWAY,
            'answer_not_recorded',
            f'the request has run; its answer is not kept: {error}',
            ErrorOutcome.complete,
        ).answer()

    def _complete(self, request: OnlineRequest, answer: Answer) -> Answer:
        stored = StoredAnswer(
            answer.headers.get(_STORED_HEADERS, ''),
            bytes(answer.body).decode(),
        )
        command = CompleteRequest(
            request=request.request,
            status=answer.status,
            body=msgspec.json.encode(stored).decode(),
        )
        shard = self._shard(request)
        reply = self._shards.call(shard, command, _COMPLETE_SECONDS)
        if isinstance(reply, Ok) and isinstance(reply.ok_value, RequestView):
            self.running.discard(request.request)
            return _stored_answer(reply.ok_value)
        self._journal.keep_running(
            'completion', self._keep_completing, request, command
        )
        answer.headers[RECORDED_HEADER] = 'pending'
        return answer

    def _keep_completing(
        self,
        request: OnlineRequest,
        command: CompleteRequest,
    ) -> None:
        while True:
            reply = self._shards.call(self._shard(request), command)
            if isinstance(reply, Ok):
                self.running.discard(request.request)
                return

    def _settle_failed(self, request: OnlineRequest, error: CallError) -> None:
        if error.outcome is ErrorOutcome.not_run:
            command = RefuseRequest(request=request.request)
            self._shards.call(self._shard(request), command)
        else:
            self._complete(request, error.answer())

    def _replay(self, request: OnlineRequest, found: RequestView) -> Answer:
        while found.phase is not RequestPhase.completed:
            if clock.uptime() > request.deadline:
                raise CallError(
                    HTTPStatus.CONFLICT,
                    'still_running',
                    'the request with this key is still running',
                    ErrorOutcome.unknown,
                    retry_after=1,
                )
            gevent.sleep(_POLL_SECONDS)
            later = self.find(request.team, request.request)
            if later is None:
                return self._dispatcher.run(request)
            found = later
        return _stored_answer(found)

    def _shard(self, request: OnlineRequest) -> ShardId:
        shard = shard_of(request.request, self._shards.count)
        if shard is None:
            raise ValueError(f'{request.request} carries no shard')
        return shard


def stored_answer(view: RequestView) -> StoredAnswer:
    """Read the stored answer of a completed request."""
    return msgspec.json.decode(view.body, type=StoredAnswer)


def _stored_answer(view: RequestView) -> Answer:
    stored = stored_answer(view)
    headers = {
        'Content-Type': stored.content_type,
        RECORDED_HEADER: 'yes',
        'X-Bendlead-Outcome': ErrorOutcome.complete.value,
    }
    return Answer(view.status, stored.body.encode(), headers)


def _fingerprint(request: OnlineRequest) -> str:
    return digest(request.path, request.body.decode())


def _unknown_answer() -> Answer:
    return CallError(
        HTTPStatus.BAD_GATEWAY,
        'outcome_unknown',
        'the process that ran the request was lost; it may have run and '
        'will not be run again',
        ErrorOutcome.unknown,
    ).answer()
