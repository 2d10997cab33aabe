"""Queue of requests that wait for a free slot of an engine."""

import math
from collections.abc import Callable
from typing import Protocol

import gevent
from bendlead_store import clock
from bendlead_store.tasks import Report, keep_running, print_failure
from gevent.event import AsyncResult

from bendlead_gateway._http.messages import ServerShutdownError
from bendlead_gateway._metrics import Metrics
from bendlead_gateway._online.exchange import Exchange
from bendlead_gateway._scheduling.queue_policy import (
    QueuedRequest,
    QueuePolicy,
    RetryDetector,
    latest_send_time,
    should_queue,
)
from bendlead_gateway._scheduling.team_shares import ShareUse
from bendlead_gateway.types import RouteKind, ServiceName, Team, TeamName

#: Interval of the checks for free slots while requests are queued.
_POLL_SECONDS = 0.02


class FairShares(Protocol):
    """Source of each team's recent use and fair share."""

    def share_use(self, team: Team | None) -> ShareUse:
        """Return the team's recent requests and its share."""


class RequestQueue:
    """Queue requests by service and release them as slots come free.

    Each request waits in the greenlet that serves it. Where its client leaves
    or its deadline passes, that greenlet ends and the request leaves the queue.
    """

    def __init__(
        self,
        wait_of: Callable[[ServiceName], float | None],
        shares: FairShares,
        team_named: Callable[[TeamName], Team | None],
        metrics: Metrics,
        now: Callable[[], float] = clock.uptime,
    ) -> None:
        """Make a queue; ``wait_of`` returns the wait (s) of a service."""
        self._wait_of = wait_of
        self._shares = shares
        self._team_named = team_named
        self._metrics = metrics
        self._now = now
        self.report: Report = print_failure
        #: When the process ends (uptime, s), once it takes no new work.
        self._ends_at = math.inf
        #: By name of the route.
        self._retry_detectors: dict[str, RetryDetector] = {}
        self._policies: dict[ServiceName, QueuePolicy] = {}
        self._results: dict[QueuedRequest, AsyncResult] = {}
        self._tasks: dict[ServiceName, gevent.Greenlet] = {}

    @property
    def waiting(self) -> dict[TeamName, int]:
        """Count the queued requests by team."""
        counts: dict[TeamName, int] = {}
        for queued in self._results:
            counts[queued.team] = counts.get(queued.team, 0) + 1
        return counts

    def is_ahead_of(self, service: ServiceName, share_use: ShareUse) -> bool:
        """Return whether a queued request goes before a new one."""
        return self._policy_of(service).is_ahead_of(share_use)

    def refuse_beyond(self, ends_at: float) -> None:
        """Refuse those that may not be finished as the process ends.

        Another process can serve them, as no engine has run them.
        """
        self._ends_at = ends_at

    def record_finished(self, service: ServiceName) -> None:
        """Record that a request of this process has freed its slot."""
        self._policy_of(service).record_finished()

    def wait(self, exchange: Exchange, service: ServiceName) -> str | None:
        """Wait for a slot; return why none was available, else ``None``."""
        queued = self._make_queued(exchange)
        if queued is None:
            return 'first attempt or deadline too near'
        policy = self._policy_of(service)
        reason = policy.rejection_reason(queued)
        if reason is not None:
            self._metrics.load.held['not_held'] += 1
            return reason
        return self._wait_for_slot(exchange, queued, service)

    def _make_queued(self, exchange: Exchange) -> QueuedRequest | None:
        """Return the queue entry, or ``None`` if it must not be queued."""
        route = exchange.route
        stream = route.kind is RouteKind.STREAM
        last_send = latest_send_time(
            exchange.request.received_at,
            exchange.deadline,
            route.target,
            stream,
        )
        retry_detector = self._retry_detectors.setdefault(
            route.name, RetryDetector()
        )
        if not retry_detector.is_retry(exchange.facts.timeout, route.timeout):
            return None
        now = self._now()
        if not should_queue(last_send - now, route.target):
            return None
        team = self._team_named(exchange.team)
        return QueuedRequest(
            exchange.team,
            now,
            last_send,
            route.target,
            (team.priority if team else 0, route.priority),
            exchange.share_use,
            len(exchange.request.body),
        )

    def _wait_for_slot(
        self, exchange: Exchange, queued: QueuedRequest, service: ServiceName
    ) -> str | None:
        self._policy_of(service).add(queued)
        self._results[queued] = AsyncResult()
        self._start_releasing(service)
        try:
            reason = self._results[queued].get()
        except ServerShutdownError:
            # No engine has run it, so it can be refused.
            reason = 'process is stopping'
        finally:
            exchange.queued_seconds += self._now() - queued.queued_at
            self._remove(queued, service)
        self._metrics.load.held['given_up' if reason else 'released'] += 1
        return reason

    def _remove(self, queued: QueuedRequest, service: ServiceName) -> None:
        """Remove a request that was released, refused or abandoned."""
        self._policy_of(service).remove(queued)
        self._results.pop(queued)

    def _policy_of(self, service: ServiceName) -> QueuePolicy:
        policy = self._policies.get(service)
        if policy is None:
            policy = QueuePolicy(self._now)
            self._policies[service] = policy
        return policy

    def _start_releasing(self, service: ServiceName) -> None:
        task = self._tasks.get(service)
        if task is None or task.dead:
            self._tasks[service] = keep_running(
                'queue', self.report, self._release_all, service
            )

    def _release_all(self, service: ServiceName) -> None:
        """Release requests until the queue of the service is empty."""
        policy = self._policy_of(service)
        while policy.queued:
            self._release_next(service, policy)
            gevent.sleep(_POLL_SECONDS)

    def _release_next(self, service: ServiceName, policy: QueuePolicy) -> None:
        for queued in policy.queued:
            queued.share_use = self._shares.share_use(
                self._team_named(queued.team)
            )
        for late in self._find_late(policy):
            self._wake(policy, late, 'process ends before its deadline')
        for unlikely in policy.expired():
            self._wake(policy, unlikely, 'no slot expected before its deadline')
        wait = self._wait_of(service)
        released = None if wait is None else policy.release(wait)
        if released is not None:
            self._wake(policy, released, None)

    def _find_late(self, policy: QueuePolicy) -> list[QueuedRequest]:
        return [
            queued
            for queued in policy.queued
            if queued.send_by + queued.target > self._ends_at
        ]

    def _wake(
        self, policy: QueuePolicy, queued: QueuedRequest, reason: str | None
    ) -> None:
        """Wake the greenlet of a request; ``reason`` is that of a refusal."""
        policy.remove(queued)
        self._results[queued].set(reason)
