"""Loads of ``SilenceReplay``, and what it counts."""

import enum
from math import ceil, inf

from msgspec import Struct

_FAULT_AT = 1.5
#: Share of a silence after which the next engine falls silent.
_NEXT_SHARE = 0.75


class Fault(enum.Enum):
    """What falls silent."""

    NONE = 'nothing'
    ONE = 'one engine'
    HALF = 'half of the engines'
    ALL = 'all engines'
    ROTATING = 'one engine after the other'
    CONNECTIONS = 'connections of one engine'
    ALL_CONNECTIONS = 'all connections of one engine'
    LINK = 'link to one engine'
    GONE = 'one engine lost'
    HALF_GONE = 'half of the engines lost'
    HANGING = 'requests at one engine'
    ENTRY = 'one entry'


#: Faults of connections that are open; new ones work.
CONNECTIONS = frozenset((Fault.CONNECTIONS, Fault.ALL_CONNECTIONS))
#: Faults during which connects hang.
UNREACHABLE = frozenset((Fault.LINK, Fault.GONE, Fault.HALF_GONE))


class SilenceLoad(Struct, frozen=True, kw_only=True):
    """Engines, load and fault; times in seconds."""

    fault: Fault
    #: Length of the silence, infinite for good.
    seconds: float = inf
    engines: int = 3
    slots: int = 8
    #: Share of the slots that new streams take on average.
    share: float = 0.75
    max_attempts: int = 2
    entries: int = 3
    #: Age of the counts that entries have of each other, in steps.
    report_steps: int = 3
    #: Share of the requests that hang, or of the connections that fall silent.
    affected: float = 0.4

    def schedule(self) -> list[tuple[float, int]]:
        """Return when which engines, or entry, are met by the fault."""
        count = {
            Fault.NONE: 0,
            Fault.HALF: ceil(self.engines / 2),
            Fault.HALF_GONE: ceil(self.engines / 2),
            Fault.ALL: self.engines,
            Fault.ROTATING: self.engines,
        }.get(self.fault, 1)
        pause = (
            self.seconds * _NEXT_SHARE if self.fault is Fault.ROTATING else 0
        )
        return [(_FAULT_AT + number * pause, number) for number in range(count)]


class SilenceOutcome(Struct):
    """Counts of streams, moves and runs."""

    streams: int = 0
    #: Begun streams that their entry ended without their last event.
    cut: int = 0
    #: Begun streams that their client gave up.
    left: int = 0
    #: Streams that ended before their first event.
    unserved: int = 0
    late: int = 0
    #: Streams that the fault did not meet and that were late or unserved.
    others_late: int = 0
    #: Begun streams moved to another engine.
    moves: int = 0
    #: Moves off an engine that would have gone on before the client left.
    moves_in_vain: int = 0
    reconnects: int = 0
    #: Runs beyond the first of each stream.
    runs: int = 0

    @property
    def in_time(self) -> int:
        """Return the streams that were neither late nor ended early."""
        ended_early = self.cut + self.left + self.unserved
        return self.streams - ended_early - self.late
