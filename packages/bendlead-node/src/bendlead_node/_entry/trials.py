"""Trials of quarantined requests, one at a time over all entries."""

import time
from collections.abc import Callable

import msgspec
from bendlead_gateway.suspects import CrashHistory, RequestDigest
from bendlead_schema.gateway import SuspectRecord
from bendlead_schema.messages import VersionedKey
from bendlead_store import ABSENT, Entry, FailureKind, ValueStore, clock
from msgspec.structs import replace
from result import Err, Ok

from bendlead_node._common.config import (
    ConfigTable,
    config_key,
    parse_object,
)
from bendlead_node._entry.relay import Relay
from bendlead_node._entry.trial_schedule import remaining_pause

KIND = 'suspect'
#: Time without crashes of any engine before a trial (s).
_CALM_SECONDS = 2.0
#: Pause while another request or entry claims a trial (s).
_CLAIM_SECONDS = 1.0
#: While the object service is away, each entry begins its trials this much
#: later than the entry before it in rank, which may do so too (s).
_TURN_SECONDS = 1.0
_MOST_CRASHES = 128
_MS = 1000


class RequestTrials:
    """Begin trials, each claimed in the object service before it is sent.

    A claim is a change of the request's record, so that what an entry tries
    counts although it ends, and no two entries claim the same trial.
    """

    def __init__(
        self,
        store: ValueStore,
        config: ConfigTable,
        relay: Relay,
        history: CrashHistory,
        keep: Callable[[RequestDigest], None],
    ) -> None:
        """Prepare trials; ``keep`` has a record written in the background."""
        self._store = store
        self._config = config
        self._relay = relay
        self._history = history
        self._keep = keep
        self._claiming: set[RequestDigest] = set()
        #: When the latest crash of any engine was heard of (uptime, s).
        self._heard_at = float('-inf')
        #: Unix milliseconds of the latest crashes, by the engine's life.
        self._crashes: dict[str, int] = {}

    def record_crash(self, life: str, at_ms: int) -> None:
        """Note that some engine has crashed."""
        self._heard_at = clock.uptime()
        self._crashes[life] = at_ms
        if len(self._crashes) > _MOST_CRASHES:
            self._crashes.pop(next(iter(self._crashes)))

    def remaining_pause(self, digest: RequestDigest) -> float:
        """Return the seconds until a trial may begin, 0 if it may now."""
        if not self._is_quarantined(digest):
            return 0
        if digest in self._claiming:
            return _CLAIM_SECONDS
        return self._pause_at(digest, time.time())

    def begin(self, digest: RequestDigest, endpoint: str) -> tuple[str, float]:
        """Claim a trial; return its name, or the seconds to wait for one."""
        pause = self.remaining_pause(digest)
        if pause or not self._is_quarantined(digest):
            return '', pause
        self._claiming.add(digest)
        try:
            return self._claim(digest, endpoint)
        finally:
            self._claiming.discard(digest)

    def _is_quarantined(self, digest: RequestDigest) -> bool:
        return self._history.remaining_quarantine(digest, time.time()) > 0

    def _pause_at(self, digest: RequestDigest, now: float) -> float:
        calm = self._heard_at + _CALM_SECONDS - clock.uptime()
        record = self._history.record(digest)
        return remaining_pause(record, self._crashes, now, max(0, calm))

    def _claim(self, digest: RequestDigest, endpoint: str) -> tuple[str, float]:
        found = self._store.fetch(config_key(KIND, digest))
        if isinstance(found, Err):
            return self._begin_unclaimed(digest, endpoint)
        entry = found.ok_value
        if entry is None and digest in self._config.suspects():
            # The operator has released it, and the news are on their way.
            return '', _CLAIM_SECONDS
        if entry is not None:
            stored = parse_object(KIND, entry.body)
            self._history.merge(stored, time.time())
        if not self._is_quarantined(digest):
            return '', 0
        # Another entry may have claimed the trial meanwhile.
        pause = self._pause_at(digest, time.time())
        return ('', pause) if pause else self._write(digest, endpoint, entry)

    def _write(
        self, digest: RequestDigest, endpoint: str, entry: Entry | None
    ) -> tuple[str, float]:
        key = config_key(KIND, digest)
        known = self._history.record(digest)
        trial = _new_trial(known)
        claimed = replace(known, trials=known.trials | {trial: endpoint})
        body = msgspec.json.encode(claimed)
        written = self._store.put(key, body, entry.version if entry else ABSENT)
        if isinstance(written, Ok):
            self._history.merge(claimed, time.time())
            change = VersionedKey(
                key=key, version=written.ok_value, body=body.decode()
            )
            self._relay.learn([change])
            return trial, 0
        if written.err_value.kind is FailureKind.CONFLICT:
            return '', _CLAIM_SECONDS
        return self._begin_unclaimed(digest, endpoint)

    def _begin_unclaimed(
        self, digest: RequestDigest, endpoint: str
    ) -> tuple[str, float]:
        """Begin a trial that the object service can't hold."""
        turn = time.time() - self._relay.rank * _TURN_SECONDS
        if self._pause_at(digest, turn):
            return '', _CLAIM_SECONDS
        trial = _new_trial(self._history.record(digest))
        claimed = SuspectRecord(digest=digest, trials={trial: endpoint})
        self._history.merge(claimed, time.time())
        self._keep(digest)
        return trial, 0


def _new_trial(record: SuspectRecord) -> str:
    """Name a trial by the time at which it begins."""
    began = round(time.time() * _MS)
    while str(began) in record.trials:
        began += 1
    return str(began)
