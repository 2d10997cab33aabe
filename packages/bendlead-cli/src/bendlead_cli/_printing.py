"""Print results as text or JSON."""

import json
import sys
from collections.abc import Sequence
from enum import Enum
from typing import Any


class Output(Enum):
    """Format in which results are printed."""

    TEXT = 'text'
    JSON = 'json'


def show(result: Any, output: Output) -> None:
    """Print a result: JSON, or a line for each field or element."""
    if output is Output.JSON:
        say(json.dumps(result))
    elif isinstance(result, dict):
        for name, content in result.items():
            say(f'{name}: {_format_text(content)}')
    elif isinstance(result, list):
        for entry in result:
            say(_format_text(entry))
    else:
        say(str(result))


def table(rows: Sequence[Sequence[Any]]) -> None:
    """Print rows in aligned columns."""
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
    """Print one line and flush it."""
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


def _format_text(content: Any) -> str:
    if isinstance(content, (dict, list)):
        return json.dumps(content)
    return str(content)
