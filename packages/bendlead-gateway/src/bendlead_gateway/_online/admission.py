"""Say early that a request would be late, while its client can come back."""

import random
import time
from dataclasses import dataclass

from bendlead_gateway._fleet.balancer import Balancer
from bendlead_gateway._online.exchange import Exchange
from bendlead_gateway.types import Engine, Route

#: Part of the aim that waiting for a place may take; the rest is for reading
#: the prompt, the way there and back, and what reports do not tell yet.
_WAIT_SHARE = 0.6
#: A request whose client waits this much less (s) than the longest seen on its
#: route has come back from an earlier attempt, and is not refused again.
_RETURNED_SECONDS = 0.05
#: Refused clients come back after the wait they were spared and a random time
#: up to this one (s), so that they do not come back together.
_SPREAD_SECONDS = 0.8
_LEAST_RETRY = 0.2
#: Where the wait has not once been short for this long (s), the engines can't
#: keep up: a queue that everybody waits in makes every answer late, so the
#: requests that came back are refused too until it is gone.
_STANDING_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class Refusal:
    """Tell why a request is refused and when to come back (s)."""

    reason: str
    retry_after: float


class Admission:
    """Refuse what would wait too long for a place, unless it came back."""

    def __init__(self, balancer: Balancer) -> None:
        self._balancer = balancer
        self._longest: dict[str, float] = {}
        self._long_since: dict[str, float] = {}

    def judge(self, exchange: Exchange, engine: Engine) -> Refusal | None:
        """Refuse a request before any engine was asked, or let it go on."""
        returned = self._returned(exchange)
        if exchange.sends:
            return None
        wait = self._balancer.expected_wait(engine)
        standing = self._standing(exchange.route, wait)
        if wait <= exchange.route.target * _WAIT_SHARE:
            return None
        if returned and not standing:
            return None
        spread = random.random() * _SPREAD_SECONDS
        return Refusal(
            f'all places taken, {wait:.3f} s to wait',
            max(_LEAST_RETRY, wait) + spread,
        )

    def _standing(self, route: Route, wait: float) -> bool:
        """Tell whether requests of a route have had to wait for long."""
        if wait <= route.target * _WAIT_SHARE:
            self._long_since.pop(route.name, None)
            return False
        now = time.monotonic()
        since = self._long_since.setdefault(route.name, now)
        return now - since > _STANDING_SECONDS

    def _returned(self, exchange: Exchange) -> bool:
        patience = exchange.facts.patience
        if patience is None:
            return True
        name = exchange.route.name
        longest = max(self._longest.get(name, 0), patience)
        self._longest[name] = longest
        return patience < longest - _RETURNED_SECONDS
