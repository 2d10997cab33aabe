"""Trials by batch items: of quarantined parts of prompts, and of the items.

Items are owed whatever their parts are and however many engines have crashed
under them, and most are sound. So a suspected item, or one item with a
quarantined part, runs as a trial: an answer that goes on clears it, and a crash
costs one engine. Trials are claimed in the object service before they begin, so
that all processes know of them.
"""

import math
import time
from collections.abc import Callable, Hashable, Sequence

from bendlead_store import clock

from bendlead_gateway._suspects.crash_history import (
    CRASHES_UNTIL_QUARANTINE,
    CrashHistory,
)
from bendlead_gateway._suspects.digest import RequestDigest, name_part
from bendlead_gateway._suspects.part_probation import (
    remaining_pause as remaining_probation,
)
from bendlead_gateway._suspects.trial_claims import (
    MAX_TRIAL_SECONDS,
    TrialClaims,
)
from bendlead_gateway._suspects.trial_schedule import (
    ITEM_RULES,
    PART_RULES,
    TrialSchedule,
    failed_trials,
    trial_times,
)
from bendlead_gateway.types import EngineId, PromptPart

#: Time from one owner's turn to the next one's, so that few claim at once.
_TURN_SECONDS = 0.5
#: Owners from this one on share a turn, which bounds the pause.
_MAX_TURNS = 8
#: Time for which a rank is kept: many items may wait, and there may be many
#: owners.
_RANK_SECONDS = 1.0
#: Bound of memory.
_MAX_RANKS = 256


def _first_rank(part: PromptPart) -> int:
    """Return the rank of an owner that knows no other."""
    return 0


class ItemTrials:
    """Trials by the runs of this process, counted with those of others."""

    def __init__(
        self,
        history: CrashHistory,
        claims: TrialClaims,
        schedule: TrialSchedule,
    ) -> None:
        self._history = history
        self._claims = claims
        self._schedule = schedule
        self._running: dict[Hashable, Sequence[PromptPart]] = {}
        #: When each of them began (uptime, s).
        self._began: dict[Hashable, float] = {}
        self._rank_of: Callable[[PromptPart], int] = _first_rank
        #: Rank for each part, and when it was worked out (uptime, s).
        self._ranks: dict[PromptPart, tuple[int, float]] = {}

    def configure_peers(self, rank_of: Callable[[PromptPart], int]) -> None:
        """Set what returns the rank of this owner among all, for a part."""
        self._rank_of = rank_of

    def remaining_pause(self, item: RequestDigest) -> float:
        """Return the seconds until an item may run, as a trial if suspected."""
        record = self._history.record(item)
        if len(record.ends) < CRASHES_UNTIL_QUARANTINE:
            return 0
        return self._schedule.remaining_pause(record, ITEM_RULES)

    def remaining_part_pause(self, part: PromptPart) -> float:
        """Return the seconds until a part may be tried.

        Infinite during a trial of this process.
        """
        record = self._history.record(name_part(part))
        if self.any_running([part]):
            return math.inf
        if not record.found_ms:
            return remaining_probation(record, time.time())
        turn = min(self._rank(part), _MAX_TURNS - 1) * _TURN_SECONDS
        return self._schedule.remaining_pause(record, PART_RULES, turn)

    def any_running(self, parts: Sequence[PromptPart]) -> bool:
        """Return whether a run tries one of the parts."""
        self._drop_endless()
        return any(
            part in tried for tried in self._running.values() for part in parts
        )

    def summary(self, item: RequestDigest) -> dict[str, int]:
        """Count what is held against an item, for the log."""
        record = self._history.record(item)
        return {
            'crashes': len(record.ends),
            'trials': len(trial_times(record)),
            'failed_trials': len(list(failed_trials(record))),
        }

    def is_trial(self, run: Hashable) -> bool:
        """Return whether a run is a trial that has been claimed."""
        return self._claims.has_claimed(run)

    def tried_engines(self, parts: Sequence[PromptPart]) -> set[EngineId]:
        """Return the engines that got a trial of one of the parts."""
        return {
            EngineId(engine)
            for part in parts
            for engine in self._history.record(name_part(part)).trials.values()
            if engine
        }

    def begin(self, run: Hashable, parts: Sequence[PromptPart]) -> None:
        """Record that a run with quarantined parts is to begin."""
        if parts:
            self._running[run] = parts
            self._began[run] = clock.uptime()

    def claim(
        self, run: Hashable, item: RequestDigest, engine: EngineId
    ) -> bool:
        """Claim the trials that a run is; return whether it may be sent."""
        tried = list(map(name_part, self._running.get(run, ())))
        if self._history.crash_count(item) >= CRASHES_UNTIL_QUARANTINE:
            tried.append(item)
        return self._claims.claim(run, tried, engine)

    def end(self, run: Hashable, *, may_have_run: bool) -> None:
        """Record that a run has ended, and whether an engine may have run it.

        A trial that none has run is not counted.
        """
        self._running.pop(run, None)
        self._began.pop(run, None)
        self._claims.end(run, may_have_run=may_have_run)

    def _drop_endless(self) -> None:
        """Let no trial hold others up for longer than trials take."""
        latest = clock.uptime() - MAX_TRIAL_SECONDS
        # In the order in which they began.
        for run, began in list(self._began.items()):
            if began > latest:
                break
            self._claims.log_endless(run)
            self._running.pop(run, None)
            self._began.pop(run, None)

    def _rank(self, part: PromptPart) -> int:
        now = clock.uptime()
        rank, worked_out_at = self._ranks.get(part, (0, -math.inf))
        if now - worked_out_at > _RANK_SECONDS:
            rank = self._rank_of(part)
            if len(self._ranks) > _MAX_RANKS:
                self._ranks.clear()
            self._ranks[part] = (rank, now)
        return rank
