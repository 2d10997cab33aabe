"""Run the real program with a clock that steps when a signal says so."""

import os
import random
import runpy
import signal
import sys
import time

#: The clock steps by as much as this either way (s).
_MOST_STEP = 2.5


class _Clock:
    """Give the time of day with an offset."""

    def __init__(self) -> None:
        self._true = time.time
        self._offset = 0.0

    def now(self) -> float:
        """Give the shifted time of day."""
        return self._true() + self._offset

    def step(self, *_signal: object) -> None:
        """Step, or go back to the true time."""
        stepped = random.uniform(-_MOST_STEP, _MOST_STEP)
        self._offset = 0.0 if self._offset else stepped


def main() -> None:
    """Run the program whose path is the first argument."""
    clock = _Clock()
    time.time = clock.now
    signal.signal(signal.SIGUSR2, clock.step)
    path = sys.argv[1]
    sys.argv = [path]
    sys.path[0] = os.path.dirname(path)
    runpy.run_path(path, run_name='__main__')


if __name__ == '__main__':
    main()
