"""Failures that carry the step and the peer at which they arose."""

import enum

from msgspec import Struct


class FailureKind(enum.Enum):
    """Say what is known of the effect of a failed call."""

    CONFLICT = 'conflict'
    HISTORY_GONE = 'history_gone'
    LIMITED = 'limited'
    NOT_DONE = 'not_done'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'


class Failure(Struct, frozen=True):
    """Tell a caller what failed, where, and when to come back (seconds)."""

    kind: FailureKind
    step: str
    peer: str
    detail: str = ''
    retry_after: float = 0

    @property
    def had_no_effect(self) -> bool:
        """Tell whether the call is proved to have changed nothing."""
        return self.kind is not FailureKind.UNKNOWN

    def __str__(self) -> str:
        """Show the failure on one line."""
        return f'{self.step} at {self.peer}: {self.kind.value} {self.detail}'
