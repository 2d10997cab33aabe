"""Lines of logs, from files or standard input."""

import sys
from collections.abc import Iterator, Sequence

STANDARD_INPUT = '-'


def log_lines(paths: Sequence[str]) -> Iterator[str]:
    """Give the lines of each file; what is no text is shown as a mark."""
    for path in paths:
        if path == STANDARD_INPUT:
            yield from sys.stdin
            continue
        with open(path, encoding='utf-8', errors='replace') as source:
            yield from source
