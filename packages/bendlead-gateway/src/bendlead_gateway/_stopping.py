"""Schedule of a graceful shutdown."""

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


class StopSchedule(Struct, frozen=True):
    """Times of one shutdown, in seconds of ``clock.uptime``."""

    started_at: float
    #: New work is rejected from this time on, on all connections.
    closes_at: float
    #: Work that still runs at this time is aborted.
    ends_at: float

    @classmethod
    def start(cls, grace: float) -> 'StopSchedule':
        """Start a shutdown now, with a grace period in seconds."""
        now = clock.uptime()
        return cls(
            now,
            now + min(_ACCEPT_SECONDS, grace * _MAX_ACCEPT_SHARE),
            now + grace - min(_MARGIN_SECONDS, grace * _MAX_MARGIN_SHARE),
        )

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
