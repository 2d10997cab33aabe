"""Say early that a request would be late, while its client can come back."""

import random
from dataclasses import dataclass

from bendlead_gateway._fleet.balancer import Balancer
from bendlead_gateway._online.exchange import Exchange
from bendlead_gateway.types import Engine

#: Part of the aim that waiting for a place may take; the rest is for reading
#: the prompt, the way there and back, and what reports do not tell yet.
_WAIT_SHARE = 0.6
#: Refused clients come back after the wait they were spared and a random time
#: up to this share of the time they have left, so that they do not come back
#: together, nor into the same burst. Their answers are late in any case; what
#: counts is that a place is free. Clients heed no longer time (source: the
#: users' protocol).
_RETURN_SHARE = 1 / 3
#: A client that does not say how long it waits is told a time up to this (s).
_SPREAD_SECONDS = 0.8
_LEAST_RETRY = 0.2


@dataclass(frozen=True, slots=True)
class Refusal:
    """Tell why a request is refused and when to come back (s)."""

    reason: str
    retry_after: float


class Admission:
    """Refuse what would wait too long for a place.

    That holds for requests that came back as well. A queue of them would make
    everybody's answers late, and serve no more requests.
    """

    def __init__(self, balancer: Balancer) -> None:
        self._balancer = balancer

    def judge(self, exchange: Exchange, engine: Engine) -> Refusal | None:
        """Refuse a request before any engine was asked, or let it go on."""
        if exchange.sends:
            return None
        wait = self._balancer.expected_wait(engine)
        if wait <= exchange.route.target * _WAIT_SHARE:
            return None
        return Refusal(
            f'all places taken, {wait:.3f} s to wait',
            _return_time(exchange, wait),
        )


def _return_time(exchange: Exchange, wait: float) -> float:
    """Draw when a refused client should come back (s)."""
    first = max(_LEAST_RETRY, wait)
    last = first + _SPREAD_SECONDS
    if exchange.facts.patience is not None:
        last = exchange.facts.patience * _RETURN_SHARE
    return first + random.random() * max(0, last - first)
