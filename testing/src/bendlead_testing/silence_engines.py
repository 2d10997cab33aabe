"""Simulated engines that fall silent, and the streams they run."""

from collections import deque
from collections.abc import Iterator
from math import inf
from random import Random

from msgspec import Struct, field

from bendlead_testing.silence_entry import Entry

#: Gap between two events (s), and the step of the simulation.
TICK = 0.018
#: Steps until the first event of a run.
_PREFILL_STEPS = 3
#: Requests that an engine queues beyond its slots.
_QUEUE_LENGTH = 4


class Stream(Struct, eq=False):
    """A resumable stream; times in seconds."""

    entry: Entry
    arrived: float
    #: Events that the client has not received.
    events: int
    last_event_at: float
    run: 'Run | None' = None
    #: Runs that have ended.
    runs: int = 0
    begun: bool = False
    last_byte_at: float = 0
    next_check: float = inf
    tried: set[int] = field(default_factory=set)
    #: Engines of these that may continue it, and from when on.
    may_resume_at: dict[int, float] = field(default_factory=dict)
    #: The only engine that may continue it, if any.
    bound_to: int | None = None
    #: Whether a pause was too long, and whether the fault met the stream.
    late: bool = False
    affected: bool = False
    done: bool = False


class Run(Struct, eq=False):
    """A run of a stream at an engine."""

    stream: Stream
    engine: 'Engine'
    connected: bool = True
    #: When to give up waiting for the connection or for the head.
    timeout_at: float = inf
    prefill: int = _PREFILL_STEPS
    silent_until: float = 0
    started: bool = False
    closed: bool = False
    #: Events that the entry has not read.
    unread: int = 0

    @property
    def resumes_at(self) -> float:
        """Return when the run goes on if it is silent now."""
        return max(self.engine.still_until, self.silent_until)


class Engine(Struct, eq=False):
    """An engine that writes one event of each run at each step."""

    number: int
    slots: int
    still_until: float = 0
    #: Until when connects to it hang.
    unreachable_until: float = 0
    #: Share of the requests that hang.
    hang_share: float = 0
    running: list[Run] = field(default_factory=list)
    queue: deque[Run] = field(default_factory=deque)

    def accept(self, run: Run, now: float, random: Random) -> bool:
        """Take a request, or return that it is refused.

        An engine that stands still refuses nothing.
        """
        taken = len(self.running) + len(self.queue)
        if self.still_until <= now and taken >= self.slots + _QUEUE_LENGTH:
            return False
        self.queue.append(run)
        if self.hang_share and random.random() < self.hang_share:
            run.silent_until = inf
        return True

    def step(self, now: float) -> Iterator[Run]:
        """Write events; return the runs that wrote one."""
        if self.still_until > now:
            return
        self.running = [run for run in self.running if not run.closed]
        while self.queue and len(self.running) < self.slots:
            run = self.queue.popleft()
            if not run.closed:
                self.running.append(run)
        for run in self.running:
            if run.silent_until > now:
                continue
            if run.prefill:
                run.prefill -= 1
                continue
            run.unread += 1
            yield run
