"""Keep suspected requests in the object service, for whoever starts later."""

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
from gevent.event import Event
from result import Err, Ok

from bendlead_gateway._log import Log
from bendlead_gateway._suspects.digest import RequestDigest
from bendlead_gateway._suspects.evidence import Evidence

#: Ends under a request from which on it is kept: of the requests under the
#: first end most only ran beside its cause, and each write is paid for.
ENDS_UNTIL_KEPT = 2
#: Pause before a record that could not be written is tried again (s).
_RETRY_SECONDS = 0.5
#: How often old records are looked for (s).
_SWEEP_SECONDS = 600.0
_DECODER = msgspec.json.Decoder(SuspectRecord)


class SuspectKeeper:
    """Follow the records of the object service, and write what is news."""

    def __init__(
        self, evidence: Evidence, store: FollowedStore, prefix: str, log: Log
    ) -> None:
        self._evidence = evidence
        self._store = store
        self._prefix = prefix
        self._log = log
        self._versions: dict[RequestDigest, Version] = {}
        self._unwritten: set[RequestDigest] = set()
        self._wake = Event()

    def reset(self, entries: Sequence[Entry], after_outage: bool) -> None:
        """Take all records; one that is missing now has been released."""
        known = set(self._versions)
        self._versions.clear()
        for entry in entries:
            self._take(entry)
        for digest in known.difference(self._versions):
            self._release(digest)

    def change(self, change: Change) -> None:
        """Take one record, or its removal: somebody has released it."""
        digest = self._digest(change.key)
        if change.deleted:
            self._versions.pop(digest, None)
            self._release(digest)
            return
        self._take(Entry(change.key, change.version, change.body))

    def keep(self, digest: RequestDigest) -> None:
        """Write a record that has changed here, once there is enough in it."""
        known = digest in self._versions
        if known or self._evidence.ends(digest) >= ENDS_UNTIL_KEPT:
            self._unwritten.add(digest)
            self._wake.set()

    def run(self) -> None:
        """Write and remove records, for ever."""
        while True:
            self._wake.wait(_SWEEP_SECONDS)
            self._wake.clear()
            self._remove_old()
            for digest in list(self._unwritten):
                if self._write(digest):
                    self._unwritten.discard(digest)
            if self._unwritten:
                gevent.sleep(_RETRY_SECONDS)
                self._wake.set()

    def _write(self, digest: RequestDigest) -> bool:
        """Write a record; tell whether the object service holds it now."""
        key = f'{self._prefix}{digest}'
        record = self._evidence.record(digest)
        version = self._versions.get(digest, ABSENT)
        written = self._store.put(key, msgspec.json.encode(record), version)
        if isinstance(written, Ok):
            self._versions[digest] = written.ok_value
            return record == self._evidence.record(digest)
        self._log.event(
            'suspect-not-kept', digest=digest, reason=written.err_value
        )
        # Another process may have written it; so may this call, unanswered.
        found = self._store.fetch(key)
        if isinstance(found, Err):
            return False
        if found.ok_value is None:
            self._versions.pop(digest, None)
            return False
        self._take(found.ok_value)
        stored = _decode(found.ok_value)
        return stored == self._evidence.record(digest)

    def _release(self, digest: RequestDigest) -> None:
        if self._evidence.clear(digest, time.time()):
            self._log.event('suspect-released', digest=digest)

    def _take(self, entry: Entry) -> None:
        record = _decode(entry)
        if record is None:
            self._log.event('suspect-unreadable', key=entry.key)
            return
        self._versions[RequestDigest(record.digest)] = entry.version
        self._evidence.take(record, time.time())

    def _remove_old(self) -> None:
        """Remove the records of requests that nobody remembers any more."""
        self._evidence.forget_old(time.time())
        for digest, version in list(self._versions.items()):
            if not self._evidence.known(digest):
                self._versions.pop(digest)
                self._store.delete(f'{self._prefix}{digest}', version)

    def _digest(self, key: str) -> RequestDigest:
        return RequestDigest(key.removeprefix(self._prefix))


def _decode(entry: Entry) -> SuspectRecord | None:
    try:
        return _DECODER.decode(entry.body)
    except msgspec.MsgspecError:
        # Anybody may write there; the caller says so in its log.
        return None
