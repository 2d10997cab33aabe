"""Health states of an engine, as of a circuit breaker."""

import enum

from msgspec import Struct


class HealthState(enum.Enum):
    """Which requests an engine may get."""

    #: All requests.
    TRUSTED = 'trusted'
    #: No request that can't be retried, while trusted engines have free slots.
    DOUBTED = 'doubted'
    #: One trial request at a time (half-open).
    ON_TRIAL = 'on-trial'
    #: No requests until the next trial is due (open).
    EJECTED = 'left-alone'


class HealthAssessment(Struct, frozen=True):
    """Health state of an engine, and the counts that led to it."""

    state: HealthState = HealthState.TRUSTED
    score: float = 0
    failures: float = 0
    answers: float = 0
    good: int = 0
    good_needed: int = 0
    observers: int = 0
    #: Earliest time of the next trial (s).
    next_trial_at: float = 0

    @property
    def cleared(self) -> bool:
        """Whether enough requests have succeeded since the last failure."""
        return self.good >= self.good_needed

    @property
    def failure_load(self) -> int:
        """Number of recent failures to count as running requests.

        Without them a doubted engine that fails fast would look idle.
        """
        if self.state is not HealthState.DOUBTED:
            return 0
        return round(self.failures)

    @property
    def out_of_rotation(self) -> bool:
        """Whether placement leaves out the engine."""
        return self.state in {HealthState.ON_TRIAL, HealthState.EJECTED}
