"""Trials of quarantined requests.

Where engines crash in series, a sound request that many callers send alike is
present at three crashes as one that causes them is. So one is sent again once
engines have calmed down: a complete answer clears it, and a crash costs one
engine. The entries take turns, so that two don't try it at once.
"""

import time
from collections.abc import Callable, Mapping, Sequence

from bendlead_schema.gateway import SuspectRecord
from bendlead_store import clock

from bendlead_gateway._log import Log
from bendlead_gateway._suspects.crash_history import CRASHES_UNTIL_QUARANTINE
from bendlead_gateway._suspects.digest import RequestDigest

#: Pauses before the first and the second trial. Further ones would have a
#: request that crashes engines reach more of them than the three allowed.
TRIAL_PAUSES_SECONDS = (5.0, 30.0)
#: Time without crashes of any engine before a trial.
_CALM_SECONDS = 2.0
#: Turn of each entry. A trial begins in its first half, so that others hear of
#: a crash before their turn.
_TURN_SECONDS = 1.0
_MS_PER_SECOND = 1000

#: Return the rank of this entry for a request, and the number of entries.
TurnOf = Callable[[RequestDigest], tuple[int, int]]


def _only_turn(digest: RequestDigest) -> tuple[int, int]:
    """Return the turn of an entry that knows no other."""
    return 0, 1


class RequestTrials:
    """Trials by the requests of this entry."""

    def __init__(self, log: Log) -> None:
        self._log = log
        self._running: set[RequestDigest] = set()
        #: Unix time (ms) of the latest crash, and when it was noticed here.
        self._latest_crash = 0
        self._noticed_at = float('-inf')
        self._turn_of: TurnOf = _only_turn

    def configure_peers(self, turn_of: TurnOf) -> None:
        """Set what returns the turn of this entry."""
        self._turn_of = turn_of

    def record_crashes(self, ends: Mapping[str, int]) -> None:
        """Record the engine crashes of a suspect, known ones as well."""
        latest = max(ends.values(), default=0)
        if latest > self._latest_crash:
            self._latest_crash = latest
            self._noticed_at = clock.uptime()

    def remaining_calm(self) -> float:
        """Return the seconds until engines have calmed down."""
        calm_at = self._noticed_at + _CALM_SECONDS
        return max(0, calm_at - clock.uptime())

    def remaining_pause(self, record: SuspectRecord) -> float:
        """Return the seconds until a trial may begin, 0 if it may now.

        Infinite if the request has had its trials.
        """
        pause = self._pause_until_due(record)
        if not pause and record.digest in self._running:
            return _TURN_SECONDS
        return pause

    def begin(self, digest: RequestDigest) -> None:
        """Begin a trial."""
        self._running.add(digest)
        self._log.event('request-tried', digest=digest)

    def end(self, digest: RequestDigest) -> None:
        """End a trial."""
        self._running.discard(digest)

    def _pause_until_due(self, record: SuspectRecord) -> float:
        crashes = sorted(record.ends.values())
        pause = _pause_after(crashes)
        due = crashes[-1] / _MS_PER_SECOND + pause
        remaining = max(due - time.time(), self.remaining_calm())
        return remaining if remaining > 0 else self._until_turn(record, due)

    def _until_turn(self, record: SuspectRecord, due: float) -> float:
        """Return the seconds until it is the turn of this entry."""
        rank, entries = self._turn_of(RequestDigest(record.digest))
        elapsed = (time.time() - due) % (entries * _TURN_SECONDS)
        since_turn = elapsed - rank * _TURN_SECONDS
        if 0 <= since_turn < _TURN_SECONDS / 2:
            return 0
        return -since_turn % (entries * _TURN_SECONDS)


def _pause_after(crashes: Sequence[int]) -> float:
    """Return the pause before the next trial, infinite if there is none.

    ``crashes`` are ascending Unix times in ms.
    """
    quarantined = crashes[CRASHES_UNTIL_QUARANTINE - 1] / _MS_PER_SECOND
    in_trials = sum(
        crash / _MS_PER_SECOND - quarantined > TRIAL_PAUSES_SECONDS[0]
        for crash in crashes
    )
    if in_trials < len(TRIAL_PAUSES_SECONDS):
        return TRIAL_PAUSES_SECONDS[in_trials]
    return float('inf')
