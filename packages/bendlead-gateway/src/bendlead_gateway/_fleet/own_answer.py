"""Read the answer of one request on a connection that serves several."""

from collections.abc import Callable

from bendlead_store import clock

from bendlead_gateway._http.client import HttpConnection, ResponseHead
from bendlead_gateway.dialect import Dialect
from bendlead_gateway.types import EngineAnswer

#: Called with each answer that is skipped.
OnSurplus = Callable[[EngineAnswer], None]


def read_own_head(
    connection: HttpConnection,
    request: str,
    dialect: Dialect,
    timeout: float,
    on_surplus: OnSurplus,
) -> ResponseHead:
    """Read the head of a request's answer, and skip those of others.

    The timeout (s) is for all of them. An engine that names the request in its
    answers does so in each, so what comes without a name then is no answer.
    """
    until = clock.uptime() + timeout
    while True:
        head = connection.read_head(until - clock.uptime())
        answer = dialect.engine_answer(head.status, head.headers)
        named = connection.names_requests
        connection.names_requests = named or answer.request is not None
        if answer.request == request or (answer.request is None and not named):
            return head
        on_surplus(answer)
        connection.skip_response(head, until - clock.uptime())
        connection.disable_reuse()
