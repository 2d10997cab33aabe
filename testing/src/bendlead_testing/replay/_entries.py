"""Simulated clients and the entries that place their requests."""

import random
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

from bendlead_gateway._scheduling import admission, placement
from bendlead_gateway._scheduling.view import EngineView
from bendlead_gateway.types import EngineId
from msgspec.structs import replace

from bendlead_testing.replay._fleet import SimulatedFleet, hall_name
from bendlead_testing.replay._learning import LearningEntries
from bendlead_testing.replay._load import Load, Tally
from bendlead_testing.replay._simulated import Clock, Run

#: From the start of a run to its first event: prompt and first step (s).
FIRST_EVENT = 0.03
#: From a client to an entry, to an engine and back (s).
_WAY = 0.008
#: Clients heed no longer hint, in shares of the time they have left.
_LONGEST_HINT = 1 / 3


@dataclass
class _Asked:
    """Keep one client's request over its tries."""

    hall: int
    first: float
    seconds: float
    tries: int = 0


class SimulatedEntries:
    """Take the requests of a load and place them."""

    def __init__(
        self,
        load: Load,
        fleet: SimulatedFleet,
        clock: Clock,
        requests: random.Random,
        chance: random.Random,
        tally: Tally,
    ) -> None:
        self._load = load
        self._fleet = fleet
        self._clock = clock
        self._requests = requests
        self._chance = chance
        self._tally = tally
        self._traffic = placement.Traffic(load.run, load.age)
        self._learning: LearningEntries | None = None
        if load.uneven is not None:
            self._learning = LearningEntries(
                load.uneven, load.entries, load.age, clock
            )
        self._runs: list[list[Run]] = [[] for _entry in range(load.entries)]

    def arrive(self) -> None:
        """Let a request come, and the next ones after pauses."""
        now = self._clock.now
        if now < self._load.length:
            rate = self._load.online * self._load.factor(now)
            if now:
                self._come()
            # The next phase is met at its begin, not a whole pause later.
            pause = min(self._requests.expovariate(rate), 10)
            self._clock.after(pause, self.arrive)

    def _come(self) -> None:
        halls = range(len(self._load.engines))
        hall = self._requests.choices(halls, self._load.clients)[0]
        seconds = self._load.run * self._requests.uniform(0.6, 1.4)
        self._try(_Asked(hall, self._clock.now, seconds))

    def _try(self, asked: _Asked) -> None:
        load = self._load
        entry = self._draw_entry(asked.hall)
        views = self._views(entry, asked.hall)
        chosen = placement.choose_engine(
            views, self._traffic_at(entry), self._chance.random
        )
        assert chosen is not None
        left = load.patience - (self._clock.now - asked.first)
        refusal = admission.check_admission(
            admission.AdmissionRequest(load.aim, left),
            chosen.wait,
            self._chance.random,
        )
        asked.tries += 1
        if refusal is not None:
            self._refuse(asked, refusal, left)
            return
        self._send(asked, entry, chosen.view)

    def _draw_entry(self, hall: int) -> int:
        halls = len(self._load.engines)
        entry = self._chance.randrange(self._load.entries // halls) * halls
        return (entry + hall) % self._load.entries

    def _send(self, asked: _Asked, entry: int, view: EngineView) -> None:
        engine = self._fleet.engine(view.engine)
        run = Run(
            engine,
            asked.seconds,
            entry,
            lambda began: self._first(asked, began, run),
            lambda _ended: self._end(run),
            self._is_apart(entry),
        )
        self._runs[entry].append(run)
        engine.add(run)

    def _refuse(
        self, asked: _Asked, refusal: admission.Refusal, left: float
    ) -> None:
        self._fleet.refused_at = self._clock.now
        if asked.tries > 1:
            self._count(asked, 'lost')
            return
        pause = min(refusal.retry_after, left * _LONGEST_HINT)
        self._clock.after(pause, lambda: self._try(asked))

    def _end(self, run: Run) -> None:
        if self._learning is not None:
            self._learning.end(run)

    def _first(self, asked: _Asked, began: float, run: Run) -> None:
        if self._learning is not None:
            self._learning.follow(run)
        first = FIRST_EVENT * run.engine.factor(began)
        took = began + first + _WAY - asked.first
        in_time = took <= self._load.aim
        refused = asked.tries > 1
        self._count(
            asked, 'in_time' if in_time else ('refused' if refused else 'late')
        )

    def _count(self, asked: _Asked, ending: str) -> None:
        self._tally.online[ending] += 1
        self._tally.by_hall[asked.hall][ending] += 1

    def _views(self, entry: int, hall: int) -> Sequence[EngineView]:
        """Show the engines as one entry knows them."""
        age = self._fleet.draw_age()
        past = self._fleet.past(age)
        online = past.online[self._is_apart(entry)]
        batch = [sum(counts) for counts in zip(*past.batch, strict=True)]
        own_now, own_then = self._own_counts(entry, age)
        views = [
            EngineView(
                one.engine,
                online=max(0, online[number] - own_then[one.engine.engine])
                + own_now[one.engine.engine],
                batch=batch[number],
                same_hall=one.engine.hall == hall_name(hall),
            )
            for number, one in enumerate(self._fleet.engines)
            if one in self._fleet.ready
        ]
        return self._with_paces(entry, views)

    def _traffic_at(self, entry: int) -> placement.Traffic:
        if self._learning is None:
            return self._traffic
        seen = self._learning.run_seconds(entry)
        return placement.Traffic(seen, self._load.age)

    def _with_paces(
        self, entry: int, views: Sequence[EngineView]
    ) -> Sequence[EngineView]:
        learning = self._learning
        if learning is None:
            return views
        return [
            replace(
                one,
                event_gap=learning.pace(entry, one.name),
                slowness=learning.slowness(entry, one.engine),
                stall=learning.stall(entry, one.engine),
            )
            for one in views
        ]

    def _own_counts(
        self, entry: int, age: float
    ) -> tuple[Counter[EngineId], Counter[EngineId]]:
        """Count an entry's own requests now and as the others know them."""
        own_now: Counter[EngineId] = Counter()
        own_then: Counter[EngineId] = Counter()
        then = self._clock.now - age
        runs = [one for one in self._runs[entry] if not one.over]
        self._runs[entry] = runs
        for run in runs:
            name = run.engine.engine.engine
            own_now[name] += 1
            if run.sent <= then:
                own_then[name] += 1
        return own_now, own_then

    def _is_apart(self, entry: int) -> bool:
        return entry < self._load.apart * self._load.entries
