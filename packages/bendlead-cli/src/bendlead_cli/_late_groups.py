"""Count the outcomes of online requests by group, from logs."""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from enum import Enum

from bendlead_cli._explain import LogLine, parse_line

_MS_PER_SECOND = 1000
_OK = '200'
_REFUSED = '503'
_UNKNOWN = '-'


class Group(Enum):
    """Attribute by which requests are grouped."""

    CAUSE = 'cause'
    TEAM = 'team'
    ROUTE = 'route'
    ENGINE = 'engine'
    #: The data hall of the entry; its callers are in the same one.
    HALL = 'hall'
    SECOND = 'second'


class Outcome(Enum):
    """Outcome of one attempt of a request."""

    IN_TIME = 'in time'
    LATE = 'late'
    REFUSED = 'refused'
    OVER_LIMIT = 'over limit'
    FAILED = 'failed'


@dataclass(frozen=True, slots=True)
class GroupCounts:
    """Attempts of one group by outcome."""

    name: str
    outcomes: Mapping[Outcome, int]

    @property
    def attempts(self) -> int:
        """Number of all attempts."""
        return sum(self.outcomes.values())

    @property
    def unserved(self) -> int:
        """Number of attempts without a complete response."""
        served = self.outcomes[Outcome.IN_TIME] + self.outcomes[Outcome.LATE]
        return self.attempts - served


def count_groups(
    lines: Iterable[str], group: Group, latency_target: float
) -> Sequence[GroupCounts]:
    """Count outcomes by group, for a latency target in seconds.

    Groups are sorted by time, or by unserved attempts, most first.
    """
    halls: dict[str, str] = {}
    counts: dict[str, Counter[Outcome]] = {}
    for line in map(parse_line, lines):
        if line is None:
            continue
        fields = line.fields
        if line.event == 'start':
            halls[fields.get('node', '')] = fields.get('hall', _UNKNOWN)
        outcome = _outcome(line, latency_target)
        if outcome is not None:
            name = _group_name(line, group, halls)
            counts.setdefault(name, Counter())[outcome] += 1
    groups = [GroupCounts(name, outcomes) for name, outcomes in counts.items()]
    if group is Group.SECOND:
        return sorted(groups, key=lambda counted: float(counted.name))
    return sorted(groups, key=lambda counted: (-counted.unserved, counted.name))


def _outcome(line: LogLine, latency_target: float) -> Outcome | None:
    if line.event == 'over-limit':
        return Outcome.OVER_LIMIT
    if line.event != 'request':
        return None
    fields = line.fields
    if fields.get('status') == _REFUSED:
        return Outcome.REFUSED
    if fields.get('status') != _OK or fields.get('outcome') != 'answered':
        return Outcome.FAILED
    in_time = (
        float(fields.get('first_ms', 0)) <= latency_target * _MS_PER_SECOND
    )
    return Outcome.IN_TIME if in_time else Outcome.LATE


def _group_name(line: LogLine, group: Group, halls: Mapping[str, str]) -> str:
    if group is Group.SECOND:
        return str(int(line.timestamp))
    if group is Group.HALL:
        return halls.get(line.fields.get('node', ''), _UNKNOWN)
    return line.fields.get(group.value, _UNKNOWN)
