"""What a seed brings, and when: drawn before anything runs."""

import random
from dataclasses import dataclass

from bendlead_testing.gateway_soak.deployment import Deployment
from bendlead_testing.gateway_soak.disruptions import (
    DISRUPTIONS,
    END_DISRUPTIONS,
    EVERY_DISRUPTION,
    HARD_DISRUPTIONS,
    VERSION_DISRUPTIONS,
)
from bendlead_testing.gateway_soak.sightings import CONTACT_SECONDS

_GAP = (0.1, 1.6)
_SHORTEST = 0.3
_LONGEST = 3.5
#: The same of series beside each other: longer than processes keep in touch.
_LONGEST_BESIDE = CONTACT_SECONDS + 2
#: Part of the steps that come twice, overlapping, on the same target.
_TWICE_SHARE = 0.15
#: Part of the steps that are planned work.
_PLANNED_SHARE = 0.35
#: Part of the runs that hold planned work alone: what it may not do is judged
#: only where nothing else is wrong.
_CALM_RUNS = 0.35
#: Part of the steps that change the configuration.
_CHANGE_SHARE = 0.15
#: How many times as often as another a disruption of hard load comes.
_HARD_WEIGHT = 6
#: How many times as often as another a disruption of several versions comes.
_VERSION_WEIGHT = 8
#: How many times as often as another a disruption of ends of answers comes.
_END_WEIGHT = 8
#: Calm before the first disruption, for the fleet to come up (s).
WARM_SECONDS = 3.0


@dataclass(frozen=True)
class Step:
    """Do one thing to one target at a time, for a time (s)."""

    at: float
    name: str
    target: str
    seconds: float


CHANGE = 'change configuration'

#: Time between the stops of two entries, and of two rounds of them (s).
_NEXT_STOP = (0.1, 1.2)
_NEXT_ROUND = (4.0, 8.0)
#: How long a stopped entry stays away at least (s).
_AWAY = (0.5, 2.0)
#: Part of the stops that are told twice.
_AGAIN_SHARE = 0.2
#: Part of the stops beside which the configuration changes.
_CHANGED_SHARE = 0.3


def draw(
    chance: random.Random,
    fleet: Deployment,
    seconds: float,
    longest: float = _LONGEST,
) -> list[Step]:
    """Draw the steps of a run."""
    steps: list[Step] = []
    at = WARM_SECONDS
    planned = sorted(one for one, kind in DISRUPTIONS.items() if kind.planned)
    others = sorted(set(DISRUPTIONS) - set(planned))
    if fleet.hard:
        others = [*others, *sorted(HARD_DISRUPTIONS) * _HARD_WEIGHT]
    if fleet.versions > 1:
        others = [*others, *sorted(VERSION_DISRUPTIONS) * _VERSION_WEIGHT]
    if fleet.ends:
        others = [*others, *sorted(END_DISRUPTIONS) * _END_WEIGHT]
    planned_share = 1 if chance.random() < _CALM_RUNS else _PLANNED_SHARE
    while at < WARM_SECONDS + seconds:
        lasts = chance.uniform(_SHORTEST, longest)
        if chance.random() < _CHANGE_SHARE:
            steps.append(Step(at, CHANGE, 'store', 0))
        else:
            pool = planned if chance.random() < planned_share else others
            name = chance.choice(pool)
            target = chance.choice(EVERY_DISRUPTION[name].targets(fleet))
            steps.append(Step(at, name, target, lasts))
            if chance.random() < _TWICE_SHARE:
                steps.append(Step(at + lasts / 2, name, target, lasts))
        at += chance.uniform(*_GAP)
    return sorted(steps, key=lambda step: step.at)


def draw_lanes(
    chance: random.Random, fleet: Deployment, seconds: float, lanes: int
) -> list[Step]:
    """Draw series of steps that run beside each other."""
    longest = _LONGEST if lanes == 1 else _LONGEST_BESIDE
    steps = [
        step
        for _lane in range(lanes)
        for step in draw(chance, fleet, seconds, longest)
    ]
    return sorted(steps, key=lambda step: step.at)


def draw_stops(seed: int, fleet: Deployment, seconds: float) -> list[Step]:
    """Draw planned work alone: rounds in which every entry is stopped."""
    chance = random.Random(f'{seed} stops')
    steps: list[Step] = []
    at = WARM_SECONDS
    while at < WARM_SECONDS + seconds:
        for entry in chance.sample(fleet.entries, len(fleet.entries)):
            lasts = chance.uniform(*_AWAY)
            steps.append(Step(at, 'stop', entry.name, lasts))
            if chance.random() < _AGAIN_SHARE:
                steps.append(Step(at + lasts / 2, 'stop', entry.name, lasts))
            if chance.random() < _CHANGED_SHARE:
                steps.append(Step(at, CHANGE, 'store', 0))
            at += chance.uniform(*_NEXT_STOP)
        at += chance.uniform(*_NEXT_ROUND)
    return sorted(steps, key=lambda step: step.at)
