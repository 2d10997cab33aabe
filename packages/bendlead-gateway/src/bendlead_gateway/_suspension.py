"""Detection of suspensions of the machine."""

import time

from bendlead_store import clock

#: Shorter differences are ignored: the process may be descheduled between the
#: readings of the two clocks.
_MIN_SUSPENSION_SECONDS = 0.2


class SuspensionDetector:
    """Compares a clock that counts suspended time with one that does not.

    Timers of tasks do not count suspended time either, so timeouts pass late
    after a suspension; ``DeadlineTimer`` reads the clock for those of requests.
    """

    def __init__(self) -> None:
        self._offset = _clock_offset()

    def poll(self) -> float:
        """Return the seconds of suspension since the last call."""
        offset = _clock_offset()
        suspended = offset - self._offset
        self._offset = offset
        return suspended if suspended > _MIN_SUSPENSION_SECONDS else 0


def _clock_offset() -> float:
    return clock.uptime() - time.monotonic()
