"""Choice of the engine that runs a request again."""

from collections.abc import Iterable

from bendlead_store import clock

from bendlead_gateway._fleet.balancer import Balancer
from bendlead_gateway._online.exchange import Exchange
from bendlead_gateway._scheduling.queue_policy import latest_send_time
from bendlead_gateway._scheduling.view import EngineView
from bendlead_gateway.types import (
    EngineId,
    EngineVersion,
    RouteKind,
    ServiceName,
)


class ResumeChoice:
    """Choose among the engines that may run a request again.

    An engine that refused it, or fell silent and was left, may get it again
    after a pause if no other can: it has not run it, or may go on by then.
    """

    def __init__(self, balancer: Balancer) -> None:
        self._balancer = balancer

    def find(
        self, exchange: Exchange, service: ServiceName
    ) -> EngineView | None:
        """Return the engine to use now, ``None`` if there is none yet."""
        for excluded in (exchange.tried, exchange.excluded(clock.uptime())):
            placement = self._balancer.choose(
                service,
                self._without_bound(exchange, service, excluded),
                once=True,
                version=self._version(exchange, service),
            )
            if placement is not None:
                return placement.view
        return None

    def may_wait(self, exchange: Exchange, service: ServiceName) -> bool:
        """Return whether waiting may bring an engine in time."""
        if clock.uptime() >= _latest_send(exchange):
            return False
        never = exchange.tried - exchange.may_resume_at.keys()
        excluded = self._without_bound(exchange, service, never)
        return bool(
            self._balancer.views(
                service, excluded, self._version(exchange, service)
            )
        )

    def _version(
        self, exchange: Exchange, service: ServiceName
    ) -> EngineVersion | None:
        """Return the version that the engine must have, ``None`` for any.

        With a version, engines that have only just begun to drain are used if
        there are no others; a begun stream would end without them.
        """
        version = exchange.stream_version
        if version is None and exchange.responder.started:
            if not self._balancer.views(service):
                return exchange.choice.version
        return version

    def _without_bound(
        self,
        exchange: Exchange,
        service: ServiceName,
        excluded: Iterable[EngineId],
    ) -> set[EngineId]:
        """Exclude all other engines if only one may run it."""
        others: set[EngineId] = set()
        if exchange.bound_to is not None:
            others = {
                view.name
                for view in self._balancer.views(
                    service,
                    (exchange.bound_to,),
                    self._version(exchange, service),
                )
            }
        return others.union(excluded)


def _latest_send(exchange: Exchange) -> float:
    """Return until when (uptime, s) a request waits to be sent again."""
    if exchange.responder.started:
        return exchange.deadline
    # Its client would be gone before the first event, or cut off at the end.
    return latest_send_time(
        exchange.request.received_at,
        exchange.deadline,
        exchange.route.target,
        exchange.route.kind is RouteKind.STREAM,
    )
