"""Keep requests from engines under which others have ended."""

import math
import time
from http import HTTPStatus

import gevent
import msgspec
from bendlead_gateway.suspects import (
    CRASHES_UNTIL_QUARANTINE,
    CrashHistory,
    RequestDigest,
    digest_request,
)
from bendlead_schema.gateway import SuspectRecord
from bendlead_schema.messages import (
    EndpointHeartbeat,
    ErrorOutcome,
    VersionedKey,
)
from bendlead_store import ABSENT, Failure, ObjectStore, Version, clock
from result import Err, Ok, Result

from bendlead_node._common.config import ConfigTable, config_key, parse_object
from bendlead_node._common.telemetry import Journal
from bendlead_node._common.web import CallError
from bendlead_node._entry.dispatch import OnlineRequest
from bendlead_node._entry.relay import Relay
from bendlead_node._entry.trials import KIND, RequestTrials

#: Ends under a request from which on all entries are to know it.
_ENDS_UNTIL_KEPT = 2
#: Pauses before a record is written and written again (s); others may write it
#: at the same moment.
_RETRY_PAUSES = (0, 0.2, 0.5, 1.0, 2.0, 5.0)
#: How long news of an engine's end are awaited, and how often looked for (s).
_NEWS_SECONDS = 0.15
_LOOK_SECONDS = 0.01
_MS = 1000


class SuspectTable:
    """Hold ends of engines against requests, as the entries know them.

    Endpoint processes tell of the ends of their engines. Records are objects
    of the configuration, so that every entry gets them, also one that starts
    later, and an operator can remove them.
    """

    def __init__(
        self,
        store: ObjectStore,
        config: ConfigTable,
        relay: Relay,
        journal: Journal,
    ) -> None:
        self._store = store
        self._config = config
        self._relay = relay
        self._journal = journal
        self._history = CrashHistory()
        self._merged: dict[str, SuspectRecord] = {}
        self._trials = RequestTrials(
            store, config, relay, self._history, self._keep_soon
        )

    def digest(self, request: OnlineRequest) -> RequestDigest:
        """Name a request, whichever attempt of its caller it is."""
        return digest_request(
            request.team,  # type: ignore[arg-type]
            request.method,
            request.service,
            request.path,
            request.body,
        )

    def check(self, request: OnlineRequest) -> None:
        """Refuse a request that must reach no engine now."""
        self._merge()
        if request.trial:
            return
        pause = self._trials.remaining_pause(self.digest(request))
        if pause:
            raise self._refusal(request, pause)

    def begin(self, request: OnlineRequest, endpoint: str) -> None:
        """Make a quarantined request a trial, or refuse it."""
        if request.trial:
            return
        digest = self.digest(request)
        request.trial, pause = self._trials.begin(digest, endpoint)
        if pause:
            raise self._refusal(request, pause)
        if request.trial:
            self._journal.decide(
                'request-tried',
                request=request.request,
                digest=digest,
                endpoint=endpoint,
            )

    def await_news(self, request: OnlineRequest) -> None:
        """Wait for news of an engine, where the next end is the last one.

        A stream that breaks off goes on elsewhere within a millisecond, and
        the news of the end take some 0.04 s. Others don't wait.
        """
        until = clock.uptime() + _NEWS_SECONDS
        digest = self.digest(request)
        while self._history.crash_count(digest) == CRASHES_UNTIL_QUARANTINE - 1:
            if clock.uptime() > until:
                return
            gevent.sleep(_LOOK_SECONDS)

    def hear(self, heartbeat: EndpointHeartbeat) -> None:
        """Take the ends of engines that an endpoint process tells of."""
        for end in heartbeat.ends:
            digest = RequestDigest(end.digest)
            if self._history.add_crash(digest, end.life, end.at_ms / _MS):
                self._trials.record_crash(end.life, end.at_ms)
                self._note(digest, heartbeat.endpoint)

    def answered(self, request: OnlineRequest) -> None:
        """Clear a request that an engine has answered whole."""
        if not self._history.any_suspects:
            return
        digest = self.digest(request)
        if self._history.clear(digest, time.time()):
            self._journal.event('suspect-cleared', digest=digest)
            if digest in self._config.suspects():
                self._keep_soon(digest)

    def _refusal(self, request: OnlineRequest, pause: float) -> CallError:
        outcome = ErrorOutcome.not_run
        if request.may_have_run:
            outcome = ErrorOutcome.unknown
        self._journal.decide(
            'request-quarantined',
            request=request.request,
            digest=self.digest(request),
            seconds=math.ceil(pause),
        )
        return CallError(
            HTTPStatus.SERVICE_UNAVAILABLE,
            'request_quarantined',
            'engines ended while they ran this request; change it, send it '
            'again later, or ask the operator to release it',
            outcome,
            retry_after=math.ceil(pause),
        )

    def _note(self, digest: RequestDigest, endpoint: str) -> None:
        ends = self._history.crash_count(digest)
        self._journal.decide(
            'request-suspected', digest=digest, endpoint=endpoint, ends=ends
        )
        if ends >= _ENDS_UNTIL_KEPT:
            self._keep_soon(digest)

    def _merge(self) -> None:
        """Take what the configuration holds now; what is gone is released."""
        now = time.time()
        held = self._config.suspects()
        for digest in self._merged.keys() - held.keys():
            self._merged.pop(digest)
            self._history.clear(RequestDigest(digest), now)
        for digest, record in held.items():
            if self._merged.get(digest) is not record:
                self._merged[digest] = record
                self._history.merge(record, now)

    def _keep_soon(self, digest: RequestDigest) -> None:
        gevent.spawn(self._keep, digest)

    def _keep(self, digest: RequestDigest) -> None:
        """Write a record until the object service holds what is known here."""
        failure: Failure | None = None
        for pause in _RETRY_PAUSES:
            gevent.sleep(pause)
            kept = self._try_to_keep(digest)
            if isinstance(kept, Ok):
                return
            failure = kept.err_value
        self._journal.event('suspect-not-kept', digest=digest, reason=failure)

    def _try_to_keep(self, digest: RequestDigest) -> Result[None, Failure]:
        key = config_key(KIND, digest)
        found = self._store.fetch(key)
        if isinstance(found, Err):
            return found
        entry = found.ok_value
        self._merge()
        if entry is None and digest in self._merged:
            # The operator has released it, and the news are on their way.
            return Ok(None)
        if entry is not None:
            stored = parse_object(KIND, entry.body)
            self._history.merge(stored, time.time())
            if stored == self._history.record(digest):
                return Ok(None)
        body = msgspec.json.encode(self._history.record(digest))
        version = entry.version if entry else ABSENT
        written = self._store.put(key, body, version)
        if isinstance(written, Ok):
            self._learn(key, written.ok_value, body)
        return written

    def _learn(self, key: str, version: Version, body: bytes) -> None:
        change = VersionedKey(key=key, version=version, body=body.decode())
        self._relay.learn([change])
