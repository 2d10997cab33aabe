"""When a quarantined request may be sent again, as a trial."""

from collections.abc import Mapping, Sequence

from bendlead_gateway.suspects import CRASHES_UNTIL_QUARANTINE
from bendlead_schema.gateway import SuspectRecord
from msgspec import Struct

#: Pause behind the latest crash under the request, and behind the begin of a
#: trial that nothing is known of (s).
_CRASH_PAUSE = 2.0
_TRIAL_PAUSE = 4.0
#: Pause behind a trial whose endpoint crashed. It doubles from the third late
#: one on, which are those that begin so much later than the third crash (s).
_FAILED_PAUSE = 15.0
_LONGEST_PAUSE = 3600.0
_LATE_SECONDS = 3.0
_LATE_TRIALS = 3
#: Time from the third crash on in which there are no further late trials (s).
_FIRST_MINUTE = 60.0
#: A trial says little if an engine crashed without the request so much before
#: or behind its own crash (ms).
_OTHERS_BEFORE_MS = 10_000
_OTHERS_BEHIND_MS = 2000
#: Longest time for which a trial that is due waits until nothing crashes (s).
_CALM_SECONDS = 15.0
#: Clocks of processes may differ by this much (ms). Times that are further
#: ahead cause no pause, and a crash this long before a trial may be its own.
_AHEAD_MS = 2000
_BEFORE_MS = 1000
_MS = 1000

#: Unix milliseconds of engine crashes, by the life of the engine.
Crashes = Mapping[str, int]


class _Failed(Struct, frozen=True):
    """A trial whose own endpoint crashed (Unix ms)."""

    began: int
    crashed: int


def remaining_pause(
    record: SuspectRecord, crashes: Crashes, now: float, calm: float
) -> float:
    """Return the seconds until a trial of a quarantined request may begin.

    ``crashes`` are those of all engines, ``now`` is in Unix seconds, ``calm``
    the time until engines have calmed down (s).
    """
    due = _due(record, crashes, now)
    if now < due:
        return due - now
    return min(calm, max(0, due + _CALM_SECONDS - now))


def _due(record: SuspectRecord, crashes: Crashes, now: float) -> float:
    horizon = now * _MS + _AHEAD_MS
    ends = {life: at for life, at in record.ends.items() if at < horizon}
    begun = [int(began) for began in record.trials if int(began) < horizon]
    due = max(ends.values(), default=0) / _MS + _CRASH_PAUSE
    if begun:
        due = max(due, max(begun) / _MS + _TRIAL_PAUSE)
    failed = _failed(begun, ends)
    return max(due, _due_after(failed, record, crashes)) if failed else due


def _due_after(
    failed: Sequence[_Failed], record: SuspectRecord, crashes: Crashes
) -> float:
    """Return when the next trial is due behind failed ones (Unix s)."""
    known = sorted(record.ends.values())[CRASHES_UNTIL_QUARANTINE - 1]
    late_from = known + _LATE_SECONDS * _MS
    late = sum(trial.began > late_from for trial in failed)
    others = [at for life, at in crashes.items() if life not in record.ends]
    latest = failed[-1].crashed / _MS
    pause = _pause_after(late)
    if _says_little(failed[-1], others):
        pause = _FAILED_PAUSE if late >= _LATE_TRIALS else _CRASH_PAUSE
    if late < _LATE_TRIALS:
        return latest + pause
    return max(latest + pause, known / _MS + _FIRST_MINUTE)


def _failed(begun: Sequence[int], ends: Crashes) -> Sequence[_Failed]:
    """Return the trials under which an engine crashed, the latest last.

    Only trials run meanwhile, and requests that were sent before.
    """
    failed = {}
    for crashed in ends.values():
        before = [began for began in begun if began - _BEFORE_MS <= crashed]
        if before:
            latest = max(before)
            failed[latest] = min(crashed, failed.get(latest, crashed))
    return [_Failed(began, failed[began]) for began in sorted(failed)]


def _says_little(trial: _Failed, others: Sequence[int]) -> bool:
    """Return whether engines crashed for other causes at that time."""
    since = trial.crashed - _OTHERS_BEFORE_MS
    until = trial.crashed + _OTHERS_BEHIND_MS
    return any(since <= at <= until for at in others)


def _pause_after(late: int) -> float:
    doublings = max(0, late - _LATE_TRIALS + 1)
    return min(_LONGEST_PAUSE, _FAILED_PAUSE * 2**doublings)
