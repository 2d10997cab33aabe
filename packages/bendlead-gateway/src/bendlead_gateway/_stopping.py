"""Until when a process that was told to stop takes work, and when it ends."""

from bendlead_store import clock
from msgspec import Struct

#: After SIGTERM new work is taken for this long (s): the platform asks once a
#: second and takes a node out after two misses. It goes on sending clients
#: where a data hall has no other node; what came later could not end before
#: the process is killed.
_NEW_WORK_SECONDS = 2.5
#: The same as a share of the time allowed, where that is short.
_NEW_WORK_SHARE = 0.5
#: The process ends this long (s) before the platform would kill it.
_MARGIN_SECONDS = 0.6
#: The same as a share. Work that still ran in the last sixth of the time
#: allowed was given all the time there was, so the end must not come before.
_MARGIN_SHARE = 0.1


class StopSchedule(Struct, frozen=True):
    """Hold the moments of one stop, on the steady clock (s)."""

    began: float
    #: No work is taken from here on, whatever connection it comes by.
    closes: float
    #: What is unfinished now is ended.
    ends: float

    @classmethod
    def begin(cls, grace: float) -> 'StopSchedule':
        """Begin a stop now; the process is killed after grace seconds."""
        began = clock.uptime()
        return cls(
            began,
            began + min(_NEW_WORK_SECONDS, grace * _NEW_WORK_SHARE),
            began + grace - min(_MARGIN_SECONDS, grace * _MARGIN_SHARE),
        )

    @property
    def age(self) -> float:
        """Give the seconds since the process was told to stop."""
        return clock.uptime() - self.began

    @property
    def closed(self) -> bool:
        """Tell whether no more work is taken."""
        return clock.uptime() >= self.closes

    @property
    def left(self) -> float:
        """Give the seconds until the process ends."""
        return self.ends - clock.uptime()
