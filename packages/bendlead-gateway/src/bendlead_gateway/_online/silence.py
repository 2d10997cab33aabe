"""How long an engine may say nothing before another one is asked."""

from bendlead_gateway._fleet.fleet import Fleet
from bendlead_gateway._online.exchange import Exchange
from bendlead_gateway.types import Engine

#: An engine with a free place begins its answer within this share of the aim,
#: and where it does not another one can still meet it. On busy days of the
#: users 2 of 100 first events came later than this, and half of these missed
#: the aim of 0.3 s; at half of the aim twice as many were asked for again.
_SILENT_SHARE = 2 / 3
#: Each request adds this many second tries, up to the most: where all engines
#: are slow, asking twice would make them slower.
_TRIES_EARNED = 0.1
_MOST_TRIES = 10.0


class SilenceLimit:
    """Bound the wait for an answer's head where it may be asked elsewhere.

    A connection may stay open and say nothing more for good, and an engine
    may be gone without a reset. Where no place is free silence tells nothing,
    and where no other engine has one the answer is best awaited.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._tries = _MOST_TRIES

    def earn(self) -> None:
        """Count one request towards later second tries."""
        self._add(_TRIES_EARNED)

    def take(self, exchange: Exchange, engine: Engine) -> float | None:
        """Take a second try and give the limit, or nothing to await it."""
        if self._tries < 1 or not exchange.may_replace:
            return None
        seen = exchange.choice
        free = seen.online + seen.batch < engine.slots
        if not free or not self._another_is_free(exchange, engine):
            return None
        self._tries -= 1
        return exchange.route.target * _SILENT_SHARE

    def give_back(self) -> None:
        """Return a second try that was not needed."""
        self._add(1)

    def _another_is_free(self, exchange: Exchange, engine: Engine) -> bool:
        return any(
            other.engine not in exchange.tried
            and self._fleet.loads.taken(other.engine) < other.slots
            and not self._fleet.health.paused(other.engine)
            for other in self._fleet.engines.ready(engine.service)
        )

    def _add(self, tries: float) -> None:
        self._tries = min(_MOST_TRIES, self._tries + tries)
