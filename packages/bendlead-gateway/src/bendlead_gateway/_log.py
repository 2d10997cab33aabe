"""Rate-limited, non-blocking log of events as lines of key=value pairs.

Used instead of a logging library to keep the memory of each process small.
"""

import os
import time
from collections import Counter, deque
from typing import Any

from bendlead_store import clock
from bendlead_store.tasks import TaskFailure

from bendlead_gateway.log_text import quote_field

#: Token bucket; lines beyond it are dropped and counted.
_LINES_PER_SECOND = 300
_BURST_LINES = 600
_RECENT_LINES = 200
_STDOUT_DESCRIPTOR = 1


class Log:
    """Writes events as lines to a descriptor, by default standard output."""

    def __init__(self, node: str, descriptor: int = _STDOUT_DESCRIPTOR) -> None:
        self._node = node
        self._descriptor = descriptor
        self._tokens = float(_BURST_LINES)
        self._refilled = clock.uptime()
        self._recent: deque[str] = deque(maxlen=_RECENT_LINES)
        self.written = 0
        self.dropped = 0
        self._dropped_since_line = 0
        #: What ends the line before, if only a part of it was written.
        self._cut = ''
        #: Unforeseen exceptions, by task.
        self.task_failures: Counter[str] = Counter()
        os.set_blocking(descriptor, False)

    @property
    def recent(self) -> list[str]:
        """The latest lines, oldest first."""
        return list(self._recent)

    def event(self, kind: str, **fields: Any) -> None:
        """Write one line, or drop and count it where that is not possible.

        Never raises, and never blocks.
        """
        if not self._allowed():
            self._drop()
            return
        if self._dropped_since_line:
            fields['lines_dropped_before'] = self._dropped_since_line
        parts = [f'time={time.time():.6f}', f'event={kind}']
        parts.append(f'node={self._node}')
        parts.extend(
            f'{name}={quote_field(shown)}' for name, shown in fields.items()
        )
        line = ' '.join(parts)
        self._recent.append(line)
        self._write(line)

    def task_failed(self, failure: TaskFailure, **fields: Any) -> None:
        """Count and report an unforeseen exception of a task."""
        self.count_failure(failure.task)
        self.event('task-failed', **failure.fields, **fields)

    def count_failure(self, task: str) -> None:
        """Count an unforeseen exception that has a line of its own."""
        self.task_failures[task] += 1

    def _write(self, line: str) -> None:
        # A line that was cut has no end yet.
        encoded = f'{self._cut}{line}\n'.encode()
        try:
            written = os.write(self._descriptor, encoded)
        except OSError:
            # The reader is too slow or gone, or the disk is full; the next line
            # reports the dropped ones.
            self._drop()
            return
        if written < len(encoded):
            self._cut = '\n'
            self._drop()
            return
        self._cut = ''
        self._dropped_since_line = 0
        self.written += 1

    def _drop(self) -> None:
        self.dropped += 1
        self._dropped_since_line += 1

    def _allowed(self) -> bool:
        now = clock.uptime()
        gained = (now - self._refilled) * _LINES_PER_SECOND
        self._tokens = min(_BURST_LINES, self._tokens + gained)
        self._refilled = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
