"""Which engines are trusted, tried or left alone, by all testimonies.

Load patterns: engines whose health check is good while they fail all requests,
a part of them, or those from one hall; and witnesses that find engines failing
because of their own link.

How likely the outcomes are for an engine that fails a fifth of its requests is
weighed against one that fails one in twenty, which is no reason to leave it
alone. A process follows its own findings, and those of others as far as
several agree.
"""

import math
from collections.abc import Collection, Iterable, Mapping, Sequence

from msgspec import Struct
from msgspec.structs import replace

from bendlead_gateway._health.health_state import HealthAssessment, HealthState
from bendlead_gateway._health.observation import (
    MAX_FAILURES,
    DecayedObservation,
    EngineIncarnation,
    Observation,
    incarnation_of,
)
from bendlead_gateway.types import DataHall, Engine, NodeName

#: An engine that fails this share of its requests is to be left alone,
_BAD_SHARE = 0.2
#: and one that fails this share is as good as the others.
_FAIR_SHARE = 0.05
_FAILURE_SCORE = math.log(_BAD_SHARE / _FAIR_SHARE)
_ANSWER_SCORE = math.log((1 - _BAD_SHARE) / (1 - _FAIR_SHARE))
#: From this score on an engine is left alone: two failures within a second
#: without an answer between, or more of them among a few answers.
_LEAVE_SCORE = 2.6
#: Below this one it is used again, also where nobody could try it.
_RETURN_SCORE = 1.4
#: From this score on requests that may be sent once go elsewhere: one failure
#: within the time of memory, which costs the engine nothing while others have
#: room.
_DOUBT_SCORE = 0.5
#: What another process alone says, or another hall alone, counts as one failure
#: at most: it raises a doubt, and leaves no engine alone.
_MOST_ALONE = 1.0
#: Answers in a row, over all processes, behind which an engine is trusted
#: again: twice as many as there were failures, within these bounds. One that
#: fails some of its requests seldom gives so many in a row.
_GOOD_PER_FAILURE = 2
_LEAST_GOOD = 6
_MOST_GOOD = 8
#: At most this share of a service is left alone, the worst engines: the others
#: take two thirds more then, which is a burst as callers bring them.
_MOST_LEFT_ALONE = 0.4
#: A witness that finds this share of all engines failing has a bad link, or is
#: broken; fewer than the least number may fail by themselves.
_BAD_WITNESS_SHARE = 1 / 3
_BAD_WITNESS_LEAST = 3
#: One that finds this share of another hall failing is cut off from it.
_CUT_HALL_SHARE = 0.5
_CUT_HALL_LEAST = 2
#: Failures of a life that make it a failing one to its witness.
_FAILING = 0.5
#: First and longest pause before an engine that was left alone is tried (s).
_FIRST_PAUSE = 0.5
_LAST_PAUSE = 4.0


class LocalNode(Struct, frozen=True):
    """Say whose decision it is, and in which hall."""

    node: NodeName
    hall: DataHall


class ServiceEngines(Struct, frozen=True):
    """Hold the engines of a service by their lives, and how many a hall has."""

    lives: Mapping[EngineIncarnation, Engine]
    halls: Mapping[DataHall, int]

    @classmethod
    def of(cls, engines: Sequence[Engine]) -> 'ServiceEngines':
        """Sort the engines of a service."""
        lives = {incarnation_of(one): one for one in engines}
        return cls(lives, _sizes(engines))


#: Testimonies on a life by their witnesses.
Case = Mapping[NodeName, Observation]


class HealthEvaluator:
    """Weigh testimonies on the engines of one service at one moment."""

    def __init__(
        self,
        seat: LocalNode,
        engines: ServiceEngines,
        cases: Mapping[EngineIncarnation, Case],
        halls: Mapping[NodeName, DataHall],
        now: float,
    ) -> None:
        self._seat = seat
        self._engines = engines
        self._halls = halls
        self._now = now
        self._cases: dict[
            EngineIncarnation, dict[NodeName, DecayedObservation]
        ] = {}
        for life, case in cases.items():
            if life in engines.lives:
                self._cases[life] = {
                    witness: said.faded(now) for witness, said in case.items()
                }
        self._distrusted = self.find_distrusted()

    def findings(
        self, apart: Collection[EngineIncarnation]
    ) -> dict[EngineIncarnation, HealthAssessment]:
        """Judge each life with a case; some were set apart until now."""
        found = {life: self._weigh(life) for life in self._cases}
        bad = [
            life
            for life, one in found.items()
            if not one.cleared and one.score >= _bound(life in apart)
        ]
        bad.sort(key=lambda life: found[life].score, reverse=True)
        most = max(1, int(len(self._engines.lives) * _MOST_LEFT_ALONE))
        return {
            life: _stand(one, life in bad[:most], self._now)
            for life, one in found.items()
        }

    def credible(self, life: EngineIncarnation) -> Iterable[DecayedObservation]:
        """List the testimonies that count here."""
        for witness, one in self._cases[life].items():
            if (witness, life) not in self._distrusted:
                yield one

    def weight(self, one: DecayedObservation) -> float:
        """Bound what another process alone can say."""
        own = one.said.witness == self._seat.node
        if own or one.weighed <= _MOST_ALONE:
            return 1
        return _MOST_ALONE / one.weighed

    def find_distrusted(self) -> set[tuple[NodeName, EngineIncarnation]]:
        """Find what witnesses say because of their own links."""
        failing: dict[NodeName, list[Engine]] = {}
        for life, case in self._cases.items():
            engine = self._engines.lives[life]
            for witness, one in case.items():
                if one.failed >= _FAILING:
                    failing.setdefault(witness, []).append(engine)
        distrusted: set[tuple[NodeName, EngineIncarnation]] = set()
        for witness, engines in failing.items():
            if witness == self._seat.node:
                continue
            if _many(len(engines), len(self._engines.lives)):
                cut = engines
            else:
                cut = self._cut_off(witness, engines)
            distrusted.update((witness, incarnation_of(one)) for one in cut)
        return distrusted

    def _weigh(self, life: EngineIncarnation) -> HealthAssessment:
        """Add up what counts of a case."""
        failures = 0.0
        answers = 0.0
        heard = list(self.credible(life))
        for one in heard:
            weight = self.weight(one)
            failures += one.weighed * weight
            answers += one.answered * weight
        most = _MOST_ALONE if self._elsewhere(heard) else MAX_FAILURES
        failures = min(failures, most)
        said = [one.said for one in heard]
        failed_at = max((one.failed_at for one in said), default=-math.inf)
        needed = max(_LEAST_GOOD, round(failures * _GOOD_PER_FAILURE))
        good = [one for one in said if one.good and one.at > failed_at]
        return HealthAssessment(
            score=failures * _FAILURE_SCORE + answers * _ANSWER_SCORE,
            failures=failures,
            answers=answers,
            good=sum(one.good for one in good),
            good_needed=min(_MOST_GOOD, needed),
            witnesses=sum(one.failed >= _FAILING for one in heard),
            try_at=max(
                [failed_at + _pause(failures), *(one.at for one in good)]
            ),
        )

    def _elsewhere(self, heard: Sequence[DecayedObservation]) -> bool:
        """Tell whether one other hall alone finds an engine failing.

        The way from there may fail, and not the engine.
        """
        halls = {
            self._halls.get(one.said.witness, self._seat.hall)
            for one in heard
            if one.failed >= _FAILING
        }
        return len(halls) == 1 and self._seat.hall not in halls

    def _cut_off(
        self, witness: NodeName, failing: Sequence[Engine]
    ) -> list[Engine]:
        """List the engines in halls that a witness does not reach.

        A process of its own hall does not reach them either.
        """
        hall = self._halls.get(witness)
        if hall == self._seat.hall:
            return []
        found = _sizes(failing)
        cut = {
            other
            for other, count in found.items()
            if other != hall
            and count >= _CUT_HALL_LEAST
            and count >= self._engines.halls[other] * _CUT_HALL_SHARE
        }
        return [one for one in failing if one.hall in cut]


def _stand(one: HealthAssessment, bad: bool, now: float) -> HealthAssessment:
    standing = HealthState.TRUSTED
    if bad:
        due = now >= one.try_at
        standing = HealthState.ON_TRIAL if due else HealthState.EJECTED
    elif not one.cleared and one.score >= _DOUBT_SCORE:
        standing = HealthState.DOUBTED
    return replace(one, standing=standing)


def _bound(apart: bool) -> float:
    return _RETURN_SCORE if apart else _LEAVE_SCORE


def _pause(failures: float) -> float:
    """Give the pause before the next trial (s)."""
    doubled = _FIRST_PAUSE * 2 ** max(0, failures - 2)
    return min(_LAST_PAUSE, doubled)


def _many(failing: int, engines: int) -> bool:
    share = failing >= engines * _BAD_WITNESS_SHARE
    return share and failing >= _BAD_WITNESS_LEAST


def _sizes(engines: Iterable[Engine]) -> dict[DataHall, int]:
    sizes: dict[DataHall, int] = {}
    for one in engines:
        sizes[one.hall] = sizes.get(one.hall, 0) + 1
    return sizes
