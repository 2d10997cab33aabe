"""Send a request to one engine and relay its response."""

from functools import partial
from http import HTTPStatus

import gevent
from bendlead_store import clock

from bendlead_gateway._fleet.fleet import Fleet
from bendlead_gateway._fleet.own_answer import read_own_head
from bendlead_gateway._health.failure_kinds import (
    classify_error,
    classify_missing_response,
    classify_status,
)
from bendlead_gateway._health.observation import FailureKind
from bendlead_gateway._http.client import (
    HttpConnection,
    ResponseError,
    ResponseHead,
    ResponseTimeoutError,
)
from bendlead_gateway._http.limits import MAX_REFUSAL_BYTES
from bendlead_gateway._log import Log
from bendlead_gateway._metrics import Metrics
from bendlead_gateway._online.exchange import Choice, Exchange
from bendlead_gateway._online.outcomes import (
    BrokenStreamError,
    LostConnectionError,
    NotRunError,
    Step,
    UnknownOutcomeError,
    UnreachableError,
)
from bendlead_gateway._online.relay import ResponseRelay, end_to_end_headers
from bendlead_gateway._scheduling.retry import RetryBudget, has_free_slot
from bendlead_gateway._scheduling.view import EngineView
from bendlead_gateway._streams.origins import StreamOrigins
from bendlead_gateway._suspects.crash_detector import BrokenResponse
from bendlead_gateway.dialect import Dialect
from bendlead_gateway.types import Engine, EngineAnswer, RequestId

#: Ends of an attempt that are reported where they are raised.
_REPORTED = (NotRunError, UnknownOutcomeError, BrokenStreamError)
#: Longest read of a refusal's body so that the connection can be reused.
_REFUSAL_READ_SECONDS = 0.03


class Attempts:
    """Run attempts: connect, send, check the head, relay the response."""

    def __init__(
        self,
        dialect: Dialect,
        fleet: Fleet,
        log: Log,
        metrics: Metrics,
        origins: StreamOrigins,
    ) -> None:
        self._dialect = dialect
        self._fleet = fleet
        self._origins = origins
        self._health = fleet.health
        self._shared = fleet.shared_health
        self._log = log
        self._metrics = metrics
        self._retry_budget = RetryBudget()

    def make(self, exchange: Exchange, view: EngineView) -> None:
        """Have the engine serve the request.

        Raises ``NotRunError``, ``UnknownOutcomeError`` or
        ``BrokenStreamError`` where the engine gives no complete response.
        """
        engine = view.engine
        name = view.name
        loads = self._fleet.loads
        exchange.choice = Choice(name, view.online, view.batch, engine.version)
        exchange.sends += 1
        if exchange.sends == 1:
            self._retry_budget.earn()
            self._fleet.suspects.record_sent(exchange.facts.shared_parts)
        loads.start_online(name)
        connection = None
        idle_seconds = None
        try:
            connection = self._connect(engine)
            idle_seconds = self._run(exchange, view, connection)
        except _REPORTED:
            raise
        except (Exception, gevent.GreenletExit):
            # The engine loses the connection, as where the client leaves.
            self._fleet.suspects.record_abandoned(
                engine, _broken(exchange, response_started=False)
            )
            raise
        finally:
            loads.own.online[name] -= 1
            if connection is not None:
                self._fleet.pool.release(engine, connection, idle_seconds)

    def _connect(self, engine: Engine) -> HttpConnection:
        began_at = self._shared.start_connect(engine)
        try:
            return self._fleet.pool.acquire(engine)
        except OSError as error:
            if isinstance(error, ConnectionRefusedError):
                self._fleet.suspects.crash_detector.record_refused(engine)
            paused = self._health.record_failure(
                engine.engine, unreachable=True, since=began_at
            )
            self._log_failure(engine, Step.CONNECT, error, paused)
            kind = classify_error(error)
            self._shared.record_unreachable(engine, kind, began_at)
            raise UnreachableError(f'connect: {error}') from error

    def _run(
        self, exchange: Exchange, view: EngineView, connection: HttpConnection
    ) -> float | None:
        """Relay the response; return the keep-alive time (s) of the engine."""
        engine = view.engine
        head = self._send_and_read_head(exchange, view, connection)
        exchange.head_at = clock.uptime()
        self._health.record_activity(engine.engine)
        answer = self._dialect.engine_answer(head.status, head.headers)
        if answer.closing:
            connection.disable_reuse()
        if answer.not_run:
            self._read_refusal(connection, head)
            if answer.misdirected:
                sent_at = exchange.sent_at
                self._health.record_failure(
                    engine.engine, unreachable=True, since=sent_at
                )
                self._shared.record_unreachable(
                    engine, FailureKind.REFUSED, sent_at
                )
            raise NotRunError(
                f'engine responded with status {head.status}, request not run'
            )
        if head.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            paused = self._health.record_failure(engine.engine)
            self._log_failure(
                engine, Step.HEAD, f'status {head.status}', paused
            )
            kind = classify_status(head.status)
            self._shared.record_failure(engine, kind, exchange.digest)
            if exchange.may_fail_over:
                connection.disable_reuse()
                raise UnknownOutcomeError(
                    f'engine responded with status {head.status}'
                )
        else:
            self._shared.record_success(
                engine, exchange.sent_at, lambda: exchange.digest
            )
        self._relay(exchange, engine, connection, head)
        if head.status < HTTPStatus.MULTIPLE_CHOICES:
            self._fleet.suspects.record_success(
                lambda: exchange.digest, exchange.facts.shared_parts
            )
        return answer.idle_seconds

    def _send_and_read_head(
        self, exchange: Exchange, view: EngineView, connection: HttpConnection
    ) -> ResponseHead:
        engine = view.engine
        timeout = self._head_timeout(exchange, view)
        reused = connection.used
        silent = False
        exchange.maybe_delivered = True
        exchange.sent_at = clock.uptime()
        exchange.head_at = 0
        try:
            self._send(exchange, engine, connection)
            return self._read_own_head(exchange, connection, timeout)
        except OSError as error:
            connection.disable_reuse()
            silent = isinstance(error, ResponseTimeoutError)
            if silent and reused:
                # Other idle connections may be dead as well.
                self._fleet.pool.close_all()
            paused = self._health.record_failure(
                engine.engine,
                unreachable=silent and timeout is None,
                since=exchange.sent_at if silent else None,
            )
            self._log_failure(engine, Step.HEAD, error, paused)
            kind = classify_missing_response(
                error, replaced=timeout is not None
            )
            self._shared.record_failure(
                engine, kind, exchange.digest, exchange.sent_at
            )
            self._report_broken(
                exchange, engine, response_started=False, silent=silent
            )
            raise UnknownOutcomeError(f'no response: {error}') from error
        finally:
            if timeout is not None and not silent:
                self._retry_budget.give_back()

    def _head_timeout(
        self, exchange: Exchange, view: EngineView
    ) -> float | None:
        """Return the timeout (s) for the head, ``None`` if not to retry."""
        if view.free <= 0 or not exchange.may_fail_over:
            # The request may be queued at the engine, so silence is no fault.
            return None
        service = view.engine.service
        others = self._fleet.balancer.views(
            service, exchange.tried, exchange.stream_version
        )
        if not has_free_slot(others):
            return None
        return self._retry_budget.take(exchange.route.target)

    def _send(
        self, exchange: Exchange, engine: Engine, connection: HttpConnection
    ) -> None:
        request = exchange.request
        headers = self._dialect.engine_headers(
            end_to_end_headers(request.headers),
            engine.engine,
            exchange.seconds_left,
            exchange.last_event,
            exchange.team,
        )
        connection.send(
            request.method,
            request.target,
            headers,
            request.body,
            exchange.read_timeout,
        )

    def _read_own_head(
        self,
        exchange: Exchange,
        connection: HttpConnection,
        timeout: float | None,
    ) -> ResponseHead:
        """Read the head of this request, skipping late ones of others.

        The timeout (s) is for all of them.
        """
        request = exchange.facts.request
        return read_own_head(
            connection,
            request,
            self._dialect,
            timeout or exchange.read_timeout,
            partial(self._log_surplus, request),
        )

    def _log_surplus(self, request: RequestId, answer: EngineAnswer) -> None:
        self._log.event(
            'surplus-answer', request=request, belongs_to=answer.request or '-'
        )

    def _read_refusal(
        self, connection: HttpConnection, head: ResponseHead
    ) -> None:
        try:
            connection.read_body(head, _REFUSAL_READ_SECONDS, MAX_REFUSAL_BYTES)
        except ResponseError:
            # The refusal is valid; only the connection cannot be reused.
            connection.disable_reuse()

    def _relay(
        self,
        exchange: Exchange,
        engine: Engine,
        connection: HttpConnection,
        head: ResponseHead,
    ) -> None:
        relay = ResponseRelay(
            exchange,
            engine,
            connection,
            self._fleet,
            self._origins,
            self._log,
        )
        try:
            relay.relay(head)
        except LostConnectionError as lost:
            connection.close()
            self._log_failure(engine, Step.BODY, lost, paused=False)
            raise
        except (BrokenStreamError, UnknownOutcomeError) as broken:
            connection.close()
            silent = isinstance(broken.__cause__, ResponseTimeoutError)
            active = self._health.active_seconds(engine.engine) > 0
            paused = self._health.record_failure(
                engine.engine, unreachable=silent and not active
            )
            self._log_failure(engine, Step.BODY, broken, paused)
            self._shared.record_failure(
                engine,
                FailureKind.SILENT if silent else FailureKind.BROKEN,
                exchange.digest,
            )
            self._report_broken(exchange, engine, response_started=True)
            raise

    def _report_broken(
        self,
        exchange: Exchange,
        engine: Engine,
        *,
        response_started: bool,
        silent: bool = False,
    ) -> None:
        broken = _broken(
            exchange, response_started=response_started, silent=silent
        )
        self._fleet.suspects.crash_detector.record_broken(engine, broken)

    def _log_failure(
        self, engine: Engine, step: Step, error: object, paused: bool
    ) -> None:
        self._metrics.engine_failures[step.value] += 1
        self._log.event(
            'engine-failed',
            engine=engine.engine,
            address=engine.address,
            step=step.value,
            reason=error,
            paused=paused,
        )


def _broken(
    exchange: Exchange, *, response_started: bool, silent: bool = False
) -> BrokenResponse:
    return BrokenResponse(
        exchange.digest,
        exchange.sent_at,
        response_started,
        exchange.suspected_parts,
        silent,
    )
