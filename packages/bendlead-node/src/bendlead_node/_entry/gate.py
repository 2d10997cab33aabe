"""Let known callers in, within the limits of their team."""

import hashlib
import hmac
import time
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from http import HTTPStatus

from bendlead_schema.objects import Team

from bendlead_node._common.config import ConfigTable
from bendlead_node._common.web import Answer, Call, CallError

_BEARER = 'Bearer '
_BURST_SECONDS = 1.0
_DIGEST_BYTES = 32


def hash_key(key: str) -> str:
    """Hash a team's key; keys are random, so one round is enough."""
    return hashlib.blake2b(key.encode(), digest_size=_DIGEST_BYTES).hexdigest()


@dataclass(slots=True)
class _Usage:
    allowance: float
    refilled: float
    running: int = 0


class Gate:
    """Find the team behind a key and hold it to its limits."""

    def __init__(self, config: ConfigTable) -> None:
        self._config = config
        self._usage: dict[str, _Usage] = {}

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
        usage = self._refill(team)
        if usage.allowance < 1:
            raise _limited(team, 'requests per second')
        if usage.running >= team.concurrency:
            raise _limited(team, 'requests at once')
        usage.allowance -= 1
        usage.running += 1
        try:
            answer = run()
        except BaseException:
            usage.running -= 1
            raise
        if isinstance(answer.body, bytes):
            usage.running -= 1
        else:
            answer.body = _until_end(answer.body, usage)
        return answer

    def _refill(self, team: Team) -> _Usage:
        now = time.monotonic()
        rate = team.requests_per_second
        burst = max(1, rate * _BURST_SECONDS)
        usage = self._usage.setdefault(team.name, _Usage(burst, now))
        earned = (now - usage.refilled) * rate
        usage.allowance = min(burst, usage.allowance + earned)
        usage.refilled = now
        return usage


def _limited(team: Team, limit: str) -> CallError:
    return CallError(
        HTTPStatus.TOO_MANY_REQUESTS,
        'rate_limit_exceeded',
        f'team {team.name} is over its limit of {limit}',
        retry_after=1,
    )


def _until_end(body: Iterable[bytes], usage: _Usage) -> Iterator[bytes]:
    try:
        yield from body
    finally:
        usage.running -= 1
