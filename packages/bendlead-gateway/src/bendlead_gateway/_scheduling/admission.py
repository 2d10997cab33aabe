"""Which request is refused at once, and when its client should come back.

Load pattern: square bursts with more requests than all places can serve for
some seconds. A queue of them would make everybody's answers late and serve no
more requests; a client that is told early still has time to come back.
"""

from msgspec import Struct

from bendlead_gateway._scheduling.turns import FREE, Turn
from bendlead_gateway._scheduling.view import Chance

#: Part of the aim that waiting for a place may take; the rest is for reading
#: the prompt, the first step and the way there and back.
_WAIT_SHARE = 0.8
#: The same while requests that were refused before are queued: those can't be
#: refused again in time, a new one can.
_BEHIND_SHARE = 0.3
#: Refused clients come back after the wait they were spared and a random time
#: up to this share of the time they have left, so that they do not come back
#: together, nor into the same burst. Their answers are late in any case; what
#: counts is that a place is free. Clients heed no longer time.
_RETURN_SHARE = 1 / 3
#: A client that does not say how long it waits is told a time up to this (s).
_SPREAD_SECONDS = 0.8
_LEAST_RETRY = 0.2


class Refusal(Struct, frozen=True):
    """Tell why a request is refused and when to come back (s)."""

    reason: str
    retry_after: float


class AdmissionRequest(Struct, frozen=True):
    """Say what a client asked for: in seconds, its aim and its patience.

    ``turn`` says how its team stands to its share, and ``behind`` that others
    who came back are held and go before it.
    """

    target: float
    patience: float | None = None
    turn: Turn = FREE
    behind: bool = False

    @property
    def longest_wait(self) -> float:
        """Give the seconds that it may wait for a place and be in time.

        A team over its share waits less: while others wait, they go first.
        """
        share = _BEHIND_SHARE if self.behind else _WAIT_SHARE
        return self.target * share * self.turn.part


def judge(
    asked: AdmissionRequest, wait: float, chance: Chance
) -> Refusal | None:
    """Refuse a request whose wait (s) is too long, with a time to come back.

    Nothing is given where it may go on.
    """
    if wait <= asked.longest_wait:
        return None
    waits = asked.turn.over or asked.behind
    whose = 'others go first' if waits else 'all places taken'
    return Refusal(
        f'{whose}, {wait:.3f} s to wait',
        _return_time(asked, wait, chance),
    )


def _return_time(asked: AdmissionRequest, wait: float, chance: Chance) -> float:
    """Draw when a refused client should come back (s)."""
    first = max(_LEAST_RETRY, wait)
    last = first + _SPREAD_SECONDS
    if asked.patience is not None:
        last = asked.patience * _RETURN_SHARE
    return first + chance() * max(0, last - first)
