"""Watch of one prefix of the object service."""

import random
from collections.abc import Sequence
from typing import Protocol

import gevent
from bendlead_store import (
    Change,
    ChangeBatch,
    Entry,
    Failure,
    FailureKind,
    FollowedStore,
    Version,
    clock,
)
from bendlead_store.tasks import for_each
from gevent.lock import Semaphore
from result import Err, Result

from bendlead_gateway._log import Log

#: How long one call waits for changes; the platform's store allows 30. Each
#: call is billed.
_CALL_SECONDS = 29.0
#: After a longer outage, entries of live engines may have expired. After a
#: shorter one, entries that are missing were removed.
_OUTAGE_SECONDS = 1.0
_FIRST_PAUSE_SECONDS = 0.05
_MAX_PAUSE_SECONDS = 0.4
#: If a peer has seen a change for this long and this process has not, the
#: connection of the waiting call is dead.
_MAX_LAG_SECONDS = 0.6
#: Minimum time between two restarts after failures that peers report: each
#: process may have outages of its own.
_MIN_RESTART_INTERVAL_SECONDS = 3.0


class Follower(Protocol):
    """Receiver of the content of a prefix and its changes."""

    def reset(self, entries: Sequence[Entry], after_outage: bool) -> None:
        """Apply the complete content of the prefix."""

    def change(self, change: Change) -> None:
        """Apply one change."""


class Watcher:
    """Keep a follower up to date with a prefix."""

    def __init__(
        self,
        store: FollowedStore,
        prefix: str,
        follower: Follower,
        log: Log,
        probing: Semaphore,
        gather: float,
    ) -> None:
        """Watch a prefix.

        After changes the next call waits for gather seconds, so that a series
        of changes takes few calls.
        """
        self._store = store
        self._probing = probing
        self._gather = gather
        self.prefix = prefix
        self._follower = follower
        self._log = log
        self._as_of = Version(0)
        self._latest_revision = 0
        self._peer_revision = 0
        self._peer_revision_at = 0.0
        self._call: gevent.Greenlet | None = None
        self._called_at = 0.0
        self._restarted_at = 0.0
        self._current = False
        #: Whether the follower lacks changes, since it raised an error.
        self._must_list = False
        self._pause = _FIRST_PAUSE_SECONDS
        self._lost_at = 0.0

    @property
    def current(self) -> bool:
        """Return whether the follower has the content of the prefix."""
        return self._current

    @property
    def is_waiting(self) -> bool:
        """Return whether a call is waiting for changes."""
        return self._call is not None

    @property
    def latest_revision(self) -> int:
        """Return the latest revision seen below the prefix."""
        return self._latest_revision

    def on_peer_revision(self, revision: int) -> None:
        """Restart the call if it is behind a revision that a peer has seen."""
        now = clock.uptime()
        if revision <= self._as_of or revision < self._peer_revision:
            return
        if revision > self._peer_revision:
            self._peer_revision = revision
            self._peer_revision_at = now
        if (
            now - self._peer_revision_at > _MAX_LAG_SECONDS
            and self._call is not None
        ):
            self._restart_call('watch-behind', seen_by_peer=revision)

    def restart_if_older(self, failed_at: float) -> None:
        """Restart the call if it began before a failure that is over.

        Its connection may be dead although it is still open.
        """
        now = clock.uptime()
        allowed = now - self._restarted_at > _MIN_RESTART_INTERVAL_SECONDS
        if allowed and self._call is not None and self._called_at < failed_at:
            self._restarted_at = now
            self._restart_call('watch-doubted', held=now - self._called_at)

    def run(self) -> None:
        """List and follow the prefix forever."""
        while True:
            if self._current and not self._must_list:
                self._follow()
            elif self._lost_at:
                # During an outage only one watcher of a process retries at a
                # time, since failed calls are charged for as well.
                with self._probing:
                    self._list()
            else:
                self._list()

    def _list(self) -> None:
        listed = self._store.list_entries(self.prefix)
        if isinstance(listed, Err):
            self._fail(listed.err_value)
            return
        listing = listed.ok_value
        outage = clock.uptime() - self._lost_at if self._lost_at else 0
        self._follower.reset(listing.entries, outage > _OUTAGE_SECONDS)
        self._as_of = listing.as_of
        self._update_revision([int(entry.version) for entry in listing.entries])
        self._on_listed(len(listing.entries), outage)

    def _on_listed(self, count: int, outage: float) -> None:
        self._log.event(
            'watch-regained',
            prefix=self.prefix,
            entries=count,
            as_of=self._as_of,
            away=round(outage, 3),
        )
        self._current = True
        self._must_list = False
        self._lost_at = 0
        self._pause = _FIRST_PAUSE_SECONDS

    def _follow(self) -> None:
        self._called_at = clock.uptime()
        # Listed anew unless all of the changes are applied.
        self._must_list = True
        self._call = gevent.spawn(self._call_store)
        followed = self._call.get()
        self._call = None
        if isinstance(followed, Exception):
            raise followed
        if isinstance(followed, gevent.GreenletExit):
            self._current = False
            return
        if isinstance(followed, Err):
            self._fail(followed.err_value)
            return
        changes = followed.ok_value.changes
        for_each(self._follower.change, changes)
        self._must_list = False
        self._update_revision([int(change.version) for change in changes])
        self._as_of = max(self._as_of, followed.ok_value.as_of)
        if changes:
            gevent.sleep(self._gather)

    def _call_store(self) -> Result[ChangeBatch, Failure] | Exception:
        """Wait for changes; an unforeseen exception is returned."""
        try:
            return self._store.follow(self.prefix, self._as_of, _CALL_SECONDS)
        except Exception as error:
            # Raised where the result is awaited, and reported once.
            return error

    def _restart_call(self, event: str, **fields: float) -> None:
        self._log.event(event, prefix=self.prefix, as_of=self._as_of, **fields)
        if self._call is not None:
            self._call.kill(block=False)
            self._call = None

    def _update_revision(self, revisions: Sequence[int]) -> None:
        self._latest_revision = max([self._latest_revision, *revisions])

    def _fail(self, failure: Failure) -> None:
        self._current = False
        if failure.kind is FailureKind.HISTORY_GONE:
            self._log.event('watch-history-gone', prefix=self.prefix)
            return
        if not self._lost_at:
            self._lost_at = clock.uptime()
            self._log.event('watch-lost', prefix=self.prefix, reason=failure)
        pause = self._pause * (0.5 + random.random())
        gevent.sleep(max(failure.retry_after, pause))
        self._pause = min(_MAX_PAUSE_SECONDS, self._pause * 2)
