"""Store suspects in the object service, for processes that start later."""

import time
from collections.abc import Sequence

import gevent
import msgspec
from bendlead_schema.gateway import SuspectRecord
from bendlead_store import (
    ABSENT,
    Change,
    Entry,
    FollowedStore,
    Version,
)
from bendlead_store.tasks import attempt, for_each
from gevent.event import Event
from msgspec.structs import replace
from result import Err, Ok

from bendlead_gateway._log import Log
from bendlead_gateway._suspects.crash_history import CrashHistory, is_valid
from bendlead_gateway._suspects.digest import (
    RequestDigest,
    names_item,
    names_part,
)
from bendlead_gateway.json_values import DECODE_ERRORS

#: Crashes from which on a suspect is stored. Most requests with a single crash
#: only ran beside the one that caused it, and writes cost money.
CRASHES_UNTIL_STORED = 2
#: The same for a part of prompts, which is often present by chance.
PART_CRASHES_UNTIL_STORED = 3
_RETRY_SECONDS = 0.5
#: Writes of one claim; several processes may add crashes meanwhile.
_CLAIM_ATTEMPTS = 4
#: Interval of the removal of expired records.
_SWEEP_SECONDS = 600.0
_DECODER = msgspec.json.Decoder(SuspectRecord)


class SuspectStore:
    """Follow the stored records, and write those that change here."""

    def __init__(
        self, history: CrashHistory, store: FollowedStore, prefix: str, log: Log
    ) -> None:
        self._history = history
        self._store = store
        self._prefix = prefix
        self._log = log
        self._versions: dict[RequestDigest, Version] = {}
        self._unwritten: set[RequestDigest] = set()
        self._write_requested = Event()

    def reset(self, entries: Sequence[Entry], after_outage: bool) -> None:
        """Replace all records; missing ones were released by an operator."""
        previous = set(self._versions)
        self._versions.clear()
        listed = {self._digest_of_key(entry.key) for entry in entries}
        for entry in entries:
            attempt('suspect-entry', self._log.task_failed, self._load, entry)
        # A record that raises an error is not one that was removed.
        for digest in previous.difference(self._versions, listed):
            self._release(digest)

    def change(self, change: Change) -> None:
        """Apply a changed record, or release the suspect of a removed one."""
        digest = self._digest_of_key(change.key)
        if change.deleted:
            self._versions.pop(digest, None)
            self._release(digest)
            return
        self._load(Entry(change.key, change.version, change.body))

    def save(self, digest: RequestDigest) -> None:
        """Queue a changed record for writing if it has enough crashes.

        Those of batch items are only written from their first trial on.
        """
        if names_item(digest) and digest not in self._versions:
            return
        least = CRASHES_UNTIL_STORED
        if names_part(digest):
            least = PART_CRASHES_UNTIL_STORED
        stored = digest in self._versions
        if stored or self._history.crash_count(digest) >= least:
            self._save_later(digest)

    def claim_trial(
        self, trial: SuspectRecord, *, while_away: bool = False
    ) -> bool:
        """Store a trial before it begins; return whether it may.

        It may not if another process has claimed one meanwhile. While the
        object service is away it may if ``while_away``: only reports tell
        other processes of it then.
        """
        suspect = RequestDigest(trial.digest)
        trials = self._history.record(suspect).trials
        attempts_left = _CLAIM_ATTEMPTS
        while attempts_left and self._history.record(suspect).trials == trials:
            attempts_left -= 1
            record = self._history.record(suspect)
            claimed = replace(record, trials=trials | trial.trials)
            if self._put(suspect, claimed):
                self._history.merge(trial, time.time())
                return True
            # Another process may have added a crash.
            if not self._refresh(suspect):
                if while_away:
                    self._history.merge(trial, time.time())
                self._save_later(suspect)
                return while_away
        self._save_later(suspect)
        return False

    def run(self) -> None:
        """Write changed records and remove expired ones, forever."""
        while True:
            self._write_requested.wait(_SWEEP_SECONDS)
            self._write_requested.clear()
            try:
                self._remove_expired()
            finally:
                self._write_changed()
            if self._unwritten:
                gevent.sleep(_RETRY_SECONDS)

    def _write_changed(self) -> None:
        try:
            for_each(self._write_one, list(self._unwritten))
        finally:
            if self._unwritten:
                self._write_requested.set()

    def _write_one(self, digest: RequestDigest) -> None:
        if self._write(digest):
            self._unwritten.discard(digest)

    def _save_later(self, digest: RequestDigest) -> None:
        self._unwritten.add(digest)
        self._write_requested.set()

    def _write(self, digest: RequestDigest) -> bool:
        """Write a record; return whether its latest state is stored."""
        record = self._history.record(digest)
        if self._put(digest, record):
            return record == self._history.record(digest)
        # Another process, or this call without a response, may have written it.
        stored = self._refresh(digest)
        return stored == self._history.record(digest)

    def _refresh(self, digest: RequestDigest) -> SuspectRecord | None:
        """Merge the stored record; return it, an empty one if there is none.

        ``None`` if it can't be read.
        """
        fetched = self._store.fetch(f'{self._prefix}{digest}')
        if isinstance(fetched, Err):
            return None
        if fetched.ok_value is None:
            self._versions.pop(digest, None)
            return SuspectRecord(digest='')
        self._load(fetched.ok_value)
        return _decode(fetched.ok_value)

    def _put(self, digest: RequestDigest, record: SuspectRecord) -> bool:
        """Write a record unless the stored one has changed meanwhile."""
        version = self._versions.get(digest, ABSENT)
        written = self._store.put(
            f'{self._prefix}{digest}', msgspec.json.encode(record), version
        )
        if isinstance(written, Ok):
            self._versions[digest] = written.ok_value
            return True
        self._log.event(
            'suspect-not-kept', digest=digest, reason=written.err_value
        )
        return False

    def _release(self, digest: RequestDigest) -> None:
        if self._history.clear(digest, time.time()):
            self._log.event('suspect-released', digest=digest)

    def _load(self, entry: Entry) -> None:
        record = _decode(entry)
        if record is None:
            self._log.event('suspect-unreadable', key=entry.key)
            return
        self._versions[RequestDigest(record.digest)] = entry.version
        self._history.merge(record, time.time())

    def _remove_expired(self) -> None:
        """Remove expired suspects, here and in the object service."""
        self._history.remove_expired(time.time())
        for digest, version in list(self._versions.items()):
            if not self._history.known(digest):
                self._versions.pop(digest)
                self._store.delete(f'{self._prefix}{digest}', version)

    def _digest_of_key(self, key: str) -> RequestDigest:
        return RequestDigest(key.removeprefix(self._prefix))


def _decode(entry: Entry) -> SuspectRecord | None:
    try:
        record = _DECODER.decode(entry.body)
    except DECODE_ERRORS:
        # Other programs may write there; the caller logs it.
        return None
    return record if is_valid(record) else None
