"""What one process has observed of one engine incarnation."""

import enum
import math
from collections.abc import Mapping
from typing import NamedTuple

from msgspec import Struct, field

from bendlead_gateway.types import Engine, EngineId, NodeName

#: Time constant of the exponential decay of counts: long enough to detect an
#: engine that fails a tenth of few requests, short enough that a repaired
#: engine recovers without a trial.
DECAY_SECONDS = 8.0
#: Bound on the counted failures of an incarnation, since all requests running
#: on an engine fail together and would delay its return after a repair.
MAX_FAILURES = 6.0
#: Decayed counts below this are ignored.
_MIN_COUNT = 0.3


class FailureKind(enum.Enum):
    """How an engine failed a request."""

    REFUSED = 'refused'
    BROKEN = 'broken'
    ERROR = 'error'
    SILENT = 'silent'
    #: No response yet when another engine could still meet the deadline.
    SLOW = 'slow'


#: Weights other than 1: a refused connection is certain to be a failure, and a
#: slow engine may only be full.
_WEIGHTS = {FailureKind.REFUSED: 2.0, FailureKind.SLOW: 0.5}


#: Kinds that all requests meet at once while an engine stands still.
SILENCES = frozenset((FailureKind.SILENT, FailureKind.SLOW))


class EngineIncarnation(NamedTuple):
    """Identity of one start of an engine."""

    engine: EngineId
    born: int


class Observation(Struct, frozen=True):
    """Counts by one observer of one incarnation, decayed until ``at`` (s).

    ``answers`` counts successful responses; ``good`` is the number of them
    since any process last saw a failure, and does not decay.
    ``version`` rises with each change by the observer.
    """

    observer: NodeName
    at: float
    version: int
    failures: Mapping[FailureKind, float] = field(default_factory=dict)
    answers: float = 0
    good: int = 0
    #: When the observer saw the latest failure (s); minus infinity for never.
    failed_at: float = -math.inf

    def decayed(self, now: float) -> 'DecayedObservation':
        """Return the counts decayed until now."""
        factor = decay_factor(now - self.at)
        failures = sum(self.failures.values())
        weighted = sum(
            count * weight_of(kind) for kind, count in self.failures.items()
        )
        return DecayedObservation(
            self, failures * factor, weighted * factor, self.answers * factor
        )


class DecayedObservation(NamedTuple):
    """Counts of an observation, decayed until some time.

    ``weighted_failures`` weighs each failure by its kind.
    """

    observation: Observation
    failures: float
    weighted_failures: float
    answers: float

    @property
    def failing(self) -> bool:
        """Whether a significant count of failures is left."""
        return self.failures > _MIN_COUNT

    @property
    def significant(self) -> bool:
        """Whether a significant count of any kind is left."""
        return max(self.failures, self.answers) > _MIN_COUNT


def incarnation_of(engine: Engine) -> EngineIncarnation:
    """Return the incarnation of an engine in service discovery."""
    return EngineIncarnation(engine.engine, engine.born)


def weight_of(kind: FailureKind) -> float:
    """Return how much a failure of a kind counts."""
    return _WEIGHTS.get(kind, 1)


def decay_factor(seconds: float) -> float:
    """Return the share of a count that is left after some seconds."""
    return math.exp(-max(0, seconds) / DECAY_SECONDS)
