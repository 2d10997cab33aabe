"""Policy programs: CEL expressions evaluated into plain tables."""

import time
from dataclasses import dataclass
from typing import Any

from bendlead_ledger import TeamPolicy
from bendlead_schema.objects import Policy, Team
from bendlead_store import clock

from bendlead_node._common.config import ConfigTable

_TABLE_SECONDS = 1.0
_EXAMPLE = {'team': 'example', 'team_share': 1.0, 'hour': 12, 'weekday': 3}


@dataclass(frozen=True, slots=True)
class _Field:
    name: str
    kind: type | tuple[type, ...]
    meaning: str


_FIELDS = (
    _Field('rank', int, 'an integer; higher goes first'),
    _Field('share', (int, float), 'a number above 0'),
    _Field('may_use_spare', bool, 'true or false'),
    _Field('may_drain', bool, 'true or false'),
)


def check_policy(policy: Any) -> list[str]:
    """List what is wrong with the expressions of a policy."""
    problems = []
    for field in _FIELDS:
        program = getattr(policy, field.name)
        try:
            found = _evaluate(program, _EXAMPLE)
        except Exception as error:  # the library raises many kinds
            problems.append(f'{field.name}: {program!r}: {error}')
            continue
        if not isinstance(found, field.kind) or (
            field.kind is int and isinstance(found, bool)
        ):
            problems.append(
                f'{field.name}: {program!r} gives {found!r}, '
                f'but must give {field.meaning}',
            )
    return problems


class PolicyTable:
    """Keep the outcome of all policies for all teams, off the hot path."""

    def __init__(self, config: ConfigTable) -> None:
        self._config = config
        self._rows: dict[str, TeamPolicy] = {}
        self._made = 0.0

    def row(self, team: str) -> TeamPolicy:
        """Tell how the policies in force treat a team."""
        now = clock.uptime()
        if now - self._made > _TABLE_SECONDS:
            self._made = now
            self._rows = self._evaluated()
        return self._rows.get(team, TeamPolicy())

    def _evaluated(self) -> dict[str, TeamPolicy]:
        policies = self._config.policies()
        if not policies:
            return {
                team.name: TeamPolicy(share=team.share)
                for team in self._config.teams().values()
            }
        # One policy is in force: the first by name.
        policy = policies[min(policies)]
        return {
            team.name: _row(policy, team)
            for team in self._config.teams().values()
        }


def _row(policy: Policy, team: Team) -> TeamPolicy:
    now = time.localtime()
    inputs = {
        'team': team.name,
        'team_share': team.share,
        'hour': now.tm_hour,
        'weekday': now.tm_wday,
    }
    return TeamPolicy(
        rank=_evaluate(policy.rank, inputs),
        share=float(_evaluate(policy.share, inputs)),
        may_use_spare=_evaluate(policy.may_use_spare, inputs),
    )


def _evaluate(program: str, inputs: dict[str, Any]) -> Any:
    # The CEL engine takes 24 MB: loaded where a policy is in force.
    import cel  # noqa: PLC0415

    return cel.evaluate(program, inputs)
