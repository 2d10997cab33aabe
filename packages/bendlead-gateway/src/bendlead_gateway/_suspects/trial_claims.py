"""Claims of trials, which bound them over all processes.

A trial is claimed in the object service before it is sent, so that it counts
whatever is learned of it. One that no engine has run is given back.
"""

import math
import time
from collections.abc import Collection, Hashable, Sequence

from bendlead_schema.gateway import SuspectRecord
from bendlead_store import clock

from bendlead_gateway._log import Log
from bendlead_gateway._suspects.crash_history import CrashHistory
from bendlead_gateway._suspects.digest import RequestDigest
from bendlead_gateway._suspects.suspect_store import SuspectStore
from bendlead_gateway.types import EngineId

#: Time after which a trial no longer holds others up: ownership, claim, connect
#: and head take 10 s at most, and a sound trial clears its parts 1.2 s later.
MAX_TRIAL_SECONDS = 12.0
_MS_PER_SECOND = 1000


class TrialClaims:
    """Trials that runs of this process have claimed."""

    def __init__(
        self, history: CrashHistory, store: SuspectStore, log: Log
    ) -> None:
        self._history = history
        self._store = store
        self._log = log
        #: When the running trials began (Unix time, ms), and of what.
        self._claimed: dict[Hashable, tuple[int, list[RequestDigest]]] = {}
        #: The same as uptime (s).
        self._began: dict[Hashable, float] = {}

    def has_claimed(self, run: Hashable) -> bool:
        """Return whether a run is a trial that may still be needed."""
        began = self._began.get(run, -math.inf)
        return clock.uptime() - began < MAX_TRIAL_SECONDS

    def any_claimed(self, suspects: Collection[RequestDigest]) -> bool:
        """Return whether a run of this process tries one of the suspects.

        Not for longer than a trial may be needed.
        """
        return any(
            suspect in suspects and self.has_claimed(run)
            for run, (_began, claimed) in self._claimed.items()
            for suspect in claimed
        )

    def log_endless(self, run: Hashable) -> None:
        """Log a trial that holds no others up any longer."""
        _began, claimed = self._claimed.get(run, (0, []))
        self._log.event(
            'trial-endless',
            digests=','.join(claimed) or '-',
            seconds=MAX_TRIAL_SECONDS,
        )

    def claim(
        self,
        run: Hashable,
        suspects: Sequence[RequestDigest],
        engine: EngineId,
        *,
        while_away: bool = False,
    ) -> bool:
        """Claim the trials that a run is; return whether it may be sent.

        ``while_away`` is whether it may while the object service is away.
        """
        if not suspects:
            return True
        began_ms = round(time.time() * _MS_PER_SECOND)
        claimed: list[RequestDigest] = []
        self._claimed[run] = (began_ms, claimed)
        self._began[run] = clock.uptime()
        for suspect in suspects:
            # A claim without an answer may be stored: it is given back as well.
            claimed.append(suspect)
            trial = _trial(suspect, began_ms, engine)
            if not self._store.claim_trial(trial, while_away=while_away):
                return False
            self._log.event('suspect-tried', digest=suspect, engine=engine)
        return True

    def end(self, run: Hashable, *, may_have_run: bool) -> None:
        """Record that a run has ended, and whether an engine may have run."""
        began_ms, claimed = self._claimed.pop(run, (0, []))
        began = self._began.pop(run, 0)
        for suspect in claimed:
            self._log_end(suspect, began_ms, began, ran=may_have_run)
        if may_have_run:
            return
        for suspect in claimed:
            self._history.merge(_trial(suspect, began_ms, ''), time.time())
            self._store.save(suspect)

    def _log_end(
        self, suspect: RequestDigest, began_ms: int, began: float, *, ran: bool
    ) -> None:
        """Log how a trial ended; a crash may only be noticed later."""
        record = self._history.record(suspect)
        outcome = 'unknown' if ran else 'not_run'
        if record.cleared_ms >= began_ms:
            outcome = 'cleared'
        self._log.event(
            'trial-ended',
            digest=suspect,
            engine=record.trials.get(str(began_ms)) or '-',
            outcome=outcome,
            seconds=round(clock.uptime() - began, 3),
            crashes=len(record.ends),
            trials=len(record.trials),
        )


def _trial(suspect: RequestDigest, began_ms: int, engine: str) -> SuspectRecord:
    """Return the record of a trial; the engine is empty if none ran it."""
    return SuspectRecord(digest=suspect, trials={str(began_ms): engine})
