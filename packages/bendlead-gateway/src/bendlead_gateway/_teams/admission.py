"""Admission of requests by key and by the rate limit of the team."""

import random
from collections.abc import Callable
from http import HTTPStatus

from bendlead_store import clock

from bendlead_gateway._fleet.catalog import ConfigurationHolder
from bendlead_gateway._http.messages import Request, Responder
from bendlead_gateway._log import Log
from bendlead_gateway._metrics import Metrics
from bendlead_gateway._teams.authentication import (
    Admitted,
    Authenticator,
    Rejected,
)
from bendlead_gateway._teams.limits import TeamLimits
from bendlead_gateway._teams.retry_times import OverLimit, RetryTimes
from bendlead_gateway.dialect import Dialect
from bendlead_gateway.types import RequestFacts, Team


class TeamAdmission:
    """Reject callers without a valid key, and requests over a team's limit."""

    def __init__(
        self,
        dialect: Dialect,
        configuration: ConfigurationHolder,
        limits: TeamLimits,
        is_newest: Callable[[], bool],
        log: Log,
        metrics: Metrics,
    ) -> None:
        """Check requests of one entry.

        ``is_newest`` returns whether the configuration in force is known
        to be the newest.
        """
        self._dialect = dialect
        self._configuration = configuration
        self._authenticator = Authenticator(configuration)
        self._is_newest = is_newest
        self._log = log
        self._metrics = metrics
        self.limits = limits
        self._retry_times = RetryTimes(clock.uptime)

    def authenticate(
        self, request: Request, responder: Responder, *, public: bool
    ) -> Admitted | None:
        """Return the caller's team, or send an error and return ``None``."""
        decision = self._authenticator.authenticate(
            self._dialect.caller_key(request.headers),
            public=public,
            is_newest=self._is_newest(),
        )
        if isinstance(decision, Admitted):
            return decision
        self._reject(request, responder, decision)
        return None

    def check_limit(
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
            entries_heard=self.limits.group.reachable,
            entries=self.limits.group.entries,
        )
        rate = team.rate / self.limits.group.reachable
        rejected = OverLimit(team.name, wait, rate, facts.timeout)
        retry_after = self._retry_times.assign(rejected, random.random)
        responder.answer(
            HTTPStatus.TOO_MANY_REQUESTS,
            [('Retry-After', f'{retry_after:.3f}')],
        )
        return False

    def _reject(
        self, request: Request, responder: Responder, rejection: Rejected
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
