"""Failures of calls, with the operation and the peer that failed."""

import enum

from msgspec import Struct


class FailureKind(enum.Enum):
    """What is known of the effect of a failed call.

    Only after UNKNOWN may the call have taken effect. HISTORY_GONE means that
    the requested changes are no longer kept, LIMITED that a rate limit applies.
    """

    CONFLICT = 'conflict'
    HISTORY_GONE = 'history_gone'
    LIMITED = 'limited'
    NOT_DONE = 'not_done'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'


class Failure(Struct, frozen=True):
    """Failed call: its operation, its peer and the retry delay in seconds."""

    kind: FailureKind
    step: str
    peer: str
    detail: str = ''
    retry_after: float = 0

    @property
    def had_no_effect(self) -> bool:
        """Whether the call certainly changed nothing."""
        return self.kind is not FailureKind.UNKNOWN

    def __str__(self) -> str:
        """Return the failure as one line of text."""
        return f'{self.step} at {self.peer}: {self.kind.value} {self.detail}'
