"""Steps that were asked for by hand, checked before anything runs."""

import math
from collections.abc import Mapping, Sequence
from typing import Any

from bendlead_testing.gateway_soak.deployment import Deployment
from bendlead_testing.gateway_soak.disruptions import EVERY_DISRUPTION
from bendlead_testing.gateway_soak.plan import CHANGE, Step

_SHAPE = '[second, disruption, target, seconds]'
_FIELDS: Mapping[str, tuple[type, ...]] = {
    'second': (int, float),
    'disruption': (str,),
    'target': (str,),
    'seconds': (int, float),
}


class StepsError(ValueError):
    """Steps that can't be played; the message says what is known."""


def read_steps(asked: Any) -> list[Step]:
    """Return the steps of a JSON list, or raise StepsError."""
    if not isinstance(asked, list):
        raise StepsError(f'steps are a list of {_SHAPE}, not {asked!r}')
    return [_read_step(one) for one in asked]


def check_steps(steps: Sequence[Step], fleet: Deployment) -> None:
    """Raise StepsError where a fleet has no such disruption or target."""
    for step in steps:
        if step.name == CHANGE:
            known: Sequence[str] = ['store']
        elif step.name in EVERY_DISRUPTION:
            known = EVERY_DISRUPTION[step.name].targets(fleet)
        else:
            names = ', '.join(sorted([*EVERY_DISRUPTION, CHANGE]))
            raise StepsError(f'no disruption {step.name!r}; known are {names}')
        if step.target not in known:
            raise StepsError(
                f'no target {step.target!r} of {step.name!r}; known are '
                + ', '.join(known)
            )


def _read_step(asked: Any) -> Step:
    if not isinstance(asked, list) or len(asked) != len(_FIELDS):
        raise StepsError(f'a step is {_SHAPE}, not {asked!r}')
    for (name, kinds), given in zip(_FIELDS.items(), asked, strict=True):
        sound = isinstance(given, kinds) and not isinstance(given, bool)
        if sound and isinstance(given, int | float):
            sound = math.isfinite(given) and given >= 0
        if not sound:
            raise StepsError(f'{name} of a step can not be {given!r}: {_SHAPE}')
    return Step(*asked)
