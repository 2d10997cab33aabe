"""When a suspect may be tried: an item, a part of prompts or a request.

A trial is failed if its own engine crashed. Any other end (silence, a reset, a
lost answer, an owner that ended) says nothing about the suspect and costs it
nothing. Failed trials make the pause longer, but no suspect is ever out of
trials: what crashes engines may stop doing so.
"""

import math
import time
from collections.abc import Iterator, Sequence
from hashlib import sha256

from bendlead_schema.gateway import SuspectRecord
from msgspec import Struct

from bendlead_gateway._suspects.calm import EngineCalm
from bendlead_gateway._suspects.crash_table import CrashTable

#: Pause after the latest crash before the first trial, or one that may follow
#: soon.
_FIRST_PAUSE_SECONDS = 2.0
#: Pause after the first trial of which nothing is known, and after further
#: ones: most crashes are noticed by the first, and all by the other.
_UNKNOWN_PAUSE_SECONDS = 5.0
_LONG_UNKNOWN_PAUSE_SECONDS = 8.0
_NOTICED_MS = 8000
#: Pause after a trial that no engine has run.
_NOT_RUN_PAUSE_SECONDS = 0.1
#: Pause after a failed trial. An accepted item counts as lost once its latest
#: failure is 20 s old.
_FAILED_PAUSE_SECONDS = 15.0
#: Late trials that the users allow for what crashes engines; the pause doubles
#: with each further one.
_LATE_TRIALS = 3
_LATE_MS = 3000
_MAX_PAUSE_SECONDS = 3600.0
#: Time without crashes of any engine before a trial.
CALM_SECONDS = 2.0
#: The same after trials that failed beside other crashes, which may be those of
#: another suspect; the pauses of two suspects differ.
_MAX_CALM_SECONDS = 4.0
_CALM_SPREAD_SECONDS = 1.0
#: Longest wait for calm, since the latest crash or trial, or since engines
#: began to crash in series. It doubles from the third trial on that failed
#: beside other crashes, as calm ends it soon once they stop.
_CALM_WAIT_SECONDS = 15.0
_MAX_CALM_WAIT_SECONDS = 60.0
_QUICK_TRIALS = 2
#: Trials that failed beside other crashes and count as late ones.
_COUNTED_BESIDE = 1
#: An engine that crashed in a trial did so alone if no other did for so long
#: before the trial, and for so long after the crash.
_ALONE_BEFORE_MS = 4000
_ALONE_AFTER_MS = 100
_MS_PER_SECOND = 1000


class TrialRules(Struct, frozen=True):
    """What differs between kinds of suspects.

    ``known_crashes`` are those from which on the users count sends;
    ``first_calm`` is whether the first trial waits for calm.
    """

    known_crashes: int
    first_calm: bool = True
    first_pause: float = _FIRST_PAUSE_SECONDS


#: The first trial of an item comes before all have to know of the crashes.
ITEM_RULES = TrialRules(3, first_calm=False)
REQUEST_RULES = TrialRules(3)
PART_RULES = TrialRules(5)


class FailedTrial(Struct, frozen=True):
    """A trial whose engine crashed; times in Unix ms."""

    began: int
    crashed: int
    incarnation: str


class TrialSchedule:
    """Work out pauses from the records of suspects."""

    def __init__(self, crashes: CrashTable, calm: EngineCalm) -> None:
        self._crashes = crashes
        self._calm = calm

    def remaining_pause(
        self, record: SuspectRecord, rules: TrialRules, turn: float = 0
    ) -> float:
        """Return the seconds until a suspect may be tried.

        ``turn`` is the time (s) for which others go first.
        """
        now = time.time()
        latest = _latest(record)
        failed = list(failed_trials(record))
        alone = [one for one in failed if self._crashed_alone(record, one)]
        pause, calm = self._pause(record, failed, alone, rules)
        longest = _longest_calm_wait(len(failed) - len(alone))
        return max(
            self._remaining_calm(calm, longest, now - latest / _MS_PER_SECOND),
            _remaining(pause + turn, latest, now),
            _remaining_untold(record, failed, now),
        )

    def _remaining_calm(
        self, calm: float, longest: float, elapsed: float
    ) -> float:
        """Return the rest of the wait for calm, which is bounded.

        ``elapsed`` is the time since the latest crash or trial (s).
        """
        if not calm:
            return 0
        waited = min(elapsed, self._calm.series_seconds)
        return min(self._calm.remaining(calm), max(0, longest - waited))

    def _pause(
        self,
        record: SuspectRecord,
        failed: Sequence[FailedTrial],
        alone: Sequence[FailedTrial],
        rules: TrialRules,
    ) -> tuple[float, float]:
        """Return the pause after the latest crash or trial, and the calm."""
        first_calm = CALM_SECONDS if rules.first_calm else 0
        latest_trial = max(trial_times(record), default=0)
        if not failed or failed[-1].began < latest_trial:
            return rules.first_pause, first_calm
        if failed[-1] not in alone:
            beside = len(failed) - len(alone)
            calm = min(CALM_SECONDS + beside, _MAX_CALM_SECONDS)
            return rules.first_pause, calm + _spread(record)
        counted = _some_beside(failed, alone)
        return pause_after_failed(record, counted, rules), CALM_SECONDS

    def _crashed_alone(self, record: SuspectRecord, trial: FailedTrial) -> bool:
        """Return whether no other engine crashed near the one of a trial.

        Those that crashed in trials of other suspects do not count.
        """
        since = trial.began - _ALONE_BEFORE_MS
        until = trial.crashed + _ALONE_AFTER_MS
        if not self._crashes.covers(since):
            return False
        tried = self._crashes.tried | record.ends.keys()
        return not self._crashes.count(since, until, tried)


def failed_trials(record: SuspectRecord) -> Iterator[FailedTrial]:
    """Yield the trials whose engines crashed, the oldest first."""
    for began, engine in sorted(record.trials.items(), key=_began):
        crashes = [
            (at_ms, incarnation)
            for incarnation, at_ms in record.ends.items()
            if incarnation.rpartition('@')[0] == engine
            and 0 <= at_ms - int(began) <= _NOTICED_MS
        ]
        if crashes:
            yield FailedTrial(int(began), *min(crashes))


def _some_beside(
    failed: Sequence[FailedTrial], alone: Sequence[FailedTrial]
) -> Sequence[FailedTrial]:
    """Return the trials that failed alone and the latest of the others.

    All of a series would make the next pause as long as the series.
    """
    beside = [one for one in failed if one not in alone]
    return [*alone, *beside[-_COUNTED_BESIDE:]]


def _longest_calm_wait(beside: int) -> float:
    """Return the longest wait after trials that failed beside crashes."""
    doubled = _CALM_WAIT_SECONDS * 2 ** max(0, beside - _QUICK_TRIALS)
    return min(doubled, _MAX_CALM_WAIT_SECONDS)


def pause_after_failed(
    record: SuspectRecord, failed: Sequence[FailedTrial], rules: TrialRules
) -> float:
    """Return the pause after failed trials, which the late ones prolong."""
    crashes = sorted(record.ends.values())
    if len(crashes) < rules.known_crashes:
        return _FAILED_PAUSE_SECONDS
    known = crashes[rules.known_crashes - 1] + _LATE_MS
    late = sum(one.began > known for one in failed)
    doubled = _FAILED_PAUSE_SECONDS * 2 ** max(0, late - _LATE_TRIALS + 1)
    return min(doubled, _MAX_PAUSE_SECONDS)


def trial_times(record: SuspectRecord) -> list[int]:
    """Return when the trials began that an engine may have run (Unix ms)."""
    return [int(began) for began, engine in record.trials.items() if engine]


def _latest(record: SuspectRecord) -> int:
    """Return the time of the latest crash or trial (Unix ms)."""
    return max([record.found_ms, *record.ends.values(), *trial_times(record)])


def _remaining_untold(
    record: SuspectRecord, failed: Sequence[FailedTrial], now: float
) -> float:
    """Return the rest of the pause after trials that told nothing (s)."""
    unknown = set(trial_times(record)).difference(one.began for one in failed)
    pause = _UNKNOWN_PAUSE_SECONDS
    if len(unknown) > 1:
        pause = _LONG_UNKNOWN_PAUSE_SECONDS
    not_run = max(map(int, record.trials), default=0)
    return max(
        _remaining(pause, max(unknown, default=0), now),
        _remaining(_NOT_RUN_PAUSE_SECONDS, not_run, now),
    )


def _remaining(pause: float, since_ms: int, now: float) -> float:
    """Return the rest of a pause (s), 0 if its begin lies ahead."""
    elapsed = now - since_ms / _MS_PER_SECOND
    return max(0, pause - elapsed) if elapsed >= 0 else 0


def _spread(record: SuspectRecord) -> float:
    """Return a time (s) that differs between suspects."""
    first = sha256(record.digest.encode()).digest()[0]
    return _CALM_SPREAD_SECONDS * first / math.pow(2, 8)


def _began(trial: tuple[str, str]) -> int:
    return int(trial[0])
