"""Health states of a service's engines, from all processes' observations.

The score of an engine is the log-likelihood ratio of its outcomes between an
engine that fails a fifth of its requests and one that fails one in twenty,
which is tolerated. A process trusts its own observations; those of others count
fully only where several agree, and not at all from an observer whose own
network link seems to have failed.
"""

import math
from collections.abc import Collection, Iterable, Mapping, Sequence

from msgspec import Struct
from msgspec.structs import replace

from bendlead_gateway._health.health_state import (
    HealthAssessment,
    HealthState,
)
from bendlead_gateway._health.observation import (
    MAX_FAILURES,
    DecayedObservation,
    EngineIncarnation,
    Observation,
    incarnation_of,
)
from bendlead_gateway.types import DataHall, Engine, NodeName

#: Share of requests that a bad and an acceptable engine fail.
_BAD_SHARE = 0.2
_ACCEPTABLE_SHARE = 0.05
_FAILURE_SCORE = math.log(_BAD_SHARE / _ACCEPTABLE_SHARE)
_SUCCESS_SCORE = math.log((1 - _BAD_SHARE) / (1 - _ACCEPTABLE_SHARE))
#: Engines are ejected from this score on: two failures within a second without
#: a success, or more failures among a few successes.
_EJECT_SCORE = 2.6
#: Below this score an ejected engine returns, even without a trial.
_RETURN_SCORE = 1.4
#: From this score on, which one recent failure reaches, requests that can't be
#: retried go to other engines.
_DOUBT_SCORE = 0.5
#: Bound on the failures that count from a single other process, or from other
#: processes in a single other hall: enough for doubt, too few to eject.
_MAX_UNCONFIRMED_FAILURES = 1.0
#: Consecutive successes, over all processes, after which an engine is trusted
#: again: twice the number of failures, within these bounds.
_GOOD_PER_FAILURE = 2
_MIN_GOOD = 6
_MAX_GOOD = 8
#: Bound on the ejected share of a service, so that the others can take the
#: load; the engines with the highest scores are ejected first.
_MAX_EJECTED_SHARE = 0.4
#: An observer that sees this share of all engines failing, and at least this
#: many, is assumed to have a bad link or to be broken itself.
_UNRELIABLE_SHARE = 1 / 3
_UNRELIABLE_MIN_ENGINES = 3
#: An observer that sees this share of another hall failing, and at least this
#: many engines, is assumed to be cut off from it.
_CUT_HALL_SHARE = 0.5
_CUT_HALL_MIN_ENGINES = 2
#: Decayed failures from which an observer counts as seeing an engine fail.
_MIN_FAILURES = 0.5
#: Backoff before an ejected engine gets a trial.
_FIRST_BACKOFF_SECONDS = 0.5
_MAX_BACKOFF_SECONDS = 4.0


class LocalNode(Struct, frozen=True):
    """Name and hall of this process."""

    node: NodeName
    hall: DataHall


class ServiceEngines(Struct, frozen=True):
    """Engines of a service by incarnation, and their number in each hall."""

    incarnations: Mapping[EngineIncarnation, Engine]
    halls: Mapping[DataHall, int]

    @classmethod
    def of(cls, engines: Sequence[Engine]) -> 'ServiceEngines':
        """Index the engines of a service."""
        incarnations = {incarnation_of(engine): engine for engine in engines}
        return cls(incarnations, _count_by_hall(engines))


#: Observations of an incarnation by observer.
ObservationsByNode = Mapping[NodeName, Observation]


class HealthEvaluator:
    """Assess the engines of one service at one moment."""

    def __init__(
        self,
        local_node: LocalNode,
        engines: ServiceEngines,
        observations: Mapping[EngineIncarnation, ObservationsByNode],
        halls: Mapping[NodeName, DataHall],
        now: float,
    ) -> None:
        self._local_node = local_node
        self._engines = engines
        self._halls = halls
        self._now = now
        self._observations: dict[
            EngineIncarnation, dict[NodeName, DecayedObservation]
        ] = {}
        for incarnation, by_observer in observations.items():
            if incarnation in engines.incarnations:
                self._observations[incarnation] = {
                    observer: observation.decayed(now)
                    for observer, observation in by_observer.items()
                }
        self._unreliable = self.find_unreliable()

    def assess_all(
        self, ejected: Collection[EngineIncarnation]
    ) -> dict[EngineIncarnation, HealthAssessment]:
        """Assess each observed incarnation, given those ejected so far."""
        assessments = {
            incarnation: self._assess(incarnation)
            for incarnation in self._observations
        }
        bad = [
            incarnation
            for incarnation, assessment in assessments.items()
            if not assessment.cleared
            and assessment.score >= _eject_threshold(incarnation in ejected)
        ]
        bad.sort(
            key=lambda incarnation: assessments[incarnation].score,
            reverse=True,
        )
        max_ejected = max(
            1, int(len(self._engines.incarnations) * _MAX_EJECTED_SHARE)
        )
        return {
            incarnation: _with_state(
                assessment, incarnation in bad[:max_ejected], self._now
            )
            for incarnation, assessment in assessments.items()
        }

    def reliable_observations(
        self, incarnation: EngineIncarnation
    ) -> Iterable[DecayedObservation]:
        """Yield the observations that count for this process."""
        for observer, observation in self._observations[incarnation].items():
            if (observer, incarnation) not in self._unreliable:
                yield observation

    def weight(self, decayed: DecayedObservation) -> float:
        """Return a weight that bounds the failures of a single peer."""
        own = decayed.observation.observer == self._local_node.node
        if own or decayed.weighted_failures <= _MAX_UNCONFIRMED_FAILURES:
            return 1
        return _MAX_UNCONFIRMED_FAILURES / decayed.weighted_failures

    def find_unreliable(self) -> set[tuple[NodeName, EngineIncarnation]]:
        """Find observations that the observer's own link may explain."""
        failing: dict[NodeName, list[Engine]] = {}
        for incarnation, by_observer in self._observations.items():
            engine = self._engines.incarnations[incarnation]
            for observer, decayed in by_observer.items():
                if decayed.failures >= _MIN_FAILURES:
                    failing.setdefault(observer, []).append(engine)
        unreliable: set[tuple[NodeName, EngineIncarnation]] = set()
        for observer, engines in failing.items():
            if observer == self._local_node.node:
                continue
            if _is_large_share(len(engines), len(self._engines.incarnations)):
                unreachable = engines
            else:
                unreachable = self._cut_off(observer, engines)
            unreliable.update(
                (observer, incarnation_of(engine)) for engine in unreachable
            )
        return unreliable

    def _assess(self, incarnation: EngineIncarnation) -> HealthAssessment:
        """Sum up the reliable observations; the state is set later."""
        failures = 0.0
        answers = 0.0
        reliable = list(self.reliable_observations(incarnation))
        for decayed in reliable:
            weight = self.weight(decayed)
            failures += decayed.weighted_failures * weight
            answers += decayed.answers * weight
        max_failures = (
            _MAX_UNCONFIRMED_FAILURES
            if self._only_other_hall(reliable)
            else MAX_FAILURES
        )
        failures = min(failures, max_failures)
        observations = [decayed.observation for decayed in reliable]
        failed_at = max(
            (observation.failed_at for observation in observations),
            default=-math.inf,
        )
        needed = max(_MIN_GOOD, round(failures * _GOOD_PER_FAILURE))
        good = [
            observation
            for observation in observations
            if observation.good and observation.at > failed_at
        ]
        return HealthAssessment(
            score=failures * _FAILURE_SCORE + answers * _SUCCESS_SCORE,
            failures=failures,
            answers=answers,
            good=sum(observation.good for observation in good),
            good_needed=min(_MAX_GOOD, needed),
            observers=sum(
                decayed.failures >= _MIN_FAILURES for decayed in reliable
            ),
            next_trial_at=max(
                [
                    failed_at + _backoff_seconds(failures),
                    *(observation.at for observation in good),
                ]
            ),
        )

    def _only_other_hall(self, reliable: Sequence[DecayedObservation]) -> bool:
        """Return whether only a single other hall sees an engine fail.

        The link between the halls may have failed instead of the engine.
        """
        halls = {
            self._halls.get(decayed.observation.observer, self._local_node.hall)
            for decayed in reliable
            if decayed.failures >= _MIN_FAILURES
        }
        return len(halls) == 1 and self._local_node.hall not in halls

    def _cut_off(
        self, observer: NodeName, failing: Sequence[Engine]
    ) -> list[Engine]:
        """Return the engines in halls that an observer can't reach.

        Observers in the hall of this process share its links, so their
        observations count.
        """
        hall = self._halls.get(observer)
        if hall == self._local_node.hall:
            return []
        counts = _count_by_hall(failing)
        cut = {
            other
            for other, count in counts.items()
            if other != hall
            and count >= _CUT_HALL_MIN_ENGINES
            and count >= self._engines.halls[other] * _CUT_HALL_SHARE
        }
        return [engine for engine in failing if engine.hall in cut]


def _with_state(
    assessment: HealthAssessment, bad: bool, now: float
) -> HealthAssessment:
    state = HealthState.TRUSTED
    if bad:
        due = now >= assessment.next_trial_at
        state = HealthState.ON_TRIAL if due else HealthState.EJECTED
    elif not assessment.cleared and assessment.score >= _DOUBT_SCORE:
        state = HealthState.DOUBTED
    return replace(assessment, state=state)


def _eject_threshold(ejected: bool) -> float:
    return _RETURN_SCORE if ejected else _EJECT_SCORE


def _backoff_seconds(failures: float) -> float:
    """Return the exponential backoff before the next trial."""
    backoff = _FIRST_BACKOFF_SECONDS * 2 ** max(0, failures - 2)
    return min(_MAX_BACKOFF_SECONDS, backoff)


def _is_large_share(failing: int, engines: int) -> bool:
    large = failing >= engines * _UNRELIABLE_SHARE
    return large and failing >= _UNRELIABLE_MIN_ENGINES


def _count_by_hall(engines: Iterable[Engine]) -> dict[DataHall, int]:
    counts: dict[DataHall, int] = {}
    for engine in engines:
        counts[engine.hall] = counts.get(engine.hall, 0) + 1
    return counts
