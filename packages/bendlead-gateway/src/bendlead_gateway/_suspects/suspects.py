"""Suspected requests, for whoever sends requests to engines."""

import time
from collections.abc import Callable, Iterable

from bendlead_schema.gateway import SuspectRecord
from bendlead_store import FollowedStore

from bendlead_gateway._log import Log
from bendlead_gateway._metrics import Metrics
from bendlead_gateway._suspects.digest import RequestDigest
from bendlead_gateway._suspects.ends import Break, EngineEnds
from bendlead_gateway._suspects.evidence import (
    ENDS_UNTIL_QUARANTINE,
    Evidence,
)
from bendlead_gateway._suspects.keeper import SuspectKeeper
from bendlead_gateway.types import Engine, EngineId

#: News are told on for this long (s); what is older a process learns from the
#: object service when it starts.
_TOLD_SECONDS = 60.0
#: Records that one report tells; the others follow in the next.
_MOST_TOLD = 32


class Suspects:
    """Hold ends of engines against requests, here and with all peers."""

    def __init__(
        self,
        takes_requests: Callable[[Engine], bool],
        heard_at: Callable[[EngineId], float],
        store: FollowedStore,
        prefix: str,
        log: Log,
        metrics: Metrics,
    ) -> None:
        self._log = log
        self._metrics = metrics
        self._evidence = Evidence()
        self.ends = EngineEnds(takes_requests, heard_at, log, metrics)
        self.ends.on_end = self._hold
        self.keeper = SuspectKeeper(self._evidence, store, prefix, log)

    def quarantine_left(
        self, digest_of: Callable[[], RequestDigest], first: float
    ) -> float:
        """Give the seconds for which a request must reach no engine.

        The digest is made only while something is quarantined: good requests
        pay nothing before.
        """
        if not self._evidence.any_quarantined:
            return 0
        return self._evidence.quarantine_left(digest_of(), first, time.time())

    def broke_off(self, engine: Engine, answer: Break) -> None:
        """Note that an engine's answer to a request broke off."""
        self.ends.broke_off(engine, answer)

    def left(self, engine: Engine, digest: RequestDigest, began: float) -> None:
        """Note that nobody waits any more for an engine's answer.

        Only of a suspect is the engine asked at once whether it has ended: many
        callers leave, and each question is a connection.
        """
        if self._evidence.ends(digest):
            self.ends.broke_off(engine, Break(digest, began, answered=False))
        else:
            self.ends.left(engine, digest)

    def await_news(self, digest: RequestDigest) -> None:
        """Wait for news of an engine, where the next end is the last one.

        A request that may run again goes to another engine some µs after its
        answer broke off, and the news of the end take 0.03 s. Requests that
        have been at fewer ends don't wait.
        """
        if self._evidence.ends(digest) == ENDS_UNTIL_QUARANTINE - 1:
            self.ends.await_probe(digest)

    def answered(self, digest_of: Callable[[], RequestDigest]) -> None:
        """Clear a request that an engine has answered whole."""
        if not self._evidence.any_suspects:
            return
        digest = digest_of()
        if self._evidence.clear(digest, time.time()):
            self._log.event('suspect-cleared', digest=digest)
            self.keeper.keep(digest)

    def hear(self, told: Iterable[SuspectRecord]) -> None:
        """Take what a peer knows."""
        now = time.time()
        for record in told:
            if self._evidence.take(record, now):
                self._note(RequestDigest(record.digest), 'a peer')

    def news(self, after: int) -> tuple[int, list[SuspectRecord]]:
        """Tell what is newer than an arrival, and up to which arrival."""
        found = list(self._evidence.news(after, time.time() - _TOLD_SECONDS))
        told = list(reversed(found[-_MOST_TOLD:]))
        if not told:
            return after, []
        return told[-1][0], [record for _arrival, record in told]

    def summary(self) -> dict[str, int]:
        """Show the ends under each suspect, for the state dump."""
        return self._evidence.summary()

    def _hold(self, engine: Engine, digest: RequestDigest) -> None:
        life = f'{engine.engine}@{engine.born}'
        if self._evidence.hold(digest, life, time.time()):
            self._note(digest, engine.engine)
            self.keeper.keep(digest)

    def _note(self, digest: RequestDigest, source: str) -> None:
        self._log.event(
            'request-suspected',
            digest=digest,
            source=source,
            ends=self._evidence.ends(digest),
            quarantined=self._evidence.is_quarantined(digest),
        )
