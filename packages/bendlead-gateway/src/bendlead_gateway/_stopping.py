"""Schedule of a graceful shutdown."""

import os
import pathlib
import signal

from bendlead_store import clock
from msgspec import Struct

#: New work is accepted for this long after SIGTERM: the platform checks
#: readiness once a second and removes a node after two failures. It keeps
#: sending clients where a data hall has no other node.
_ACCEPT_SECONDS = 2.5
#: Upper limit of ``_ACCEPT_SECONDS``, as a share of the grace period.
_MAX_ACCEPT_SHARE = 0.5
#: The process ends this long before the platform would kill it.
_MARGIN_SECONDS = 0.6
#: Upper limit of ``_MARGIN_SECONDS``, as a share of the grace period. It must
#: be less than a sixth: running work is entitled to the first five sixths.
_MAX_MARGIN_SHARE = 0.1
#: Place of the start time in /proc/self/stat, behind the program's name.
_START_FIELD = 19


class StopSchedule(Struct, frozen=True):
    """Times of one shutdown, in seconds of ``clock.uptime``."""

    started_at: float
    #: New work is rejected from this time on, on all connections.
    closes_at: float
    #: Work that still runs at this time is aborted.
    ends_at: float

    @classmethod
    def start(
        cls, grace: float, signalled_at: float | None = None
    ) -> 'StopSchedule':
        """Start a shutdown, with a grace period (s) from the signal or now."""
        start = clock.uptime() if signalled_at is None else signalled_at
        return cls(
            start,
            start + min(_ACCEPT_SECONDS, grace * _MAX_ACCEPT_SHARE),
            start + grace - min(_MARGIN_SECONDS, grace * _MAX_MARGIN_SHARE),
        )

    @property
    def accept_seconds_left(self) -> float:
        """Seconds until new work is rejected, 0 once it is."""
        return max(0, self.closes_at - clock.uptime())

    @property
    def elapsed(self) -> float:
        """Seconds since the shutdown started."""
        return clock.uptime() - self.started_at

    @property
    def is_closed(self) -> bool:
        """Whether new work is rejected."""
        return clock.uptime() >= self.closes_at

    @property
    def seconds_left(self) -> float:
        """Seconds until the process ends."""
        return self.ends_at - clock.uptime()


def held_signal_time() -> float | None:
    """Return since when a SIGTERM may be held (uptime, s), None if none is.

    It may have come as soon as the process started.
    """
    if signal.SIGTERM not in signal.sigpending():
        return None
    status = pathlib.Path('/proc/self/stat').read_text()
    # The name of the program, in parentheses, may have spaces.
    ticks = status.rpartition(')')[2].split()[_START_FIELD]
    return int(ticks) / os.sysconf('SC_CLK_TCK')
