"""Find out from log lines what became of a request, an item or a job."""

import sys
from collections import deque
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass

from bendlead_cli._log_files import STANDARD_INPUT, log_lines
from bendlead_cli._printing import say

#: How much before and after its own lines (s) others may explain a request.
_BEFORE_SECONDS = 3.0
_AFTER_SECONDS = 0.5
_IN_FORCE = 'config-in-force'
#: Events that change what a process believes, and whom they concern.
_CONTEXT = frozenset(
    (
        'clients-refused',
        _IN_FORCE,
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
_SUBJECTS = ('request', 'job', 'item', 'belongs_to', 'digest')
#: Names several digests, parted by commas.
_DIGESTS = 'digests'


@dataclass(frozen=True, slots=True)
class LogLine:
    """Hold one line of a log, taken apart."""

    raw: str
    fields: dict[str, str]

    @property
    def moment(self) -> float:
        """Give the time of the line in Unix seconds."""
        return float(self.fields.get('time', 0))

    @property
    def event(self) -> str:
        """Give the name of the event."""
        return self.fields.get('event', '')

    def concerns(self, name: str) -> bool:
        """Tell whether the line is about a request, an item or a job.

        A digest names a request over all attempts of its caller.
        """
        if name in self.fields.get(_DIGESTS, '').split(','):
            return True
        return any(self.fields.get(subject) == name for subject in _SUBJECTS)

    def shares(self, own: Iterable['LogLine']) -> bool:
        """Tell whether the line is about an engine or node of others."""
        engine = self.fields.get('engine')
        node = self.fields.get('node')
        return any(
            engine == one.fields.get('engine')
            if engine
            else node == one.fields.get('node')
            for one in own
        )


def read_line(raw: str) -> LogLine | None:
    """Take a line apart, or nothing where it is no event."""
    start = raw.find('time=')
    if start < 0:
        return None
    fields = dict(_pairs(raw[start:].rstrip('\n')))
    return LogLine(raw.rstrip('\n'), fields) if 'event' in fields else None


def find_lines(lines: Iterable[str], name: str) -> list[LogLine]:
    """Find the lines about a name and those that may explain them."""
    events = [line for line in map(read_line, lines) if line]
    own = [line for line in events if line.concerns(name)]
    if not own:
        return []
    first = min(line.moment for line in own) - _BEFORE_SECONDS
    last = max(line.moment for line in own) + _AFTER_SECONDS
    waiting = deque(_versions_before(events, own, first))
    for line in events:
        if line.concerns(name):
            waiting.append(line)
        elif line.event in _CONTEXT and first <= line.moment <= last:
            if line.shares(own):
                waiting.append(line)
    return sorted(waiting, key=lambda line: line.moment)


def _versions_before(
    events: Iterable[LogLine], own: Sequence[LogLine], first: float
) -> Iterable[LogLine]:
    """Find the configuration that each node had in force before a moment.

    It may have come long before, and decides who is let in and where to.
    """
    nodes = {line.fields.get('node') for line in own}
    newest: dict[str | None, LogLine] = {}
    for line in events:
        node = line.fields.get('node')
        told = line.event == _IN_FORCE and node in nodes
        if told and line.moment < first:
            newest[node] = line
    return newest.values()


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
        mark = '>' if line.concerns(name) else ' '
        say(f'{mark} {line.raw}')


def _pairs(text: str) -> Iterator[tuple[str, str]]:
    """Yield the key=value pairs of a line; values may stand in quotes."""
    rest = text
    while '=' in rest:
        name, _equals, rest = rest.partition('=')
        if rest.startswith('"'):
            shown, _quote, rest = rest[1:].partition('"')
        else:
            shown, _blank, rest = rest.partition(' ')
        yield name.strip(), shown
