"""Notice that the machine was suspended and woke again."""

import time

from bendlead_store import clock

#: The two clocks are read one after the other; a process that is stopped in
#: between sees them apart by less than this (s), or again at the next look.
_LEAST_SECONDS = 0.2


class SuspensionWatch:
    """Compare the clock that counts suspended time with the one that doesn't.

    Timers of tasks don't count it either: what was to end at a deadline goes
    on for as long after the wake as was left before.
    """

    def __init__(self) -> None:
        self._ahead = _ahead()

    def look(self) -> float:
        """Give the seconds for which the machine slept since the last look."""
        ahead = _ahead()
        slept = ahead - self._ahead
        self._ahead = ahead
        return slept if slept > _LEAST_SECONDS else 0


def _ahead() -> float:
    return clock.uptime() - time.monotonic()
