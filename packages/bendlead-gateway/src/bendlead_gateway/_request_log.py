"""Log lines about requests that get no complete response."""

from bendlead_store import clock

from bendlead_gateway._http.messages import Request, UnansweredRequest
from bendlead_gateway._http.server_events import HandlerFailure, ServerEvents
from bendlead_gateway._log import Log
from bendlead_gateway.dialect import Dialect

_MAX_MESSAGE_LENGTH = 200


class RequestLog:
    """Logs what the server reports about requests."""

    def __init__(self, log: Log, dialect: Dialect) -> None:
        self._log = log
        self._dialect = dialect

    def observe(self, events: ServerEvents) -> None:
        """Log the events of a server."""
        events.unanswered = self._log_unanswered
        events.handler_failed = self._log_failure
        events.task_failed = self._log.task_failed

    def _log_unanswered(self, unanswered: UnansweredRequest) -> None:
        """Log a request whose client got no complete response."""
        request, end = unanswered.request, unanswered.end
        self._log.event(
            'request-unanswered',
            request=self._request_id(request),
            target=request.target,
            reason=end.reason.value,
            detail=end.detail or '-',
            sent_bytes=unanswered.sent_bytes,
            received_s=round(clock.uptime() - request.received_at, 3),
        )

    def _log_failure(self, failure: HandlerFailure) -> None:
        """Log an exception that a handler should not raise."""
        self._log.event(
            'handler-failed',
            request=self._request_id(failure.request),
            target=failure.request.target,
            error=type(failure.error).__name__,
            message=str(failure.error)[:_MAX_MESSAGE_LENGTH],
            at=failure.place,
        )

    def _request_id(self, request: Request) -> str:
        try:
            facts = self._dialect.request_facts(request.headers)
        except Exception:
            # It may be what made the handler fail.
            return '-'
        return facts.request if facts else '-'
