"""Speed estimates of engines and their comparison within a service."""

from collections.abc import Iterable, Mapping
from statistics import harmonic_mean, median

from msgspec import Struct

from bendlead_gateway.types import EngineId

#: Streams after which an estimate is reliable, as most of them see no stall.
RELIABLE_STREAMS = 7
#: The engines of a service count as equally fast unless at least this share of
#: them differs from the median by more than the factor.
_UNEVEN_SHARE = 0.2
_UNEVEN_FACTOR = 1.3
_MIN_ENGINES = 3
#: Bound of the slowness of an engine relative to the usual one.
MAX_SLOWNESS = 4.0


class SpeedEstimate(Struct, frozen=True):
    """Speed estimate of one process for one incarnation of an engine.

    ``gap`` is the time in seconds between two events while half of the slots
    are in use, ``streams`` the number of streams observed, and ``at`` the time
    of the estimate in seconds.
    """

    gap: float
    streams: int
    at: float

    @property
    def weight(self) -> int:
        """Return the weight relative to estimates of other processes."""
        return min(self.streams, RELIABLE_STREAMS)

    def same(self, other: 'SpeedEstimate') -> bool:
        """Return whether another estimate differs at most in its time."""
        return (self.gap, self.streams) == (other.gap, other.streams)


def relative_slowness(
    gaps: Mapping[EngineId, float],
) -> Mapping[EngineId, float]:
    """Return the slowness of engines, empty where they are equally fast.

    The reference is the harmonic mean of the gaps: with equally used slots it
    is the mean over all requests of the fleet.
    """
    known = {name: gap for name, gap in gaps.items() if gap > 0}
    if len(known) < _MIN_ENGINES:
        return {}
    median_gap = median(known.values())
    deviating = sum(
        max(gap, median_gap) > min(gap, median_gap) * _UNEVEN_FACTOR
        for gap in known.values()
    )
    if deviating < len(known) * _UNEVEN_SHARE:
        return {}
    usual = harmonic_mean(list(known.values()))
    return {
        name: min(max(1 / MAX_SLOWNESS, gap / usual), MAX_SLOWNESS)
        for name, gap in known.items()
    }


def weighted_median(estimates: Iterable[SpeedEstimate]) -> float:
    """Return the weighted median of the gaps, 0 without estimates."""
    ordered = sorted(estimates, key=lambda estimate: estimate.gap)
    remaining = sum(estimate.weight for estimate in ordered) / 2
    for estimate in ordered:
        remaining -= estimate.weight
        if remaining <= 0:
            return estimate.gap
    return 0.0
