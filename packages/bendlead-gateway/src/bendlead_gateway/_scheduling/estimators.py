"""Estimators of how load slows an engine down, and of stalls."""

from msgspec import Struct

from bendlead_gateway._scheduling.speed_estimates import MAX_SLOWNESS

#: Decay factor of the regression sums for each observed stream.
_SLOPE_DECAY = 0.98
#: Weight of the prior that load has no effect, in squared requests.
_SLOPE_PRIOR = 50.0
#: Upper bound of the share of a step that one more request adds.
_MAX_SLOPE = 0.2
#: Relative deviations are clipped to this share of the usual time.
_MAX_DEVIATION = 0.5
#: An engine stalls if its latest events take this many times the usual time.
STALL_FACTOR = 1.5
#: Stalls are short, so the level decays fast.
_STALL_HALF_LIFE_SECONDS = 0.25
_STALL_SMOOTHING = 0.3


class Slope(Struct):
    """Regression of step time on the number of concurrent requests."""

    squares: float = _SLOPE_PRIOR
    products: float = 0.0

    @property
    def per_request(self) -> float:
        """Return the share of a step that each further request adds."""
        return min(max(0.0, self.products / self.squares), _MAX_SLOPE)

    def factor(self, above_half: float) -> float:
        """Return the step time relative to that at half of all slots.

        ``above_half`` is the number of requests above half of the slots.
        """
        return max(_MAX_DEVIATION, 1 + self.per_request * above_half)

    def observe(self, excess: float, above_half: float) -> None:
        """Add a relative deviation from the usual step time, clipped."""
        clipped = min(max(-_MAX_DEVIATION, excess), _MAX_DEVIATION)
        self.squares = self.squares * _SLOPE_DECAY + above_half * above_half
        self.products = self.products * _SLOPE_DECAY + clipped * above_half


class Stall(Struct):
    """Moving average of event times relative to the usual, decaying to 1."""

    level: float = 1.0
    at: float = 0.0

    def current(self, now: float) -> float:
        """Return the decayed level."""
        age = max(0.0, now - self.at)
        return 1 + (self.level - 1) * 0.5 ** (age / _STALL_HALF_LIFE_SECONDS)

    def observe(self, times: float, now: float) -> None:
        """Add the time of an event as a multiple of the usual time."""
        current = self.current(now)
        bounded = min(times, MAX_SLOWNESS)
        self.level = max(1.0, current + (bounded - current) * _STALL_SMOOTHING)
        self.at = now
