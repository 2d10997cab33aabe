"""Engine health as the whole fleet knows it, for whoever sends requests."""

import time
from collections.abc import Callable, Iterable, Sequence

from bendlead_schema.gateway import EngineEvidence
from bendlead_store import clock
from result import Err

from bendlead_gateway._health import codec
from bendlead_gateway._health.evaluator import LocalNode
from bendlead_gateway._health.evidence import EvidenceTable
from bendlead_gateway._health.failed_requests import FailedRequests
from bendlead_gateway._health.health_state import HealthAssessment, HealthState
from bendlead_gateway._health.monitor import (
    HealthMonitor,
    ListEngines,
    ListHalls,
)
from bendlead_gateway._health.observation import (
    EngineIncarnation,
    FailureKind,
    incarnation_of,
)
from bendlead_gateway._health.trial import (
    ListTrialNodes,
    TrialNode,
    TrialSchedule,
)
from bendlead_gateway._log import Log
from bendlead_gateway._metrics import Metrics
from bendlead_gateway._scheduling.view import EngineView
from bendlead_gateway._suspects.digest import RequestDigest
from bendlead_gateway.types import Engine

#: Records that one report tells; the others follow in the next.
_MOST_TOLD = 64
#: A trial without an outcome after this long (s) was given up by its caller.
_TRIAL_SECONDS = 1.5


class SharedHealth:
    """Gather evidence here and from peers, and tell how engines stand."""

    def __init__(
        self,
        seat: LocalNode,
        list_engines: ListEngines,
        log: Log,
        metrics: Metrics,
    ) -> None:
        self._seat = seat
        self._log = log
        self._metrics = metrics
        self._list_engines = list_engines
        self._evidence = EvidenceTable(seat.node)
        self.monitor = HealthMonitor(seat, self._evidence, list_engines, log)
        self._requests = FailedRequests()
        self._trials: dict[EngineIncarnation, float] = {}
        self._turns = TrialSchedule(self._alone)

    def meet(self, list_triers: ListTrialNodes, list_halls: ListHalls) -> None:
        """Ask here which other processes there are."""
        self._turns = TrialSchedule(list_triers)
        self.monitor.list_halls = list_halls

    @property
    def any_suspected(self) -> bool:
        """Tell whether any engine has failed of late."""
        return bool(self._evidence.cases)

    @property
    def arrived(self) -> int:
        """Count the news so far; what is told rests while this does."""
        return self._evidence.arrived

    def finding(self, engine: Engine) -> HealthAssessment:
        """Tell how an engine stands."""
        return self.monitor.finding(incarnation_of(engine), clock.uptime())

    def failed(
        self,
        engine: Engine,
        kind: FailureKind | None,
        digest: RequestDigest | None,
    ) -> None:
        """Note a failure, unless it is our own or the request brings it."""
        if kind is None:
            return
        life = incarnation_of(engine)
        self._trials.pop(life, None)
        if digest and self._requests.brings_failure(digest, life):
            self._log.event(
                'failure-of-request', engine=engine.engine, digest=digest
            )
            return
        self._evidence.failed(life, kind, clock.uptime(), time.time())
        self.monitor.invalidate()
        self._metrics.load.engine_evidence[kind.value] += 1

    def answered(
        self,
        engine: Engine,
        began: float,
        digest_of: Callable[[], RequestDigest],
    ) -> None:
        """Note the begin of a good answer to a request sent at a moment."""
        self._requests.answered(digest_of)
        life = incarnation_of(engine)
        self._trials.pop(life, None)
        if life in self._evidence.cases:
            cleared = self.finding(engine).cleared
            self._evidence.answered(
                life, began, clock.uptime(), time.time(), cleared=cleared
            )

    def take_trial(self, views: Iterable[EngineView]) -> EngineView | None:
        """Take an engine that this process is to try now, if there is one."""
        for view in views:
            if view.paused and self._may_try(view):
                life = incarnation_of(view.engine)
                self._trials[life] = clock.uptime()
                self._metrics.load.engine_trials += 1
                self._log.event(
                    'engine-trial', engine=view.name, born=life.born
                )
                return view
        return None

    def hear(self, told: Sequence[EngineEvidence]) -> None:
        """Take what a peer tells of engines."""
        if not told:
            return
        now = clock.uptime()
        lives = {incarnation_of(one) for one in self._list_engines()}
        for one in told:
            life = codec.incarnation_in(one)
            found = codec.read(one, now)
            if isinstance(found, Err):
                self._pass_over(one, found.err_value)
            elif life in lives:
                self._evidence.take(life, found.ok_value)
            else:
                self._pass_over(one, 'no such engine is listed')

    def news(self, after: int) -> tuple[int, list[EngineEvidence]]:
        """Tell what arrived after a number, and up to which number."""
        told: list[EngineEvidence] = []
        now = clock.uptime()
        for number, life, one in self._evidence.since(after):
            if len(told) == _MOST_TOLD:
                break
            after = number
            told.append(codec.write(life, one, now))
        return after, told

    def forget(self, engine: Engine) -> None:
        """Forget a life of an engine that is over."""
        self._evidence.forget(incarnation_of(engine))
        self._trials.pop(incarnation_of(engine), None)

    def summary(self) -> dict[str, object]:
        """Show standings with their evidence, for the state dump."""
        now = clock.uptime()
        found = self.monitor.all(now)
        return {
            life.engine: {
                'born': life.born,
                'standing': one.standing.value,
                'score': round(one.score, 2),
                'good': one.good,
                'good_needed': one.good_needed,
                'tries': self._holder(life, one, now),
                'evidence': [
                    codec.write(life, testimony, now)
                    for testimony in self._evidence.cases[life].values()
                ],
            }
            for life, one in found.items()
            if life in self._evidence.cases
        }

    def _may_try(self, view: EngineView) -> bool:
        """Tell whether a trial is due, and this process has the turn."""
        now = clock.uptime()
        found = self.finding(view.engine)
        if found.standing is not HealthState.ON_TRIAL:
            return False
        life = incarnation_of(view.engine)
        if now - self._trials.get(life, -_TRIAL_SECONDS) < _TRIAL_SECONDS:
            return False
        return self._holder(life, found, now) == self._seat.node

    def _holder(
        self, life: EngineIncarnation, found: HealthAssessment, now: float
    ) -> str | None:
        if not found.out_of_rotation:
            return None
        return self._turns.holder(life, now - found.try_at, now)

    def _alone(self) -> Sequence[TrialNode]:
        return (TrialNode(self._seat.node),)

    def _pass_over(self, told: EngineEvidence, reason: str) -> None:
        self._log.event(
            'evidence-unusable',
            engine=told.engine,
            witness=told.witness,
            reason=reason,
        )
