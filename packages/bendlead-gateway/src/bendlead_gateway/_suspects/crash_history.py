"""Suspects, the engine crashes of each, and how long they are quarantined.

A request is a suspect from the first crash on and quarantined from the third.
Most requests that run when an engine crashes did not cause it. They are rarely
present at three crashes, and their first complete response clears them.

Batch items are never quarantined (see ``item_trials``).
"""

from collections.abc import Callable, Iterable, Iterator, Mapping

from bendlead_schema.gateway import SuspectRecord
from msgspec import Struct
from msgspec.structs import replace

from bendlead_gateway._suspects.clears import Clears, merge_clears, name_all
from bendlead_gateway._suspects.digest import (
    RequestDigest,
    names_item,
    names_part,
)
from bendlead_gateway.numbers import parse_digits

CRASHES_UNTIL_QUARANTINE = 3
#: Crashes from which on a quarantine has its full length.
_CRASHES_UNTIL_MAX_QUARANTINE = 6
#: Longest quarantine, and the time after which unchanged suspects expire: a day
#: for the operators to investigate.
MAX_QUARANTINE_SECONDS = 86_400.0
#: First quarantine of a request, which its client can send again at any time.
#: It doubles with each further crash.
REQUEST_QUARANTINE_SECONDS = 3600.0
#: Quarantine of requests with a part of prompts that crashes engines.
PART_QUARANTINE_SECONDS = 3600.0
#: Bound of memory, at about 0.5 kB each, by eviction of the oldest suspects.
_MAX_SUSPECTS = 4096
#: Limit for one suspect, of which the newest are kept.
_MAX_CRASHES = 16
_MAX_TRIALS = 16
#: Characters of the name of a suspect.
_MAX_DIGEST = 256
_MS_PER_SECOND = 1000


def ignore_change(record: SuspectRecord) -> None:
    """Ignore a changed record."""


class _Suspect(Struct, frozen=True):
    """A suspect's record with the revision and time of its last change."""

    record: SuspectRecord
    revision: int
    changed_at: float


class CrashHistory:
    """Requests that were running when engines crashed.

    Records of one request from several processes are merged; order and
    repetition don't matter. Times are Unix seconds.
    """

    def __init__(self) -> None:
        #: By ascending revision.
        self._suspects: dict[RequestDigest, _Suspect] = {}
        self._revision = 0
        self._quarantined: set[RequestDigest] = set()
        #: Called with each record that has changed, whatever the source.
        self.on_change: Callable[[SuspectRecord], None] = ignore_change

    @property
    def any_suspects(self) -> bool:
        """Whether any request is a suspect."""
        return bool(self._suspects)

    @property
    def any_quarantined(self) -> bool:
        """Whether any request has been quarantined."""
        return bool(self._quarantined)

    def known(self, digest: RequestDigest) -> bool:
        """Return whether there is a record of a request."""
        return digest in self._suspects

    def is_quarantined(self, digest: RequestDigest) -> bool:
        """Return whether a request is or has been quarantined."""
        return digest in self._quarantined

    def quarantined_parts(self, now: float) -> Iterator[RequestDigest]:
        """Yield the parts of prompts whose quarantine has not ended."""
        for suspect in self._quarantined:
            if names_part(suspect):
                if self.remaining_quarantine(suspect, now):
                    yield suspect

    def summary(self) -> dict[str, int]:
        """Count the crashes of each suspect."""
        return {
            digest: len(suspect.record.ends)
            for digest, suspect in self._suspects.items()
        }

    def record(self, digest: RequestDigest) -> SuspectRecord:
        """Return the record of a request, an empty one if it is unknown."""
        suspect = self._suspects.get(digest)
        return suspect.record if suspect else SuspectRecord(digest=digest)

    def crash_count(self, digest: RequestDigest) -> int:
        """Count the engine crashes while a request was running."""
        return len(self.record(digest).ends)

    def remaining_quarantine(self, digest: RequestDigest, now: float) -> float:
        """Return the seconds left of a request's or a part's quarantine."""
        if digest not in self._quarantined:
            return 0
        if names_part(digest):
            found = self.record(digest).found_ms / _MS_PER_SECOND
            return max(0, found + PART_QUARANTINE_SECONDS - now)
        crashes = self.record(digest).ends
        latest = max(crashes.values()) / _MS_PER_SECOND
        return max(0, latest + _quarantine_seconds(len(crashes)) - now)

    def add_crash(
        self,
        digest: RequestDigest,
        incarnation: str,
        now: float,
        share: float = 0,
        repeat_chance: float = 0,
    ) -> bool:
        """Add an engine crash to a request; return whether it was unknown.

        ``share`` is that of a part of prompts among the requests of the
        process that sent it. ``repeat_chance`` is above 0 if the request was
        running at an earlier crash: that of it being at this engine.
        """
        crashes = {incarnation: round(now * _MS_PER_SECOND)}
        record = SuspectRecord(digest=digest, ends=crashes)
        if share:
            record.shares[incarnation] = share
        if repeat_chance:
            record.repeats[incarnation] = repeat_chance
        return self.merge(record, now)

    def record_found(self, suspect: RequestDigest, now: float) -> bool:
        """Quarantine a part of prompts; return whether it was unknown."""
        found = SuspectRecord(
            digest=suspect, found_ms=round(now * _MS_PER_SECOND)
        )
        return self.merge(found, now)

    def clear(self, digest: RequestDigest, now: float) -> bool:
        """Drop the crashes of a request; return whether there were any."""
        if not self.crash_count(digest) and not self.is_quarantined(digest):
            return False
        record = self.record(digest)
        # Clocks that are ahead may have noticed its crashes.
        latest = max(now, _latest_change(record))
        cleared_ms = round(latest * _MS_PER_SECOND)
        clear = SuspectRecord(
            digest=digest,
            cleared_ms=cleared_ms,
            cleared=name_all(record, cleared_ms),
        )
        if len(record.ends) == _MAX_CRASHES:
            # Earlier ones that it no longer tells have no name.
            clear.all_cleared_ms = min(record.ends.values())
        return self.merge(clear, now)

    def merge(self, received: SuspectRecord, now: float) -> bool:
        """Merge a record; return whether that changed anything."""
        digest = RequestDigest(received.digest)
        known = self.record(digest)
        merged = _merge(known, received)
        if merged == known:
            return False
        self._put(digest, merged, now)
        self.on_change(merged)
        return True

    def changes_after(
        self, after: int, newer_than: float
    ) -> Iterator[tuple[int, SuspectRecord]]:
        """Yield changes after a revision and a time, the newest first."""
        for suspect in reversed(self._suspects.values()):
            if suspect.revision <= after or suspect.changed_at < newer_than:
                return
            yield suspect.revision, suspect.record

    def remove_expired(self, now: float) -> None:
        """Remove the suspects that have not changed for too long."""
        for digest, suspect in list(self._suspects.items()):
            if now - _latest_change(suspect.record) > MAX_QUARANTINE_SECONDS:
                self._remove(digest)

    def _put(
        self, digest: RequestDigest, record: SuspectRecord, now: float
    ) -> None:
        self._suspects.pop(digest, None)
        self._revision += 1
        self._suspects[digest] = _Suspect(record, self._revision, now)
        if _is_quarantined(record):
            self._quarantined.add(digest)
        else:
            self._quarantined.discard(digest)
        if len(self._suspects) > _MAX_SUSPECTS:
            self._remove(self._choose_evicted())

    def _choose_evicted(self) -> RequestDigest:
        """Return the oldest suspect, one not quarantined if there is any."""
        not_quarantined = (
            digest
            for digest in self._suspects
            if not self.is_quarantined(digest)
        )
        return next(not_quarantined, next(iter(self._suspects)))

    def _remove(self, digest: RequestDigest) -> None:
        self._suspects.pop(digest)
        self._quarantined.discard(digest)


def is_valid(record: SuspectRecord) -> bool:
    """Return whether a record of another process can be merged."""
    if not 0 < len(record.digest) <= _MAX_DIGEST:
        return False
    return all(parse_digits(began) is not None for began in record.trials)


def _is_quarantined(record: SuspectRecord) -> bool:
    digest = RequestDigest(record.digest)
    if names_part(digest):
        # Many requests with a sound part run, so crashes alone say little.
        return record.found_ms > 0
    if names_item(digest):
        return False
    return len(record.ends) >= CRASHES_UNTIL_QUARANTINE


def _quarantine_seconds(crashes: int) -> float:
    if crashes >= _CRASHES_UNTIL_MAX_QUARANTINE:
        return MAX_QUARANTINE_SECONDS
    doubled = REQUEST_QUARANTINE_SECONDS * 2 ** (
        crashes - CRASHES_UNTIL_QUARANTINE
    )
    return min(MAX_QUARANTINE_SECONDS, doubled)


def _merge(known: SuspectRecord, received: SuspectRecord) -> SuspectRecord:
    clears = merge_clears(known, received)
    crashes = dict(clears.remaining_crashes(known.ends))
    for incarnation, crashed_ms in clears.remaining_crashes(received.ends):
        # Several processes notice the same crash at different times.
        crashes[incarnation] = min(
            crashed_ms, crashes.get(incarnation, crashed_ms)
        )
    newest = dict(sorted(crashes.items(), key=_time_of)[-_MAX_CRASHES:])
    found = map(clears.remaining_finding, (known.found_ms, received.found_ms))
    return replace(
        known,
        ends=newest,
        shares=_merge_shares(known.shares, received.shares, newest),
        repeats=_merge_repeats(known, received, newest),
        trials=_merge_trials(known.trials, received.trials, clears),
        cleared_ms=max(known.cleared_ms, received.cleared_ms),
        cleared=clears.named,
        all_cleared_ms=clears.all_until if clears.named else 0,
        found_ms=max(found),
    )


def _merge_shares(
    known: Mapping[str, float],
    received: Mapping[str, float],
    incarnations: Iterable[str],
) -> dict[str, float]:
    merged = {
        incarnation: max(
            known.get(incarnation, 0), received.get(incarnation, 0)
        )
        for incarnation in incarnations
    }
    return {
        incarnation: share for incarnation, share in merged.items() if share
    }


def _merge_repeats(
    known: SuspectRecord,
    received: SuspectRecord,
    incarnations: Iterable[str],
) -> dict[str, float]:
    """Return the crashes at which all processes know of repeats only."""
    merged = {}
    for incarnation in incarnations:
        chances = [
            record.repeats.get(incarnation, 0)
            for record in (known, received)
            if incarnation in record.ends
        ]
        if all(chances):
            merged[incarnation] = max(chances)
    return merged


def _merge_trials(
    known: Mapping[str, str], received: Mapping[str, str], clears: Clears
) -> dict[str, str]:
    merged = {
        began: min(known.get(began, engine), received.get(began, engine))
        for began, engine in (known | received).items()
        if not clears.include(began, int(began))
    }
    ordered = sorted(merged.items(), key=_began)
    # Trials that none ran may be many, and must not push others out.
    ran = [trial for trial in ordered if trial[1]][-_MAX_TRIALS:]
    not_run = [trial for trial in ordered if not trial[1]][-_MAX_TRIALS:]
    return dict(sorted([*ran, *not_run], key=_began))


def _began(trial: tuple[str, str]) -> int:
    return int(trial[0])


def _time_of(crash: tuple[str, int]) -> int:
    return crash[1]


def _latest_change(record: SuspectRecord) -> float:
    return (
        max(record.cleared_ms, record.found_ms, *record.ends.values())
        / _MS_PER_SECOND
    )
