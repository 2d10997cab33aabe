"""Classify online requests that missed their latency target, from logs."""

from bisect import bisect_left, bisect_right
from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import Enum

from bendlead_cli._explain import LogLine, parse_line
from bendlead_cli._late_groups import Group, GroupCounts, Outcome, count_groups
from bendlead_cli._log_files import STANDARD_INPUT, log_lines
from bendlead_cli._printing import say, table

_MS_PER_SECOND = 1000
_OK = 200
_REFUSED = 503


class Cause(Enum):
    """Result of an attempt, and the cause if it was late."""

    IN_TIME = 'in time'
    SERVED_ON_RETRY = 'refused before, answered when it came back'
    FAILED_OVER = 'an engine was silent or refused, another one answered'
    SEEN_FULL = 'its engine was full, and seen to be'
    UNSEEN_FULL = 'its engine was full, and not seen to be'
    FULL_WITH_ITEMS = 'its engine was full with items'
    SLOW = 'its engine had places'
    REFUSED = 'refused'
    FAILED = 'failed or broken off'
    UNREADABLE = 'line cut short'


@dataclass(frozen=True, slots=True)
class OnlineAttempt:
    """One attempt of a request as logged by an entry; times in seconds."""

    request: str
    engine: str
    started_at: float
    ended_at: float
    first_event_seconds: float
    status: int
    answered: bool
    sends: int
    online_runs_seen: int
    item_runs_seen: int

    @classmethod
    def parse(cls, line: LogLine) -> 'OnlineAttempt':
        """Parse a log line, which leaves out fields with default values.

        Raise ValueError if a field is not a number.
        """
        fields = line.fields
        ended_at = line.timestamp
        return cls(
            fields.get('request', ''),
            fields.get('engine', ''),
            ended_at - float(fields.get('total_ms', 0)) / _MS_PER_SECOND,
            ended_at,
            float(fields.get('first_ms', 0)) / _MS_PER_SECOND,
            int(fields.get('status', 0)),
            fields.get('outcome') == 'answered',
            int(fields.get('sends', 1)),
            int(fields.get('online_seen', 0)),
            int(fields.get('batch_seen', 0)),
        )


class EngineRuns:
    """Times at which requests started and ended on each engine."""

    def __init__(self, attempts: Iterable[OnlineAttempt]) -> None:
        self._start_times: dict[str, list[float]] = defaultdict(list)
        self._end_times: dict[str, list[float]] = defaultdict(list)
        for attempt in attempts:
            self._start_times[attempt.engine].append(attempt.started_at)
            self._end_times[attempt.engine].append(attempt.ended_at)
        for times in (*self._start_times.values(), *self._end_times.values()):
            times.sort()

    def running_at_start(self, attempt: OnlineAttempt) -> int:
        """Count the requests on the attempt's engine when it started."""
        started = bisect_left(
            self._start_times[attempt.engine], attempt.started_at
        )
        return started - bisect_right(
            self._end_times[attempt.engine], attempt.started_at
        )


def count_causes(
    lines: Iterable[str], latency_target: float, slots: int
) -> Counter[Cause]:
    """Count attempts by cause, for a latency target in seconds."""
    events = map(parse_line, lines)
    request_lines = [
        line for line in events if line and line.event == 'request'
    ]
    parsed = [
        attempt for attempt in map(_parse_attempt, request_lines) if attempt
    ]
    attempts = sorted(parsed, key=_started_at)
    engine_runs = EngineRuns(
        attempt for attempt in attempts if attempt.status != _REFUSED
    )
    refused: set[str] = set()
    counts: Counter[Cause] = Counter()
    if len(parsed) < len(request_lines):
        counts[Cause.UNREADABLE] = len(request_lines) - len(parsed)
    for attempt in attempts:
        cause = _response_cause(attempt, refused)
        if (
            cause is Cause.IN_TIME
            and attempt.first_event_seconds > latency_target
        ):
            cause = _late_cause(
                attempt, engine_runs.running_at_start(attempt), slots
            )
        if cause is Cause.REFUSED:
            refused.add(attempt.request)
        counts[cause] += 1
    return counts


def late(
    *,
    log: Sequence[str] = (STANDARD_INPUT,),
    aim_ms: float = 300,
    places: int = 8,
    by: Group = Group.CAUSE,
    rows: int = 20,
) -> None:
    """Count why requests were late or refused, from logs of all entries.

    :param log: files with the log lines, - for standard input
    :param aim_ms: time until the first event that counts as in time
    :param places: requests that an engine runs at once
    :param by: what requests are told apart by, with most unserved ones first
    :param rows: groups shown at most
    """
    if by is not Group.CAUSE:
        groups = count_groups(log_lines(log), by, aim_ms / _MS_PER_SECOND)
        _show_groups(by, groups[:rows])
        return
    counts = count_causes(log_lines(log), aim_ms / _MS_PER_SECOND, places)
    total = max(1, counts.total())
    for cause in Cause:
        count = counts[cause]
        say(f'{count:8}  {count / total:6.3f}  {cause.value}')


def _show_groups(by: Group, groups: Sequence[GroupCounts]) -> None:
    rows = [
        (by.value, 'tries', 'served', *(outcome.value for outcome in Outcome))
    ]
    for group in groups:
        served = 1 - group.unserved / group.attempts
        counts = [str(group.outcomes[outcome]) for outcome in Outcome]
        rows.append((group.name, str(group.attempts), f'{served:.3f}', *counts))
    table(rows)


def _parse_attempt(line: LogLine) -> OnlineAttempt | None:
    try:
        return OnlineAttempt.parse(line)
    except ValueError:
        # A truncated line, or one interleaved with another writer's.
        return None


def _started_at(attempt: OnlineAttempt) -> float:
    return attempt.started_at


def _response_cause(attempt: OnlineAttempt, refused: set[str]) -> Cause:
    if attempt.status == _REFUSED:
        return Cause.REFUSED
    if attempt.status != _OK or not attempt.answered:
        return Cause.FAILED
    return (
        Cause.SERVED_ON_RETRY if attempt.request in refused else Cause.IN_TIME
    )


def _late_cause(attempt: OnlineAttempt, running: int, slots: int) -> Cause:
    """Return why the first event was late on an engine with these slots."""
    if attempt.sends > 1:
        return Cause.FAILED_OVER
    if attempt.online_runs_seen >= slots:
        return Cause.SEEN_FULL
    if running >= slots:
        return Cause.UNSEEN_FULL
    if running + attempt.item_runs_seen >= slots:
        return Cause.FULL_WITH_ITEMS
    return Cause.SLOW
