"""Show what a command found, as text or as JSON."""

import json
import sys
from collections.abc import Sequence
from enum import Enum
from typing import Any


class Output(Enum):
    """Say how results are shown."""

    TEXT = 'text'
    JSON = 'json'


def show(found: Any, output: Output) -> None:
    """Print a result."""
    if output is Output.JSON:
        say(json.dumps(found))
    elif isinstance(found, dict):
        for name, shown in found.items():
            say(f'{name}: {_plain(shown)}')
    elif isinstance(found, list):
        for one in found:
            say(_plain(one))
    else:
        say(str(found))


def table(rows: Sequence[Sequence[Any]]) -> None:
    """Print rows in columns."""
    widths = [
        max(len(str(cell)) for cell in column)
        for column in zip(*rows, strict=True)
    ]
    for row in rows:
        cells = (
            str(cell).ljust(width)
            for cell, width in zip(row, widths, strict=True)
        )
        say('  '.join(cells).rstrip())


def say(line: str) -> None:
    """Print one line."""
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


def _plain(shown: Any) -> str:
    if isinstance(shown, (dict, list)):
        return json.dumps(shown)
    return str(shown)
