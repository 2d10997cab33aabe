"""Who is held until a place comes free, in which order, and for how long.

Load pattern: bursts with more requests than places, shorter than callers'
deadlines. A caller that was refused and came back into the same burst would be
refused once more and be lost, although places come free all the time. It is
held while it is likely to get one of these, and refused as soon as it is not.

Callers who have not been refused yet are not held: an answer after a new
attempt may still be in time, one after a long wait is late.
"""

import math
from collections.abc import Callable, Iterable, Sequence

from msgspec import Struct

from bendlead_gateway._scheduling.admission import AdmissionRequest
from bendlead_gateway._scheduling.turns import FREE, Turn
from bendlead_gateway.types import TeamName

#: A caller has come back if it has less than this part of the time that callers
#: of its route have; a first attempt loses next to nothing of it on the way.
_RETURNED_SHARE = 0.97
#: Readers of a stream give up after so long (s) without an event.
_STREAM_SILENCE = 2.0
#: Where the time left is less than this many aims, nobody is held: the answer
#: would hardly be later than that of a refused caller who returns.
_LEAST_AIMS = 3
#: Of a team that is admitted up to less than this part of the wait nobody is
#: held: those of others who come later would go before it.
_LEAST_TURN = 0.8
#: Requests of one team, of all, and bytes of their bodies that an entry holds.
#: Each holds a connection; past that, refusing early costs callers less.
_MOST_OF_TEAM = 8
_MOST_HELD = 64
_MOST_BYTES = 4_194_304
#: It is likely to be served if it is expected to be within this part of the
#: time it has: places come free at random.
_LIKELY_PART = 0.6
#: How fast places come free is learnt over about this long (s).
_LEARN_SECONDS = 1.0
#: Before anything is learnt, this part of the places that come free here is
#: taken to go to those that are held; it counts like so many places.
_FIRST_PART = 0.5
_FIRST_WEIGHT = 4.0
#: Places that came free while nobody was there to take them count up to here:
#: each entry gives on only what it has seen come free, or all of them would
#: send what they hold to the same places.
_MOST_CREDIT = 2.0


class QueuedRequest(Struct, eq=False):
    """Keep what decides on one request that is held; moments in seconds.

    ``until`` is the last moment to send it to an engine; ``priority`` is that
    of its team and then that of its route.
    """

    team: TeamName
    came: float
    until: float
    target: float
    priority: tuple[int, int] = (0, 0)
    turn: Turn = FREE
    size: int = 0

    @property
    def longest_wait(self) -> float:
        """Give the seconds that it may wait at an engine for a place."""
        return AdmissionRequest(self.target, None, self.turn).longest_wait


class Patience(Struct):
    """Learn how long (s) callers of a route have at first."""

    longest: float = 0

    def came_back(self, patience: float | None, timeout: float) -> bool:
        """Tell by its patience (s) whether a caller was refused before."""
        if patience is None:
            return False
        self.longest = max(self.longest, min(patience, timeout))
        return patience < self.longest * _RETURNED_SHARE


def last_moment(
    received: float, deadline: float, target: float, stream: bool
) -> float:
    """Give the last moment at which a request is worth sending."""
    if stream:
        deadline = min(deadline, received + _STREAM_SILENCE)
    return deadline - target


def should_queue(left: float, target: float) -> bool:
    """Tell whether a caller's time (s) is far longer than the aim."""
    return left >= target * _LEAST_AIMS


def rank(held: Iterable[QueuedRequest]) -> Sequence[QueuedRequest]:
    """Put requests in order: by turn, by priority, by the time they have."""
    return sorted(held, key=_order)


class _Decaying(Struct):
    """Sum up events, each with less weight the longer ago it was."""

    total: float = 0
    at: float = 0

    def add(self, now: float, events: float) -> None:
        """Count events now."""
        self.total = self.now_worth(now) + events
        self.at = now

    def now_worth(self, now: float) -> float:
        """Give what the events count now."""
        return self.total * math.exp((self.at - now) / _LEARN_SECONDS)


class WaitingRules:
    """Decide who is held at one entry, who goes next and who must give up."""

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._held: dict[QueuedRequest, None] = {}
        self._bytes = 0
        self._credit = 0.0
        self._freed = _Decaying()
        #: While somebody was held: places that came free, and those given.
        self._offered = _Decaying()
        self._given = _Decaying()

    @property
    def held(self) -> Sequence[QueuedRequest]:
        """List those that are held, in order."""
        return rank(self._held)

    @property
    def rate(self) -> float:
        """Give the places a second that come free here for those held."""
        now = self._now()
        given = self._given.now_worth(now) + _FIRST_PART * _FIRST_WEIGHT
        offered = self._offered.now_worth(now) + _FIRST_WEIGHT
        part = min(1, given / offered)
        return self._freed.now_worth(now) / _LEARN_SECONDS * part

    def first_before(self, turn: Turn) -> bool:
        """Tell whether somebody held goes before a new request."""
        return any(one.turn.part >= turn.part for one in self._held)

    def reason_against(self, asked: QueuedRequest) -> str | None:
        """Say why a request is not held, or nothing if it may be."""
        if asked.turn.part < _LEAST_TURN:
            return 'its team is over its share'
        of_team = sum(one.team == asked.team for one in self._held)
        if of_team >= _MOST_OF_TEAM:
            return f'{of_team} of the team wait'
        if len(self._held) >= _MOST_HELD:
            return f'{len(self._held)} wait'
        if self._bytes + asked.size > _MOST_BYTES:
            return f'{self._bytes} bytes wait'
        before = sum(_order(one) <= _order(asked) for one in self._held)
        if not self._likely(asked, before):
            return f'{before} wait before it, {self.rate:.1f} places a second'
        return None

    def enter(self, held: QueuedRequest) -> None:
        """Hold a request."""
        self._held[held] = None
        self._bytes += held.size

    def leave(self, held: QueuedRequest) -> None:
        """Free the room of a request, whatever became of it."""
        if held in self._held:
            self._held.pop(held)
            self._bytes -= held.size

    def finished(self) -> None:
        """Learn that a request of this entry has ended: its place is free."""
        now = self._now()
        self._freed.add(now, 1)
        self._credit = min(_MOST_CREDIT, self._credit + 1)
        if self._held:
            self._offered.add(now, 1)

    def release(self, wait: float) -> QueuedRequest | None:
        """Let the first go on that may meet a wait (s) at the engines."""
        if self._credit < 1:
            return None
        for held in self.held:
            if wait <= held.longest_wait:
                self.leave(held)
                self._credit -= 1
                self._given.add(self._now(), 1)
                return held
        return None

    def hopeless(self) -> Sequence[QueuedRequest]:
        """List those that are not likely to be served any more."""
        now = self._now()
        found: list[QueuedRequest] = []
        before = 0
        for held in self.held:
            # The first is kept to its deadline; those after it are given up
            # once the rate does not reach them in time.
            left = held.until - now
            if left <= 0 or (before + 1) / max(self.rate, 1 / left) > left:
                found.append(held)
            else:
                before += 1
        return found

    def _likely(self, asked: QueuedRequest, before: int) -> bool:
        left = (asked.until - self._now()) * _LIKELY_PART
        return left > 0 and before + 1 <= self.rate * left


def _order(held: QueuedRequest) -> tuple[float, tuple[int, int], float]:
    return -held.turn.part, held.priority, held.until
