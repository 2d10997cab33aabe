"""Run the handler of one request, and respond if it fails."""

import contextlib
from http import HTTPStatus

from bendlead_store.tasks import place_of

from bendlead_gateway._http.connection_end import EndReason
from bendlead_gateway._http.messages import (
    Certainty,
    ClientDisconnectedError,
    Handler,
    Request,
    Responder,
    ServerShutdownError,
)
from bendlead_gateway._http.server_events import HandlerFailure, ServerEvents

_RETRY_AFTER = (('Retry-After', '0.2'),)


class NoResponseError(Exception):
    """The handler returned without a response."""


def run_handler(
    handler: Handler,
    request: Request,
    responder: Responder,
    events: ServerEvents,
) -> None:
    """Have the handler respond, or respond for it where it does not."""
    try:
        _respond(handler, request, responder)
    except ClientDisconnectedError as error:
        responder.abort(str(error), EndReason.WRITE_FAILED)
    except Exception as unforeseen:
        # Whatever failed, the client is owed a response.
        _respond_to_failure(responder, unforeseen)
        events.handler_failed(
            HandlerFailure(request, unforeseen, place_of(unforeseen))
        )


def _respond(handler: Handler, request: Request, responder: Responder) -> None:
    try:
        handler(request, responder)
    except ServerShutdownError:
        if responder.started:
            responder.abort(reason=EndReason.PROCESS_ENDS)
            return
        # An engine may run the request, so its outcome is unknown.
        responder.close_after()
        responder.answer(HTTPStatus.GATEWAY_TIMEOUT)
    if not responder.started and responder.end is None:
        raise NoResponseError


def _respond_to_failure(responder: Responder, error: Exception) -> None:
    if responder.finished:
        return
    if responder.sent_bytes:
        responder.abort(type(error).__name__, EndReason.HANDLER_ERROR)
        return
    responder.close_after()
    # The client may have closed the connection already.
    with contextlib.suppress(ClientDisconnectedError):
        if responder.certainty is Certainty.NOT_RUN:
            responder.answer(HTTPStatus.SERVICE_UNAVAILABLE, _RETRY_AFTER)
        else:
            responder.answer(HTTPStatus.INTERNAL_SERVER_ERROR)
