"""Registration of this process in the object service."""

import random

import gevent
from bendlead_store import ABSENT, Entry, FailureKind, FollowedStore
from bendlead_store.tasks import keep_running
from result import Err, Ok

from bendlead_gateway._log import Log
from bendlead_gateway.dialect import Dialect
from bendlead_gateway.types import PeerRecord

_FIRST_PAUSE_SECONDS = 0.2
#: Bound on how much later peers learn of this process after an outage.
_MAX_PAUSE_SECONDS = 0.8
#: Failures after which a write has certainly not taken effect.
_NOT_WRITTEN = frozenset((FailureKind.NOT_DONE, FailureKind.LIMITED))


class Registration:
    """Keep the record of this process in the object service."""

    def __init__(
        self,
        own: PeerRecord,
        store: FollowedStore,
        dialect: Dialect,
        log: Log,
    ) -> None:
        self._own = own
        self._store = store
        self._dialect = dialect
        self._log = log
        self.key = f'{dialect.peers_prefix}{own.node}'

    def check(self, present: Entry | None) -> None:
        """Start writing the record if it is missing or differs."""
        if present is None or self._differs(present):
            keep_running(
                'registration', self._log.task_failed, self._write, present
            )

    def _differs(self, entry: Entry) -> bool:
        decoded = self._dialect.peer(entry)
        return isinstance(decoded, Err) or decoded.ok_value != self._own

    def _write(self, present: Entry | None) -> None:
        body = self._dialect.encode_peer(self._own)
        pause = _FIRST_PAUSE_SECONDS
        while present is None or self._differs(present):
            version = present.version if present else ABSENT
            written = self._store.put(self.key, body, version)
            if isinstance(written, Ok):
                self._log.event('registered', address=self._own.address)
                return
            gevent.sleep(pause * (1 + random.random()))
            pause = min(_MAX_PAUSE_SECONDS, pause * 2)
            if written.err_value.kind not in _NOT_WRITTEN:
                fetched = self._store.fetch(self.key)
                present = fetched.unwrap_or(present)
