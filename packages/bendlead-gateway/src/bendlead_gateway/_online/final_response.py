"""Time of the final response to a request that got none from an engine."""

from bendlead_store import clock
from greenlet import greenlet

from bendlead_gateway._online.deadline import DeadlineTimer
from bendlead_gateway._online.exchange import Exchange
from bendlead_gateway._online.outcomes import DeadlineError

#: The final response is sent this long before the client stops waiting, so
#: that it arrives in time.
_MARGIN_SECONDS = 0.05
#: Upper limit of ``_MARGIN_SECONDS``, as a share of the client's timeout.
_MAX_MARGIN_SHARE = 0.1
_MIN_SECONDS_LEFT = 0.001


def final_response_margin(timeout: float) -> float:
    """Return the margin (s) for a client that waits so many seconds."""
    return min(_MARGIN_SECONDS, timeout * _MAX_MARGIN_SHARE)


class FinalResponseTimer(DeadlineTimer):
    """Raises ``DeadlineError`` shortly before the client stops waiting.

    Does nothing once a response arrives from an engine, or if the client
    does not say for how long it waits.
    """

    def __init__(self, exchange: Exchange) -> None:
        super().__init__(_final_at(exchange))
        self._exchange = exchange

    def _expire(self, prev_greenlet: greenlet, ex: type[DeadlineError]) -> None:
        if not _response_arrives(self._exchange):
            super()._expire(prev_greenlet, ex)


def is_final_due(exchange: Exchange) -> bool:
    """Return whether a response without an engine must be sent now."""
    final_at = _final_at(exchange)
    if final_at is None or exchange.responder.started:
        return False
    return final_at - clock.uptime() <= _MIN_SECONDS_LEFT


def _response_arrives(exchange: Exchange) -> bool:
    """Return whether an engine has begun the response in progress."""
    if exchange.responder.started:
        return True
    return exchange.maybe_delivered and exchange.head_at > 0


def _final_at(exchange: Exchange) -> float | None:
    timeout = exchange.facts.timeout
    if timeout is None:
        return None
    until = exchange.request.received_at + timeout
    return until - final_response_margin(timeout)
