"""Pass online requests straight to the engine."""

from collections.abc import Iterator
from http import HTTPStatus

from bendlead_gateway.suspects import RequestDigest
from bendlead_schema.messages import ErrorOutcome
from bendlead_store import Failure, clock
from geventhttpclient.response import HTTPSocketPoolResponse
from result import Err

from bendlead_node._common.peer_gate import PeerGate
from bendlead_node._common.telemetry import Metrics
from bendlead_node._common.upstream import (
    DIGEST_HEADER,
    abandon,
    events,
    read_body,
)
from bendlead_node._common.web import ENGINE_AWAY, Answer, Call, CallError
from bendlead_node._endpoint.admission import Admission
from bendlead_node._endpoint.controller import BatchLimit
from bendlead_node._endpoint.ends import EngineEnds
from bendlead_node._endpoint.engine import ONLINE_PRIORITY, Engine

_BODY_BYTES = 64_000_000
_STREAM_TYPE = 'text/event-stream'
_DONE = b'data: [DONE]'
_PASSED_HEADERS = ('Content-Type', 'X-Request-Id', 'Last-Event-ID')


class OnlinePath:
    """Admit online requests and relay the engine's answers."""

    def __init__(
        self,
        service: str,
        gate: PeerGate,
        admission: Admission,
        engine: Engine,
        limit: BatchLimit,
        metrics: Metrics,
        ends: EngineEnds,
    ) -> None:
        self._gate = gate
        self._admission = admission
        self._engine = engine
        self._limit = limit
        self._ends = ends
        self._first = metrics.first_token.labels(service, 'online')
        self._between = metrics.between_tokens.labels(service, 'online')

    def serve(self, call: Call) -> Answer:
        """Answer one online request."""
        self._gate.check(call)
        body = call.body(_BODY_BYTES)
        started = clock.uptime()
        self._admission.enter_online()
        try:
            return self._relay(call, body, started)
        except BaseException:
            self._admission.leave_online()
            raise

    def _relay(self, call: Call, body: bytes, started: float) -> Answer:
        path = f'{call.path}?{call.query}' if call.query else call.path
        sent = self._engine.send(call.method, path, body, _headers(call))
        digest = RequestDigest(call.header(DIGEST_HEADER))
        if isinstance(sent, Err):
            if not sent.err_value.had_no_effect:
                self._ends.broke_off(digest)
            raise _lost(sent.err_value)
        response = sent.ok_value
        kind = response.get('content-type') or ''
        headers = {'Content-Type': str(kind)}
        if str(kind).startswith(_STREAM_TYPE):
            stream = self._stream(response, started, digest)
            return Answer(response.status_code, stream, headers)
        whole = read_body(response)
        if isinstance(whole, Err):
            self._ends.broke_off(digest)
            raise _lost(whole.err_value)
        self._admission.leave_online()
        return Answer(response.status_code, whole.ok_value, headers)

    def _stream(
        self,
        response: HTTPSocketPoolResponse,
        started: float,
        digest: RequestDigest,
    ) -> Iterator[bytes]:
        previous = 0.0
        ended = False
        try:
            for event in self._events(response, digest):
                now = clock.uptime()
                if previous:
                    self._note_gap(now - previous)
                else:
                    self._first.observe(now - started)
                previous = now
                ended = event.startswith(_DONE)
                yield event
            if not ended:
                # Closing without an end lets the entry resume elsewhere.
                raise ConnectionError('the engine ended a stream early')
        finally:
            self._admission.leave_online()
            if not ended:
                abandon(response)

    def _events(
        self, response: HTTPSocketPoolResponse, digest: RequestDigest
    ) -> Iterator[bytes]:
        """Read events; note where the engine breaks off."""
        event = b''
        try:
            for event in events(response):
                yield event
        except GeneratorExit:
            raise
        except Exception:  # the library raises many kinds
            self._ends.broke_off(digest)
            raise
        if not event.startswith(_DONE):
            self._ends.broke_off(digest)

    def _note_gap(self, seconds: float) -> None:
        self._between.observe(seconds)
        running = self._admission.online + self._admission.batch
        self._limit.learn(running, seconds)


def _headers(call: Call) -> dict[str, str]:
    headers = {'X-Priority': ONLINE_PRIORITY}
    for name in _PASSED_HEADERS:
        text = call.header(name)
        if text:
            headers[name] = text
    return headers


def _lost(failure: Failure) -> CallError:
    if failure.had_no_effect:
        return CallError(
            HTTPStatus.SERVICE_UNAVAILABLE,
            ENGINE_AWAY,
            str(failure),
            retry_after=1,
        )
    return CallError(
        HTTPStatus.BAD_GATEWAY,
        'engine_lost',
        str(failure),
        ErrorOutcome.unknown,
    )
