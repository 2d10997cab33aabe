"""Timer of a deadline that counts suspended time."""

import gevent
from bendlead_store import clock
from greenlet import greenlet

from bendlead_gateway._online.outcomes import DeadlineError

#: Interval of the checks of the clock.
_CHECK_SECONDS = 1.0
_MIN_TIMER_SECONDS = 0.001


class DeadlineTimer(gevent.Timeout):
    """Raises ``DeadlineError`` at a time of ``clock.uptime``; None for never.

    Timers of the event loop do not count the time for which the machine is
    suspended, so the clock is checked at intervals.
    """

    def __init__(self, deadline: float | None) -> None:
        self._deadline = deadline
        super().__init__(self._seconds_until_check(), DeadlineError)

    def _seconds_until_check(self) -> float | None:
        if self._deadline is None:
            return None
        seconds = self._deadline - clock.uptime()
        return min(_CHECK_SECONDS, max(_MIN_TIMER_SECONDS, seconds))

    def _on_expiration(
        self, prev_greenlet: greenlet, ex: type[DeadlineError]
    ) -> None:
        if self._deadline is None or clock.uptime() >= self._deadline:
            self._expire(prev_greenlet, ex)
            return
        self.timer.close()
        loop = gevent.get_hub().loop
        self.timer = loop.timer(self._seconds_until_check())
        self.timer.start(self._on_expiration, prev_greenlet, ex, update=True)

    def _expire(self, prev_greenlet: greenlet, ex: type[DeadlineError]) -> None:
        prev_greenlet.throw(ex)
