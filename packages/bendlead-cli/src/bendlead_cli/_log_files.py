"""Read log lines from files or standard input."""

import sys
from collections.abc import Iterator, Sequence

STANDARD_INPUT = '-'


def log_lines(paths: Sequence[str]) -> Iterator[str]:
    """Yield the lines of each file, with invalid UTF-8 replaced."""
    for path in paths:
        if path == STANDARD_INPUT:
            yield from sys.stdin
            continue
        with open(path, encoding='utf-8', errors='replace') as source:
            yield from source
