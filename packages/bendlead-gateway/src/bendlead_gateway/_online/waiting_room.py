"""Hold requests until a place comes free, each in a task of its own."""

from collections.abc import Callable
from typing import Protocol

import gevent
from bendlead_store import clock
from gevent.event import AsyncResult

from bendlead_gateway._http.messages import ServerEndsError
from bendlead_gateway._metrics import Metrics
from bendlead_gateway._online.exchange import Exchange
from bendlead_gateway._scheduling.turns import Turn
from bendlead_gateway._scheduling.waiting import (
    Patience,
    QueuedRequest,
    WaitingRules,
    last_moment,
    should_queue,
)
from bendlead_gateway.types import RouteKind, ServiceName, Team, TeamName

#: Places are looked for this often (s) while somebody is held; one comes free
#: every few ms.
_LOOK_SECONDS = 0.02


class Fairness(Protocol):
    """Tell whose turn it is."""

    def turn(self, team: Team | None) -> Turn:
        """Tell how a team stands to its share now."""


class WaitingRoom:
    """Hold requests of each service, and let them go on one by one.

    Whoever leaves in between, its caller or its deadline, ends its task, which
    gives its room back.
    """

    def __init__(
        self,
        wait_of: Callable[[ServiceName], float | None],
        fairness: Fairness,
        team_named: Callable[[TeamName], Team | None],
        metrics: Metrics,
        now: Callable[[], float] = clock.uptime,
    ) -> None:
        """Hold requests; ``wait_of`` tells the wait (s) for a place."""
        self._wait_of = wait_of
        self._fairness = fairness
        self._team_named = team_named
        self._metrics = metrics
        self._now = now
        #: By route.
        self._patience: dict[str, Patience] = {}
        self._rules: dict[ServiceName, WaitingRules] = {}
        self._results: dict[QueuedRequest, AsyncResult] = {}
        self._tasks: dict[ServiceName, gevent.Greenlet] = {}

    @property
    def waiting(self) -> dict[TeamName, int]:
        """Count those that are held, by team."""
        counts: dict[TeamName, int] = {}
        for held in self._results:
            counts[held.team] = counts.get(held.team, 0) + 1
        return counts

    def first_before(self, service: ServiceName, turn: Turn) -> bool:
        """Tell whether somebody held goes before a new request."""
        return self._rules_of(service).first_before(turn)

    def finished(self, service: ServiceName) -> None:
        """Learn that a request of this process has ended."""
        self._rules_of(service).finished()

    def hold(self, exchange: Exchange, service: ServiceName) -> str | None:
        """Wait for a place; say why not where there is none to be had."""
        held = self._ask(exchange)
        if held is None:
            return 'may come back'
        rules = self._rules_of(service)
        reason = rules.reason_against(held)
        if reason is not None:
            self._metrics.load.held['not_held'] += 1
            return reason
        return self._wait(exchange, held, service)

    def _ask(self, exchange: Exchange) -> QueuedRequest | None:
        """Make what is to be held, if the request may be."""
        route = exchange.route
        stream = route.kind is RouteKind.STREAM
        until = last_moment(
            exchange.request.received, exchange.deadline, route.target, stream
        )
        patience = self._patience.setdefault(route.name, Patience())
        if not patience.came_back(exchange.facts.patience, route.timeout):
            return None
        now = self._now()
        if not should_queue(until - now, route.target):
            return None
        team = self._team_named(exchange.team)
        return QueuedRequest(
            exchange.team,
            now,
            until,
            route.target,
            (team.priority if team else 0, route.priority),
            exchange.turn,
            len(exchange.request.body),
        )

    def _wait(
        self, exchange: Exchange, held: QueuedRequest, service: ServiceName
    ) -> str | None:
        self._rules_of(service).enter(held)
        self._results[held] = AsyncResult()
        self._look_for_places(service)
        try:
            reason = self._results[held].get()
        except ServerEndsError:
            # No engine has it, so its caller may be told so.
            reason = 'the process ends'
        finally:
            exchange.held += self._now() - held.came
            self._forget(held, service)
        self._metrics.load.held['given_up' if reason else 'released'] += 1
        return reason

    def _forget(self, held: QueuedRequest, service: ServiceName) -> None:
        """Give its room back, whatever became of it."""
        self._rules_of(service).leave(held)
        self._results.pop(held)

    def _rules_of(self, service: ServiceName) -> WaitingRules:
        rules = self._rules.get(service)
        if rules is None:
            rules = WaitingRules(self._now)
            self._rules[service] = rules
        return rules

    def _look_for_places(self, service: ServiceName) -> None:
        task = self._tasks.get(service)
        if task is None or task.dead:
            self._tasks[service] = gevent.spawn(self._serve, service)

    def _serve(self, service: ServiceName) -> None:
        """Let those who are held go on, until nobody is."""
        rules = self._rules_of(service)
        while rules.held:
            self._look(service, rules)
            gevent.sleep(_LOOK_SECONDS)

    def _look(self, service: ServiceName, rules: WaitingRules) -> None:
        for held in rules.held:
            held.turn = self._fairness.turn(self._team_named(held.team))
        for hopeless in rules.hopeless():
            self._tell(rules, hopeless, 'no place to be expected in time')
        wait = self._wait_of(service)
        first = None if wait is None else rules.release(wait)
        if first is not None:
            self._tell(rules, first, None)

    def _tell(
        self, rules: WaitingRules, held: QueuedRequest, reason: str | None
    ) -> None:
        """Wake the task of a request that goes on, or why it does not."""
        rules.leave(held)
        self._results[held].set(reason)
