"""Turns of the entries at trials while claims can't be stored.

Each entry could otherwise try the same request at once.
"""

import time
from collections.abc import Callable

from bendlead_gateway._suspects.digest import RequestDigest

#: A trial begins in the first half of a turn, so that others hear of a crash
#: before theirs.
_TURN_SECONDS = 1.0

#: Return the rank of this entry for a request, and the number of entries.
TurnOf = Callable[[RequestDigest], tuple[int, int]]


def _only_turn(digest: RequestDigest) -> tuple[int, int]:
    """Return the turn of an entry that knows no other."""
    return 0, 1


class TrialTurns:
    """The turns of this entry."""

    def __init__(self) -> None:
        self._turn_of: TurnOf = _only_turn

    def configure_peers(self, turn_of: TurnOf) -> None:
        """Set what returns the turn of this entry."""
        self._turn_of = turn_of

    def has_turn(self, digest: RequestDigest) -> bool:
        """Return whether this entry may try a request now."""
        rank, entries = self._turn_of(digest)
        elapsed = time.time() % (entries * _TURN_SECONDS)
        return 0 <= elapsed - rank * _TURN_SECONDS < _TURN_SECONDS / 2
