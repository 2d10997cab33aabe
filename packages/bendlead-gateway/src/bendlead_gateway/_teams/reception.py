"""Admission of requests by key and by the rate limit of the team."""

import random
from collections.abc import Callable
from http import HTTPStatus

from bendlead_store import clock

from bendlead_gateway._fleet.catalog import ConfigurationHolder
from bendlead_gateway._http.messages import Request, Responder
from bendlead_gateway._log import Log
from bendlead_gateway._metrics import Metrics
from bendlead_gateway._teams.access import Access, Admitted, TurnedAway
from bendlead_gateway._teams.limits import TeamLimits
from bendlead_gateway._teams.returns import Over, ReturnTimes
from bendlead_gateway.dialect import Dialect
from bendlead_gateway.types import RequestFacts, Team


class Reception:
    """Reject callers without a valid key, and requests over a team's limit."""

    def __init__(
        self,
        dialect: Dialect,
        configuration: ConfigurationHolder,
        limits: TeamLimits,
        surely_newest: Callable[[], bool],
        log: Log,
        metrics: Metrics,
    ) -> None:
        """Check requests of one entry.

        ``surely_newest`` returns whether the configuration in force is known
        to be the newest.
        """
        self._dialect = dialect
        self._configuration = configuration
        self._access = Access(configuration)
        self._surely_newest = surely_newest
        self._log = log
        self._metrics = metrics
        self.limits = limits
        self._retry_times = ReturnTimes(clock.uptime)

    def admit(
        self, request: Request, responder: Responder, *, public: bool
    ) -> Admitted | None:
        """Return the caller's team, or send an error and return ``None``."""
        decision = self._access.judge(
            self._dialect.caller_key(request.headers),
            public=public,
            surely_newest=self._surely_newest(),
        )
        if isinstance(decision, Admitted):
            return decision
        self._reject(request, responder, decision)
        return None

    def count(
        self, facts: RequestFacts, responder: Responder, team: Team | None
    ) -> bool:
        """Return whether a team is within its limit; else send a 429."""
        if team is None:
            return True
        wait = self.limits.take(team)
        if wait <= 0:
            return True
        self._metrics.requests['over_limit'] += 1
        self._metrics.over_limit[team.name] += 1
        self._log.event(
            'over-limit',
            request=facts.request,
            team=team.name,
            rate=team.rate,
            burst=team.burst,
            wait=round(wait, 3),
            entries_heard=self.limits.group.heard,
            entries=self.limits.group.entries,
        )
        rate = team.rate / self.limits.group.heard
        over = Over(team.name, wait, rate, facts.patience)
        retry_after = self._retry_times.deal(over, random.random)
        responder.answer(
            HTTPStatus.TOO_MANY_REQUESTS,
            [('Retry-After', f'{retry_after:.3f}')],
        )
        return False

    def _reject(
        self, request: Request, responder: Responder, rejection: TurnedAway
    ) -> None:
        facts = self._dialect.request_facts(request.headers)
        self._log.event(
            'caller-turned-away',
            request=facts.request if facts else '-',
            target=request.target,
            version=self._configuration.version,
            status=int(rejection.status),
            reason=rejection.reason,
        )
        headers = []
        if rejection.retry_after is not None:
            headers.append(('Retry-After', f'{rejection.retry_after:.3f}'))
        responder.answer(rejection.status, headers)
