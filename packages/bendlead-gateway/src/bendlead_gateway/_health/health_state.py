"""How an engine stands, and by what."""

import enum

from msgspec import Struct


class HealthState(enum.Enum):
    """Say what an engine is given."""

    #: Whatever is to be served.
    TRUSTED = 'trusted'
    #: Nothing that may be sent once, while others have room.
    DOUBTED = 'doubted'
    #: One request at a time.
    ON_TRIAL = 'on-trial'
    #: Nothing for now.
    EJECTED = 'left-alone'


class HealthAssessment(Struct, frozen=True):
    """Say how an engine stands, and by what."""

    standing: HealthState = HealthState.TRUSTED
    score: float = 0
    failures: float = 0
    answers: float = 0
    good: int = 0
    good_needed: int = 0
    witnesses: int = 0
    #: From when on it may be tried (s).
    try_at: float = 0

    @property
    def cleared(self) -> bool:
        """Tell whether enough answers came since the last failure."""
        return self.good >= self.good_needed

    @property
    def failed_at_once(self) -> int:
        """Count requests that leave the engine idle because they failed.

        They count as running there, or it would draw more of them.
        """
        if self.standing is not HealthState.DOUBTED:
            return 0
        return round(self.failures)

    @property
    def out_of_rotation(self) -> bool:
        """Tell whether the engine takes no part in placement."""
        return self.standing in {HealthState.ON_TRIAL, HealthState.EJECTED}
