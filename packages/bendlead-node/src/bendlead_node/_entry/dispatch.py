"""Send an online request to an endpoint, and again only where that is safe."""

from collections.abc import Generator, Iterator
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Protocol

from bendlead_schema.messages import ErrorOutcome
from bendlead_store import Failure, FailureKind, clock
from geventhttpclient.response import HTTPSocketPoolResponse
from result import Err, Ok, Result

from bendlead_node._common.telemetry import (
    Journal,
    Metrics,
    answer_reporter,
)
from bendlead_node._common.upstream import (
    DIGEST_HEADER,
    PEER_HEADER,
    Clients,
    abandon,
    events,
    read_body,
)
from bendlead_node._common.web import (
    ENGINE_AWAY_HEADER,
    JSON_TYPE,
    LEAVING_HEADER,
    OUTCOME_HEADER,
    Answer,
    CallError,
)
from bendlead_node._entry.budget import RetryBudget
from bendlead_node._entry.members import EndpointPeer, Members
from bendlead_node._entry.routing import Router

_DONE = b'data: [DONE]'
_ATTEMPTS = 4
_ID_FIELD = b'id: '
_FAILED_KINDS = {
    ErrorOutcome.not_run.value: FailureKind.REFUSED,
    ErrorOutcome.unknown.value: FailureKind.UNKNOWN,
}
_KEPT_HEADERS = ('content-type', 'retry-after')


@dataclass(slots=True)
class OnlineRequest:
    """Hold what every attempt of one online request needs."""

    request: str
    team: str
    service: str
    model: str
    method: str
    path: str
    body: bytes
    stream: bool
    repeatable: bool
    deadline: float
    avoid: set[str] = field(default_factory=set)
    may_have_run: bool = False
    #: Name of its trial, until an engine may have run it; empty if it is none.
    trial: str = ''


class Suspects(Protocol):
    """Know the requests under which engines ended."""

    def digest(self, request: OnlineRequest) -> str:
        """Name a request, whichever attempt of its caller it is."""

    def check(self, request: OnlineRequest) -> None:
        """Refuse a request that must reach no engine now."""

    def begin(self, request: OnlineRequest, endpoint: str) -> None:
        """Make a quarantined request a trial, or refuse it."""

    def await_news(self, request: OnlineRequest) -> None:
        """Wait for news of an engine that broke off a request."""

    def answered(self, request: OnlineRequest) -> None:
        """Clear a request that an engine has answered whole."""


@dataclass(slots=True)
class _Sent:
    peer: EndpointPeer
    response: HTTPSocketPoolResponse


class Dispatcher:
    """Try endpoints until one answers, an attempt is unsafe, or time is up."""

    def __init__(
        self,
        members: Members,
        router: Router,
        peer_key: str,
        timeout: float,
        journal: Journal,
        metrics: Metrics,
        suspects: Suspects,
    ) -> None:
        self._members = members
        self._suspects = suspects
        self._router = router
        self._clients = Clients(timeout, answer_reporter(journal, metrics))
        self._peer_key = peer_key
        self._journal = journal
        self._metrics = metrics
        self._budgets: dict[str, RetryBudget] = {}

    def run(self, request: OnlineRequest) -> Answer:
        """Answer a request, whole or as a stream."""
        sent = self._send(request, b'')
        headers = _kept_headers(sent.response)
        if request.stream and sent.response.status_code == HTTPStatus.OK:
            return Answer(HTTPStatus.OK, self._stream(request, sent), headers)
        return self._whole(request, sent)

    def _whole(self, request: OnlineRequest, sent: _Sent) -> Answer:
        while True:
            headers = _kept_headers(sent.response)
            status = sent.response.status_code
            body = read_body(sent.response)
            sent.peer.sent -= 1
            if isinstance(body, Ok):
                self._complete(request, status)
                return Answer(status, body.ok_value, headers)
            self._note_cut(request, sent, body.err_value)
            self._require_repeatable(request)
            self._suspects.await_news(request)
            sent = self._send(request, b'')

    def _stream(self, request: OnlineRequest, sent: _Sent) -> Iterator[bytes]:
        last = b''
        try:
            while True:
                last = yield from self._relay(request, sent, last)
                if last.startswith(_DONE):
                    return
                self._require_repeatable(request)
                self._suspects.await_news(request)
                sent = self._send(request, _event_id(last))
        except CallError as error:
            yield b'data: %b\n\n' % error.answer().body

    def _relay(
        self,
        request: OnlineRequest,
        sent: _Sent,
        last: bytes,
    ) -> Generator[bytes, None, bytes]:
        """Pass events on; return the last one with an id, or the end."""
        try:
            for event in events(sent.response):
                last = event if event.startswith(_ID_FIELD) else last
                yield event
                if event.startswith(_DONE):
                    self._complete(request, sent.response.status_code)
                    return event
        except GeneratorExit:
            abandon(sent.response)
            raise
        except Exception as error:  # the library raises many kinds
            failure = Failure(
                FailureKind.UNKNOWN,
                'read stream',
                sent.peer.heartbeat.address,
                f'{type(error).__name__}: {error}',
            )
            self._note_cut(request, sent, failure)
        finally:
            sent.peer.sent -= 1
        return last

    def _send(self, request: OnlineRequest, resume_after: bytes) -> _Sent:
        budget = self._budgets.setdefault(request.service, RetryBudget())
        budget.deposit()
        refused: Failure | None = None
        attempts = 0
        while attempts < _ATTEMPTS:
            if refused and not budget.withdraw():
                self._note_no_budget(request)
                break
            self._suspects.check(request)
            peer = self._next_peer(request)
            if peer is None:
                break
            self._suspects.begin(request, peer.heartbeat.endpoint)
            tried = self._try(request, peer, resume_after)
            if isinstance(tried, Ok):
                return tried.ok_value
            refused = tried.err_value
            # Engines that have ended are tried once each, and load nobody.
            attempts += refused.kind is not FailureKind.NOT_DONE
            self._note_refused(request, peer, refused)
        raise self._given_up(request, refused)

    def _next_peer(self, request: OnlineRequest) -> EndpointPeer | None:
        if clock.uptime() > request.deadline:
            return None
        return self._router.pick(request.service, request.model, request.avoid)

    def _note_refused(
        self,
        request: OnlineRequest,
        peer: EndpointPeer,
        refused: Failure,
    ) -> None:
        request.avoid.add(peer.heartbeat.endpoint)
        self._note_retry(request, peer, refused)
        if not refused.had_no_effect:
            request.may_have_run = True
            request.trial = ''
            self._require_repeatable(request)
            self._suspects.await_news(request)

    def _note_no_budget(self, request: OnlineRequest) -> None:
        self._journal.decide(
            'retry-refused',
            request=request.request,
            reason='retry budget spent',
        )

    def _try(
        self,
        request: OnlineRequest,
        peer: EndpointPeer,
        resume_after: bytes,
    ) -> Result[_Sent, Failure]:
        headers = {
            'Content-Type': JSON_TYPE,
            PEER_HEADER: self._peer_key,
            'X-Request-Id': request.request,
            'X-Bendlead-Team': request.team,
            DIGEST_HEADER: self._suspects.digest(request),
        }
        if resume_after:
            headers['Last-Event-ID'] = resume_after.decode()
        peer.sent += 1
        sent = self._clients.send(
            request.method,
            peer.heartbeat.address,
            request.path,
            request.body,
            headers,
        )
        if isinstance(sent, Err):
            peer.sent -= 1
            self._router.failed(peer)
            if sent.err_value.kind is FailureKind.NOT_DONE:
                # Nothing listens there: wait for its next heartbeat.
                self._members.forget_endpoint(peer.heartbeat.endpoint)
            return sent
        response = sent.ok_value
        outcome = response.get(OUTCOME_HEADER)
        if outcome in _FAILED_KINDS:
            peer.sent -= 1
            if response.get(ENGINE_AWAY_HEADER) is not None:
                self._router.away(peer)
                return _refused(peer, response, FailureKind.NOT_DONE)
            self._router.refused(peer)
            # Known from the refusal, not only from the next heartbeat.
            leaving = response.get(LEAVING_HEADER) is not None
            peer.heartbeat.leaving = peer.heartbeat.leaving or leaving
            return _refused(peer, response, _FAILED_KINDS[outcome])
        self._router.succeeded(peer)
        return Ok(_Sent(peer, response))

    def _note_cut(
        self,
        request: OnlineRequest,
        sent: _Sent,
        failure: Failure,
    ) -> None:
        request.may_have_run = True
        request.trial = ''
        request.avoid.add(sent.peer.heartbeat.endpoint)
        self._router.failed(sent.peer)
        self._note_retry(request, sent.peer, failure)

    def _note_retry(
        self,
        request: OnlineRequest,
        peer: EndpointPeer,
        failure: Failure,
    ) -> None:
        self._metrics.retries.inc()
        self._journal.decide(
            'attempt-failed',
            request=request.request,
            endpoint=peer.heartbeat.endpoint,
            reason=failure,
        )

    def _require_repeatable(self, request: OnlineRequest) -> None:
        if request.repeatable:
            return
        self._count(request, 'unknown')
        raise CallError(
            HTTPStatus.BAD_GATEWAY,
            'outcome_unknown',
            'the connection broke after the request was sent; '
            'it may have run and will not be run again',
            ErrorOutcome.unknown,
        )

    def _given_up(
        self,
        request: OnlineRequest,
        refused: Failure | None,
    ) -> CallError:
        outcome = ErrorOutcome.not_run
        if request.may_have_run:
            outcome = ErrorOutcome.unknown
        self._count(request, outcome.value)
        reason = str(refused) if refused else 'no endpoint is available'
        retry_after = refused.retry_after if refused else 1
        return CallError(
            HTTPStatus.SERVICE_UNAVAILABLE,
            'overloaded',
            f'service {request.service}: {reason}',
            outcome,
            retry_after=max(1, retry_after),
        )

    def _complete(self, request: OnlineRequest, status: int) -> None:
        self._count(request, 'complete')
        if status < HTTPStatus.MULTIPLE_CHOICES:
            self._suspects.answered(request)

    def _count(self, request: OnlineRequest, outcome: str) -> None:
        self._metrics.requests.labels(
            request.service,
            'online',
            outcome,
        ).inc()


def _refused(
    peer: EndpointPeer,
    response: HTTPSocketPoolResponse,
    kind: FailureKind,
) -> Err[Failure]:
    detail = read_body(response).unwrap_or(b'').decode(errors='replace')
    return Err(
        Failure(
            kind,
            'endpoint',
            peer.heartbeat.address,
            detail,
            float(response.get('retry-after') or 1),
        ),
    )


def _kept_headers(response: HTTPSocketPoolResponse) -> dict[str, str]:
    kept = {OUTCOME_HEADER: ErrorOutcome.complete.value}
    for name in _KEPT_HEADERS:
        text = response.get(name)
        if text:
            kept[name.title()] = text
    return kept


def _event_id(event: bytes) -> bytes:
    line = event.split(b'\n', 1)[0]
    return line.removeprefix(_ID_FIELD).strip()
