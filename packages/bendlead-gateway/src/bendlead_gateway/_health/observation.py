"""What one process found of one life of an engine."""

import enum
import math
from collections.abc import Mapping
from typing import NamedTuple

from msgspec import Struct, field

from bendlead_gateway.types import Engine, EngineId, NodeName

#: Counts fade to a third over this long (s): long enough that an engine that
#: fails a tenth of its requests is told apart by the few that it gets, and
#: short enough that one that was repaired is used again without any trial.
DECAY_SECONDS = 8.0
#: Failures of a life beyond these are not counted: all that run on an engine
#: fail with it at once, and it would be left alone for long after its repair.
MAX_FAILURES = 6.0
#: A count that has faded below this tells nothing any more.
_LEAST = 0.3


class FailureKind(enum.Enum):
    """Say how an engine failed a request."""

    REFUSED = 'refused'
    BROKEN = 'broken'
    ERROR = 'error'
    SILENT = 'silent'
    #: No answer yet when another engine could still give one in time.
    SLOW = 'slow'


#: How much a failure tells, where not as much as others: a refused connection
#: is certain, and an engine that is slow to begin may be full.
_WEIGHTS = {FailureKind.REFUSED: 2.0, FailureKind.SLOW: 0.5}


class EngineIncarnation(NamedTuple):
    """Name one life of an engine."""

    engine: EngineId
    born: int


class Observation(Struct, frozen=True):
    """Keep what a witness found of a life, faded to a moment (s).

    ``good`` counts the answers that began since the last failure anybody had.
    ``version`` rises with each change at the witness.
    """

    witness: NodeName
    at: float
    version: int
    failures: Mapping[FailureKind, float] = field(default_factory=dict)
    answers: float = 0
    good: int = 0
    #: When the witness saw the latest failure (s); minus infinity for never.
    failed_at: float = -math.inf

    def faded(self, now: float) -> 'DecayedObservation':
        """Give what is left of its counts."""
        left = decay_factor(now - self.at)
        failed = sum(self.failures.values())
        weighed = sum(
            count * _WEIGHTS.get(kind, 1)
            for kind, count in self.failures.items()
        )
        return DecayedObservation(
            self, failed * left, weighed * left, self.answers * left
        )


class DecayedObservation(NamedTuple):
    """Hold what is left of a testimony's counts at one moment.

    ``weighed`` counts failures by how much each tells.
    """

    said: Observation
    failed: float
    weighed: float
    answered: float

    @property
    def accuses(self) -> bool:
        """Tell whether a failure is left of it."""
        return self.failed > _LEAST

    @property
    def tells(self) -> bool:
        """Tell whether anything of it is still worth keeping."""
        return max(self.failed, self.answered) > _LEAST


def incarnation_of(engine: Engine) -> EngineIncarnation:
    """Name the life of an engine as it is listed."""
    return EngineIncarnation(engine.engine, engine.born)


def decay_factor(seconds: float) -> float:
    """Give the part of a count that is left after some seconds."""
    return math.exp(-max(0, seconds) / DECAY_SECONDS)
