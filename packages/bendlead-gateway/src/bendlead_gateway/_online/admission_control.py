"""Let requests on to the engines in turn, hold them, or refuse them."""

import random

from msgspec.structs import replace

from bendlead_gateway._fleet.catalog import ConfigurationHolder
from bendlead_gateway._metrics import Metrics
from bendlead_gateway._online.exchange import Exchange
from bendlead_gateway._online.waiting_room import Fairness, WaitingRoom
from bendlead_gateway._scheduling.admission import (
    AdmissionRequest,
    Refusal,
    judge,
)
from bendlead_gateway.types import ServiceName


class AdmissionControl:
    """Judge requests by the wait for a place and by the turn of their team."""

    def __init__(
        self,
        configuration: ConfigurationHolder,
        metrics: Metrics,
        fairness: Fairness,
        room: WaitingRoom,
    ) -> None:
        self._configuration = configuration
        self._metrics = metrics
        self._fairness = fairness
        self._room = room

    def admit(
        self, exchange: Exchange, service: ServiceName, wait: float
    ) -> Refusal | None:
        """Refuse a request before any engine was asked, or let it go on.

        It may be held for a while before.
        """
        if exchange.sends or exchange.released or wait <= 0:
            return None
        asked = self._asked(exchange, service)
        refusal = judge(asked, wait, random.random)
        if refusal is None:
            return None
        not_held = self._room.hold(exchange, service)
        if not_held is None:
            exchange.released = True
            return None
        reason = f'{refusal.reason}; not held: {not_held}'
        refusal = replace(refusal, reason=reason)
        if exchange.team:
            self._metrics.load.no_place[exchange.team] += 1
        return refusal

    def finished(self, service: ServiceName) -> None:
        """Learn that a request has ended, and left its place."""
        self._room.finished(service)

    def _asked(
        self, exchange: Exchange, service: ServiceName
    ) -> AdmissionRequest:
        team = self._configuration.team_named(exchange.team)
        exchange.turn = self._fairness.turn(team)
        behind = self._room.first_before(service, exchange.turn)
        return AdmissionRequest(
            exchange.route.target,
            exchange.facts.patience,
            exchange.turn,
            behind,
        )
