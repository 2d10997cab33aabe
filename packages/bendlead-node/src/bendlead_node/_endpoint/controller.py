"""How much batch work may run beside online requests.

The time of one engine step grows with the sequences in it. The controller
learns that growth from the times between online tokens, and allows the batch
work that keeps the step within the harm a profile tolerates.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Protocol

from bendlead_schema.settings import Profile

_TAIL_HARM = 0.03
_THROUGHPUT_HARM = 0.2
_FORGET = 0.998
_MIN_WEIGHT = 50.0
_RIDGE = 1e-9
_LEARNING_LIMIT = 1


@dataclass(frozen=True, slots=True)
class Weights:
    """Say how much slower online tokens may come for the sake of batch."""

    step_harm: float


#: The clerk at the counter outweighs the evening's notes; for the platform
#: the night's summaries weigh more.
PROFILES: Mapping[Profile, Weights] = MappingProxyType(
    {
        Profile.tail: Weights(step_harm=_TAIL_HARM),
        Profile.throughput: Weights(step_harm=_THROUGHPUT_HARM),
    }
)


class StepModel:
    """Fit step time = base + slope x sequences, forgetting old steps."""

    def __init__(self) -> None:
        self._weight = 0.0
        self._sum_n = 0.0
        self._sum_t = 0.0
        self._sum_nn = 0.0
        self._sum_nt = 0.0

    @property
    def trusted(self) -> bool:
        """Tell whether enough steps of different sizes were seen."""
        return self._weight >= _MIN_WEIGHT and self._spread() > _RIDGE

    @property
    def slope(self) -> float:
        """Tell the seconds that one more sequence adds to a step."""
        covariance = self._weight * self._sum_nt - self._sum_n * self._sum_t
        return max(0.0, covariance / max(_RIDGE, self._spread()))

    @property
    def base(self) -> float:
        """Tell the seconds of a step without sequences."""
        mean_t = self._sum_t / self._weight
        mean_n = self._sum_n / self._weight
        return max(_RIDGE, mean_t - self.slope * mean_n)

    def learn(self, sequences: int, seconds: float) -> None:
        """Take the time between two tokens at a number of sequences."""
        self._weight = self._weight * _FORGET + 1
        self._sum_n = self._sum_n * _FORGET + sequences
        self._sum_t = self._sum_t * _FORGET + seconds
        self._sum_nn = self._sum_nn * _FORGET + sequences * sequences
        self._sum_nt = self._sum_nt * _FORGET + sequences * seconds

    def step(self, sequences: int) -> float:
        """Predict the seconds of a step."""
        return self.base + self.slope * sequences

    def _spread(self) -> float:
        return self._weight * self._sum_nn - self._sum_n * self._sum_n


class BatchLimit(Protocol):
    """Decide how many batch items may run beside online requests."""

    def learn(self, sequences: int, seconds: float) -> None:
        """Take the time between two online tokens."""

    def beside(self, online: int) -> int:
        """Tell how many batch items may run beside online requests."""


class FixedLimit:
    """Keep a fixed number, for operators who want no controller."""

    def __init__(self, limit: int) -> None:
        self._limit = limit

    def learn(self, sequences: int, seconds: float) -> None:
        """Learn nothing."""

    def beside(self, online: int) -> int:
        """Tell the same number however many online requests run."""
        return self._limit


class LearntLimit:
    """Turn a profile and the learnt step time into a number of items."""

    def __init__(self, capacity: int, profile: Profile) -> None:
        self._capacity = capacity
        self._weights = PROFILES[profile]
        self._model = StepModel()

    @property
    def model(self) -> StepModel:
        """Show what was learnt."""
        return self._model

    def learn(self, sequences: int, seconds: float) -> None:
        """Take the time between two online tokens."""
        self._model.learn(sequences, seconds)

    def beside(self, online: int) -> int:
        """Tell how many batch items may run beside online requests."""
        if not online:
            return self._capacity
        if not self._model.trusted:
            return _LEARNING_LIMIT
        slope = self._model.slope
        if slope <= _RIDGE:
            return self._capacity
        allowed = self._model.step(online) * self._weights.step_harm
        return min(self._capacity, int(allowed / slope))
