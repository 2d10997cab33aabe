"""Suspects that this process and its peers know of."""

import time
from collections.abc import Callable, Iterable

from bendlead_schema.gateway import SuspectRecord
from bendlead_store import FollowedStore

from bendlead_gateway._log import Log
from bendlead_gateway._metrics import Metrics
from bendlead_gateway._suspects.crash_detector import (
    BrokenResponse,
    CrashDetector,
)
from bendlead_gateway._suspects.crash_history import (
    CRASHES_UNTIL_QUARANTINE,
    CrashHistory,
)
from bendlead_gateway._suspects.digest import RequestDigest
from bendlead_gateway._suspects.suspect_store import SuspectStore
from bendlead_gateway.types import Engine, EngineId

#: Age up to which changes are sent to peers. A process that starts reads older
#: ones from the object service.
_GOSSIP_SECONDS = 60.0
#: Limit of one report; the next one has the remaining records.
_MAX_REPORTED = 32


class Suspects:
    """Track requests that were running when engines crashed, also at peers."""

    def __init__(
        self,
        takes_requests: Callable[[Engine], bool],
        last_response_at: Callable[[EngineId], float],
        store: FollowedStore,
        prefix: str,
        log: Log,
        metrics: Metrics,
    ) -> None:
        self._log = log
        self._metrics = metrics
        self._history = CrashHistory()
        self.crash_detector = CrashDetector(
            takes_requests, last_response_at, log, metrics
        )
        self.crash_detector.on_crash = self._add_crash
        self.store = SuspectStore(self._history, store, prefix, log)

    def remaining_quarantine(
        self, digest_of: Callable[[], RequestDigest], first: float
    ) -> float:
        """Return the seconds until a request may be sent to an engine.

        ``first`` is the length of its first quarantine (s). The digest is only
        computed while some request is quarantined.
        """
        if not self._history.any_quarantined:
            return 0
        return self._history.remaining_quarantine(
            digest_of(), first, time.time()
        )

    def record_broken(self, engine: Engine, broken: BrokenResponse) -> None:
        """Record that an engine's response to a request broke off."""
        self.crash_detector.record_broken(engine, broken)

    def record_abandoned(
        self, engine: Engine, digest: RequestDigest, sent_at: float
    ) -> None:
        """Record that the client of a running request disconnected.

        The engine is only probed where the request is a suspect: clients
        disconnect often, and each probe opens a connection.
        """
        if self._history.crash_count(digest):
            self.crash_detector.record_broken(
                engine, BrokenResponse(digest, sent_at, response_started=False)
            )
        else:
            self.crash_detector.record_abandoned(engine, digest)

    def await_probe(self, digest: RequestDigest) -> None:
        """Wait for an engine's probe if one more crash means quarantine.

        Otherwise a retry could reach another engine before the crash is known.
        Requests with fewer crashes don't wait.
        """
        if self._history.crash_count(digest) == CRASHES_UNTIL_QUARANTINE - 1:
            self.crash_detector.await_probe(digest)

    def record_success(self, digest_of: Callable[[], RequestDigest]) -> None:
        """Clear a request to which an engine sent a complete response."""
        if not self._history.any_suspects:
            return
        digest = digest_of()
        if self._history.clear(digest, time.time()):
            self._log.event('suspect-cleared', digest=digest)
            self.store.save(digest)

    def receive(self, records: Iterable[SuspectRecord]) -> None:
        """Merge the records of a peer."""
        now = time.time()
        for record in records:
            if self._history.merge(record, now):
                self._log_suspect(RequestDigest(record.digest), 'a peer')

    def updates_after(self, after: int) -> tuple[int, list[SuspectRecord]]:
        """Return changes after a revision, and the revision they reach."""
        changes = list(
            self._history.changes_after(after, time.time() - _GOSSIP_SECONDS)
        )
        reported = list(reversed(changes[-_MAX_REPORTED:]))
        if not reported:
            return after, []
        return reported[-1][0], [record for _revision, record in reported]

    def summary(self) -> dict[str, int]:
        """Count the crashes of each suspect, for the state dump."""
        return self._history.summary()

    def _add_crash(self, engine: Engine, digest: RequestDigest) -> None:
        incarnation = f'{engine.engine}@{engine.born}'
        if self._history.add_crash(digest, incarnation, time.time()):
            self._log_suspect(digest, engine.engine)
            self.store.save(digest)

    def _log_suspect(self, digest: RequestDigest, source: str) -> None:
        self._log.event(
            'request-suspected',
            digest=digest,
            source=source,
            ends=self._history.crash_count(digest),
            quarantined=self._history.is_quarantined(digest),
        )
