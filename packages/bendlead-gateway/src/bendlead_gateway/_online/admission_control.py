"""Admit, queue or refuse online requests."""

import random

from msgspec.structs import replace

from bendlead_gateway._fleet.catalog import ConfigurationHolder
from bendlead_gateway._metrics import Metrics
from bendlead_gateway._online.exchange import Exchange
from bendlead_gateway._online.request_queue import FairShares, RequestQueue
from bendlead_gateway._scheduling.admission import (
    AdmissionRequest,
    Refusal,
    check_admission,
)
from bendlead_gateway.types import ServiceName


class AdmissionControl:
    """Admit requests by their expected wait and the use of their team."""

    def __init__(
        self,
        configuration: ConfigurationHolder,
        metrics: Metrics,
        shares: FairShares,
        queue: RequestQueue,
    ) -> None:
        self._configuration = configuration
        self._metrics = metrics
        self._shares = shares
        self._queue = queue

    def admit(
        self, exchange: Exchange, service: ServiceName, wait: float
    ) -> Refusal | None:
        """Return why to refuse the request, or ``None`` to admit it.

        ``wait`` is the expected wait (s) for a slot. Blocks while the request
        is queued; requests already sent to an engine are always admitted.
        A client that resumes a stream waits as long as it may: few engines can
        go on with it, and its partial response is lost otherwise.
        """
        if exchange.sends or exchange.dequeued or wait <= 0:
            return None
        if exchange.resumed_by_client and wait < exchange.seconds_left:
            return None
        admission_request = self._admission_request(exchange, service)
        refusal = check_admission(admission_request, wait, random.random)
        if refusal is None:
            return None
        not_queued = self._queue.wait(exchange, service)
        if not_queued is None:
            exchange.dequeued = True
            return None
        reason = f'{refusal.reason}; not queued: {not_queued}'
        refusal = replace(refusal, reason=reason)
        if exchange.team:
            self._metrics.load.no_place[exchange.team] += 1
        return refusal

    def record_finished(self, service: ServiceName) -> None:
        """Record that a request has ended and freed its slot."""
        self._queue.record_finished(service)

    def _admission_request(
        self, exchange: Exchange, service: ServiceName
    ) -> AdmissionRequest:
        team = self._configuration.team_named(exchange.team)
        exchange.share_use = self._shares.share_use(team)
        behind = self._queue.is_ahead_of(service, exchange.share_use)
        return AdmissionRequest(
            exchange.route.target,
            exchange.facts.timeout,
            exchange.share_use,
            behind,
        )
