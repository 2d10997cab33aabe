"""Relay the response of an engine to the client."""

import math
from collections.abc import Iterable, Iterator
from http import HTTPStatus

from bendlead_store import clock

from bendlead_gateway._fleet.fleet import Fleet
from bendlead_gateway._http.answer_budget import HeldAnswer
from bendlead_gateway._http.client import (
    HttpConnection,
    ResponseError,
    ResponseHead,
    ResponseTimeoutError,
    ResponseTooLargeError,
)
from bendlead_gateway._http.framing import Framing
from bendlead_gateway._http.limits import MAX_RETRIED_BYTES, MAX_UNFRAMED_BYTES
from bendlead_gateway._log import Log
from bendlead_gateway._online.answer_body import AnswerBody, EventPosition
from bendlead_gateway._online.events import (
    EventBoundary,
    EventSplitter,
    StreamEvent,
)
from bendlead_gateway._online.exchange import Exchange
from bendlead_gateway._online.outcomes import (
    BrokenStreamError,
    UnknownOutcomeError,
)
from bendlead_gateway._online.silence_watch import SilenceWatch
from bendlead_gateway._streams.origin import StreamOrigin
from bendlead_gateway._streams.origins import StreamOrigins
from bendlead_gateway._streams.resumption import retention_seconds
from bendlead_gateway._suspects.suspected_parts import outlasts_suspicion
from bendlead_gateway.types import Engine, Headers, RouteKind

_HOP_BY_HOP_HEADERS = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'content-length',
    ),
)
_EVENT_STREAM = 'text/event-stream'


def end_to_end_headers(headers: Headers) -> list[tuple[str, str]]:
    """Return the headers without those that apply to one connection."""
    return [
        (name, text)
        for name, text in headers
        if name.lower() not in _HOP_BY_HOP_HEADERS
    ]


def _has_events(head: ResponseHead) -> bool:
    """Return whether a response of a streaming route is a stream of events."""
    if head.status != HTTPStatus.OK or head.framing is Framing.NO_BODY:
        return False
    content_type = head.find('content-type') or _EVENT_STREAM
    return content_type.strip().lower().startswith(_EVENT_STREAM)


class ResponseRelay:
    """Relay one response from one engine.

    Raises ``BrokenStreamError`` where the response breaks off after a part of
    it went to the client, else ``UnknownOutcomeError``.
    """

    def __init__(
        self,
        exchange: Exchange,
        engine: Engine,
        connection: HttpConnection,
        fleet: Fleet,
        origins: StreamOrigins,
        log: Log,
    ) -> None:
        self._exchange = exchange
        self._origins = origins
        self._engine = engine
        self._connection = connection
        self._suspects = fleet.suspects
        self._ends = fleet.ends
        self._answers = fleet.answers
        self._parts_cleared = False
        self._health = fleet.health
        self._silence = SilenceWatch(exchange, engine, fleet, log)
        self._pace = fleet.pace
        self._stream = fleet.observe_stream(engine)
        self._first_part_at = 0.0
        self._last_part_at = 0.0

    def relay(self, head: ResponseHead) -> None:
        """Relay the body by event, by chunk or buffered, by kind of route."""
        exchange = self._exchange
        exchange.framing = head.framing
        self._parts_cleared = head.status >= HTTPStatus.MULTIPLE_CHOICES
        stream = exchange.route.kind is RouteKind.STREAM and _has_events(head)
        if stream and exchange.route.resumable:
            self._relay_events(head)
        elif exchange.responder.started:
            raise BrokenStreamError(f'resume failed with status {head.status}')
        elif stream:
            self._relay_bytes(head)
        else:
            self._relay_plain(head)
        if head.status < HTTPStatus.INTERNAL_SERVER_ERROR:
            self._health.record_success(self._engine.engine)
            if self._first_part_at:
                run_seconds = clock.uptime() - self._first_part_at
                self._pace.observe_run(run_seconds)
                self._stream.finish()

    def _relay_bytes(self, head: ResponseHead) -> None:
        """Relay a stream that no other engine can resume."""
        exchange = self._exchange
        boundary = EventBoundary()
        body = self._body(head, boundary)
        self._start_stream(head)
        try:
            for part in self._parts(body, exchange.read_timeout):
                boundary.feed(part)
                exchange.responder.write(part)
        except ResponseError as error:
            raise BrokenStreamError(str(error)) from error
        exchange.responder.finish()

    def _relay_plain(self, head: ResponseHead) -> None:
        """Buffer a plain response, so that a broken one can be retried.

        One that is too large for that is passed on as it arrives.
        """
        timeout = self._exchange.read_timeout
        parts = self._parts(self._body(head), timeout, timeout)
        held = HeldAnswer(self._answers)
        try:
            self._relay_held(head, parts, held)
        finally:
            held.end()

    def _relay_held(
        self, head: ResponseHead, parts: Iterator[bytes], held: HeldAnswer
    ) -> None:
        try:
            body, whole = _read_start(parts, head.framing, held)
        except ResponseError as error:
            raise UnknownOutcomeError(
                f'incomplete response: {error}'
            ) from error
        self._exchange.status = head.status
        if whole:
            self._answer(head, body)
        else:
            self._relay_large(head, body, parts, held)

    def _relay_large(
        self,
        head: ResponseHead,
        start: bytes,
        parts: Iterator[bytes],
        held: HeldAnswer,
    ) -> None:
        responder = self._exchange.responder
        headers = end_to_end_headers(head.headers)
        responder.start(head.status, head.reason, headers, length=None)
        responder.write(start)
        held.release()
        try:
            for part in parts:
                responder.write(part)
        except ResponseError as error:
            raise BrokenStreamError(str(error)) from error
        responder.finish()

    def _answer(self, head: ResponseHead, body: bytes) -> None:
        """Send a whole plain response."""
        headers = end_to_end_headers(head.headers)
        responder = self._exchange.responder
        if head.framing is Framing.NO_BODY:
            length = head.find('content-length')
            if length is not None:
                headers.append(('Content-Length', length))
            responder.answer_without_body(head.status, head.reason, headers)
        else:
            responder.start(head.status, head.reason, headers, len(body))
            responder.write(body)
            responder.finish()

    def _relay_events(self, head: ResponseHead) -> None:
        """Relay complete events, so that another engine can resume."""
        exchange = self._exchange
        splitter = EventSplitter()
        body = self._body(head, splitter)
        self._start_stream(head)
        try:
            for part in self._parts_until_given_up(body):
                self._write_events(splitter.feed(part))
        except ResponseError as error:
            raise BrokenStreamError(str(error)) from error
        exchange.responder.finish()

    def _body(
        self, head: ResponseHead, events: EventPosition | None = None
    ) -> AnswerBody:
        return AnswerBody(
            self._engine, self._connection, head, self._ends, events
        )

    def _parts_until_given_up(self, body: AnswerBody) -> Iterator[bytes]:
        """Yield the body until its silent engine is given up."""
        while True:
            try:
                yield from self._parts(body, self._silence.timeout)
            except ResponseTimeoutError as silent:
                self._silence.check(silent)
            else:
                return

    def _write_events(self, events: Iterable[StreamEvent]) -> None:
        """Write the events up to the first that does not follow the last."""
        checked = []
        try:
            for event in events:
                self._check_order(event.number)
                checked.append(event.raw)
        finally:
            # Another engine goes on behind these, and does not repeat them.
            self._exchange.responder.write(b''.join(checked))

    def _check_order(self, number: int | None) -> None:
        previous = self._exchange.last_event
        if number is None:
            raise ResponseError('event without an event number')
        if previous is not None and number != previous + 1:
            raise ResponseError(
                f'event {number} received after event {previous}'
            )
        if previous is None:
            self._record_origin()
        self._exchange.last_event = number

    def _record_origin(self) -> None:
        exchange, engine = self._exchange, self._engine
        exchange.stream_version = engine.version
        self._origins.record(
            exchange.facts.request,
            StreamOrigin(
                engine.service,
                engine.version,
                exchange.route.name,
                exchange.team,
            ),
            retention_seconds(exchange.route, exchange.facts.timeout),
        )

    def _parts(
        self, body: AnswerBody, timeout: float, within: float = math.inf
    ) -> Iterator[bytes]:
        for part in body.parts(timeout, within):
            self._observe(part)
            yield part

    def _observe(self, part: bytes) -> None:
        now = clock.uptime()
        if self._exchange.route.kind is RouteKind.STREAM:
            self._stream.add_chunk(part, now)
        self._check_progress()
        name = self._engine.engine
        self._health.record_activity(name)
        self._silence.record_byte(now)
        if not self._exchange.first_event:
            self._exchange.first_event = now
        if not self._first_part_at:
            self._first_part_at = now
        if self._last_part_at:
            self._pace.observe_gap(name, now - self._last_part_at)
        self._last_part_at = now

    def _check_progress(self) -> None:
        exchange = self._exchange
        if not self._parts_cleared and outlasts_suspicion(exchange.head_at):
            self._parts_cleared = True
            self._suspects.record_progress(exchange.facts.shared_parts)

    def _start_stream(self, head: ResponseHead) -> None:
        exchange = self._exchange
        if exchange.responder.started:
            return
        exchange.status = head.status
        exchange.responder.start(
            head.status,
            head.reason,
            end_to_end_headers(head.headers),
            length=None,
        )


def _read_start(
    parts: Iterator[bytes], framing: Framing, held: HeldAnswer
) -> tuple[bytes, bool]:
    """Read what is kept of a plain response; return whether that is all.

    Raises ``ResponseTooLargeError`` if a larger one can't be passed on.
    """
    unframed = framing is Framing.CONNECTION
    limit = MAX_UNFRAMED_BYTES if unframed else MAX_RETRIED_BYTES
    read = []
    for part in parts:
        read.append(part)
        held.add(len(part))
        too_large = held.size > limit or held.is_over
        if too_large and unframed:
            raise ResponseTooLargeError(
                f'response without length too large: {held.size} bytes'
            )
        if too_large:
            return b''.join(read), False
    return b''.join(read), True
