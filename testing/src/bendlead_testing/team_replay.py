"""Simulate a team's requests against the limits that entries enforce.

Entries report their counts with a delay, are partitioned, or restart. Admitted
requests are compared with the bound, rejected ones with one exact bucket.
"""

import random
from collections import deque
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

from bendlead_gateway._teams.limits import TeamLimits
from bendlead_gateway._teams.quota import EntryGroup
from bendlead_gateway.types import LimitWindow, NodeName, Team, TeamName

TEAM = TeamName('team-1')
_TICK = 0.1
#: Uptime of the entries when a load begins, at 100 s.
_UP_SECONDS = 30.0
#: Age from which on the last report of an entry makes it unreachable.
_REACHABLE_SECONDS = 1.5


@dataclass(frozen=True, slots=True)
class Partition:
    """Partition between some entries and all others, for some seconds."""

    begin: float
    end: float
    entries: frozenset[int]

    def between(self, entry: int, other: int, now: float) -> bool:
        """Return whether two entries are partitioned from each other."""
        apart = (entry in self.entries) != (other in self.entries)
        return apart and self.begin <= now < self.end


@dataclass(frozen=True, slots=True)
class TeamLoad:
    """Requests of a team and the faults meanwhile; times in seconds."""

    team: Team
    offered: float
    seconds: float = 20
    entries: int = 18
    #: Entries that its clients use; empty for all.
    reached: Sequence[int] = ()
    delay: float = 0.08
    partitions: Sequence[Partition] = ()
    #: Times of restarts, with the entries.
    restarts: Sequence[tuple[float, Sequence[int]]] = ()
    #: Time after its start in which an entry exchanges no reports.
    joining: float = 0.7
    window: LimitWindow = field(default_factory=lambda: LimitWindow(5, 0.1, 20))


@dataclass(slots=True)
class TeamTally:
    """Admitted and rejected requests, and those rejected wrongly."""

    passed: list[float] = field(default_factory=list)
    refused: int = 0
    wrongly_refused: int = 0

    def worst(self, load: TeamLoad) -> float:
        """Return the fullest window as a part of the most allowed in one."""
        window = load.window
        whole = load.team.rate * window.seconds + load.team.burst
        most = whole * (1 + window.excess) + window.slack
        recent: deque[float] = deque()
        worst = 0
        for at in self.passed:
            recent.append(at)
            while recent[0] <= at - window.seconds:
                recent.popleft()
            worst = max(worst, len(recent))
        return worst / most


class _Clock:
    def __init__(self) -> None:
        self.now = 100.0 - _UP_SECONDS

    def __call__(self) -> float:
        return self.now


class _Entries:
    """The limits of each entry, and the reports between them."""

    def __init__(self, load: TeamLoad, clock: _Clock) -> None:
        self._load = load
        self._clock = clock
        everyone = range(load.entries)
        began = clock.now + _UP_SECONDS
        self._reported_at = [[began] * load.entries for _entry in everyone]
        self._has_partitions = bool(load.partitions)
        self._joined = [0.0] * load.entries
        self._version = 1
        self._in_flight: deque[tuple[float, Callable[[], None]]] = deque()
        self._starts = 0
        self.limits = [self._start(entry) for entry in range(load.entries)]

    def restart(self, entries: Iterable[int]) -> None:
        """Restart entries; they have received no reports then."""
        for entry in entries:
            self._reported_at[entry] = [
                -_REACHABLE_SECONDS
            ] * self._load.entries
            self._joined[entry] = self._clock.now + self._load.joining
            self.limits[entry] = self._start(entry)

    def report(self) -> None:
        """Have all entries send reports to all others."""
        self._version += 1
        asked = any(limits.needs_levels for limits in self.limits)
        for entry, limits in enumerate(self.limits):
            self._report_to_others(entry, limits, asked=asked)

    def deliver(self) -> None:
        """Deliver the reports that are due."""
        while self._in_flight and self._in_flight[0][0] <= self._clock.now:
            self._in_flight.popleft()[1]()

    def _report_to_others(
        self, entry: int, limits: TeamLimits, *, asked: bool
    ) -> None:
        counts = limits.counts
        levels = limits.levels() if asked else {}
        sent_at = self._clock.now
        version = self._version
        for other in range(self._load.entries):
            if other == entry or self._partitioned(entry, other, sent_at):
                continue

            def receive(other: int = other) -> None:
                receiver = self.limits[other]
                self._reported_at[other][entry] = sent_at
                if receiver.needs_levels:
                    receiver.adopt_levels(levels)
                receiver.receive(
                    NodeName(f'entry-{entry}'), counts, version, sent_at
                )

            self._in_flight.append((sent_at + self._load.delay, receive))

    def _partitioned(self, entry: int, other: int, now: float) -> bool:
        if now < max(self._joined[entry], self._joined[other]):
            return True
        if not self._has_partitions:
            return False
        at = now - 100
        return any(
            partition.between(entry, other, at)
            for partition in self._load.partitions
        )

    def _start(self, entry: int) -> TeamLimits:
        self._starts += 1
        made = TeamLimits(
            self._load.window,
            lambda: self._group(entry),
            {self._load.team.name: self._load.team}.get,
            self._clock,
            incarnation=self._starts,
        )
        return made

    def _group(self, entry: int) -> EntryGroup:
        oldest = self._clock.now - _REACHABLE_SECONDS
        reachable = sum(
            at > oldest
            for other, at in enumerate(self._reported_at[entry])
            if other != entry
        )
        return EntryGroup(reachable + 1, self._load.entries)


def play(load: TeamLoad, seed: int = 1) -> TeamTally:
    """Simulate one load."""
    generator = random.Random(seed)
    clock = _Clock()
    entries = _Entries(load, clock)
    clock.now += _UP_SECONDS
    tally = TeamTally()
    reached = load.reached or range(load.entries)
    exact = _Exact(load.team)
    restarts = deque(load.restarts)
    next_tick = clock.now
    end = clock.now + load.seconds
    clock.now += generator.expovariate(load.offered)
    while clock.now < end:
        arrival = clock.now
        while next_tick <= arrival:
            clock.now = next_tick
            entries.deliver()
            if restarts and restarts[0][0] <= clock.now - 100:
                entries.restart(restarts.popleft()[1])
            entries.report()
            next_tick += _TICK
        clock.now = arrival
        entries.deliver()
        fits = exact.take(arrival)
        limits = entries.limits[generator.choice(reached)]
        if limits.take(load.team) <= 0:
            tally.passed.append(arrival)
        else:
            tally.refused += 1
            tally.wrongly_refused += fits
        clock.now = arrival + generator.expovariate(load.offered)
    return tally


class _Exact:
    """Leaky bucket of one process that sees all requests."""

    def __init__(self, team: Team) -> None:
        self._team = team
        self._level = 0.0
        self._at = 100.0

    def take(self, now: float) -> bool:
        """Return whether a request is within the limit, and count it."""
        self._level -= (now - self._at) * self._team.rate
        self._level = max(0, self._level)
        self._at = now
        fits = self._level + 1 <= max(1, self._team.burst)
        self._level += fits
        return fits
