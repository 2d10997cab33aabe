"""Replay teams that compete for too few places, in simulated time.

Entries place requests by counts of engines and of teams that are some time
old; callers that are refused come back once. The decisions are the product's.
Other ways to tell whose turn it is stand beside, to be compared on one load.
"""

import enum
import math
import random
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from bendlead_gateway._scheduling import admission, placement
from bendlead_gateway._scheduling.queue_policy import (
    QueuedRequest,
    QueuePolicy,
    rank,
)
from bendlead_gateway._scheduling.team_shares import ShareUse
from bendlead_gateway._scheduling.view import EngineView
from bendlead_gateway._teams.limits import TeamLimits
from bendlead_gateway._teams.quota import EntryGroup
from bendlead_gateway._teams.shares import TeamShares
from bendlead_gateway.types import LimitWindow, NodeName, Team, TeamName

from bendlead_testing.replay._entries import FIRST_EVENT_SECONDS
from bendlead_testing.replay._fleet import SimulatedFleet
from bendlead_testing.replay._load import Load, Tally
from bendlead_testing.replay._owner import Item, SimulatedOwner
from bendlead_testing.replay._simulated import Run, SimulatedClock

#: Entries tell their counts of teams this often (s).
_TELL_SECONDS = 0.1
#: From a client to an entry, to an engine and back (s).
_WAY = 0.008
_LONGEST_HINT = 1 / 3
#: A reader of a stream gives up after this long (s) without an event.
_SILENCE_SECONDS = 2.0
_LOOK_SECONDS = 0.02
#: Teams with fewer requests than this tell nothing of the worst-served tenth.
_TELLING = 8


class Way(enum.Enum):
    """Say how it is told whose turn it is."""

    AS_THEY_COME = 'as they come'
    PLACES = 'share of places'
    LAG = 'lag against share'
    AVERAGE = 'most over the average first'


class Room(enum.Enum):
    """Say what becomes of a request that would wait too long for its aim."""

    REFUSE = 'refuse at once'
    ENTRY = 'hold at the entry'
    ENGINE = "hold at the engine's queue"


class Surge(NamedTuple):
    """Have some teams send many times their usual for a while."""

    begin: float
    end: float
    teams: Sequence[int]
    factor: float


@dataclass(frozen=True)
class TurnLoad:
    """Say what teams send, and what serves it. Times are in seconds."""

    teams: Sequence[Team]
    #: Requests a second of each team as usual.
    usual: Sequence[float]
    surges: Sequence[Surge] = ()
    phases: Sequence[tuple[float, float]] = ((0, 1),)
    period: float = 6.6
    engines: int = 22
    slots: int = 8
    run: float = 0.7
    entries: int = 20
    #: When a share of the engines is gone, and when it is back.
    lost: tuple[float, float, float] = (math.inf, math.inf, 0)
    age: float = 0.05
    #: How old counts of teams are; without end where entries tell nothing.
    teams_age: float = 0.05
    aim: float = 0.3
    patience: float = 5.0
    jobs: float = 0
    seconds: float = 20
    #: Entries that the clients of some teams reach, by team.
    reached: Callable[[int, random.Random], int] | None = None
    #: When all entries start again.
    restart_at: float = math.inf


@dataclass
class TurnTally:
    """Count how the requests of each team ended."""

    ends: list[Counter[str]] = field(default_factory=list)
    #: Refusals while a place was free.
    wasted: int = 0
    second_refusals: int = 0
    held_for_nothing: float = 0
    most_held: int = 0
    items: Tally = field(default_factory=Tally)

    def served(self, teams: Sequence[int] = ()) -> float:
        """Give the share served of what these teams, or all, asked."""
        return self._part(('in_time', 'returned', 'late'), teams)

    def in_time(self, teams: Sequence[int] = ()) -> float:
        """Give the share that was served within the aim of its last try."""
        return self._part(('in_time', 'returned'), teams)

    def worst_tenth(self, teams: Sequence[int]) -> float:
        """Give the mean share served of the tenth of teams served worst."""
        shares = sorted(
            self.served([one])
            for one in teams
            if self.ends[one].total() >= _TELLING
        )
        worst = shares[: max(1, len(shares) // 10)]
        return sum(worst) / max(1, len(worst))

    def _part(self, kinds: Sequence[str], teams: Sequence[int]) -> float:
        counts = [self.ends[one] for one in teams or range(len(self.ends))]
        found = sum(one[kind] for one in counts for kind in kinds)
        return found / max(1, sum(one.total() for one in counts))


class _Places(TeamShares):
    """Give each team its part of the places, whoever else is there."""

    def prepare(self, load: TurnLoad) -> None:
        """Take what there is to share."""
        self._all = load.engines * load.slots / load.run
        self._weights = sum(one.rate or 1 for one in load.teams)

    def share_use(self, team: Team | None) -> ShareUse:
        """Compare with a fixed part of all places."""
        assert team is not None
        had = self._sums.get(team.name, 0.0) / self._scale()
        return ShareUse(had, self._all * (team.rate or 1) / self._weights + 2)


class _Lag(_Places):
    """Have each team's clock run on with what it had for its share."""

    def add(self, team: TeamName, requests: float) -> None:
        """Fill what drains at the rate of the share."""
        level, at = self._sums.get(team, (0.0, 0.0))  # type: ignore[arg-type]
        named = self._team_named(team)
        rate = self._all * (named.rate or 1) / self._weights
        level = max(0, level - (self._now() - at) * rate) + requests
        level = max(0, min(level, rate + 4))
        self._sums[team] = (level, self._now())  # type: ignore[assignment]

    def share_use(self, team: Team | None) -> ShareUse:
        """Compare with a quarter of a second of the share."""
        assert team is not None
        self.add(team.name, 0)
        level, _at = self._sums[team.name]  # type: ignore[misc]
        rate = self._all * (team.rate or 1) / self._weights
        return ShareUse(level, rate / 4 + 2)


_SHARES = {Way.AVERAGE: TeamShares, Way.PLACES: _Places, Way.LAG: _Lag}


@dataclass(eq=False)
class _Asked:
    """Keep one client's request over its tries."""

    team: int
    first: float
    seconds: float
    tries: int = 0
    came: float = 0


class _Entry:
    """Hold what one entry knows of teams, and whom it holds."""

    def __init__(self, replay: 'TurnReplay', life: int) -> None:
        load = replay.load
        named = {one.name: one for one in load.teams}.get
        clock = replay.uptime
        self.shares: TeamShares | None = None
        if replay.way is not Way.AS_THEY_COME:
            self.shares = _SHARES[replay.way](named, clock)
            if isinstance(self.shares, _Places):
                self.shares.prepare(load)
        self.limits = TeamLimits(
            LimitWindow(5, 0.1, 20),
            lambda: EntryGroup(load.entries, load.entries),
            named,
            clock,
            life,
            self.shares,
        )
        self.rules = QueuePolicy(clock)
        self.waiting: dict[QueuedRequest, _Asked] = {}
        self.looking = False


def teams_by_size(
    count: int, total: float
) -> tuple[Sequence[Team], Sequence[float]]:
    """Make teams of very uneven size with limits at three times their usual."""
    sizes = [1 / (at + 1) ** 1.2 for at in range(count)]
    usual = [total * size / sum(sizes) for size in sizes]
    limits = [max(1, round(rate * 3.2)) for rate in usual]
    teams = [
        Team(TeamName(f't{at}'), rate=limit, burst=limit)
        for at, limit in enumerate(limits)
    ]
    return teams, usual


class TurnReplay:
    """Play one load."""

    def __init__(
        self,
        load: TurnLoad,
        seed: int = 1,
        way: Way = Way.AVERAGE,
        room: Room = Room.REFUSE,
    ) -> None:
        self.load = load
        self.way = way
        self._room = room
        self._requests = random.Random(f'requests {seed}')
        self._chance = random.Random(seed)
        self._clock = SimulatedClock()
        self.tally = TurnTally([Counter() for _team in load.teams])
        fleet_load = Load(
            engines=(load.engines,),
            client_weights=(1,),
            slots=load.slots,
            entries=load.entries,
            report_age=load.age,
            run_seconds=load.run,
            engine_loss_share=load.lost[2],
        )
        self._fleet = SimulatedFleet(
            fleet_load, self._clock, self._chance, seed
        )
        self._owner = SimulatedOwner(
            0, fleet_load, self._fleet, self._clock, self.tally.items
        )
        self._traffic = placement.Traffic(load.run, load.age)
        self._lives = 0
        self._version = 0
        self._entries: list[_Entry] = []

    def uptime(self) -> float:
        """Tell the time to what runs in the replay."""
        return self._clock.now + 100

    def play(self) -> TurnTally:
        """Play to the end and count."""
        load = self.load
        self._start_entries()
        self._fleet.record_snapshots()
        if load.jobs:
            self._owner.run_rounds()
            self._add_job()
        if load.teams_age < math.inf:
            self._tell()
        self._clock.call_later(load.lost[0], self._fleet.lose_engines)
        self._clock.call_later(load.lost[1], self._find)
        self._clock.call_later(load.restart_at, self._start_entries)
        self._arrive()
        self._clock.run(load.seconds + load.patience + 2)
        return self.tally

    def _start_entries(self) -> None:
        for entry in self._entries:
            for asked in list(entry.waiting.values()):
                self._count(asked, 'lost')
            entry.waiting.clear()
        self._entries = []
        for _entry in range(self.load.entries):
            self._lives += 1
            self._entries.append(_Entry(self, self._lives))

    def _find(self) -> None:
        self._fleet.ready = list(self._fleet.engines)

    def _add_job(self) -> None:
        if self._clock.now < self.load.seconds:
            for _item in range(10):
                self._owner.items.append(Item(4.75, self._clock.now))
            pause = self._requests.expovariate(self.load.jobs)
            self._clock.call_later(pause, self._add_job)

    def _tell(self) -> None:
        """Have all entries tell all others what they let through."""
        self._version += 1
        told = [one.limits.counts for one in self._entries]
        said = self.uptime()
        version = self._version
        listeners = list(self._entries)

        def hear() -> None:
            for number, entry in enumerate(listeners):
                for other, counts in enumerate(told):
                    if number != other:
                        name = NodeName(f'e-{other}')
                        entry.limits.receive(name, counts, version, said)

        self._clock.call_later(self.load.teams_age, hear)
        self._clock.call_later(_TELL_SECONDS, self._tell)

    def _arrive(self) -> None:
        load = self.load
        now = self._clock.now
        if now >= load.seconds:
            return
        into = now % load.period
        phase = [factor for begin, factor in load.phases if begin <= into][-1]
        rates = [usual * phase for usual in load.usual]
        for surge in load.surges:
            if surge.begin <= now < surge.end:
                for team in surge.teams:
                    rates[team] *= surge.factor
        if now and sum(rates):
            team = self._requests.choices(range(len(rates)), rates)[0]
            seconds = load.run * self._requests.uniform(0.6, 1.4)
            self._try(_Asked(team, now, seconds))
        pause = self._requests.expovariate(sum(rates) or 10)
        self._clock.call_later(min(pause, 0.2) if now else pause, self._arrive)

    def _entry_for(self, team: int) -> _Entry:
        if self.load.reached is not None:
            return self._entries[self.load.reached(team, self._chance)]
        return self._chance.choice(self._entries)

    def _try(self, asked: _Asked) -> None:
        load = self.load
        entry = self._entry_for(asked.team)
        team = load.teams[asked.team]
        asked.tries += 1
        asked.came = self._clock.now
        wait = entry.limits.take(team)
        if wait > 0:
            later = wait + self._chance.random() * max(wait, 0.2)
            self._come_back(asked, later, 'over_limit')
            return
        left = self._left(asked)
        turn = entry.shares.share_use(team) if entry.shares else ShareUse()
        chosen = self._choose()
        behind = entry.rules.is_ahead_of(turn)
        question = admission.AdmissionRequest(load.aim, left, turn, behind)
        refusal = admission.check_admission(
            question, chosen.wait, self._chance.random
        )
        if refusal is None:
            self._send(asked, chosen.view, entry)
            return
        returned = left < load.patience * 0.97
        if returned and self._room is Room.ENGINE and chosen.wait < 1.5:
            self._send(asked, chosen.view, entry)
            return
        if (
            returned
            and self._room is Room.ENTRY
            and self._hold(entry, asked, turn)
        ):
            return
        self._refuse(entry, asked, refusal.retry_after)

    def _refuse(self, entry: _Entry, asked: _Asked, later: float) -> None:
        entry.limits.refund(self.load.teams[asked.team])
        self.tally.wasted += any(
            len(one.running) - sum(one.batch.values()) < self.load.slots
            and not one._queue
            for one in self._fleet.ready
        )
        self._come_back(asked, later, 'lost')

    def _come_back(self, asked: _Asked, later: float, otherwise: str) -> None:
        left = self._left(asked)
        if asked.tries > 1 or later > left:
            self.tally.second_refusals += asked.tries > 1
            self._count(asked, otherwise)
            return
        pause = min(later, left * _LONGEST_HINT)
        self._clock.call_later(pause, lambda: self._try(asked))

    def _left(self, asked: _Asked) -> float:
        return self.load.patience - (self._clock.now - asked.first)

    def _choose(self) -> placement.Placement:
        past = self._fleet.snapshot(self._fleet.draw_age())
        batch = [sum(counts) for counts in zip(*past.batch, strict=True)]
        views = [
            EngineView(one.engine, past.online[False][number], batch[number])
            for number, one in enumerate(self._fleet.engines)
            if one in self._fleet.ready
        ]
        chosen = placement.choose_engine(
            views, self._traffic, self._chance.random
        )
        assert chosen is not None
        return chosen

    def _send(self, asked: _Asked, view: EngineView, entry: _Entry) -> None:
        engine = self._fleet.find(view.engine)
        engine.add(
            Run(
                engine,
                asked.seconds,
                0,
                lambda began: self._first(asked, began),
                lambda _ended: entry.rules.record_finished(),
            )
        )

    def _first(self, asked: _Asked, began: float) -> None:
        now = began + FIRST_EVENT_SECONDS + _WAY
        if now - asked.came > _SILENCE_SECONDS:
            self.tally.held_for_nothing += _SILENCE_SECONDS
            self._count(asked, 'lost')
        elif now - asked.came > self.load.aim:
            self._count(asked, 'late')
        else:
            self._count(asked, 'in_time' if asked.tries == 1 else 'returned')

    def _count(self, asked: _Asked, ending: str) -> None:
        self.tally.ends[asked.team][ending] += 1

    # What is held at an entry.

    def _hold(self, entry: _Entry, asked: _Asked, turn: ShareUse) -> bool:
        team = self.load.teams[asked.team]
        until = self.uptime() + min(
            self._left(asked), _SILENCE_SECONDS - self.load.aim
        )
        held = QueuedRequest(
            team.name,
            self.uptime(),
            until,
            self.load.aim,
            (team.priority, 0),
            turn,
        )
        if entry.rules.rejection_reason(held) is not None:
            return False
        entry.rules.add(held)
        entry.waiting[held] = asked
        self.tally.most_held = max(self.tally.most_held, len(entry.waiting))
        if not entry.looking:
            entry.looking = True
            self._clock.call_later(_LOOK_SECONDS, lambda: self._look(entry))
        return True

    def _look(self, entry: _Entry) -> None:
        for held in entry.rules.expired():
            self._leave(entry, held)
        first = rank(entry.waiting)
        if first:
            chosen = self._choose()
            released = entry.rules.release(chosen.wait)
            if released is not None:
                self._send(entry.waiting.pop(released), chosen.view, entry)
        entry.looking = bool(entry.waiting)
        if entry.looking:
            self._clock.call_later(_LOOK_SECONDS, lambda: self._look(entry))

    def _leave(self, entry: _Entry, held: QueuedRequest) -> None:
        entry.rules.remove(held)
        asked = entry.waiting.pop(held)
        self.tally.held_for_nothing += self.uptime() - held.queued_at
        self._refuse(entry, asked, 0.1)
