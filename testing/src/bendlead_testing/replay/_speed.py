"""Speed of a simulated engine over time."""

import random

from bendlead_testing.replay._load import Uneven

#: Step in which the duration of a run is integrated.
_STEP_SECONDS = 0.05


class SimulatedSpeed:
    """Speed of one engine, with its stalls and slow periods."""

    def __init__(self, uneven: Uneven, number: int, seed: object) -> None:
        self._uneven = uneven
        self._number = number
        self._seed = seed

    def step_factor(self, now: float, running: int = 1) -> float:
        """Return the duration of a decode step relative to the usual one."""
        uneven = self._uneven
        number = self._number + (now >= uneven.engines_restart_at)
        factor = uneven.speeds[number % len(uneven.speeds)]
        factor *= 1 + uneven.per_running * (running - 1)
        if self._is_stalled(now):
            factor *= uneven.stall_factor
        slow = uneven.slow_from <= now < uneven.slow_until
        if slow and not self._number:
            factor *= uneven.turns_slow
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
        uneven = self._uneven
        if not uneven.stalled:
            return False
        period = int(now / uneven.stall_seconds + self._number / 7)
        draw = random.Random(f'{self._seed} {self._number} {period}').random()
        return draw < uneven.stalled
