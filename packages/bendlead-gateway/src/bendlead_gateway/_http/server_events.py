"""What a server reports about connections and requests."""

from collections.abc import Callable

from bendlead_store.tasks import Report, print_failure
from msgspec import Struct

from bendlead_gateway._http.connection_end import ConnectionEnd, EndReason
from bendlead_gateway._http.messages import (
    Request,
    Responder,
    UnansweredRequest,
)


def _ignore(_event: object) -> None:
    """Ignore an event that nobody observes."""


class HandlerFailure(Struct, frozen=True):
    """Unforeseen exception of a handler, and where it was raised."""

    request: Request
    error: Exception
    place: str


class ServerEvents(Struct):
    """Callbacks for what on-call should know about."""

    #: A connection could not be accepted, with the reason.
    accept_error: Callable[[str], None] = _ignore
    #: A connection ended without a complete response to a complete request.
    unanswered: Callable[[UnansweredRequest], None] = _ignore
    #: A handler raised an exception that it should not.
    handler_failed: Callable[[HandlerFailure], None] = _ignore
    #: A task of the server raised an exception that it should not.
    task_failed: Report = print_failure

    def report_unanswered(
        self,
        request: Request,
        end: ConnectionEnd | None,
        responder: Responder | None = None,
    ) -> None:
        """Report a request, by the end of its connection or response."""
        sent_bytes = 0
        if responder is not None:
            sent_bytes = responder.sent_bytes
            end = responder.end or end
        self.unanswered(
            UnansweredRequest(
                request, end or ConnectionEnd(EndReason.ABORTED), sent_bytes
            )
        )
