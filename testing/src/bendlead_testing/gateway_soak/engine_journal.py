"""What the engines noted of their requests, by request and engine."""

import json
import pathlib
from dataclasses import dataclass, field
from typing import Any


@dataclass
class EngineJournal:
    """Index what the engines noted."""

    arrivals: list[dict[str, Any]] = field(default_factory=list)
    starts: dict[str, list[dict[str, Any]]] = field(default_factory=dict)
    ends: dict[str, list[dict[str, Any]]] = field(default_factory=dict)
    draining: dict[str, float] = field(default_factory=dict)
    crashes: list[dict[str, Any]] = field(default_factory=list)
    lives: list[dict[str, Any]] = field(default_factory=list)
    #: Whole streams without a length or chunks.
    unframed: int = 0
    #: How often engines stood still.
    silences: int = 0

    def take(self, line: dict[str, Any]) -> None:
        """Index one line."""
        kind = line['kind']
        if kind == 'arrival':
            self.arrivals.append(line)
        elif kind == 'start':
            self.starts.setdefault(line['request'], []).append(line)
        elif kind == 'end':
            self.ends.setdefault(line['request'], []).append(line)
        elif kind == 'life':
            self.lives.append(line)
        elif kind == 'crash':
            self.crashes.append(line)
        elif kind == 'unframed':
            self.unframed += 1
        elif kind == 'still':
            self.silences += 1
        elif kind == 'draining':
            self.draining[line['engine']] = line['at']


def read_journal(path: pathlib.Path) -> EngineJournal:
    """Read the lines of all engines."""
    journal = EngineJournal()
    for line in path.read_text(encoding='utf-8').splitlines():
        journal.take(json.loads(line))
    return journal
