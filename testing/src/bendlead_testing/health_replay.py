"""Replay engines that fail, and entries that learn of it, in simulated time.

Requests that may be sent once and some that may be repeated are placed by the
real placement; what is known of engines, and who tries one again, is the real
code too. Failures, loads and testimonies reach others some time later.
"""

import enum
import heapq
from collections import Counter
from collections.abc import Callable
from random import Random
from types import SimpleNamespace
from unittest import mock

from bendlead_gateway._fleet import health
from bendlead_gateway._health.evidence import EvidenceTable
from bendlead_gateway._health.judge import Judge, Seat
from bendlead_gateway._health.preference import preferred
from bendlead_gateway._health.testimony import (
    EngineLife,
    FailureKind,
    life_of,
)
from bendlead_gateway._health.trial import TrialSchedule, Trier, rank
from bendlead_gateway._health.verdict import Standing
from bendlead_gateway._health.verdicts import Verdicts
from bendlead_gateway._scheduling.placement import Traffic, choose_engine
from bendlead_gateway._scheduling.view import EngineView
from bendlead_gateway.types import (
    DataHall,
    Engine,
    EngineId,
    EngineState,
    NodeName,
    ServiceName,
)
from msgspec import Struct, field

#: Engines fail from the begin on for so long (s), within a load of so long.
BEGIN = 5.0
FAILING_SECONDS = 10.0
_SECONDS = 20.0
_RUN_SECONDS = 0.7
_FIRST_EVENT = 0.05
#: Who may ask elsewhere gives up a silent engine sooner than who may not (s).
_SILENCE_SECONDS = (0.2, 2.0)
_FLAP_SECONDS = 2.0
_TRIAL_SECONDS = 1.5
_LOOK_SECONDS = 0.25
_OWNER_SECONDS = 0.05
_HALLS = 4
_PLACES = 8


class Way(enum.Enum):
    """Name a way in which entries learn of failures."""

    ALONE = 'each alone'
    COUNTS = 'shared counts'
    WITNESSES = 'by witness'
    PROBER = 'one prober a hall'


class Fault(enum.Enum):
    """Name how engines fail."""

    LYING = 'lying'
    FLAPPING = 'flapping'
    GREY = 'grey'
    RESETTING = 'resetting'
    DARK = 'dark'
    ONE_HALL = 'one hall only'
    #: No engine fails: an entry's link does.
    WITNESS = 'a bad witness'


class HealthLoad(Struct, frozen=True):
    """Say what fails, and what is asked; rates are a second."""

    fault: Fault
    entries: int = 20
    engines: int = 40
    failing: int = 6
    #: Part of its requests that a grey engine fails.
    share: float = 1.0
    rate: float = 190.0
    repeatable: float = 0.22
    #: Whether an owner has items that may try engines.
    items: bool = True
    by_lot: bool = False
    news: tuple[float, float] = (0.05, 0.1)
    #: Entries that hear nothing, and are not heard, while engines fail.
    unheard: int = 0


class HealthOutcome(Struct):
    """Count what was lost, and what was left alone for nothing."""

    asked: int = 0
    lost: int = 0
    #: Engine-seconds of good engines, means over the entries.
    wrongly_alone: float = 0
    wrongly_doubted: float = 0
    trials: int = 0
    #: Trials begun while another one of the same engine had no outcome.
    trials_at_once: int = 0


class _Counting(Judge):
    """Take what anybody says for as much as what was seen here."""

    def weight(self, _one):
        return 1

    def find_distrusted(self):
        return set()


class _Probed(_Counting):
    """Take the word of one process in each hall."""

    def credible(self, life):
        own = self._seat
        near = [
            Trier(node)
            for node, hall in self._halls.items()
            if hall == own.hall
        ]
        prober = rank(life, near)[0].node if near else None
        for witness, one in self._cases[life].items():
            if witness in {own.node, prober}:
                yield one


_JUDGES = {
    Way.ALONE: Judge,
    Way.COUNTS: _Counting,
    Way.WITNESSES: Judge,
    Way.PROBER: _Probed,
}


class _Request(Struct, eq=False):
    repeatable: bool
    tries: int = 0
    tried: set[EngineId] = field(default_factory=set)

    @property
    def once(self) -> bool:
        """Tell whether its next failure is the last."""
        return not self.repeatable or self.tries > 0


class _Process:
    """Be one entry, or the owner."""

    def __init__(self, number: int, replay: 'HealthReplay') -> None:
        self.number = number
        self.node = NodeName(f'n-{number}')
        self.hall = DataHall(f'hall-{number % _HALLS}')
        self.evidence = EvidenceTable(self.node)
        self.health = health.EngineHealth()
        self.verdicts = Verdicts(
            Seat(self.node, self.hall),
            self.evidence,
            lambda: replay.engines,
            SimpleNamespace(event=lambda *_kind, **_fields: None),
            _JUDGES[replay.way],
        )
        self.verdicts.list_halls = lambda: replay.halls
        self.trying: dict[EngineLife, float] = {}


class HealthReplay:
    """Play one load with one way."""

    def __init__(self, load: HealthLoad, way: Way, seed: int) -> None:
        self.load = load
        self.way = way
        self.outcome = HealthOutcome()
        self.engines = [
            Engine(
                EngineId(f'i-{at}'),
                ServiceName('s1'),
                '',
                DataHall(f'hall-{at % _HALLS}'),
                _PLACES,
                EngineState.READY,
            )
            for at in range(load.engines)
        ]
        self._chance = Random(seed)
        self._now = 0.0
        self._moments: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0
        self._running: Counter[EngineId] = Counter()
        self._known: Counter[EngineId] = Counter()
        self._tries: Counter[EngineLife] = Counter()
        self._bad = frozenset(
            one.engine for one in self.engines[: load.failing]
        )
        self._owner = _Process(load.entries, self)
        self._entries = [_Process(at, self) for at in range(load.entries)]
        everyone = (*self._entries, self._owner)
        self.halls = {one.node: one.hall for one in everyone}
        self._triers = [Trier(one.node) for one in self._entries]
        if load.items:
            self._triers.append(Trier(self._owner.node, items=True))
        self._turns = TrialSchedule(lambda: self._triers)

    def play(self) -> HealthOutcome:
        """Play the load to its end."""
        clock = SimpleNamespace(uptime=lambda: self._now)
        with mock.patch.object(health, 'clock', clock):
            self._after(0, self._arrive)
            self._after(0, self._look)
            if self.load.items:
                self._after(0, self._run_items)
            while self._moments:
                self._now, _order, act = heapq.heappop(self._moments)
                act()
        return self.outcome

    def _after(self, seconds: float, act: Callable[[], None]) -> None:
        self._count += 1
        moment = self._now + seconds
        heapq.heappush(self._moments, (moment, self._count, act))

    @property
    def _faulty(self) -> bool:
        return BEGIN <= self._now < BEGIN + FAILING_SECONDS

    def _arrive(self) -> None:
        if self._now < _SECONDS:
            self._after(self._chance.expovariate(self.load.rate), self._arrive)
        self.outcome.asked += 1
        entry = self._chance.choice(self._entries)
        repeatable = self._chance.random() < self.load.repeatable
        self._send(entry, _Request(repeatable))

    def _send(self, entry: _Process, request: _Request) -> None:
        views = [
            self._view(entry, one)
            for one in self.engines
            if one.engine not in request.tried
        ]
        trial = None
        if self.way is not Way.ALONE:
            if not request.once:
                trial = self._take_trial(entry, views)
            views = list(preferred(views, once=request.once))
        view = trial
        if view is None:
            traffic = Traffic(_RUN_SECONDS, sum(self.load.news) / 2)
            placed = choose_engine(views, traffic, self._chance.random)
            assert placed is not None
            view = placed.view
        self._run(entry, request, view.engine)

    def _view(self, entry: _Process, engine: Engine) -> EngineView:
        online = self._known[engine.engine]
        near = engine.hall == entry.hall
        if self.way is Way.ALONE:
            paused = entry.health.paused(engine.engine)
            return EngineView(engine, online, same_hall=near, paused=paused)
        found = entry.verdicts.finding(life_of(engine), self._now)
        return EngineView(
            engine,
            online + found.failed_at_once,
            same_hall=near,
            paused=found.out_of_rotation,
            doubted=found.standing is Standing.DOUBTED,
        )

    def _take_trial(
        self, process: _Process, views: list[EngineView]
    ) -> EngineView | None:
        for view in views:
            life = life_of(view.engine)
            found = process.verdicts.finding(life, self._now)
            since = process.trying.get(life, -_TRIAL_SECONDS)
            if found.standing is not Standing.ON_TRIAL:
                continue
            if self._now - since < _TRIAL_SECONDS:
                continue
            if self._has_turn(process, life, self._now - found.try_at):
                process.trying[life] = self._now
                self.outcome.trials += 1
                self.outcome.trials_at_once += self._tries[life] > 0
                self._tries[life] += 1
                return view
        return None

    def _has_turn(
        self, process: _Process, life: EngineLife, waited: float
    ) -> bool:
        if self.load.by_lot:
            return self._chance.random() * len(self._triers) < 1
        return self._turns.holder(life, waited, self._now) == process.node

    def _run_items(self) -> None:
        """Let the owner try engines with items."""
        if self._now < _SECONDS:
            self._after(_OWNER_SECONDS, self._run_items)
        if self.way is Way.ALONE:
            return
        views = [self._view(self._owner, one) for one in self.engines]
        view = self._take_trial(self._owner, views)
        if view is not None:
            item = _Request(repeatable=True)
            self._run(self._owner, item, view.engine, item=True)

    def _run(
        self,
        process: _Process,
        request: _Request,
        engine: Engine,
        *,
        item: bool = False,
    ) -> None:
        name = engine.engine
        began = self._now
        request.tried.add(name)
        self._load(name, 1)
        fails = self._fails(process, engine)
        takes = self._fails_after(request) if fails else _FIRST_EVENT

        def end() -> None:
            self._load(name, -1)

        def answer() -> None:
            self._learn(process, engine, began, failed=fails)
            if not fails:
                left = _RUN_SECONDS * (0.5 + self._chance.random())
                self._after(left, end)
                return
            end()
            if item or self._excused(process):
                return
            request.tries += 1
            if request.repeatable and request.tries < 2:
                self._send(process, request)
            else:
                self.outcome.lost += 1

        self._after(takes, answer)

    def _load(self, name: EngineId, change: int) -> None:
        def know() -> None:
            self._known[name] += change

        self._running[name] += change
        self._after(self._chance.uniform(*self.load.news), know)

    def _excused(self, process: _Process) -> bool:
        """Leave out what a bad link of the entry itself loses."""
        return self.load.fault is Fault.WITNESS and process.number == 0

    def _fails(self, process: _Process, engine: Engine) -> bool:
        load = self.load
        if not self._faulty:
            return False
        if load.fault is Fault.WITNESS:
            return process.number == 0
        if engine.engine not in self._bad:
            return False
        if load.fault is Fault.ONE_HALL:
            return process.number % _HALLS == 0
        if load.fault is Fault.FLAPPING:
            return int((self._now - BEGIN) / _FLAP_SECONDS) % 2 == 0
        return self._chance.random() < load.share

    def _fails_after(self, request: _Request) -> float:
        if self.load.fault is Fault.DARK:
            return _SILENCE_SECONDS[request.once]
        if self.load.fault is Fault.RESETTING:
            return _FIRST_EVENT * 2
        return _FIRST_EVENT / 5

    def _learn(
        self, process: _Process, engine: Engine, began: float, *, failed: bool
    ) -> None:
        name = engine.engine
        if self.way is Way.ALONE:
            if failed:
                process.health.failed(name)
            else:
                process.health.succeeded(name)
            return
        life = life_of(engine)
        if process.trying.pop(life, None) is not None:
            self._tries[life] -= 1
        evidence = process.evidence
        before = evidence.arrived
        if failed:
            evidence.failed(life, FailureKind.ERROR, self._now, self._now)
            process.verdicts.look_again()
        elif life in evidence.cases:
            cleared = process.verdicts.finding(life, self._now).cleared
            evidence.answered(
                life, began, self._now, self._now, cleared=cleared
            )
        if evidence.arrived > before:
            self._tell(process, life)

    def _tell(self, process: _Process, life: EngineLife) -> None:
        said = process.evidence.cases[life][process.node]
        for other in (*self._entries, self._owner):
            if other is process or not self._hears(process, other):
                continue

            def hear(other: _Process = other) -> None:
                other.evidence.take(life, said)

            self._after(self._chance.uniform(*self.load.news), hear)

    def _hears(self, one: _Process, other: _Process) -> bool:
        unheard = self.load.unheard
        return not self._faulty or (
            one.number >= unheard and other.number >= unheard
        )

    def _look(self) -> None:
        """Add up the good engines that are left alone."""
        if self._now < _SECONDS:
            self._after(_LOOK_SECONDS, self._look)
        part = _LOOK_SECONDS / len(self._entries)
        for entry in self._entries:
            if self._excused(entry):
                continue
            for engine in self.engines:
                if self._ill(entry, engine):
                    continue
                view = self._view(entry, engine)
                self.outcome.wrongly_alone += view.paused * part
                self.outcome.wrongly_doubted += view.doubted * part

    def _ill(self, entry: _Process, engine: Engine) -> bool:
        """Tell whether an engine is rightly left alone by an entry.

        One that has just been repaired may be left alone a moment longer.
        """
        end = BEGIN + FAILING_SECONDS
        if not BEGIN <= self._now < end + 1 or engine.engine not in self._bad:
            return False
        if self.load.fault is Fault.WITNESS or self.load.share <= 0.05:
            return False
        if self.load.fault is Fault.ONE_HALL:
            return entry.number % _HALLS == 0
        return True
