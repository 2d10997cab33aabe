"""Queue of retried requests that wait at an entry for a free slot.

A request that was refused and retried within the same burst is queued while it
is likely to get a slot before its deadline, and refused as soon as it is not.
First attempts are not queued: a retry may still meet the latency target, while
an answer after a long wait can't.
"""

import math
from collections.abc import Callable, Iterable, Sequence

from msgspec import Struct

from bendlead_gateway._scheduling.admission import AdmissionRequest
from bendlead_gateway._scheduling.team_shares import UNCONTESTED, ShareUse
from bendlead_gateway.types import TeamName

#: A request is a retry if its timeout is below this share of the longest one of
#: its route.
_RETRY_TIMEOUT_SHARE = 0.97
#: Time without an event after which readers of a stream give up.
_STREAM_TIMEOUT_SECONDS = 2.0
#: Requests with less time left than this many latency targets are not queued:
#: a retry after a refusal would be answered about as early.
_MIN_TARGETS_LEFT = 3
#: Requests of teams with a lower wait factor are not queued, since later
#: requests of other teams would overtake them.
_MIN_WAIT_FACTOR = 0.8
#: Limits of the queue of an entry, as each request holds a connection.
_MAX_QUEUED_PER_TEAM = 8
_MAX_QUEUED = 64
_MAX_QUEUED_BYTES = 4_194_304
#: Share of the time left within which a slot is expected; slots free up at
#: random times.
_EXPECTED_WAIT_SHARE = 0.6
#: Time constant of the rate at which slots free up.
_RATE_SECONDS = 1.0
#: Prior of the share of freed slots that queued requests get, and its weight in
#: slots.
_PRIOR_SHARE = 0.5
_PRIOR_WEIGHT = 4.0
#: Freed slots that may accumulate unused. Each entry releases requests only for
#: slots it has freed itself, so that entries do not compete for the same ones.
_MAX_CREDIT = 2.0


class QueuedRequest(Struct, eq=False):
    """Request that waits for a slot; times in seconds.

    ``send_by`` is the latest time to send it to an engine; ``priority`` is that
    of its team, then that of its route.
    """

    team: TeamName
    queued_at: float
    send_by: float
    target: float
    priority: tuple[int, int] = (0, 0)
    share_use: ShareUse = UNCONTESTED
    size: int = 0

    @property
    def longest_wait(self) -> float:
        """Return the longest admissible wait at an engine, in seconds."""
        return AdmissionRequest(self.target, None, self.share_use).longest_wait


class RetryDetector(Struct):
    """Longest client timeout seen on a route, in seconds."""

    longest: float = 0

    def is_retry(self, left: float | None, timeout: float) -> bool:
        """Return whether the remaining timeout shows a retried request."""
        if left is None:
            return False
        self.longest = max(self.longest, min(left, timeout))
        return left < self.longest * _RETRY_TIMEOUT_SHARE


def latest_send_time(
    received: float, deadline: float, target: float, stream: bool
) -> float:
    """Return the latest time to send a request to an engine."""
    if stream:
        deadline = min(deadline, received + _STREAM_TIMEOUT_SECONDS)
    return deadline - target


def should_queue(left: float, target: float) -> bool:
    """Return whether the seconds left are enough to queue a request."""
    return left >= target * _MIN_TARGETS_LEFT


def rank(queued: Iterable[QueuedRequest]) -> Sequence[QueuedRequest]:
    """Sort requests by wait factor, priority and time left."""
    return sorted(queued, key=_sort_key)


class _DecayingCount(Struct):
    """Exponentially decaying count of events."""

    total: float = 0
    at: float = 0

    def add(self, now: float, events: float) -> None:
        """Add events to the count."""
        self.total = self.current(now) + events
        self.at = now

    def current(self, now: float) -> float:
        """Return the decayed count."""
        return self.total * math.exp((self.at - now) / _RATE_SECONDS)


class QueuePolicy:
    """Queue of an entry: admission, order, release and expiry."""

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._queued: dict[QueuedRequest, None] = {}
        self._bytes = 0
        self._credit = 0.0
        self._freed = _DecayingCount()
        #: Slots freed and slots given to requests while the queue was used.
        self._offered = _DecayingCount()
        self._given = _DecayingCount()

    @property
    def queued(self) -> Sequence[QueuedRequest]:
        """Return the queued requests in order."""
        return rank(self._queued)

    @property
    def rate(self) -> float:
        """Return the slots per second that free up for queued requests."""
        now = self._now()
        given = self._given.current(now) + _PRIOR_SHARE * _PRIOR_WEIGHT
        offered = self._offered.current(now) + _PRIOR_WEIGHT
        share = min(1, given / offered)
        return self._freed.current(now) / _RATE_SECONDS * share

    def is_ahead_of(self, share_use: ShareUse) -> bool:
        """Return whether queued requests precede a new one."""
        return any(
            queued.share_use.wait_factor >= share_use.wait_factor
            for queued in self._queued
        )

    def rejection_reason(self, request: QueuedRequest) -> str | None:
        """Return why a request can't be queued, ``None`` if it can."""
        if request.share_use.wait_factor < _MIN_WAIT_FACTOR:
            return 'its team is over its share'
        of_team = sum(queued.team == request.team for queued in self._queued)
        if of_team >= _MAX_QUEUED_PER_TEAM:
            return f'{of_team} requests of the team are queued'
        if len(self._queued) >= _MAX_QUEUED:
            return f'{len(self._queued)} requests are queued'
        if self._bytes + request.size > _MAX_QUEUED_BYTES:
            return f'{self._bytes} bytes of request bodies are queued'
        ahead = sum(
            _sort_key(queued) <= _sort_key(request) for queued in self._queued
        )
        if not self._is_likely(request, ahead):
            return (
                f'{ahead} requests ahead, {self.rate:.1f} slots freed a second'
            )
        return None

    def add(self, queued: QueuedRequest) -> None:
        """Add a request to the queue."""
        self._queued[queued] = None
        self._bytes += queued.size

    def remove(self, queued: QueuedRequest) -> None:
        """Remove a request from the queue, if it is still there."""
        if queued in self._queued:
            self._queued.pop(queued)
            self._bytes -= queued.size

    def record_finished(self) -> None:
        """Record that a request of this entry has ended and freed its slot."""
        now = self._now()
        self._freed.add(now, 1)
        self._credit = min(_MAX_CREDIT, self._credit + 1)
        if self._queued:
            self._offered.add(now, 1)

    def release(self, wait: float) -> QueuedRequest | None:
        """Remove and return the first request that may wait so many seconds."""
        if self._credit < 1:
            return None
        for queued in self.queued:
            if wait <= queued.longest_wait:
                self.remove(queued)
                self._credit -= 1
                self._given.add(self._now(), 1)
                return queued
        return None

    def expired(self) -> Sequence[QueuedRequest]:
        """Return the queued requests unlikely to get a slot in time."""
        now = self._now()
        expired: list[QueuedRequest] = []
        ahead = 0
        for queued in self.queued:
            # The first stays until its deadline; later ones are given up once
            # the rate of freed slots is too low for them.
            left = queued.send_by - now
            if left <= 0 or (ahead + 1) / max(self.rate, 1 / left) > left:
                expired.append(queued)
            else:
                ahead += 1
        return expired

    def _is_likely(self, request: QueuedRequest, ahead: int) -> bool:
        left = (request.send_by - self._now()) * _EXPECTED_WAIT_SHARE
        return left > 0 and ahead + 1 <= self.rate * left


def _sort_key(queued: QueuedRequest) -> tuple[float, tuple[int, int], float]:
    return -queued.share_use.wait_factor, queued.priority, queued.send_by
