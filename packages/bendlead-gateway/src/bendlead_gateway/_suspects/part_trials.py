"""Trials of quarantined parts of prompts by batch items.

Items are owed whatever their parts are, and a part may be quarantined though it
is sound. So one item at a time runs with it: a complete answer clears the part,
and a crash costs one engine.
"""

import math
from collections.abc import Hashable, Sequence

from bendlead_store import clock

from bendlead_gateway.types import PromptPart

#: Pause after a part was found, and after a failed trial.
TRIAL_PAUSE_SECONDS = 2.0
#: Bound of memory; a part whose failure is forgotten may be tried at once.
_MAX_FAILED = 256


class PartTrials:
    """Trials by the runs of this process."""

    def __init__(self) -> None:
        self._running: dict[Hashable, Sequence[PromptPart]] = {}
        #: Uptime (s) of the last failed trial of each part.
        self._failed_at: dict[PromptPart, float] = {}

    def remaining_pause(self, part: PromptPart, found_seconds: float) -> float:
        """Return the seconds until a part may be tried, infinite in a trial.

        ``found_seconds`` is how long ago it was found (s), below 0 if the clock
        of the process that found it is ahead.
        """
        if self.any_running([part]):
            return math.inf
        elapsed = clock.uptime() - self._failed_at.get(part, -math.inf)
        if found_seconds >= 0:
            elapsed = min(elapsed, found_seconds)
        return max(0, TRIAL_PAUSE_SECONDS - elapsed)

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
