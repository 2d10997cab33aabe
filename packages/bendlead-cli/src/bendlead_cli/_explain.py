"""Collect the log lines of a request, an item or a job."""

import sys
from collections import deque
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass

from bendlead_cli._log_files import STANDARD_INPUT, log_lines
from bendlead_cli._printing import say

#: Context events are shown from this long before the first matching line
#: until this long after the last one.
_CONTEXT_BEFORE_SECONDS = 3.0
_CONTEXT_AFTER_SECONDS = 0.5
_CONFIGURATION_EVENT = 'config-in-force'
#: Events that change the state of a process, such as its view of the fleet.
_CONTEXT_EVENTS = frozenset(
    (
        'clients-refused',
        _CONFIGURATION_EVENT,
        'config-not-passed-on',
        'engine-born-again',
        'engine-ended',
        'engine-failed',
        'engine-gone',
        'engine-listed',
        'engine-unreadable',
        'engines-awaited',
        'late-request',
        'leaving',
        'left',
        'peer-heard',
        'shard-given-up',
        'start',
        'stop',
        'takeover',
        'takeover-failed',
        'watch-history-gone',
        'watch-lost',
        'watch-regained',
    ),
)
_ID_FIELDS = ('request', 'job', 'item', 'belongs_to', 'digest')
#: Holds several digests, separated by commas.
_DIGESTS_FIELD = 'digests'


@dataclass(frozen=True, slots=True)
class LogLine:
    """A parsed line of a log."""

    raw: str
    fields: dict[str, str]

    @property
    def timestamp(self) -> float:
        """Time of the line in Unix seconds."""
        return float(self.fields.get('time', 0))

    @property
    def event(self) -> str:
        """Name of the event, or an empty string."""
        return self.fields.get('event', '')

    def is_about(self, name: str) -> bool:
        """Return whether the line has this id or digest.

        A digest is the same for all retries of a request by its caller.
        """
        if name in self.fields.get(_DIGESTS_FIELD, '').split(','):
            return True
        return any(self.fields.get(id_field) == name for id_field in _ID_FIELDS)

    def shares_source(self, lines: Iterable['LogLine']) -> bool:
        """Return whether any of the lines has the same engine or node."""
        engine = self.fields.get('engine')
        node = self.fields.get('node')
        return any(
            engine == other.fields.get('engine')
            if engine
            else node == other.fields.get('node')
            for other in lines
        )


def parse_line(raw: str) -> LogLine | None:
    """Parse a line; return None if it holds no event."""
    start = raw.find('time=')
    if start < 0:
        return None
    fields = dict(_parse_fields(raw[start:].rstrip('\n')))
    return LogLine(raw.rstrip('\n'), fields) if 'event' in fields else None


def find_lines(lines: Iterable[str], name: str) -> list[LogLine]:
    """Return the lines about an id and their context, in order of time."""
    events = [line for line in map(parse_line, lines) if line]
    matching = [line for line in events if line.is_about(name)]
    if not matching:
        return []
    first = min(line.timestamp for line in matching) - _CONTEXT_BEFORE_SECONDS
    last = max(line.timestamp for line in matching) + _CONTEXT_AFTER_SECONDS
    selected = deque(_active_configurations(events, matching, first))
    for line in events:
        if line.is_about(name):
            selected.append(line)
        elif line.event in _CONTEXT_EVENTS and first <= line.timestamp <= last:
            if line.shares_source(matching):
                selected.append(line)
    return sorted(selected, key=lambda line: line.timestamp)


def _active_configurations(
    events: Iterable[LogLine], matching: Sequence[LogLine], first: float
) -> Iterable[LogLine]:
    """Return the latest configuration event of each node before a time.

    It may be much older than the context, and decides authentication and
    routing.
    """
    nodes = {line.fields.get('node') for line in matching}
    latest: dict[str | None, LogLine] = {}
    for line in events:
        node = line.fields.get('node')
        activated = line.event == _CONFIGURATION_EVENT and node in nodes
        if activated and line.timestamp < first:
            latest[node] = line
    return latest.values()


def explain(name: str, *, log: Sequence[str] = (STANDARD_INPUT,)) -> None:
    """Show what became of a request, item or job, from logs of all nodes.

    :param name: id of the request, item or job
    :param log: files with the log lines, - for standard input
    """
    found = find_lines(log_lines(log), name)
    if not found:
        say(f'no line names {name}; is this the log of every node it met?')
        sys.exit(1)
    for line in found:
        mark = '>' if line.is_about(name) else ' '
        say(f'{mark} {line.raw}')


def _parse_fields(text: str) -> Iterator[tuple[str, str]]:
    """Yield the key=value pairs of a line; values may be quoted."""
    remainder = text
    while '=' in remainder:
        name, _equals, remainder = remainder.partition('=')
        if remainder.startswith('"'):
            field_text, _quote, remainder = remainder[1:].partition('"')
        else:
            field_text, _blank, remainder = remainder.partition(' ')
        yield name.strip(), field_text
