"""Let known callers in, within the limits of their team."""

import hashlib
import hmac
import math
from collections.abc import Callable, Iterable, Iterator
from http import HTTPStatus

from bendlead_schema.objects import Team

from bendlead_node._common.config import ConfigTable
from bendlead_node._common.web import Answer, Call, CallError
from bendlead_node._entry.shared_limits import SharedLimits

_BEARER = 'Bearer '
#: One of the requests under way has ended by then (s).
_LATER_SECONDS = 1.0
_DIGEST_BYTES = 32


def hash_key(key: str) -> str:
    """Hash a team's key; keys are random, so one round is enough."""
    return hashlib.blake2b(key.encode(), digest_size=_DIGEST_BYTES).hexdigest()


class Gate:
    """Find the team behind a key and hold it to its limits."""

    def __init__(self, config: ConfigTable, limits: SharedLimits) -> None:
        """Hold teams to what all entries together may let through."""
        self._config = config
        self._limits = limits

    def team(self, call: Call) -> Team:
        """Find the team of a call, or refuse it."""
        sent = call.header('Authorization').removeprefix(_BEARER)
        hashed = hash_key(sent)
        for team in self._config.teams().values():
            for known in team.key_hashes:
                if hmac.compare_digest(known, hashed):
                    return team
        raise CallError(
            HTTPStatus.UNAUTHORIZED,
            'invalid_api_key',
            'the key belongs to no team',
        )

    def operator(self, call: Call) -> Team:
        """Find the team of a call and require it to operate the fleet."""
        team = self.team(call)
        if not team.operator:
            raise CallError(
                HTTPStatus.FORBIDDEN,
                'not_operator',
                f'team {team.name} may not operate the fleet',
            )
        return team

    def admitted(self, team: Team, run: Callable[[], Answer]) -> Answer:
        """Run a request within the limits of its team, to its last byte."""
        if not self._limits.has_place(team):
            raise _limited(team, 'requests at once', _LATER_SECONDS)
        wait = self._limits.take(team)
        if wait > 0:
            raise _limited(team, 'requests per second', wait)
        self._limits.begin(team)
        try:
            answer = run()
        except BaseException:
            self._limits.end(team)
            raise
        if isinstance(answer.body, bytes):
            self._limits.end(team)
        else:
            answer.body = self._until_end(answer.body, team)
        return answer

    def _until_end(self, body: Iterable[bytes], team: Team) -> Iterator[bytes]:
        try:
            yield from body
        finally:
            self._limits.end(team)


def _limited(team: Team, limit: str, seconds: float) -> CallError:
    return CallError(
        HTTPStatus.TOO_MANY_REQUESTS,
        'rate_limit_exceeded',
        f'team {team.name} is over its limit of {limit}',
        retry_after=max(1, math.ceil(seconds)),
    )
