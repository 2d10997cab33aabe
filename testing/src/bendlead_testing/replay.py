"""Replay a load against the decisions of the gateway, in simulated time.

Engines run so many requests at once and queue the others in order. Entries
place requests, and owners place items, by counts that are some time old.
The decisions are those of the product; what is simulated is what they decide
about.
"""

import random
from collections import Counter, deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from functools import partial

from bendlead_gateway._scheduling import admission, placement
from bendlead_gateway._scheduling.places import ItemPlaces, places_kept, surplus
from bendlead_gateway._scheduling.precedence import Precedence
from bendlead_gateway._scheduling.urgency import ItemPace, Urgency
from bendlead_gateway._scheduling.view import EngineView
from bendlead_gateway.types import (
    DataHall,
    Engine,
    EngineId,
    EngineState,
    NodeName,
    ServiceName,
)

from bendlead_testing.simulated import Clock, Run, SimulatedEngine

#: Seconds between two looks of an owner for places.
_ROUND = 0.025
#: How finely the counts of the past are kept (s).
_TICK = 0.01
#: From the start of a run to its first event: prompt and first step (s).
_FIRST_EVENT = 0.03
#: From a client to an entry, to an engine and back (s).
_WAY = 0.008
_LONGEST_HINT = 1 / 3
_VIEW_SECONDS = 2.0


@dataclass(frozen=True)
class Load:
    """Describe what comes, and what serves it. Times are in seconds."""

    #: Engines and clients' share of each data hall.
    engines: Sequence[int] = (8, 7, 7, 8, 7)
    clients: Sequence[float] = (1, 1, 1, 1, 1)
    slots: int = 7
    entries: int = 58
    #: Processes that run items, each those of its own jobs.
    owners: int = 1
    #: Requests a second on average, and jobs a second.
    online: float = 174
    jobs: float = 2.2
    items: int = 10
    #: Begin and factor of each phase of one period of the online load.
    phases: Sequence[tuple[float, float]] = ((0, 0.377), (3.8, 1.84))
    period: float = 6.6
    run: float = 0.7
    item_run: float = 4.75
    aim: float = 0.3
    patience: float = 5.0
    item_due: float = 18.0
    age: float = 0.05
    #: When a share of the engines takes no more requests.
    lost_at: float = 1000
    lost_share: float = 0.0
    #: The share of the entries that hear only one another.
    apart: float = 0.0
    length: float = 24.0

    def factor(self, now: float) -> float:
        """Give the factor of the online load at a time."""
        into = now % self.period
        return [factor for begin, factor in self.phases if begin <= into][-1]


@dataclass
class Tally:
    """Count how requests and items ended."""

    online: Counter[str] = field(default_factory=Counter)
    by_hall: list[Counter[str]] = field(default_factory=list)
    items: Counter[str] = field(default_factory=Counter)
    stops: int = 0

    @property
    def in_time(self) -> float:
        """Give the share of online requests that began within the aim."""
        return self.online['in_time'] / max(1, self.online.total())

    @property
    def lost(self) -> float:
        """Give the share of online requests that nobody served."""
        return self.online['lost'] / max(1, self.online.total())

    @property
    def refused(self) -> float:
        """Give the share of online requests refused at their first try."""
        return self.online['refused'] / max(1, self.online.total())

    @property
    def items_in_time(self) -> float:
        """Give the share of items that were whole when due."""
        return self.items['in_time'] / max(1, self.items.total())

    @property
    def worst_hall(self) -> float:
        """Give the share in time of the hall that is served worst."""
        return min(one['in_time'] / max(1, one.total()) for one in self.by_hall)


@dataclass(eq=False)
class _Item:
    """Keep how far an item of a job has come."""

    owner: int
    seconds: float
    accepted: float
    done: float = 0
    spent: float = 0
    begun: float | None = None
    run: Run | None = None
    whole: float | None = None


@dataclass(frozen=True)
class _Counts:
    """Keep what ran on each engine at one time."""

    at: float
    #: By whether the entry is one of those that hear only one another.
    online: dict[bool, list[int]]
    #: By owner.
    batch: list[list[int]]


@dataclass(frozen=True)
class _OwnerItems:
    """Keep what one owner knows of the items of another."""

    batch: dict[EngineId, int]
    quiet: bool = False


@dataclass
class _Asked:
    """Keep one client's request over its tries."""

    hall: int
    first: float
    seconds: float
    tries: int = 0


class Replay:
    """Play one load."""

    def __init__(self, load: Load, seed: int) -> None:
        self._load = load
        # Whatever is decided, the same requests and jobs come.
        self._requests = random.Random(f'requests {seed}')
        self._jobs = random.Random(f'jobs {seed}')
        self._chance = random.Random(seed)
        self._traffic = placement.Traffic(load.run, load.age)
        self._clock = Clock()
        self._engines = [
            SimulatedEngine(_engine(hall, number, load.slots), self._clock)
            for hall, count in enumerate(load.engines)
            for number in range(count)
        ]
        self._ready = list(self._engines)
        self._past: deque[_Counts] = deque()
        self._own: list[list[Run]] = [[] for _entry in range(load.entries)]
        self._items: list[_Item] = []
        self._submitted = 0
        names = [NodeName(f'owner-{one}') for one in range(load.owners)]
        self._owners = names
        self._precedences = [Precedence(one) for one in names]
        self._paces = [ItemPace() for _owner in range(load.owners)]
        self.tally = Tally(by_hall=[Counter() for _hall in load.engines])

    def play(self) -> Tally:
        """Play to the end and count."""
        load = self._load
        self._tick()
        for owner in range(load.owners):
            begin = owner * _ROUND / load.owners
            self._clock.after(begin, partial(self._round, owner))
        self._arrive()
        self._submit()
        self._clock.after(load.lost_at, self._lose)
        self._clock.run(load.length + load.item_due)
        for item in self._items:
            due = item.accepted + load.item_due
            whole = item.whole is not None and item.whole <= due
            self.tally.items['in_time' if whole else 'late'] += 1
        return self.tally

    def _tick(self) -> None:
        online = {
            group: [one.online[group] for one in self._engines]
            for group in (False, True)
        }
        batch = [
            [one.batch[owner] for one in self._engines]
            for owner in range(self._load.owners)
        ]
        self._past.append(_Counts(self._clock.now, online, batch))
        while self._past[0].at < self._clock.now - _VIEW_SECONDS:
            self._past.popleft()
        self._clock.after(_TICK, self._tick)

    def _arrive(self) -> None:
        now = self._clock.now
        if now < self._load.length:
            rate = self._load.online * self._load.factor(now)
            if now:
                self._come()
            # The next phase is met at its begin, not a whole pause later.
            pause = min(self._requests.expovariate(rate), 10)
            self._clock.after(pause, self._arrive)

    def _come(self) -> None:
        halls = range(len(self._load.engines))
        hall = self._requests.choices(halls, self._load.clients)[0]
        seconds = self._load.run * self._requests.uniform(0.6, 1.4)
        self._try(_Asked(hall, self._clock.now, seconds))

    def _try(self, asked: _Asked) -> None:
        load = self._load
        halls = len(load.engines)
        entry = self._chance.randrange(load.entries // halls) * halls
        entry = (entry + asked.hall) % load.entries
        views = self._views(entry, asked.hall)
        chosen = placement.choose(views, self._traffic, self._chance.random)
        assert chosen is not None
        left = load.patience - (self._clock.now - asked.first)
        refusal = admission.judge(
            admission.Asked(load.aim, left), chosen.wait, self._chance.random
        )
        asked.tries += 1
        if refusal is not None:
            self._refuse(asked, refusal, left)
            return
        engine = next(
            one for one in self._ready if one.engine is chosen.view.engine
        )
        run = Run(
            engine,
            asked.seconds,
            entry,
            lambda began: self._first(asked, began),
            lambda _ended: None,
            self._is_apart(entry),
        )
        self._own[entry].append(run)
        engine.add(run)

    def _refuse(
        self, asked: _Asked, refusal: admission.Refusal, left: float
    ) -> None:
        if asked.tries > 1:
            self._count(asked, 'lost')
            return
        pause = min(refusal.retry_after, left * _LONGEST_HINT)
        self._clock.after(pause, lambda: self._try(asked))

    def _first(self, asked: _Asked, began: float) -> None:
        took = began + _FIRST_EVENT + _WAY - asked.first
        in_time = took <= self._load.aim
        refused = asked.tries > 1
        self._count(
            asked, 'in_time' if in_time else ('refused' if refused else 'late')
        )

    def _count(self, asked: _Asked, ending: str) -> None:
        self.tally.online[ending] += 1
        self.tally.by_hall[asked.hall][ending] += 1

    def _views(
        self,
        entry: int | None,
        hall: int | None = None,
        owner: int | None = None,
    ) -> list[EngineView]:
        """Show the engines as one process knows them."""
        age = self._load.age * self._chance.uniform(0.5, 1.5)
        apart = entry is not None and self._is_apart(entry)
        past = self._at(self._clock.now - age)
        own_now, own_then = self._own_counts(entry, age)
        views = []
        for number, one in enumerate(self._engines):
            if one not in self._ready:
                continue
            name = one.engine.engine
            others = max(0, past.online[apart][number] - own_then[name])
            batch = sum(
                one.batch[runner] if runner == owner else counts[number]
                for runner, counts in enumerate(past.batch)
            )
            views.append(
                EngineView(
                    one.engine,
                    online=others + own_now[name],
                    batch=batch,
                    near=hall is None or one.engine.hall == _hall(hall),
                )
            )
        return views

    def _own_counts(
        self, entry: int | None, age: float
    ) -> tuple[Counter[EngineId], Counter[EngineId]]:
        """Count an entry's own requests now and as the others know them."""
        own_now: Counter[EngineId] = Counter()
        own_then: Counter[EngineId] = Counter()
        if entry is None:
            return own_now, own_then
        then = self._clock.now - age
        runs = [one for one in self._own[entry] if not one.over]
        self._own[entry] = runs
        for run in runs:
            name = run.engine.engine.engine
            own_now[name] += 1
            if run.sent <= then:
                own_then[name] += 1
        return own_now, own_then

    def _is_apart(self, entry: int) -> bool:
        return entry < self._load.apart * self._load.entries

    def _at(self, moment: float) -> _Counts:
        """Give the counts as they were."""
        found = self._past[0]
        for counts in self._past:
            if counts.at > moment:
                break
            found = counts
        return found

    def _submit(self) -> None:
        now = self._clock.now
        if now < self._load.length:
            if now:
                self._add_job(now)
            pause = self._jobs.expovariate(self._load.jobs)
            self._clock.after(pause, self._submit)

    def _add_job(self, now: float) -> None:
        owner = self._submitted % self._load.owners
        self._submitted += 1
        for _item in range(self._load.items):
            seconds = self._load.item_run * self._jobs.uniform(0.6, 1.4)
            self._items.append(_Item(owner, seconds, now))

    def _round(self, owner: int) -> None:
        """Look for places as an owner does."""
        views = self._views(None, owner=owner)
        kept = places_kept(views, self._traffic)
        self._meet(owner)
        self._step_aside(owner, views, kept)
        self._start_items(owner, self._views(None, owner=owner), kept)
        self._clock.after(_ROUND, partial(self._round, owner))

    def _meet(self, owner: int) -> None:
        """Tell an owner of the items of the others, as they were."""
        past = self._at(self._clock.now - self._load.age)
        others = {}
        for number, counts in enumerate(past.batch):
            if number != owner and any(counts):
                batch = {
                    one.engine.engine: count
                    for one, count in zip(self._engines, counts, strict=True)
                }
                others[self._owners[number]] = _OwnerItems(batch)
        self._precedences[owner].meet(others)

    def _own_items(self, owner: int) -> list[_Item]:
        return [one for one in self._items if one.owner == owner]

    def _step_aside(
        self, owner: int, views: Sequence[EngineView], kept: int
    ) -> None:
        items = self._own_items(owner)
        for view in views:
            mine = [
                one
                for one in items
                if one.run and one.run.engine.engine is view.engine
            ]
            before = self._precedences[owner].items_before(view.name)
            over = surplus(view, len(mine), kept, before)
            mine.sort(key=self._urgency)
            for item in mine[len(mine) - over :]:
                self._stop(item)

    def _stop(self, item: _Item) -> None:
        run = item.run
        assert run is not None
        held = self._held(run)
        item.spent += held
        item.done += held
        item.run = None
        self.tally.stops += 1
        run.engine.drop(run)

    def _held(self, run: Run) -> float:
        return self._clock.now - run.began if run.began is not None else 0

    def _start_items(
        self, owner: int, views: Sequence[EngineView], kept: int
    ) -> None:
        leads = self._precedences[owner].leads
        led = frozenset(one.name for one in views if leads(one.name))
        places = ItemPlaces(views, kept, led)
        waiting = [
            one
            for one in self._own_items(owner)
            if not one.run and one.whole is None
        ]
        waiting.sort(key=self._urgency)
        for item in waiting:
            age = (self._clock.now - item.accepted) / self._load.item_due
            view = places.take(age)
            if view is None:
                return
            self._start(item, view)

    def _start(self, item: _Item, view: EngineView) -> None:
        engine = next(one for one in self._ready if one.engine is view.engine)
        run = Run(
            engine,
            max(0.02, item.seconds - item.done) + _FIRST_EVENT,
            None,
            lambda _began: None,
            lambda ended: self._finish(item, ended),
            owner=item.owner,
        )
        item.run = run
        if item.begun is None:
            item.begun = self._clock.now
        engine.add(run)

    def _finish(self, item: _Item, ended: float) -> None:
        assert item.run is not None
        item.spent += self._held(item.run)
        item.run = None
        item.whole = ended
        assert item.begun is not None
        pace = self._paces[item.owner]
        pace.observe(item.spent, ended - item.begun)

    def _urgency(self, item: _Item) -> Urgency:
        spent = item.spent
        if item.run is not None:
            spent += self._held(item.run)
        age = self._clock.now - item.accepted
        due = self._load.item_due
        pace = self._paces[item.owner]
        return pace.urgency(item.accepted, age, spent, due)

    def _lose(self) -> None:
        count = round(len(self._engines) * self._load.lost_share)
        for engine in self._chance.sample(self._engines, count):
            self._ready.remove(engine)


def _engine(hall: int, number: int, slots: int) -> Engine:
    return Engine(
        EngineId(f'engine-{hall}-{number}'),
        ServiceName('chat'),
        '',
        _hall(hall),
        slots,
        EngineState.READY,
    )


def _hall(number: int) -> DataHall:
    return DataHall(f'hall-{number}')
