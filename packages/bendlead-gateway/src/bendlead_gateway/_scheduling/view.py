"""State of an engine as used for placement."""

from collections.abc import Callable

from msgspec import Struct

from bendlead_gateway.types import Engine, EngineId

#: Returns a random number from 0 up to, but not including, 1.
RandomSource = Callable[[], float]


class EngineView(Struct, frozen=True):
    """Load, speed and health of an engine as known to this process.

    ``online`` counts requests and ``batch`` items, here and at all peers as
    last reported; ``non_preemptible`` counts the items that can't be preempted.
    ``event_gap`` is the time between two events in seconds, 0 if unknown.
    ``slowness`` is the run time relative to other engines of the service,
    ``stall`` a further factor at this moment. ``same_hall`` tells whether the
    engine is in the data hall of this process. ``paused`` engines get no
    requests, and ``doubted`` ones none that may be sent only once, unless
    there are no others.
    """

    engine: Engine
    online: int = 0
    batch: int = 0
    non_preemptible: int = 0
    event_gap: float = 0
    slowness: float = 1
    stall: float = 1
    same_hall: bool = True
    silent: bool = False
    warming: bool = False
    paused: bool = False
    doubted: bool = False

    @property
    def name(self) -> EngineId:
        """Return the id of the engine."""
        return self.engine.engine

    @property
    def slots(self) -> int:
        """Return the number of requests that the engine runs at once."""
        return self.engine.slots

    @property
    def free(self) -> int:
        """Return the number of free slots, negative while requests queue."""
        return self.slots - self.online - self.batch

    @property
    def current_slowness(self) -> float:
        """Return the slowness including the current stall."""
        return self.slowness * self.stall

    @property
    def waiting(self) -> int:
        """Return the queue length with one more request.

        Items that can be preempted do not count.
        """
        return max(0, self.online + self.non_preemptible + 1 - self.slots)

    def wait(self, run_seconds: float) -> float:
        """Estimate the seconds until one more request gets a slot.

        ``run_seconds`` is the run time on an engine of usual speed. Fast
        engines count as usual, since too short an estimate makes a request
        late, while a refused one can retry.
        """
        slots = max(1, self.slots - self.non_preemptible)
        slowness = max(1, self.current_slowness)
        return self.waiting * run_seconds * slowness / slots
