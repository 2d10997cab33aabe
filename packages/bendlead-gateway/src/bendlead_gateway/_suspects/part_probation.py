"""Parts of prompts that are sent by one request at a time.

A part that was at several crashes may cause them, long before the evidence
tells. Until an answer clears it or it is found, requests with it run one after
the other as trials, which bounds the engines that it can crash, however many
requests with it come. A sound part is cleared by its first trial.
"""

from collections.abc import Container, Iterator, Sequence

from bendlead_schema.gateway import SuspectRecord
from msgspec import Struct

from bendlead_gateway._suspects.crash_table import CrashTable
from bendlead_gateway._suspects.digest import RequestDigest
from bendlead_gateway._suspects.trial_schedule import (
    PART_RULES,
    failed_trials,
    pause_after_failed,
    trial_times,
)

#: Crashes without an answer in between from which on a part is suspected. They
#: are not all of one instant, which may have one cause.
_SUSPECTED_CRASHES = 3
_SAME_CAUSE_MS = 100
#: Share of all crashes in their time at which a part was that causes them;
#: others have other causes, or are those of a second such part.
_LEAST_SHARE = 0.4
#: Share of requests above which a part is not suspected: it is at nearly every
#: crash, and all requests would wait for it.
_COMMON_SHARE = 0.5
#: Pause after a trial, or a crash since. It doubles with each failed one but
#: the first, and with others until a crash would be known.
_TRIAL_PAUSE_SECONDS = 2.0
_MAX_UNKNOWN_PAUSE_SECONDS = 8.0
#: Time in which a trial clears its parts, if they are sound.
_TRIAL_SECONDS = 1.2
#: A crash of the engine of a trial is noticed within this time.
_NOTICED_MS = 4000
_MS_PER_SECOND = 1000


class PartTurn(Struct, frozen=True):
    """When a request with suspected parts may be sent.

    ``pause`` is the time until then in seconds, ``in_trial`` whether a running
    trial may clear the parts before.
    """

    suspects: Sequence[RequestDigest] = ()
    pause: float = 0
    in_trial: bool = False


def find_turn(
    records: Sequence[SuspectRecord], now: float, *, busy: bool
) -> PartTurn:
    """Return the turn of a request from the records of its suspected parts.

    ``busy`` is whether this process is sending a trial of one of them, which
    the records may not tell yet.
    """
    pauses = [remaining_pause(record, now) for record in records]
    pause = max(pauses, default=0)
    if busy:
        pause = max(pause, _TRIAL_PAUSE_SECONDS)
    in_trial = busy or any(remaining_trial(record, now) for record in records)
    suspects = [RequestDigest(record.digest) for record in records]
    return PartTurn(suspects, pause, in_trial)


def is_suspected(
    record: SuspectRecord, crashes: CrashTable, explained: Container[str]
) -> bool:
    """Return whether requests with a part are sent one at a time.

    ``explained`` are the engines that other parts have crashed.
    """
    if len(record.ends) < _SUSPECTED_CRASHES:
        return False
    times = [
        at_ms
        for incarnation, at_ms in record.ends.items()
        if incarnation not in explained
    ]
    if len(times) < _SUSPECTED_CRASHES:
        return False
    first, last = min(times), max(times)
    common = min(record.shares.values(), default=0) > _COMMON_SHARE
    if common or last - first <= _SAME_CAUSE_MS:
        return False
    return len(times) >= _LEAST_SHARE * crashes.count(first, last, explained)


def remaining_pause(record: SuspectRecord, now: float) -> float:
    """Return the seconds until a suspected part may be tried.

    ``now`` is a Unix time in seconds.
    """
    trials = trial_times(record)
    if not trials:
        return 0
    failed = list(failed_trials(record))
    pause = max(
        min(_doubled(len(trials)), _MAX_UNKNOWN_PAUSE_SECONDS),
        min(
            _doubled(len(failed)),
            pause_after_failed(record, failed, PART_RULES),
        ),
    )
    crashed_ms = max(record.ends.values(), default=0)
    latest = max(crashed_ms, *trials) / _MS_PER_SECOND
    # Clocks that are ahead cause no longer pause.
    return max(0, min(pause, latest + pause - now))


def remaining_trial(record: SuspectRecord, now: float) -> float:
    """Return the seconds in which a running trial may clear a part."""
    latest = max(trial_times(record), default=0)
    if any(at_ms > latest for at_ms in record.ends.values()):
        return 0
    elapsed = now - latest / _MS_PER_SECOND
    return max(0, min(_TRIAL_SECONDS, _TRIAL_SECONDS - elapsed))


def _doubled(trials: int) -> float:
    """Return a pause that doubles with each trial but the first."""
    return _TRIAL_PAUSE_SECONDS * 2 ** max(0, trials - 1)


def crashes_in_trials(record: SuspectRecord) -> Iterator[str]:
    """Yield the engine incarnations that crashed in a trial of a part."""
    for began, engine in record.trials.items():
        for incarnation, at_ms in record.ends.items():
            elapsed = at_ms - int(began)
            is_engine = incarnation.rpartition('@')[0] == engine
            if is_engine and 0 <= elapsed <= _NOTICED_MS:
                yield incarnation
