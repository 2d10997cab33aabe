"""How each engine stands now, and since when it does."""

from collections.abc import Callable, Mapping, Sequence

from bendlead_gateway._health.evaluator import (
    HealthEvaluator,
    LocalNode,
    ServiceEngines,
)
from bendlead_gateway._health.evidence import EvidenceTable
from bendlead_gateway._health.health_state import HealthAssessment, HealthState
from bendlead_gateway._health.observation import EngineIncarnation
from bendlead_gateway._log import Log
from bendlead_gateway.types import DataHall, Engine, NodeName, ServiceName

#: News of peers is about this old (s), so judging more often costs time and
#: tells nothing new.
_LOOK_SECONDS = 0.05
#: What has faded is dropped, and engines are sorted anew, this often (s).
_EXPIRE_SECONDS = 1.0
_FINE = HealthAssessment()
_DIGITS = 2

#: Lists the engines that service discovery tells of.
ListEngines = Callable[[], Sequence[Engine]]
#: Gives the hall of each process.
ListHalls = Callable[[], Mapping[NodeName, DataHall]]


class HealthMonitor:
    """Judge anew where evidence or time calls for it, and log each change."""

    def __init__(
        self,
        seat: LocalNode,
        evidence: EvidenceTable,
        list_engines: ListEngines,
        log: Log,
        judge: type[HealthEvaluator] = HealthEvaluator,
    ) -> None:
        self._seat = seat
        self._evidence = evidence
        self._list_engines = list_engines
        self._log = log
        self._judge = judge
        self._found: dict[EngineIncarnation, HealthAssessment] = {}
        self._looked_at = 0.0
        self._expired_at = 0.0
        self._stale = False
        self._services: Sequence[ServiceEngines] = ()
        self.list_halls: ListHalls = dict

    def finding(self, life: EngineIncarnation, now: float) -> HealthAssessment:
        """Give how an engine stands."""
        if not self._evidence.cases and not self._found:
            return _FINE
        if self._stale or now - self._looked_at > _LOOK_SECONDS:
            self._look(now)
        return self._found.get(life, _FINE)

    def invalidate(self) -> None:
        """Weigh anew at the next question: something failed here."""
        self._stale = True

    def all(self, now: float) -> Mapping[EngineIncarnation, HealthAssessment]:
        """Give how each engine under suspicion stands."""
        self._look(now)
        return self._found

    def _look(self, now: float) -> None:
        self._looked_at = now
        self._stale = False
        if now - self._expired_at > _EXPIRE_SECONDS:
            self._expired_at = now
            self._evidence.expire(now)
            self._services = self._sort_engines()
        found: dict[EngineIncarnation, HealthAssessment] = {}
        for engines in self._touched():
            judge = self._judge(
                self._seat,
                engines,
                self._evidence.cases,
                self.list_halls(),
                now,
            )
            found.update(judge.findings(self._apart()))
        known = self._found.keys() | found.keys()
        for life in known:
            self._note(life, self._found.get(life, _FINE), found.get(life))
        self._found = found

    def _apart(self) -> frozenset[EngineIncarnation]:
        return frozenset(
            life for life, one in self._found.items() if one.out_of_rotation
        )

    def _touched(self) -> list[ServiceEngines]:
        """List the services where any engine is under suspicion."""
        if any(not self._sorted(life) for life in self._evidence.cases):
            # One was listed since, and has failed already.
            self._services = self._sort_engines()
        lives = self._evidence.cases.keys()
        return [
            one for one in self._services if not lives.isdisjoint(one.lives)
        ]

    def _sorted(self, life: EngineIncarnation) -> bool:
        return any(life in one.lives for one in self._services)

    def _sort_engines(self) -> list[ServiceEngines]:
        by_service: dict[ServiceName, list[Engine]] = {}
        for one in self._list_engines():
            by_service.setdefault(one.service, []).append(one)
        return [ServiceEngines.of(engines) for engines in by_service.values()]

    def _note(
        self,
        life: EngineIncarnation,
        before: HealthAssessment,
        found: HealthAssessment | None,
    ) -> None:
        after = found or _FINE
        if _shown(after.standing) == _shown(before.standing):
            return
        self._log.event(
            'engine-standing',
            engine=life.engine,
            born=life.born,
            before=_shown(before.standing),
            standing=_shown(after.standing),
            score=round(after.score, _DIGITS),
            failures=round(after.failures, _DIGITS),
            answers=round(after.answers, _DIGITS),
            good=f'{after.good}/{after.good_needed}',
            witnesses=after.witnesses,
        )


def _shown(standing: HealthState) -> str:
    """Take a pause and the trials between pauses for one standing."""
    if standing is HealthState.EJECTED:
        return HealthState.ON_TRIAL.value
    return standing.value
