"""Online request path: choose engines, retry, refuse, time out."""

from collections.abc import Callable
from http import HTTPStatus

import gevent

from bendlead_gateway._fleet.balancer import pick_service
from bendlead_gateway._fleet.fleet import Fleet
from bendlead_gateway._http.client import ResponseTimeoutError
from bendlead_gateway._http.framing import Framing
from bendlead_gateway._http.messages import (
    Certainty,
    ClientDisconnectedError,
    Request,
    Responder,
    ServerShutdownError,
)
from bendlead_gateway._log import Log
from bendlead_gateway._metrics import Metrics
from bendlead_gateway._online.admission_control import AdmissionControl
from bendlead_gateway._online.attempt import Attempts
from bendlead_gateway._online.deadline import DeadlineTimer
from bendlead_gateway._online.exchange import Exchange
from bendlead_gateway._online.final_response import (
    FinalResponseTimer,
    is_final_due,
)
from bendlead_gateway._online.outcomes import (
    BrokenStreamError,
    DeadlineError,
    LostConnectionError,
    NotRunError,
    SilentEngineError,
    UnknownOutcomeError,
    UnreachableError,
)
from bendlead_gateway._online.quarantine import Quarantine
from bendlead_gateway._online.request_queue import FairShares, RequestQueue
from bendlead_gateway._online.resume_choice import ResumeChoice
from bendlead_gateway._scheduling import retry
from bendlead_gateway._scheduling.view import EngineView
from bendlead_gateway._streams.origin import StreamOrigin
from bendlead_gateway._streams.origins import StreamOrigins
from bendlead_gateway._streams.resumption import resume_refusal
from bendlead_gateway.dialect import Dialect
from bendlead_gateway.types import (
    EngineId,
    RequestFacts,
    Route,
    ServiceName,
    Team,
    TeamName,
)

#: With less time left, the request is sent to no further engine.
_MIN_SECONDS_LEFT = 0.03
#: Interval of the checks for an engine that can run a request again.
_RESUME_POLL_SECONDS = 0.02
#: A request is not sent again to an engine that refused it, or fell silent,
#: before this time has passed.
_REFUSED_PAUSE_SECONDS = 0.1
_SILENT_PAUSE_SECONDS = 0.3
#: Log fields omitted at these values, to keep most log lines short.
_DEFAULT_FIELDS = frozenset(
    (('sends', 1), ('runs', 0), ('reason', '-'), ('team', ''))
)

#: Outcome of a request that no engine has run.
_REFUSED = 'refused'

#: Outcome of the request, or ``None`` to try the next engine.
_Outcome = str | None


class OnlinePath:
    """Serve client requests on plain and streaming routes."""

    def __init__(
        self,
        dialect: Dialect,
        fleet: Fleet,
        log: Log,
        metrics: Metrics,
        shares: FairShares,
        queue: RequestQueue,
        origins: StreamOrigins,
        refund: Callable[[Team], None],
    ) -> None:
        """Serve requests, and refund a team's requests that did not run."""
        self._fleet = fleet
        self._refund = refund
        self._attempts = Attempts(dialect, fleet, log, metrics, origins)
        self._quarantine = Quarantine(fleet.suspects)
        self._resume_choice = ResumeChoice(fleet.balancer)
        self._origins = origins
        self._log = log
        self._metrics = metrics
        self._admission = AdmissionControl(
            fleet.configuration, metrics, shares, queue
        )

    def serve(
        self,
        request: Request,
        responder: Responder,
        facts: RequestFacts,
        route: Route,
        team: Team | None,
    ) -> None:
        """Serve one request, and log it."""
        timeout = route.timeout
        if facts.timeout is not None:
            timeout = min(timeout, facts.timeout)
        exchange = Exchange(
            request,
            responder,
            facts,
            route,
            request.received_at + timeout,
            team.name if team else TeamName(''),
            last_event=facts.resume_after,
        )
        outcome = 'client_gone'
        try:
            outcome = self._serve_until_deadline(exchange)
        except ClientDisconnectedError:
            # There is no client to answer.
            outcome = 'client_gone'
        except Exception as error:
            # The server answers the client.
            outcome = 'handler_error'
            if isinstance(error, ServerShutdownError):
                outcome = 'process_ends'
            if exchange.may_have_run:
                responder.certainty = Certainty.UNKNOWN
            raise
        finally:
            # Also where the greenlet is ended, as its client has left.
            self._quarantine.end_trial(exchange)
            self._record_outcome(exchange, outcome, team)

    def _serve_until_deadline(self, exchange: Exchange) -> str:
        try:
            with DeadlineTimer(exchange.deadline):
                with FinalResponseTimer(exchange):
                    return self._serve(exchange)
        except DeadlineError:
            return self._time_out(exchange)

    def _serve(self, exchange: Exchange) -> str:
        service = pick_service(exchange.route)
        if exchange.resumed_by_client:
            origin = self._find_origin(exchange)
            refusal = resume_refusal(origin, exchange.route, exchange.team)
            if origin is None or refusal:
                return self._refuse_resume(exchange, refusal or '')
            service = origin.service
            exchange.stream_version = origin.version
        while True:
            if exchange.runs or exchange.responder.started:
                chosen = self._choose_again(exchange, service)
            else:
                chosen = self._choose(exchange, service)
            if isinstance(chosen, str):
                return chosen
            outcome = self._claim_and_attempt(exchange, chosen)
            if outcome:
                return outcome

    def _claim_and_attempt(
        self, exchange: Exchange, view: EngineView
    ) -> _Outcome:
        """Send the request, unless another one tries its suspects."""
        if not self._quarantine.claim(exchange, view.name):
            # It may also be that claims can't be stored.
            gevent.sleep(_RESUME_POLL_SECONDS)
            return None
        exchange.tried.add(view.name)
        return self._attempt(exchange, view)

    def _choose(
        self, exchange: Exchange, service: ServiceName
    ) -> EngineView | str:
        """Choose an engine, or end the request and return its outcome."""
        placement = self._fleet.balancer.choose(
            service,
            exchange.tried,
            once=not exchange.can_be_retried,
            version=exchange.stream_version,
        )
        if placement is None and exchange.resumed_by_client:
            if not exchange.sends:
                return self._refuse_resume(exchange, _describe_lack(exchange))
        if placement is None or exchange.seconds_left < _MIN_SECONDS_LEFT:
            return self._give_up(exchange, _describe_lack(exchange))
        waited = exchange.dequeued, exchange.held_seconds
        seconds_left = self._quarantine.begin_trial(exchange, placement.view)
        if seconds_left:
            return self._refuse_quarantined(exchange, seconds_left)
        refusal = self._admission.admit(exchange, service, placement.wait)
        if refusal:
            self._fleet.refusals.record(service)
            return self._refuse(exchange, refusal.reason, refusal.retry_after)
        if waited != (exchange.dequeued, exchange.held_seconds):
            # Loads have changed meanwhile.
            return self._choose(exchange, service)
        return placement.view

    def _choose_again(
        self, exchange: Exchange, service: ServiceName
    ) -> EngineView | str:
        """Wait for an engine for a request that may have run already.

        It can't be refused any more, and a begun stream would be lost.
        """
        exchange.head_at = 0
        if is_final_due(exchange):
            # The timer has passed while a response seemed to arrive.
            return self._time_out(exchange)
        if not exchange.maybe_delivered:
            # It was refused; the slots may be as scarce elsewhere.
            gevent.sleep(_RESUME_POLL_SECONDS)
        while exchange.seconds_left >= _MIN_SECONDS_LEFT:
            if self._quarantine.seconds_left(exchange):
                return self._refuse_quarantined(exchange, 0)
            if not self._quarantine.part_turn(exchange).pause:
                view = self._resume_choice.find(exchange, service)
                if view is not None:
                    return view
            if not self._resume_choice.may_wait(exchange, service):
                break
            gevent.sleep(_RESUME_POLL_SECONDS)
        return self._give_up(exchange, _describe_lack(exchange))

    def _find_origin(self, exchange: Exchange) -> StreamOrigin | None:
        resumes = exchange.facts.resumes
        if resumes is None or not exchange.route.resumable:
            return None
        return self._origins.find(resumes)

    def _refuse_resume(self, exchange: Exchange, reason: str) -> str:
        """Respond that the stream cannot go on; no time to return is given."""
        exchange.failure = reason
        exchange.answer(HTTPStatus.SERVICE_UNAVAILABLE)
        return _REFUSED

    def _refuse_quarantined(
        self, exchange: Exchange, seconds_left: float
    ) -> str:
        """Refuse a request that engines have crashed on.

        Each crash cuts off the other requests that the engine is running.
        """
        self._metrics.quarantined += 1
        exchange.quarantined = True
        reason = self._quarantine.reason(exchange)
        if exchange.runs or exchange.responder.started:
            return self._give_up(exchange, reason)
        return self._refuse(exchange, reason, seconds_left)

    def _attempt(self, exchange: Exchange, view: EngineView) -> _Outcome:
        took_slot = True
        try:
            self._attempts.make(exchange, view)
        except NotRunError as refused:
            # It took no slot, so none was freed.
            took_slot = False
            exchange.maybe_delivered = False
            unreachable = isinstance(refused, UnreachableError)
            if self._should_refuse_now(exchange, unreachable):
                return self._give_up(exchange, str(refused))
            exchange.failure = str(refused)
            exchange.pause_engine(view.name, _REFUSED_PAUSE_SECONDS)
            return None
        except UnknownOutcomeError as unknown:
            if isinstance(unknown.__cause__, ResponseTimeoutError):
                exchange.pause_engine(view.name, _SILENT_PAUSE_SECONDS)
            if exchange.bound_to == view.name:
                # It may have reset the new connection for want of room.
                exchange.failure = str(unknown)
                exchange.pause_engine(view.name, _REFUSED_PAUSE_SECONDS)
                return None
            return self._count_run(exchange, unknown, self._give_up)
        except BrokenStreamError as broken:
            return self._handle_break(exchange, view.name, broken)
        finally:
            self._quarantine.end_claims(exchange, may_have_run=took_slot)
            if took_slot:
                self._admission.record_finished(view.engine.service)
        return 'answered'

    def _handle_break(
        self, exchange: Exchange, engine: EngineId, broken: BrokenStreamError
    ) -> _Outcome:
        """Abort a stream that broke off, unless it may be continued."""
        if isinstance(broken, LostConnectionError):
            exchange.reconnected_after = exchange.last_event or 0
            exchange.pause_engine(engine, 0)
            if not exchange.has_run_left:
                # The route counts engines, and this one is no further one.
                exchange.failure = str(broken)
                exchange.bound_to = engine
                return None
        elif isinstance(broken, SilentEngineError):
            exchange.pause_engine(engine, _SILENT_PAUSE_SECONDS)
        return self._count_run(exchange, broken, self._abort)

    def _count_run(
        self,
        exchange: Exchange,
        error: Exception,
        finish: Callable[[Exchange, str], str],
    ) -> _Outcome:
        exchange.runs += 1
        exchange.failure = str(error)
        if exchange.may_run_again:
            self._fleet.suspects.await_probe(exchange.digest)
            return None
        return finish(exchange, exchange.failure)

    def _should_refuse_now(self, exchange: Exchange, unreachable: bool) -> bool:
        if exchange.runs or exchange.responder.started:
            return False
        return retry.too_late_to_retry(
            exchange.elapsed - exchange.queued_seconds,
            exchange.route.target,
            unreachable,
        )

    def _give_up(self, exchange: Exchange, reason: str) -> str:
        exchange.failure = f'{reason} ({exchange.failure})'
        if exchange.responder.started:
            return self._abort(exchange, exchange.failure)
        if exchange.runs:
            # An engine may have run it, so it must not be reported as not run.
            exchange.answer(HTTPStatus.BAD_GATEWAY)
            return 'unknown'
        if exchange.seconds_left < _MIN_SECONDS_LEFT:
            return self._time_out(exchange)
        return self._refuse(
            exchange, exchange.failure, retry.RETRY_AFTER_SECONDS
        )

    def _refuse(
        self, exchange: Exchange, reason: str, retry_after: float
    ) -> str:
        """Respond that the request has not run; ``retry_after`` is in s."""
        exchange.failure = reason
        headers = [('Retry-After', f'{retry_after:.3f}')]
        exchange.answer(HTTPStatus.SERVICE_UNAVAILABLE, headers)
        return _REFUSED

    def _abort(self, exchange: Exchange, reason: str) -> str:
        exchange.failure = reason
        exchange.responder.abort(reason)
        return 'broken_off'

    def _time_out(self, exchange: Exchange) -> str:
        if exchange.responder.started:
            exchange.responder.abort('deadline passed')
            return 'timed_out_midway'
        if not exchange.may_have_run:
            return self._refuse(
                exchange,
                'deadline passed before any run',
                retry.RETRY_AFTER_SECONDS,
            )
        exchange.responder.close_after()
        exchange.answer(HTTPStatus.GATEWAY_TIMEOUT)
        return 'timed_out'

    def _record_outcome(
        self, exchange: Exchange, outcome: str, team: Team | None
    ) -> None:
        if team and (outcome == _REFUSED or not exchange.sends):
            self._refund(team)
        first_seconds = 0.0
        if exchange.first_event:
            first_seconds = exchange.first_event - exchange.request.received_at
            self._metrics.first_event.observe(first_seconds)
        self._metrics.requests[outcome] += 1
        if exchange.resumed_by_client:
            self._metrics.streams.resumes[outcome] += 1
        self._metrics.whole_answer.observe(exchange.elapsed)
        self._log.event(
            'request', **_log_fields(exchange, outcome, first_seconds)
        )


def _describe_lack(exchange: Exchange) -> str:
    version = exchange.stream_version
    if version is None:
        return 'no engine or no time left'
    return f'no engine of version {version or "unknown"} or no time left'


def _log_fields(
    exchange: Exchange, outcome: str, first_seconds: float
) -> dict[str, object]:
    """Return the fields of the log line of a request."""
    fields: dict[str, object] = {
        'request': exchange.facts.request,
        'route': exchange.route.name,
        'team': exchange.team,
        'outcome': outcome,
        'status': exchange.status,
        'engine': exchange.choice.engine,
        'online_seen': exchange.choice.online,
        'batch_seen': exchange.choice.batch,
        'sends': exchange.sends,
        'runs': exchange.runs,
        'first_ms': round(first_seconds * 1000, 1),
        'total_ms': round(exchange.elapsed * 1000, 1),
        'reason': exchange.failure,
    }
    if exchange.runs or exchange.facts.resume_after is not None:
        # A stream may only be continued at the version that began it.
        fields['version'] = exchange.choice.version
        fields['began_at'] = exchange.stream_version or '-'
    if exchange.facts.resume_after is not None:
        fields['resumes'] = exchange.facts.resumes or '-'
        fields['after'] = exchange.facts.resume_after
    if exchange.framing is Framing.CONNECTION:
        fields['framing'] = exchange.framing.value
    if exchange.queued_seconds:
        fields['held_ms'] = round(exchange.queued_seconds * 1000, 1)
    if outcome == _REFUSED and exchange.share_use.used:
        # Recent requests of its team, and its share of them.
        fields['had'] = round(exchange.share_use.used, 2)
        fields['share'] = round(exchange.share_use.share, 2)
    if exchange.runs or exchange.quarantined:
        # Unlike the id, the digest is the same when the client retries.
        fields['digest'] = exchange.digest
        if exchange.facts.shared_parts:
            fields['parts'] = ','.join(exchange.facts.shared_parts)
    return {
        name: logged
        for name, logged in fields.items()
        if (name, logged) not in _DEFAULT_FIELDS
    }
