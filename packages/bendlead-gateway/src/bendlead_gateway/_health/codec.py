"""Conversion of observations to and from the messages between processes.

Peers may run another version or be faulty, so received values are validated.
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

_MAX_COUNT = 10_000
#: All counts have decayed by this age.
_MAX_AGE_SECONDS = 60.0
_DIGITS = 2
_MS_PER_SECOND = 1000
#: Value of ``failed_ms`` if the observer has seen no failure.
_NEVER = -1


def encode(
    incarnation: EngineIncarnation, observation: Observation, now: float
) -> EngineEvidence:
    """Convert an observation to a message, with times as ages."""
    failed = math.isfinite(observation.failed_at)
    return EngineEvidence(
        engine=incarnation.engine,
        born=incarnation.born,
        witness=observation.observer,
        version=observation.version,
        age_ms=_age_ms(observation.at, now),
        failed_ms=_age_ms(observation.failed_at, now) if failed else _NEVER,
        failures={
            kind.value: round(count, _DIGITS)
            for kind, count in observation.failures.items()
        },
        answers=round(observation.answers, _DIGITS),
        good=observation.good,
    )


def decode(message: EngineEvidence, now: float) -> Result[Observation, str]:
    """Convert a message to an observation, or return why it is invalid."""
    counts = [*message.failures.values(), message.answers, message.good]
    if not message.engine or not message.witness:
        return Err('the engine or the witness is empty')
    if not all(0 <= count <= _MAX_COUNT for count in counts):
        return Err('a count is negative, too high or not a number')
    if message.version <= 0:
        return Err('the version is zero or negative')
    ages = (message.age_ms, max(message.failed_ms, 0))
    if not all(0 <= age <= _MAX_AGE_SECONDS * _MS_PER_SECOND for age in ages):
        return Err('an age is negative or over 60 s')
    failed_at = -math.inf
    if message.failed_ms != _NEVER:
        failed_at = now - message.failed_ms / _MS_PER_SECOND
    return Ok(
        Observation(
            NodeName(message.witness),
            now - message.age_ms / _MS_PER_SECOND,
            message.version,
            _known_kinds(message.failures),
            message.answers,
            message.good,
            failed_at,
        )
    )


def incarnation_in(message: EngineEvidence) -> EngineIncarnation:
    """Return the engine incarnation that a message is about."""
    return EngineIncarnation(EngineId(message.engine), message.born)


def _known_kinds(failures: dict[str, float]) -> dict[FailureKind, float]:
    """Leave out kinds that only a newer version knows."""
    known = {kind.value: kind for kind in FailureKind}
    return {
        known[name]: count for name, count in failures.items() if name in known
    }


def _age_ms(at: float, now: float) -> int:
    return round(max(0, now - at) * _MS_PER_SECOND)
