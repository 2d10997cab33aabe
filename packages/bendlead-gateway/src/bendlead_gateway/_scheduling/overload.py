"""Overload detection of an entry, and shedding of its connections.

Entries of unequal size get equal shares of new connections. In a burst the
smallest runs out of resources first and asks its clients to reconnect to other
entries of its data hall.
"""

from collections.abc import Sequence

from msgspec import Struct

#: Timer delay from which an entry counts as overloaded.
LATE_TIMER_SECONDS = 0.05
#: Share of memory or connections in use from which an entry is overloaded.
HIGH_USE_SHARE = 0.75
#: Hysteresis: overload ends below this share of the thresholds.
_RECOVERY_SHARE = 0.4
#: Low, so that one long step such as a configuration load is no overload.
_SMOOTHING = 0.1


class ResourceUse(Struct, frozen=True):
    """Shares of memory and connections in use, from 0 to 1."""

    memory: float = 0
    connections: float = 0


class OverloadDetector(Struct):
    """Overload detector by timer delay and resource use."""

    #: Moving average of the timer delay in seconds.
    timer_delay: float = 0
    strained: bool = False

    def update(self, delay: float, use: ResourceUse) -> bool:
        """Add a sample; return whether ``strained`` has changed."""
        self.timer_delay += (delay - self.timer_delay) * _SMOOTHING
        used = max(use.memory, use.connections)
        pressure = max(
            self.timer_delay / LATE_TIMER_SECONDS, used / HIGH_USE_SHARE
        )
        previous = self.strained
        threshold = _RECOVERY_SHARE if previous else 1
        self.strained = pressure > threshold
        return self.strained is not previous


def sheds_connections(*, own: bool, others: Sequence[bool]) -> bool:
    """Return whether an overloaded entry sheds connections to its peers.

    It does not if half of the reachable peers are overloaded as well, or none
    is reachable.
    """
    return own and 2 * sum(others) < len(others)
