"""Schedule of a graceful shutdown."""

from bendlead_store import clock
from msgspec import Struct

#: New work is accepted for this long after SIGTERM: the platform checks
#: readiness once a second and removes a node after two failures.
_ACCEPT_SECONDS = 2.5
#: Upper limit of the above, as a share of the grace period.
_MAX_ACCEPT_SHARE = 0.5
#: The process ends this long before the platform would kill it.
_MARGIN_SECONDS = 0.6
#: Upper limit of the margin, as a share of the grace period. It must be less
#: than a sixth: running work is entitled to the first five sixths.
_MAX_MARGIN_SHARE = 0.1


class StopSchedule(Struct, frozen=True):
    """Moments of one shutdown, in seconds of ``clock.uptime``."""

    began: float
    #: From here on new work is rejected on all connections.
    closes: float
    #: Work that still runs is aborted.
    ends: float

    @classmethod
    def begin(cls, grace: float) -> 'StopSchedule':
        """Start a shutdown now, with a grace period in seconds."""
        began = clock.uptime()
        return cls(
            began,
            began + min(_ACCEPT_SECONDS, grace * _MAX_ACCEPT_SHARE),
            began + grace - min(_MARGIN_SECONDS, grace * _MAX_MARGIN_SHARE),
        )

    @property
    def age(self) -> float:
        """Seconds since the shutdown started."""
        return clock.uptime() - self.began

    @property
    def closed(self) -> bool:
        """Whether new work is rejected."""
        return clock.uptime() >= self.closes

    @property
    def left(self) -> float:
        """Seconds until the process ends."""
        return self.ends - clock.uptime()
