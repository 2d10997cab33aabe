"""Current health state of each engine."""

from collections.abc import Callable, Mapping, Sequence

from bendlead_gateway._health.evaluator import (
    HealthEvaluator,
    LocalNode,
    ServiceEngines,
)
from bendlead_gateway._health.evidence import EvidenceTable
from bendlead_gateway._health.health_state import (
    HealthAssessment,
    HealthState,
)
from bendlead_gateway._health.observation import EngineIncarnation
from bendlead_gateway._log import Log
from bendlead_gateway.types import DataHall, Engine, NodeName, ServiceName

#: Age up to which assessments are reused; about the age of peers' reports.
_REFRESH_SECONDS = 0.05
#: Interval between expiring evidence and listing the engines anew.
_EXPIRE_SECONDS = 1.0
_HEALTHY = HealthAssessment()
_DIGITS = 2

#: Returns the engines known to service discovery.
ListEngines = Callable[[], Sequence[Engine]]
#: Returns the hall of each process.
ListHalls = Callable[[], Mapping[NodeName, DataHall]]


class HealthMonitor:
    """Cache the assessments of engines, and log each change of state."""

    def __init__(
        self,
        local_node: LocalNode,
        evidence: EvidenceTable,
        list_engines: ListEngines,
        log: Log,
        evaluator: type[HealthEvaluator] = HealthEvaluator,
    ) -> None:
        self._local_node = local_node
        self._evidence = evidence
        self._list_engines = list_engines
        self._log = log
        self._evaluator = evaluator
        self._assessments: dict[EngineIncarnation, HealthAssessment] = {}
        self._refreshed_at = 0.0
        self._expired_at = 0.0
        self._stale = False
        self._services: Sequence[ServiceEngines] = ()
        self.list_halls: ListHalls = dict

    def assess(
        self, incarnation: EngineIncarnation, now: float
    ) -> HealthAssessment:
        """Return the assessment of an engine."""
        if not self._evidence.observations and not self._assessments:
            return _HEALTHY
        if self._stale or now - self._refreshed_at > _REFRESH_SECONDS:
            self._refresh(now)
        return self._assessments.get(incarnation, _HEALTHY)

    def invalidate(self) -> None:
        """Make the next call of ``assess`` evaluate all evidence anew."""
        self._stale = True

    def assess_all(
        self, now: float
    ) -> Mapping[EngineIncarnation, HealthAssessment]:
        """Return the assessments of all engines with recent failures."""
        self._refresh(now)
        return self._assessments

    def _refresh(self, now: float) -> None:
        self._refreshed_at = now
        self._stale = False
        if now - self._expired_at > _EXPIRE_SECONDS:
            self._expired_at = now
            self._evidence.expire(now)
            self._services = self._group_engines()
        assessments: dict[EngineIncarnation, HealthAssessment] = {}
        for engines in self._observed_services():
            evaluator = self._evaluator(
                self._local_node,
                engines,
                self._evidence.observations,
                self.list_halls(),
                now,
            )
            assessments.update(evaluator.assess_all(self._ejected()))
        incarnations = self._assessments.keys() | assessments.keys()
        for incarnation in incarnations:
            self._log_change(
                incarnation,
                self._assessments.get(incarnation, _HEALTHY),
                assessments.get(incarnation),
            )
        self._assessments = assessments

    def _ejected(self) -> frozenset[EngineIncarnation]:
        return frozenset(
            incarnation
            for incarnation, assessment in self._assessments.items()
            if assessment.out_of_rotation
        )

    def _observed_services(self) -> list[ServiceEngines]:
        """Return the services with observations of any engine."""
        if any(
            not self._is_grouped(incarnation)
            for incarnation in self._evidence.observations
        ):
            # An engine was discovered, and failed, since the last refresh.
            self._services = self._group_engines()
        observed = self._evidence.observations.keys()
        return [
            service
            for service in self._services
            if not observed.isdisjoint(service.incarnations)
        ]

    def _is_grouped(self, incarnation: EngineIncarnation) -> bool:
        return any(
            incarnation in service.incarnations for service in self._services
        )

    def _group_engines(self) -> list[ServiceEngines]:
        by_service: dict[ServiceName, list[Engine]] = {}
        for engine in self._list_engines():
            by_service.setdefault(engine.service, []).append(engine)
        return [ServiceEngines.of(engines) for engines in by_service.values()]

    def _log_change(
        self,
        incarnation: EngineIncarnation,
        previous: HealthAssessment,
        assessment: HealthAssessment | None,
    ) -> None:
        latest = assessment or _HEALTHY
        if _logged_state(latest.state) == _logged_state(previous.state):
            return
        self._log.event(
            'engine-standing',
            engine=incarnation.engine,
            born=incarnation.born,
            before=_logged_state(previous.state),
            standing=_logged_state(latest.state),
            score=round(latest.score, _DIGITS),
            failures=round(latest.failures, _DIGITS),
            answers=round(latest.answers, _DIGITS),
            good=f'{latest.good}/{latest.good_needed}',
            witnesses=latest.observers,
        )


def _logged_state(state: HealthState) -> str:
    """Log backoff and trials as one state, since they alternate."""
    if state is HealthState.EJECTED:
        return HealthState.ON_TRIAL.value
    return state.value
