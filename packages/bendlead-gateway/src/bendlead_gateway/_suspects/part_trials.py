"""Trials of quarantined parts of prompts by batch items.

Items are owed whatever their parts are, and a part may be quarantined though it
is sound. So one item at a time runs with it: a complete answer clears the part,
and a crash costs one engine. Owners try it in turn: a crash at one of them has
all others wait.
"""

import math
from collections.abc import Callable, Hashable, Sequence

from bendlead_store import clock

from bendlead_gateway.types import PromptPart

#: Pause after a part was found, and after a failed trial.
TRIAL_PAUSE_SECONDS = 2.0
#: Time from one owner's turn to the next one's, in which a crash is told.
_TURN_SECONDS = 0.5
#: Owners from this one on share a turn, which bounds the pause.
_MAX_TURNS = 8
#: Time for which a rank is kept: many items may wait, and there may be many
#: owners.
_RANK_SECONDS = 1.0
#: Bound of memory; a part whose failure is forgotten may be tried at once.
_MAX_FAILED = 256


def _first_rank(part: PromptPart) -> int:
    """Return the rank of an owner that knows no other."""
    return 0


class PartTrials:
    """Trials by the runs of this process."""

    def __init__(self) -> None:
        self._running: dict[Hashable, Sequence[PromptPart]] = {}
        #: Uptime (s) of the last failed trial of each part.
        self._failed_at: dict[PromptPart, float] = {}
        self._rank_of: Callable[[PromptPart], int] = _first_rank
        #: Rank for each part, and when it was worked out (uptime, s).
        self._ranks: dict[PromptPart, tuple[int, float]] = {}

    def configure_peers(self, rank_of: Callable[[PromptPart], int]) -> None:
        """Set what returns the rank of this owner among all, for a part."""
        self._rank_of = rank_of

    def remaining_pause(self, part: PromptPart, crash_seconds: float) -> float:
        """Return the seconds until a part may be tried, infinite in a trial.

        ``crash_seconds`` is how long ago it was found, or an engine crashed
        with it at any process (s); below 0 if a clock there is ahead.
        """
        if self.any_running([part]):
            return math.inf
        elapsed = clock.uptime() - self._failed_at.get(part, -math.inf)
        if crash_seconds >= 0:
            elapsed = min(elapsed, crash_seconds)
        turn = min(self._rank(part), _MAX_TURNS - 1)
        pause = TRIAL_PAUSE_SECONDS + turn * _TURN_SECONDS
        return max(0, pause - elapsed)

    def any_running(self, parts: Sequence[PromptPart]) -> bool:
        """Return whether a run tries one of the parts."""
        return any(
            part in tried for tried in self._running.values() for part in parts
        )

    def begin(self, run: Hashable, parts: Sequence[PromptPart]) -> None:
        """Record that a run with quarantined parts has begun."""
        if parts:
            self._running[run] = parts

    def record_failure(self, run: Hashable) -> None:
        """Record that the connection of a run broke.

        Not for one that was stopped, that no engine got, or that an engine
        answered: no engine can have crashed on its parts.
        """
        for part in self._running.get(run, ()):
            self._failed_at.pop(part, None)
            self._failed_at[part] = clock.uptime()
        while len(self._failed_at) > _MAX_FAILED:
            self._failed_at.pop(next(iter(self._failed_at)))

    def end(self, run: Hashable) -> None:
        """Record that a run has ended."""
        self._running.pop(run, None)

    def _rank(self, part: PromptPart) -> int:
        now = clock.uptime()
        rank, worked_out_at = self._ranks.get(part, (0, -math.inf))
        if now - worked_out_at > _RANK_SECONDS:
            rank = self._rank_of(part)
            if len(self._ranks) > _MAX_FAILED:
                self._ranks.clear()
            self._ranks[part] = (rank, now)
        return rank
