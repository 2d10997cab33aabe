"""Speed of a simulated engine over time."""

import random

from bendlead_testing.replay._load import SpeedVariation

#: Step in which the duration of a run is integrated.
_STEP_SECONDS = 0.05


class SimulatedSpeed:
    """Speed of one engine, with its stalls and slow periods."""

    def __init__(
        self, variation: SpeedVariation, number: int, seed: object
    ) -> None:
        self._variation = variation
        self._number = number
        self._seed = seed

    def step_factor(self, now: float, running: int = 1) -> float:
        """Return the duration of a decode step relative to the usual one."""
        variation = self._variation
        number = self._number + (now >= variation.engines_restart_at)
        factor = variation.speeds[number % len(variation.speeds)]
        factor *= 1 + variation.slowdown_per_run * (running - 1)
        if self._is_stalled(now):
            factor *= variation.stall_factor
        slow = variation.slow_from <= now < variation.slow_until
        if slow and not self._number:
            factor *= variation.slow_factor
        return factor

    def run_duration(
        self, started_at: float, seconds: float, running: int
    ) -> float:
        """Return the duration of a run that usually takes `seconds`."""
        now = started_at
        remaining = seconds
        while True:
            factor = self.step_factor(now, running)
            if remaining * factor <= _STEP_SECONDS:
                return now + remaining * factor - started_at
            remaining -= _STEP_SECONDS / factor
            now += _STEP_SECONDS

    def _is_stalled(self, now: float) -> bool:
        variation = self._variation
        if not variation.stall_share:
            return False
        period = int(now / variation.stall_seconds + self._number / 7)
        draw = random.Random(f'{self._seed} {self._number} {period}').random()
        return draw < variation.stall_share
