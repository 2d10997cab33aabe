"""Serve one client request: choose engines, relay, retry, refuse."""

import time
from dataclasses import dataclass, field

import gevent

from bendlead_gateway._fleet.balancer import Balancer, pick_service
from bendlead_gateway._fleet.catalog import EngineList
from bendlead_gateway._fleet.health import EngineHealth
from bendlead_gateway._fleet.loads import LoadTable
from bendlead_gateway._http.client import (
    BrokenAnswerError,
    HttpConnection,
    ResponseHead,
    SilentPeerError,
)
from bendlead_gateway._http.server import ClientGoneError, Request, Responder
from bendlead_gateway._log import Log
from bendlead_gateway._metrics import Metrics
from bendlead_gateway._online.events import EventSplitter
from bendlead_gateway._online.pool import EnginePool
from bendlead_gateway.dialect import Dialect
from bendlead_gateway.types import (
    Engine,
    EngineId,
    RequestFacts,
    Route,
    RouteKind,
)

#: Headers that concern one connection only and are not passed on.
_OWN_CONNECTION = frozenset(
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
#: Below this many seconds left an engine is not asked any more.
_LEAST_LEFT = 0.03
#: When a refused client should come back (s): bursts pass in seconds, and a
#: place gets free every few tens of ms.
_RETRY_AFTER = 0.1
#: Past this share of the aim a request is offered no further engine that
#: refuses; an early refusal lets the client try another entry.
_REFUSE_SHARE = 0.2
#: A resumable stream whose engine is silent for this many times its gap
#: target is continued elsewhere, and no sooner than the least (s).
_SILENT_GAPS = 3.0
_LEAST_SILENCE = 0.5
_SERVER_ERROR = 500
#: Reads time out this much (s) after the request's own deadline.
_READ_SLACK = 0.5


class DeadlineError(Exception):
    """The client's or the route's time is over."""


class Step:
    """Name the steps at which an attempt can fail, for the log."""

    CONNECT = 'connect'
    SEND = 'send'
    HEAD = 'head'
    BODY = 'body'


class NotRunError(Exception):
    """The engine did not run the request, and says so or never got it."""


class UnknownOutcomeError(Exception):
    """The engine may have run the request, and no answer came."""


class BrokenStreamError(Exception):
    """The answer broke off after the client had got a part of it."""


@dataclass(slots=True)
class Exchange:
    """Keep what is known of one client request while it is served."""

    request: Request
    responder: Responder
    facts: RequestFacts
    route: Route
    deadline: float
    tried: set[EngineId] = field(default_factory=set)
    runs: int = 0
    sends: int = 0
    last_event: int | None = None
    first_event: float = 0
    answer_status: int = 0
    engine: str = ''
    seen_online: int = 0
    seen_batch: int = 0
    failure: str = ''

    @property
    def left(self) -> float:
        """Give the seconds left for the whole request."""
        return self.deadline - time.monotonic()

    @property
    def read_patience(self) -> float:
        """Give a time for reads that lets the deadline come first."""
        return max(self.left, 0) + _READ_SLACK

    @property
    def may_run_again(self) -> bool:
        """Tell whether another engine may run the request."""
        return self.route.repeatable and self.runs < self.route.max_attempts


class OnlinePath:
    """Serve the requests of clients on plain and streaming routes."""

    def __init__(
        self,
        dialect: Dialect,
        engines: EngineList,
        balancer: Balancer,
        loads: LoadTable,
        health: EngineHealth,
        pool: EnginePool,
        log: Log,
        metrics: Metrics,
    ) -> None:
        self._dialect = dialect
        self._engines = engines
        self._balancer = balancer
        self._loads = loads
        self._health = health
        self._pool = pool
        self._log = log
        self._metrics = metrics

    def serve(
        self,
        request: Request,
        responder: Responder,
        facts: RequestFacts,
        route: Route,
    ) -> None:
        """Serve one request and write one line on how it ended."""
        patience = route.timeout
        if facts.patience is not None:
            patience = min(patience, facts.patience)
        exchange = Exchange(
            request,
            responder,
            facts,
            route,
            request.received + patience,
            last_event=facts.resume_after,
        )
        outcome = 'client_gone'
        try:
            with gevent.Timeout(max(exchange.left, 0.001), DeadlineError):
                outcome = self._serve(exchange)
        except DeadlineError:
            outcome = self._time_out(exchange)
        except ClientGoneError:
            outcome = 'client_gone'
        finally:
            self._conclude(exchange, outcome)

    def _serve(self, exchange: Exchange) -> str:
        service = pick_service(exchange.route)
        while True:
            engine = self._balancer.choose(service, exchange.tried)
            if engine is None or exchange.left < _LEAST_LEFT:
                return self._give_up(exchange, 'no engine left to ask')
            exchange.tried.add(engine.engine)
            try:
                return self._attempt(exchange, engine)
            except NotRunError as refused:
                exchange.failure = str(refused)
                if self._too_late_to_ask(exchange):
                    return self._give_up(exchange, str(refused))
            except UnknownOutcomeError as unknown:
                exchange.failure = str(unknown)
                exchange.runs += 1
                if not exchange.may_run_again:
                    return self._give_up(exchange, str(unknown))
            except BrokenStreamError as broken:
                exchange.failure = str(broken)
                exchange.runs += 1
                if not exchange.may_run_again:
                    exchange.responder.abort()
                    return 'broken_off'

    def _too_late_to_ask(self, exchange: Exchange) -> bool:
        if exchange.runs or exchange.responder.started:
            return False
        waited = time.monotonic() - exchange.request.received
        return waited > exchange.route.target * _REFUSE_SHARE

    def _attempt(self, exchange: Exchange, engine: Engine) -> str:
        exchange.engine = engine.engine
        exchange.seen_online = self._loads.online(engine.engine)
        exchange.seen_batch = self._loads.batch(engine.engine)
        exchange.sends += 1
        online = self._loads.own.online
        online[engine.engine] += 1
        connection = None
        idle = None
        try:
            connection = self._connect(engine)
            idle = self._converse(exchange, engine, connection)
        finally:
            online[engine.engine] -= 1
            if connection is not None and not connection.reusable:
                connection.close()
            elif connection is not None:
                self._pool.give_back(engine, connection, idle)
        return 'answered'

    def _connect(self, engine: Engine) -> HttpConnection:
        try:
            return self._pool.take(engine)
        except OSError as error:
            paused = self._health.failed(engine.engine, unreachable=True)
            self._note_failure(engine, Step.CONNECT, error, paused)
            raise NotRunError(f'connect: {error}') from error

    def _converse(
        self,
        exchange: Exchange,
        engine: Engine,
        connection: HttpConnection,
    ) -> float | None:
        """Send the request and relay the answer; give the idle seconds."""
        try:
            head = self._ask(exchange, engine, connection)
        except OSError as error:
            connection.keep_no_longer()
            paused = self._health.failed(engine.engine)
            self._note_failure(engine, Step.HEAD, error, paused)
            raise UnknownOutcomeError(f'no answer: {error}') from error
        answer = self._dialect.engine_answer(head.status, head.headers)
        if answer.closing:
            connection.keep_no_longer()
        if answer.not_run:
            self._finish_refused(connection, head)
            if answer.misdirected:
                self._health.failed(engine.engine, unreachable=True)
            raise NotRunError(f'engine said {head.status}, not run')
        if head.status >= _SERVER_ERROR:
            self._health.failed(engine.engine)
            if self._may_replace(exchange):
                connection.keep_no_longer()
                raise UnknownOutcomeError(f'engine said {head.status}')
        self._relay(exchange, engine, connection, head)
        return answer.idle_seconds

    def _may_replace(self, exchange: Exchange) -> bool:
        """Tell whether an engine's failure may be tried elsewhere."""
        spent = exchange.runs + 1
        return (
            exchange.route.repeatable
            and spent < exchange.route.max_attempts
            and exchange.left > exchange.route.target
        )

    def _ask(
        self,
        exchange: Exchange,
        engine: Engine,
        connection: HttpConnection,
    ) -> ResponseHead:
        request = exchange.request
        passed = [
            (name, text)
            for name, text in request.headers
            if name.lower() not in _OWN_CONNECTION
        ]
        headers = self._dialect.engine_headers(
            passed,
            engine.engine,
            exchange.left,
            exchange.last_event,
        )
        connection.send(
            request.method,
            request.target,
            headers,
            request.body,
            exchange.read_patience,
        )
        return self._own_head(exchange, connection)

    def _own_head(
        self, exchange: Exchange, connection: HttpConnection
    ) -> ResponseHead:
        """Read past surplus answers to earlier requests."""
        while True:
            head = connection.read_head(exchange.read_patience)
            answer = self._dialect.engine_answer(head.status, head.headers)
            if answer.request in {None, exchange.facts.request}:
                return head
            self._log.event(
                'surplus-answer',
                request=exchange.facts.request,
                belongs_to=answer.request,
            )
            connection.skip_answer(head, exchange.read_patience)
            connection.keep_no_longer()

    def _finish_refused(
        self, connection: HttpConnection, head: ResponseHead
    ) -> None:
        try:
            for _part in connection.read_parts(head, _LEAST_LEFT):
                continue
        except BrokenAnswerError:
            connection.keep_no_longer()

    def _relay(
        self,
        exchange: Exchange,
        engine: Engine,
        connection: HttpConnection,
        head: ResponseHead,
    ) -> None:
        stream = exchange.route.kind is RouteKind.STREAM
        if stream and head.status == 200 and exchange.route.resumable:
            self._relay_events(exchange, engine, connection, head)
        elif exchange.responder.started:
            connection.keep_no_longer()
            raise BrokenStreamError(f'resumed at {head.status}')
        else:
            self._relay_bytes(exchange, engine, connection, head)

    def _start(self, exchange: Exchange, head: ResponseHead) -> None:
        if exchange.responder.started:
            return
        exchange.answer_status = head.status
        passed = [
            (name, text)
            for name, text in head.headers
            if name.lower() not in _OWN_CONNECTION
        ]
        length = head.find('content-length')
        stream = exchange.route.kind is RouteKind.STREAM
        known = int(length) if length and not stream else None
        exchange.responder.start(head.status, head.reason, passed, known)

    def _relay_bytes(
        self,
        exchange: Exchange,
        engine: Engine,
        connection: HttpConnection,
        head: ResponseHead,
    ) -> None:
        """Pass a body on as it comes; it can't be taken up elsewhere."""
        parts = connection.read_parts(head, exchange.read_patience)
        if exchange.route.kind is not RouteKind.STREAM:
            self._relay_whole(exchange, engine, connection, head)
            return
        last = 0.0
        self._start(exchange, head)
        try:
            for part in parts:
                last = self._observe(exchange, engine, last)
                exchange.responder.write(part)
        except BrokenAnswerError as error:
            self._break(exchange, engine, connection, error)
            exchange.responder.abort()
            raise BrokenStreamError(str(error)) from error
        exchange.responder.finish()
        self._health.succeeded(engine.engine)

    def _relay_whole(
        self,
        exchange: Exchange,
        engine: Engine,
        connection: HttpConnection,
        head: ResponseHead,
    ) -> None:
        """Read a plain answer whole, so that a broken one can be retried."""
        try:
            whole = b''.join(connection.read_parts(head, exchange.read_patience))
        except BrokenAnswerError as error:
            self._break(exchange, engine, connection, error)
            raise UnknownOutcomeError(f'answer broke off: {error}') from error
        self._start(exchange, head)
        exchange.responder.write(whole)
        exchange.responder.finish()
        if head.status < _SERVER_ERROR:
            self._health.succeeded(engine.engine)

    def _relay_events(
        self,
        exchange: Exchange,
        engine: Engine,
        connection: HttpConnection,
        head: ResponseHead,
    ) -> None:
        """Pass whole events on, so that another engine can go on behind."""
        splitter = EventSplitter()
        silence = max(
            _LEAST_SILENCE, exchange.route.gap_target * _SILENT_GAPS
        )
        last = 0.0
        self._start(exchange, head)
        try:
            for part in connection.read_parts(head, silence):
                events = list(splitter.feed(part))
                for event in events:
                    self._check_order(exchange, event.number)
                if events:
                    last = self._observe(exchange, engine, last)
                    exchange.responder.write(b''.join(e.raw for e in events))
        except BrokenAnswerError as error:
            self._break(exchange, engine, connection, error)
            raise BrokenStreamError(str(error)) from error
        if splitter.rest:
            self._break(exchange, engine, connection, 'ended within an event')
            raise BrokenStreamError('ended within an event')
        exchange.responder.finish()
        self._health.succeeded(engine.engine)

    def _check_order(self, exchange: Exchange, number: int | None) -> None:
        before = exchange.last_event
        if number is None:
            raise BrokenAnswerError('an event without a number')
        if before is not None and number != before + 1:
            raise BrokenAnswerError(f'event {number} after {before}')
        exchange.last_event = number

    def _observe(
        self, exchange: Exchange, engine: Engine, last: float
    ) -> float:
        now = time.monotonic()
        if not exchange.first_event:
            exchange.first_event = now
        if last:
            self._health.observe_gap(engine.engine, now - last)
        return now

    def _break(
        self,
        exchange: Exchange,
        engine: Engine,
        connection: HttpConnection,
        error: object,
    ) -> None:
        connection.close()
        paused = self._health.failed(engine.engine)
        if isinstance(error, SilentPeerError):
            paused = self._health.failed(engine.engine, unreachable=True)
        self._note_failure(engine, Step.BODY, error, paused)

    def _note_failure(
        self, engine: Engine, step: str, error: object, paused: bool
    ) -> None:
        self._metrics.engine_failures.labels(step).inc()
        self._log.event(
            'engine-failed',
            engine=engine.engine,
            address=engine.address,
            step=step,
            reason=error,
            paused=paused,
        )

    def _give_up(self, exchange: Exchange, reason: str) -> str:
        exchange.failure = reason
        if exchange.responder.started:
            exchange.responder.abort()
            return 'broken_off'
        if exchange.runs:
            # An engine may have run it, so nothing is promised.
            exchange.responder.answer(502)
            exchange.answer_status = 502
            return 'unknown'
        if exchange.left < _LEAST_LEFT:
            return self._time_out(exchange)
        headers = [('Retry-After', f'{_RETRY_AFTER:.3f}')]
        exchange.responder.answer(503, headers)
        exchange.answer_status = 503
        return 'refused'

    def _time_out(self, exchange: Exchange) -> str:
        if exchange.responder.started:
            exchange.responder.abort()
            return 'timed_out_midway'
        exchange.responder.close_after()
        exchange.responder.answer(504)
        exchange.answer_status = 504
        return 'timed_out'

    def _conclude(self, exchange: Exchange, outcome: str) -> None:
        now = time.monotonic()
        received = exchange.request.received
        first = exchange.first_event - received if exchange.first_event else 0
        self._metrics.requests.labels(outcome).inc()
        if first:
            self._metrics.first_event.observe(first)
        self._log.event(
            'request',
            request=exchange.facts.request,
            route=exchange.route.name,
            outcome=outcome,
            status=exchange.answer_status,
            engine=exchange.engine,
            online_seen=exchange.seen_online,
            batch_seen=exchange.seen_batch,
            sends=exchange.sends,
            runs=exchange.runs,
            first_ms=round(first * 1000, 1),
            total_ms=round((now - received) * 1000, 1),
            reason=exchange.failure or '-',
        )

