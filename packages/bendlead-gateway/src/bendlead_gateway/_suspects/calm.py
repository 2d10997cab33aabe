"""How long engines have gone without a crash."""

from collections.abc import Mapping

from bendlead_store import clock

#: Crashes nearer to each other than this are of one series. It is longer than
#: any calm that is waited for.
_SERIES_GAP_SECONDS = 6.0


class EngineCalm:
    """The time since the latest crash of any engine that is known here."""

    def __init__(self) -> None:
        #: Unix time (ms) of the latest crash, and when it was noticed here.
        self._latest_crash = 0
        self._noticed_at = float('-inf')
        self._series_began_at = float('-inf')

    @property
    def series_seconds(self) -> float:
        """Return the time since the latest series of crashes began."""
        return clock.uptime() - self._series_began_at

    def record_crashes(self, ends: Mapping[str, int]) -> None:
        """Record the engine crashes of a suspect, known ones as well."""
        latest = max(ends.values(), default=0)
        if latest > self._latest_crash:
            now = clock.uptime()
            if now - self._noticed_at > _SERIES_GAP_SECONDS:
                self._series_began_at = now
            self._latest_crash = latest
            self._noticed_at = now

    def remaining(self, seconds: float) -> float:
        """Return the seconds until there was no crash for a time (s)."""
        return max(0, self._noticed_at + seconds - clock.uptime())
