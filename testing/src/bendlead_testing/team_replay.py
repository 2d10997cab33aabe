"""Replay the requests of teams against the limits that entries hold them to.

Time is simulated: entries tell each other their counts some time after they
were true, some do not hear each other for a while, and some start again. What
passed is held against the bound, and what was refused against one exact count.
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
#: Entries are up for this long (s) before a load begins, at 100 s.
_UP_SECONDS = 30.0
#: An entry that was heard of longer ago than this (s) counts as not heard.
_HEARD_SECONDS = 1.5


@dataclass(frozen=True, slots=True)
class Silence:
    """Keep entries and all others from hearing each other for some seconds."""

    begin: float
    end: float
    entries: frozenset[int]

    def between(self, one: int, other: int, now: float) -> bool:
        """Tell whether two entries do not hear each other."""
        apart = (one in self.entries) != (other in self.entries)
        return apart and self.begin <= now < self.end


@dataclass(frozen=True, slots=True)
class TeamLoad:
    """Say what a team sends and what happens meanwhile; times in seconds."""

    team: Team
    offered: float
    seconds: float = 20
    entries: int = 18
    #: Entries that its clients reach; all where there are none.
    reached: Sequence[int] = ()
    delay: float = 0.08
    silences: Sequence[Silence] = ()
    #: When which entries start again.
    restarts: Sequence[tuple[float, Sequence[int]]] = ()
    #: For how long an entry that has started hears nobody and is not heard.
    joining: float = 0.7
    window: LimitWindow = field(default_factory=lambda: LimitWindow(5, 0.1, 20))


@dataclass(slots=True)
class TeamTally:
    """Count what passed, what was refused, and what need not have been."""

    passed: list[float] = field(default_factory=list)
    refused: int = 0
    wrongly: int = 0

    def worst(self, load: TeamLoad) -> float:
        """Give the worst window, as a part of what may pass in one."""
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
    """Hold the limits of each entry, and carry what they tell."""

    def __init__(self, load: TeamLoad, clock: _Clock) -> None:
        self._load = load
        self._clock = clock
        everybody = range(load.entries)
        began = clock.now + _UP_SECONDS
        self._heard = [[began] * load.entries for _entry in everybody]
        self._silent = bool(load.silences)
        self._joined = [0.0] * load.entries
        self._version = 1
        self._under_way: deque[tuple[float, Callable[[], None]]] = deque()
        self._lives = 0
        self.limits = [self._start(one) for one in range(load.entries)]

    def restart(self, entries: Iterable[int]) -> None:
        """Start entries again; they have heard nobody."""
        for one in entries:
            self._heard[one] = [-_HEARD_SECONDS] * self._load.entries
            self._joined[one] = self._clock.now + self._load.joining
            self.limits[one] = self._start(one)

    def tell(self) -> None:
        """Have all tell all; it is heard some time later."""
        self._version += 1
        asked = any(one.needs_levels for one in self.limits)
        for one, limits in enumerate(self.limits):
            self._tell_others(one, limits, asked=asked)

    def deliver(self) -> None:
        """Let come what is due."""
        while self._under_way and self._under_way[0][0] <= self._clock.now:
            self._under_way.popleft()[1]()

    def _tell_others(
        self, one: int, limits: TeamLimits, *, asked: bool
    ) -> None:
        counts = limits.counts
        levels = limits.levels() if asked else {}
        said = self._clock.now
        version = self._version
        for other in range(self._load.entries):
            if other == one or self._apart(one, other, said):
                continue

            def hear(other: int = other) -> None:
                listener = self.limits[other]
                self._heard[other][one] = said
                if listener.needs_levels:
                    listener.adopt_levels(levels)
                listener.receive(
                    NodeName(f'entry-{one}'), counts, version, said
                )

            self._under_way.append((said + self._load.delay, hear))

    def _apart(self, one: int, other: int, now: float) -> bool:
        if now < max(self._joined[one], self._joined[other]):
            return True
        if not self._silent:
            return False
        at = now - 100
        return any(
            silence.between(one, other, at) for silence in self._load.silences
        )

    def _start(self, entry: int) -> TeamLimits:
        self._lives += 1
        made = TeamLimits(
            self._load.window,
            lambda: self._group(entry),
            {self._load.team.name: self._load.team}.get,
            self._clock,
            life=self._lives,
        )
        return made

    def _group(self, entry: int) -> EntryGroup:
        oldest = self._clock.now - _HEARD_SECONDS
        heard = sum(
            at > oldest
            for other, at in enumerate(self._heard[entry])
            if other != entry
        )
        return EntryGroup(heard + 1, self._load.entries)


def play(load: TeamLoad, seed: int = 1) -> TeamTally:
    """Play one load."""
    chance = random.Random(seed)
    clock = _Clock()
    entries = _Entries(load, clock)
    clock.now += _UP_SECONDS
    tally = TeamTally()
    reached = load.reached or range(load.entries)
    exact = _Exact(load.team)
    restarts = deque(load.restarts)
    next_tick = clock.now
    # What was sent before the counted time has drained away.
    end = clock.now + load.seconds
    clock.now += chance.expovariate(load.offered)
    while clock.now < end:
        arrival = clock.now
        while next_tick <= arrival:
            clock.now = next_tick
            entries.deliver()
            if restarts and restarts[0][0] <= clock.now - 100:
                entries.restart(restarts.popleft()[1])
            entries.tell()
            next_tick += _TICK
        clock.now = arrival
        entries.deliver()
        fits = exact.take(arrival)
        limits = entries.limits[chance.choice(reached)]
        if limits.take(load.team) <= 0:
            tally.passed.append(arrival)
        else:
            tally.refused += 1
            tally.wrongly += fits
        clock.now = arrival + chance.expovariate(load.offered)
    return tally


class _Exact:
    """Count as one process would that sees all requests."""

    def __init__(self, team: Team) -> None:
        self._team = team
        self._level = 0.0
        self._at = 100.0

    def take(self, now: float) -> bool:
        """Tell whether a request fits."""
        self._level -= (now - self._at) * self._team.rate
        self._level = max(0, self._level)
        self._at = now
        fits = self._level + 1 <= max(1, self._team.burst)
        self._level += fits
        return fits
