"""Simulate failing engines, and how entries detect and avoid them.

Placement, health assessment and the schedule of trials are the production
code, in simulated time. Load counts and observations reach other processes
after a delay.
"""

import enum
import heapq
from collections import Counter
from collections.abc import Callable
from random import Random
from types import SimpleNamespace
from unittest import mock

from bendlead_gateway._fleet import health
from bendlead_gateway._health.evaluator import HealthEvaluator, LocalNode
from bendlead_gateway._health.evidence import EvidenceTable
from bendlead_gateway._health.health_state import HealthState
from bendlead_gateway._health.monitor import HealthMonitor
from bendlead_gateway._health.observation import (
    EngineIncarnation,
    FailureKind,
    incarnation_of,
)
from bendlead_gateway._health.preference import prefer_trusted
from bendlead_gateway._health.trial import TrialNode, TrialSchedule, rank
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

#: Start and length of the failure within the load.
BEGIN_SECONDS = 5.0
FAILING_SECONDS = 10.0
_LOAD_SECONDS = 20.0
_RUN_SECONDS = 0.7
_FIRST_EVENT_SECONDS = 0.05
#: Timeout for a silent engine, if the request can be retried and if not.
_SILENCE_TIMEOUT_SECONDS = (0.2, 2.0)
_FLAP_PERIOD_SECONDS = 2.0
_TRIAL_TIMEOUT_SECONDS = 1.5
_SAMPLE_SECONDS = 0.25
_OWNER_POLL_SECONDS = 0.05
_HALLS = 4
_SLOTS = 8


class DetectionMode(enum.Enum):
    """How entries detect failing engines."""

    LOCAL = 'each alone'
    UNWEIGHTED = 'shared counts'
    SHARED = 'by witness'
    HALL_PROBER = 'one prober a hall'


class Fault(enum.Enum):
    """How engines, or a link, fail."""

    FAST_ERRORS = 'lying'
    FLAPPING = 'flapping'
    PARTIAL = 'grey'
    RESETTING = 'resetting'
    UNRESPONSIVE = 'dark'
    ONE_HALL = 'one hall only'
    #: The link of one entry fails, and no engine.
    BAD_OBSERVER = 'a bad witness'


class HealthLoad(Struct, frozen=True):
    """Fault and request load; rates are per second."""

    fault: Fault
    entries: int = 20
    engines: int = 40
    failing: int = 6
    #: Share of its requests that a failing engine fails.
    share: float = 1.0
    rate: float = 190.0
    repeatable: float = 0.22
    #: Whether an owner has items to send as trials.
    items: bool = True
    random_trials: bool = False
    #: Bounds of the delay of updates between processes (s).
    update_delay: tuple[float, float] = (0.05, 0.1)
    #: Entries cut off from all other processes while engines fail.
    isolated: int = 0


class HealthOutcome(Struct):
    """Lost requests, trials, and good engines ejected or doubted."""

    sent: int = 0
    lost: int = 0
    #: Engine-seconds of good engines, averaged over the entries.
    wrongly_ejected: float = 0
    wrongly_doubted: float = 0
    trials: int = 0
    #: Trials started while another trial of the engine was running.
    concurrent_trials: int = 0


class _UnweightedEvaluator(HealthEvaluator):
    """Count observations of peers like those of this process."""

    def weight(self, _decayed):
        return 1

    def find_unreliable(self):
        return set()


class _HallProberEvaluator(_UnweightedEvaluator):
    """Count the observations of one process in each hall."""

    def reliable_observations(self, incarnation):
        own = self._local_node
        near = [
            TrialNode(node)
            for node, hall in self._halls.items()
            if hall == own.hall
        ]
        prober = rank(incarnation, near)[0].node if near else None
        for observer, decayed in self._observations[incarnation].items():
            if observer in {own.node, prober}:
                yield decayed


_EVALUATORS = {
    DetectionMode.LOCAL: HealthEvaluator,
    DetectionMode.UNWEIGHTED: _UnweightedEvaluator,
    DetectionMode.SHARED: HealthEvaluator,
    DetectionMode.HALL_PROBER: _HallProberEvaluator,
}


class _Request(Struct, eq=False):
    repeatable: bool
    tries: int = 0
    tried: set[EngineId] = field(default_factory=set)

    @property
    def once(self) -> bool:
        """Whether the request is lost at the next failure."""
        return not self.repeatable or self.tries > 0


class _Process:
    """One entry, or the owner."""

    def __init__(self, number: int, replay: 'HealthReplay') -> None:
        self.number = number
        self.node = NodeName(f'n-{number}')
        self.hall = DataHall(f'hall-{number % _HALLS}')
        self.evidence = EvidenceTable(self.node)
        self.health = health.EngineHealth()
        self.monitor = HealthMonitor(
            LocalNode(self.node, self.hall),
            self.evidence,
            lambda: replay.engines,
            SimpleNamespace(event=lambda *_kind, **_fields: None),
            _EVALUATORS[replay.mode],
        )
        self.monitor.list_halls = lambda: replay.halls
        self.trials: dict[EngineIncarnation, float] = {}


class HealthReplay:
    """Simulation of one load with one detection mode."""

    def __init__(
        self, load: HealthLoad, mode: DetectionMode, seed: int
    ) -> None:
        self.load = load
        self.mode = mode
        self.outcome = HealthOutcome()
        self.engines = [
            Engine(
                EngineId(f'i-{at}'),
                ServiceName('s1'),
                '',
                DataHall(f'hall-{at % _HALLS}'),
                _SLOTS,
                EngineState.READY,
            )
            for at in range(load.engines)
        ]
        self._random = Random(seed)
        self._now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_count = 0
        self._running: Counter[EngineId] = Counter()
        self._known_load: Counter[EngineId] = Counter()
        self._running_trials: Counter[EngineIncarnation] = Counter()
        self._failing = frozenset(
            engine.engine for engine in self.engines[: load.failing]
        )
        self._owner = _Process(load.entries, self)
        self._entries = [_Process(at, self) for at in range(load.entries)]
        processes = (*self._entries, self._owner)
        self.halls = {process.node: process.hall for process in processes}
        self._trial_nodes = [TrialNode(entry.node) for entry in self._entries]
        if load.items:
            self._trial_nodes.append(TrialNode(self._owner.node, items=True))
        self._schedule = TrialSchedule(lambda: self._trial_nodes)

    def play(self) -> HealthOutcome:
        """Run the load to its end and return the outcome."""
        clock = SimpleNamespace(uptime=lambda: self._now)
        with mock.patch.object(health, 'clock', clock):
            self._after(0, self._arrive)
            self._after(0, self._sample)
            if self.load.items:
                self._after(0, self._run_items)
            while self._events:
                self._now, _order, action = heapq.heappop(self._events)
                action()
        return self.outcome

    def _after(self, seconds: float, action: Callable[[], None]) -> None:
        self._event_count += 1
        at = self._now + seconds
        heapq.heappush(self._events, (at, self._event_count, action))

    @property
    def _fault_active(self) -> bool:
        return BEGIN_SECONDS <= self._now < BEGIN_SECONDS + FAILING_SECONDS

    def _arrive(self) -> None:
        if self._now < _LOAD_SECONDS:
            self._after(self._random.expovariate(self.load.rate), self._arrive)
        self.outcome.sent += 1
        entry = self._random.choice(self._entries)
        repeatable = self._random.random() < self.load.repeatable
        self._send(entry, _Request(repeatable))

    def _send(self, entry: _Process, request: _Request) -> None:
        views = [
            self._view(entry, engine)
            for engine in self.engines
            if engine.engine not in request.tried
        ]
        trial = None
        if self.mode is not DetectionMode.LOCAL:
            if not request.once:
                trial = self._start_trial(entry, views)
            views = list(prefer_trusted(views, once=request.once))
        view = trial
        if view is None:
            traffic = Traffic(_RUN_SECONDS, sum(self.load.update_delay) / 2)
            placed = choose_engine(views, traffic, self._random.random)
            assert placed is not None
            view = placed.view
        self._run(entry, request, view.engine)

    def _view(self, entry: _Process, engine: Engine) -> EngineView:
        online = self._known_load[engine.engine]
        near = engine.hall == entry.hall
        if self.mode is DetectionMode.LOCAL:
            paused = entry.health.paused(engine.engine)
            return EngineView(engine, online, same_hall=near, paused=paused)
        assessment = entry.monitor.assess(incarnation_of(engine), self._now)
        return EngineView(
            engine,
            online + assessment.failure_load,
            same_hall=near,
            paused=assessment.out_of_rotation,
            doubted=assessment.state is HealthState.DOUBTED,
        )

    def _start_trial(
        self, process: _Process, views: list[EngineView]
    ) -> EngineView | None:
        for view in views:
            incarnation = incarnation_of(view.engine)
            assessment = process.monitor.assess(incarnation, self._now)
            started = process.trials.get(incarnation, -_TRIAL_TIMEOUT_SECONDS)
            if assessment.state is not HealthState.ON_TRIAL:
                continue
            if self._now - started < _TRIAL_TIMEOUT_SECONDS:
                continue
            if self._has_turn(
                process, incarnation, self._now - assessment.next_trial_at
            ):
                process.trials[incarnation] = self._now
                self.outcome.trials += 1
                self.outcome.concurrent_trials += (
                    self._running_trials[incarnation] > 0
                )
                self._running_trials[incarnation] += 1
                return view
        return None

    def _has_turn(
        self, process: _Process, incarnation: EngineIncarnation, waited: float
    ) -> bool:
        if self.load.random_trials:
            return self._random.random() * len(self._trial_nodes) < 1
        return (
            self._schedule.assigned_node(incarnation, waited, self._now)
            == process.node
        )

    def _run_items(self) -> None:
        """Send items of the owner as trials."""
        if self._now < _LOAD_SECONDS:
            self._after(_OWNER_POLL_SECONDS, self._run_items)
        if self.mode is DetectionMode.LOCAL:
            return
        views = [self._view(self._owner, engine) for engine in self.engines]
        view = self._start_trial(self._owner, views)
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
        sent_at = self._now
        request.tried.add(name)
        self._change_load(name, 1)
        fails = self._fails(process, engine)
        delay = self._failure_delay(request) if fails else _FIRST_EVENT_SECONDS

        def end() -> None:
            self._change_load(name, -1)

        def respond() -> None:
            kind = self._failure_kind(request) if fails else None
            self._record_outcome(process, engine, sent_at, kind)
            if not fails:
                remaining = _RUN_SECONDS * (0.5 + self._random.random())
                self._after(remaining, end)
                return
            end()
            if item or self._has_bad_link(process):
                return
            request.tries += 1
            if request.repeatable and request.tries < 2:
                self._send(process, request)
            else:
                self.outcome.lost += 1

        self._after(delay, respond)

    def _change_load(self, name: EngineId, change: int) -> None:
        def deliver() -> None:
            self._known_load[name] += change

        self._running[name] += change
        self._after(self._random.uniform(*self.load.update_delay), deliver)

    def _has_bad_link(self, process: _Process) -> bool:
        """Return whether losses of an entry are due to its own link."""
        return self.load.fault is Fault.BAD_OBSERVER and process.number == 0

    def _fails(self, process: _Process, engine: Engine) -> bool:
        load = self.load
        if not self._fault_active:
            return False
        if load.fault is Fault.BAD_OBSERVER:
            return process.number == 0
        if engine.engine not in self._failing:
            return False
        if load.fault is Fault.ONE_HALL:
            return process.number % _HALLS == 0
        if load.fault is Fault.FLAPPING:
            return (
                int((self._now - BEGIN_SECONDS) / _FLAP_PERIOD_SECONDS) % 2 == 0
            )
        return self._random.random() < load.share

    def _failure_delay(self, request: _Request) -> float:
        if self.load.fault is Fault.UNRESPONSIVE:
            return _SILENCE_TIMEOUT_SECONDS[request.once]
        if self.load.fault is Fault.RESETTING:
            return _FIRST_EVENT_SECONDS * 2
        return _FIRST_EVENT_SECONDS / 5

    def _failure_kind(self, request: _Request) -> FailureKind:
        """Return what a failing engine does to a request."""
        if self.load.fault is not Fault.UNRESPONSIVE:
            return FailureKind.ERROR
        return FailureKind.SILENT if request.once else FailureKind.SLOW

    def _record_outcome(
        self,
        process: _Process,
        engine: Engine,
        sent_at: float,
        failure: FailureKind | None,
    ) -> None:
        name = engine.engine
        if self.mode is DetectionMode.LOCAL:
            if failure:
                process.health.record_failure(name)
            else:
                process.health.record_success(name)
            return
        incarnation = incarnation_of(engine)
        if process.trials.pop(incarnation, None) is not None:
            self._running_trials[incarnation] -= 1
        evidence = process.evidence
        revision = evidence.revision
        if failure:
            evidence.record_failure(
                incarnation, failure, self._now, self._now, sent_at
            )
            process.monitor.invalidate()
        elif incarnation in evidence.observations:
            cleared = process.monitor.assess(incarnation, self._now).cleared
            evidence.record_success(
                incarnation, sent_at, self._now, self._now, cleared=cleared
            )
        if evidence.revision > revision:
            self._send_update(process, incarnation)

    def _send_update(
        self, process: _Process, incarnation: EngineIncarnation
    ) -> None:
        observation = process.evidence.observations[incarnation][process.node]
        for other in (*self._entries, self._owner):
            if other is process or not self._linked(process, other):
                continue

            def deliver(other: _Process = other) -> None:
                other.evidence.merge(incarnation, observation)

            self._after(self._random.uniform(*self.load.update_delay), deliver)

    def _linked(self, sender: _Process, receiver: _Process) -> bool:
        isolated = self.load.isolated
        return not self._fault_active or (
            sender.number >= isolated and receiver.number >= isolated
        )

    def _sample(self) -> None:
        """Add up the good engines that are ejected or doubted."""
        if self._now < _LOAD_SECONDS:
            self._after(_SAMPLE_SECONDS, self._sample)
        weight = _SAMPLE_SECONDS / len(self._entries)
        for entry in self._entries:
            if self._has_bad_link(entry):
                continue
            for engine in self.engines:
                if self._rightly_ejected(entry, engine):
                    continue
                view = self._view(entry, engine)
                self.outcome.wrongly_ejected += view.paused * weight
                self.outcome.wrongly_doubted += view.doubted * weight

    def _rightly_ejected(self, entry: _Process, engine: Engine) -> bool:
        """Return whether an entry is right to eject an engine.

        A repaired engine may stay ejected for another second.
        """
        end = BEGIN_SECONDS + FAILING_SECONDS
        if (
            not BEGIN_SECONDS <= self._now < end + 1
            or engine.engine not in self._failing
        ):
            return False
        if self.load.fault is Fault.BAD_OBSERVER or self.load.share <= 0.05:
            return False
        if self.load.fault is Fault.ONE_HALL:
            return entry.number % _HALLS == 0
        return True
