"""Releases of engines that one entry does not follow."""

import random

from bendlead_testing.gateway_soak.deployment import Deployment
from bendlead_testing.gateway_soak.plan import WARM_SECONDS, Step

#: How an entry gets out of step, and for how long (s).
_OUT_OF_STEP = ('pause', 'silent from', 'cut-new from', 'store silent for one')
_OUT_SECONDS = (2.0, 5.0)
#: Part of the rounds in which an owner is out of step beside the entry.
_OWNER_SHARE = 0.3
#: Engines that drain end 3.5 s later: they begin this long before at most (s).
_DRAIN_LEAD = (0.0, 3.0)
#: Part of the engines that are replaced at once, and how long that takes (s).
_SWAP_SHARE = 0.5
_SWAP_SECONDS = (0.2, 0.8)
#: When engines and other entries end, as a part of the time out of step.
_ENDS_AT = (0.5, 1.2)
_ENDED_ENGINES = 2
_NEXT_END = (0.0, 2.0)
_DOWN_SECONDS = (0.5, 2.0)
_FIRST = WARM_SECONDS + 3.0
_NEXT_ROUND = (7.0, 9.0)


def draw_releases(seed: int, fleet: Deployment, seconds: float) -> list[Step]:
    """Draw rounds: out of step, a release, then ends of others."""
    chance = random.Random(f'{seed} releases')
    steps: list[Step] = []
    at = _FIRST
    while at < WARM_SECONDS + seconds:
        steps.extend(_draw_round(chance, fleet, at))
        at += chance.uniform(*_NEXT_ROUND)
    return sorted(steps, key=lambda step: step.at)


def _draw_round(
    chance: random.Random, fleet: Deployment, at: float
) -> list[Step]:
    entries = [one.name for one in fleet.entries]
    engines = [one.name for one in fleet.engines]
    lasts = chance.uniform(*_OUT_SECONDS)
    odd = chance.choice(entries)
    steps = [Step(at, chance.choice(_OUT_OF_STEP), odd, lasts)]
    if chance.random() < _OWNER_SHARE:
        owner = chance.choice(fleet.owners).name
        steps.append(Step(at, chance.choice(_OUT_OF_STEP), owner, lasts))
    for name in chance.sample(engines, max(1, len(engines) // 2)):
        begins = at - chance.uniform(*_DRAIN_LEAD)
        step = Step(begins, 'release engine', name, 0)
        if chance.random() < _SWAP_SHARE:
            begins = at + chance.uniform(0, lasts / 2)
            away = chance.uniform(*_SWAP_SECONDS)
            step = Step(begins, 'swap engine', name, away)
        steps.append(step)
    ends = at + lasts * chance.uniform(*_ENDS_AT)
    ended = chance.sample(engines, min(_ENDED_ENGINES, len(engines)))
    others = [one for one in entries if one != odd]
    for kind, names in (('kill engine', ended), ('kill entry', others)):
        for name in names:
            begins = ends + chance.uniform(*_NEXT_END)
            down = chance.uniform(*_DOWN_SECONDS)
            steps.append(Step(begins, kind, name, down))
    return steps
