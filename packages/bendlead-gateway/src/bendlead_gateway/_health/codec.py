"""Read and write what processes tell each other of engines that failed.

A peer may be of another version, or broken: what can't be true is not used.
"""

import math

from bendlead_schema.gateway import EngineEvidence
from result import Err, Ok, Result

from bendlead_gateway._health.observation import (
    EngineIncarnation,
    FailureKind,
    Observation,
)
from bendlead_gateway.types import EngineId, NodeName

#: No witness has this many failures or answers within the time of memory.
_MOST_COUNTED = 10_000
#: What is as old as this (s) tells nothing any more.
_OLDEST_SECONDS = 60.0
_DIGITS = 2
_MS = 1000
_NEVER = -1


def write(
    life: EngineIncarnation, one: Observation, now: float
) -> EngineEvidence:
    """Tell a testimony to a peer."""
    failed = math.isfinite(one.failed_at)
    return EngineEvidence(
        engine=life.engine,
        born=life.born,
        witness=one.witness,
        version=one.version,
        age_ms=_age_ms(one.at, now),
        failed_ms=_age_ms(one.failed_at, now) if failed else _NEVER,
        failures={
            kind.value: round(count, _DIGITS)
            for kind, count in one.failures.items()
        },
        answers=round(one.answers, _DIGITS),
        good=one.good,
    )


def read(told: EngineEvidence, now: float) -> Result[Observation, str]:
    """Read a testimony, or say why it can't be true."""
    counts = [*told.failures.values(), told.answers, told.good]
    if not told.engine or not told.witness:
        return Err('it names no engine or no witness')
    if not all(0 <= count <= _MOST_COUNTED for count in counts):
        return Err('a count is negative, huge or no number')
    if told.version <= 0:
        return Err('it has no version')
    ages = (told.age_ms, max(told.failed_ms, 0))
    if not all(0 <= age <= _OLDEST_SECONDS * _MS for age in ages):
        return Err('an age is negative or too high')
    failed_at = -math.inf
    if told.failed_ms != _NEVER:
        failed_at = now - told.failed_ms / _MS
    return Ok(
        Observation(
            NodeName(told.witness),
            now - told.age_ms / _MS,
            told.version,
            _known_kinds(told.failures),
            told.answers,
            told.good,
            failed_at,
        )
    )


def incarnation_in(told: EngineEvidence) -> EngineIncarnation:
    """Name the life that a testimony is about."""
    return EngineIncarnation(EngineId(told.engine), told.born)


def _known_kinds(failures: dict[str, float]) -> dict[FailureKind, float]:
    """Leave out kinds that a newer version has added."""
    known = {kind.value: kind for kind in FailureKind}
    return {
        known[name]: count for name, count in failures.items() if name in known
    }


def _age_ms(at: float, now: float) -> int:
    return round(max(0, now - at) * _MS)
