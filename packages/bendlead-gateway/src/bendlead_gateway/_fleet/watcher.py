"""Follow one prefix of the object service for as long as the process runs."""

import random
from collections.abc import Sequence
from typing import Protocol

import gevent
from bendlead_store import (
    Change,
    Entry,
    Failure,
    FailureKind,
    FollowedStore,
    Version,
    clock,
)
from gevent.lock import Semaphore
from result import Err

from bendlead_gateway._log import Log

#: How long one call may wait for a change (s); the platform's store allows 30.
#: Each call is paid for, and a connection that died silently is noticed by its
#: keep-alive probes.
_HELD_SECONDS = 29.0
#: Away for longer than this (s), the service may have let entries of live
#: engines lapse. A watch that was merely cut is listed again within it, and
#: what is missing then has left.
_OUTAGE_SECONDS = 1.0
_FIRST_PAUSE = 0.05
_LAST_PAUSE = 0.4
#: A change that a peer has seen and this process has not, for this long (s),
#: will not come by the call that is held: its connection is open and says
#: nothing more. News takes some ms, and is gathered for 0.15 s.
_BEHIND_SECONDS = 0.6
#: A watch is listed again after an outage that others noticed once in this
#: time (s): each process that is turned away alone has an outage of its own.
_DOUBT_SECONDS = 3.0


class Follower(Protocol):
    """Take what a prefix holds, whole and then by changes."""

    def reset(self, entries: Sequence[Entry], after_outage: bool) -> None:
        """Take the whole content of the prefix."""

    def change(self, change: Change) -> None:
        """Take one change."""


class Watcher:
    """Keep one follower up to date and tell how sure it may be."""

    def __init__(
        self,
        store: FollowedStore,
        prefix: str,
        follower: Follower,
        log: Log,
        probing: Semaphore,
        gather: float,
    ) -> None:
        """Follow a prefix; gather seconds pass from changes to the next call.

        Changes come in series, and each call that they answer is paid for.
        """
        self._store = store
        self._probing = probing
        self._gather = gather
        self.prefix = prefix
        self._follower = follower
        self._log = log
        self._as_of = Version(0)
        self._newest = 0
        self._told = 0
        self._told_at = 0.0
        self._call: gevent.Greenlet | None = None
        self._called_at = 0.0
        self._doubted_at = 0.0
        self._current = False
        self._pause = _FIRST_PAUSE
        self._lost_at = 0.0

    @property
    def current(self) -> bool:
        """Tell whether nothing has failed since the last answer."""
        return self._current

    @property
    def holding(self) -> bool:
        """Tell whether a call waits for changes now."""
        return self._call is not None

    @property
    def newest(self) -> int:
        """Give the newest revision of what was seen below the prefix."""
        return self._newest

    def notice(self, revision: int) -> None:
        """Take the newest revision that a peer has seen below the prefix."""
        now = clock.uptime()
        if revision <= self._as_of or revision < self._told:
            return
        if revision > self._told:
            self._told = revision
            self._told_at = now
        if now - self._told_at > _BEHIND_SECONDS and self._call is not None:
            self._drop_call('watch-behind', seen_by_peer=revision)

    def doubt(self, failed_at: float) -> None:
        """List again if the call is held since before an outage that is over.

        Its connection may be one that stays open and says nothing more.
        """
        now = clock.uptime()
        rested = now - self._doubted_at > _DOUBT_SECONDS
        if rested and self._call is not None and self._called_at < failed_at:
            self._doubted_at = now
            self._drop_call('watch-doubted', held=now - self._called_at)

    def run(self) -> None:
        """List, then follow, for ever."""
        while True:
            if self._current:
                self._follow()
            elif self._lost_at:
                # While the service is away one watcher of a process asks
                # for all of them: each call is paid for, refused ones too.
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
        away = clock.uptime() - self._lost_at if self._lost_at else 0
        self._follower.reset(listing.entries, away > _OUTAGE_SECONDS)
        self._as_of = listing.as_of
        self._see([int(entry.version) for entry in listing.entries])
        self._regain(len(listing.entries), away)

    def _regain(self, count: int, away: float) -> None:
        self._log.event(
            'watch-regained',
            prefix=self.prefix,
            entries=count,
            as_of=self._as_of,
            away=round(away, 3),
        )
        self._current = True
        self._lost_at = 0
        self._pause = _FIRST_PAUSE

    def _follow(self) -> None:
        self._called_at = clock.uptime()
        self._call = gevent.spawn(
            self._store.follow, self.prefix, self._as_of, _HELD_SECONDS
        )
        followed = self._call.get()
        self._call = None
        if isinstance(followed, gevent.GreenletExit):
            self._current = False
            return
        if isinstance(followed, Err):
            self._fail(followed.err_value)
            return
        changes = followed.ok_value.changes
        for change in changes:
            self._follower.change(change)
        self._see([int(change.version) for change in changes])
        self._as_of = max(self._as_of, followed.ok_value.as_of)
        if changes:
            gevent.sleep(self._gather)

    def _drop_call(self, event: str, **why: float) -> None:
        self._log.event(event, prefix=self.prefix, as_of=self._as_of, **why)
        if self._call is not None:
            self._call.kill(block=False)
            self._call = None

    def _see(self, revisions: Sequence[int]) -> None:
        self._newest = max([self._newest, *revisions])

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
        self._pause = min(_LAST_PAUSE, self._pause * 2)
