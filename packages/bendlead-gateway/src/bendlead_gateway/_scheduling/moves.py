"""Choice of item runs to move to another engine.

Runs on engines that drain, are paused or stop sending events are moved before
the engine stops, so that no time is lost.
"""

from collections.abc import Sequence

from msgspec import Struct

#: Time without an event after which a run counts as stalled: longer than a
#: sound engine pauses, as a move in vain repeats the prompt.
_STALLED_SECONDS = 1.5
#: A run that completes within this time stays: a move repeats its prompt.
_MIN_REMAINING_SECONDS = 1.0
#: Time without an event after which a paused engine may be lost.
_QUIET_SECONDS = 0.25
#: If a larger share of the runs has stalled, the local network is at fault.
_MAX_STALLED_SHARE = 0.5


class RunView(Struct, frozen=True):
    """State of an item run and of its engine.

    ``remaining`` is the estimated run time left and ``silent`` the time since
    the last event, both in seconds; ``silent`` is 0 before the first event.
    """

    remaining: float
    silent: float = 0
    draining: bool = False
    paused: bool = False

    @property
    def stalled(self) -> bool:
        """Return whether the run has stopped sending events."""
        return self.silent > _STALLED_SECONDS

    @property
    def endangered(self) -> bool:
        """Return whether the engine may stop before the run completes."""
        ending = self.draining or (self.paused and self.silent > _QUIET_SECONDS)
        return ending and self.remaining > _MIN_REMAINING_SECONDS


def runs_to_move(runs: Sequence[RunView], idle: int) -> list[int]:
    """Return the indexes of runs to move, at most one for each idle slot."""
    stalled = [index for index, run in enumerate(runs) if run.stalled]
    if len(stalled) > max(1, len(runs) * _MAX_STALLED_SHARE):
        stalled = []
    endangered = [
        index
        for index, run in enumerate(runs)
        if run.endangered and not run.stalled
    ]
    endangered.sort(key=lambda index: -runs[index].remaining)
    return [*stalled, *endangered][: max(0, idle)]
