"""Decide what to do about a response whose engine sends nothing.

A sound engine may stand still for about a second and then go on where it was.
TCP does not tell it from an engine that is gone, nor from a connection that
delivers nothing any more. Giving an engine up costs the run so far, one of the
runs that the route allows and a slot elsewhere.
"""

import enum

from msgspec import Struct

#: A connection that is silent for so many gap targets while its engine sends on
#: others is dead, or its request hangs.
_LOST_GAP_TARGETS = 3.0
_MIN_LOST_SECONDS = 0.5
#: Longer than sound engines stand still, and shorter than the two seconds for
#: which clients wait for an event.
_STANDSTILL_SECONDS = 1.5


class Reaction(enum.Enum):
    """What to do about a silent engine."""

    WAIT = 'wait'
    #: Close the connection and continue at another engine.
    MOVE = 'move'
    #: Close the connection and continue at the same engine.
    RECONNECT = 'reconnect'


class Silence(Struct, frozen=True):
    """What is known of an engine that sends nothing for a response.

    ``seconds`` have passed since the last byte. The engine has been sending on
    other connections for ``active_seconds``, 0 if it is silent on all of them.
    ``run_left`` tells whether the route allows a run at another engine,
    ``slot_elsewhere`` whether one that may continue has a free slot.
    ``unreachable`` tells that the engine accepts no new connections, which one
    that stands still does. ``others_silent`` is set if all other engines that
    run requests of this process are silent as well: the fault is more likely on
    this side then.
    """

    seconds: float
    active_seconds: float
    gap_target: float
    #: Latency target of the route, and time until the deadline, in seconds.
    target: float
    seconds_left: float
    run_left: bool
    slot_elsewhere: bool
    unreachable: bool = False
    others_silent: bool = False
    #: Whether the stream was reconnected after the event that it waits behind.
    reconnected: bool = False

    @property
    def reaction(self) -> Reaction:
        """Return what is best for the client."""
        if self.seconds_left <= self.target:
            return Reaction.WAIT
        if self._should_move:
            return Reaction.MOVE
        if self._should_reconnect:
            return Reaction.RECONNECT
        return Reaction.WAIT

    @property
    def longest_standstill(self) -> float:
        """Return how long (s) a sound engine may send nothing."""
        return max(_STANDSTILL_SECONDS, first_check(self.gap_target))

    @property
    def _should_move(self) -> bool:
        if not self.run_left:
            return False
        if self.unreachable and not self.others_silent:
            return True
        given_up = self._stood_still or self._connection_lost
        return given_up and self.slot_elsewhere

    @property
    def _should_reconnect(self) -> bool:
        if not self._stood_still or self.reconnected:
            return False
        if self.unreachable or self.others_silent:
            return False
        return self._connection_lost or not self.run_left

    @property
    def _stood_still(self) -> bool:
        return self.seconds >= self.longest_standstill

    @property
    def _connection_lost(self) -> bool:
        longest = first_check(self.gap_target)
        return min(self.seconds, self.active_seconds) >= longest


def first_check(gap_target: float) -> float:
    """Return the silence (s) from which the engine may be given up."""
    return max(_MIN_LOST_SECONDS, gap_target * _LOST_GAP_TARGETS)
