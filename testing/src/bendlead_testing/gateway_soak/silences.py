"""Sound engines that stand still for a moment, which is no disruption."""

import enum
import random
from dataclasses import dataclass
from operator import attrgetter

#: How long an engine stands still (s).
SILENT_SECONDS = (0.5, 1.5)
#: Time for which an engine moves besides, between two silences alone (s).
_GAP = (0.0, 6.0)
#: The same between two silences of all engines (s).
_SHARED_GAP = (1.0, 5.0)
#: An engine moves at least this long between two silences (s).
REST_SECONDS = 1.0
#: Where one engine follows another, the next one begins in this part of the
#: silence before, and all have begun within a time (s).
_NEXT_SHARE = 0.75
_ROUND_SECONDS = 4.0


class Pattern(enum.Enum):
    """Which engines stand still together."""

    ALONE = 'alone'
    ALL_AT_ONCE = 'all at once'
    ONE_AFTER_THE_OTHER = 'one after the other'


@dataclass(frozen=True)
class Silence:
    """Have one engine stand still from a time on, for a time (s)."""

    at: float
    engine: int
    seconds: float

    @property
    def ends(self) -> float:
        """Give when the engine goes on."""
        return self.at + self.seconds


def draw_silences(
    seed: int, engines: int, since: float, until: float
) -> list[Silence]:
    """Draw the silences of a run, apart from what else its seed brings."""
    chance = random.Random(f'{seed} silences')
    shared = _draw_shared(chance, engines, since, until)
    drawn: list[Silence] = []
    for engine in range(engines):
        taken = [one for one in shared if one.engine == engine]
        at = since + chance.uniform(0, _GAP[1])
        while at < until:
            alone = Silence(at, engine, chance.uniform(*SILENT_SECONDS))
            if not any(_touch(alone, one) for one in taken):
                drawn.append(alone)
            at = alone.ends + REST_SECONDS + chance.uniform(*_GAP)
    return sorted((*shared, *drawn), key=attrgetter('at'))


def _touch(one: Silence, other: Silence) -> bool:
    """Tell whether an engine can't rest between two silences."""
    return (
        one.at < other.ends + REST_SECONDS
        and other.at < one.ends + REST_SECONDS
    )


def _draw_shared(
    chance: random.Random, engines: int, since: float, until: float
) -> list[Silence]:
    """Draw the silences of all engines together, if this run has any."""
    pattern = chance.choice(list(Pattern))
    drawn: list[Silence] = []
    at = since + chance.uniform(0, _SHARED_GAP[1])
    while pattern is not Pattern.ALONE and at < until:
        seconds = chance.uniform(*SILENT_SECONDS)
        apart = 0.0
        if pattern is Pattern.ONE_AFTER_THE_OTHER:
            apart = min(seconds * _NEXT_SHARE, _ROUND_SECONDS / engines)
        order = chance.sample(range(engines), engines)
        drawn.extend(
            Silence(at + place * apart, engine, seconds)
            for place, engine in enumerate(order)
        )
        at = drawn[-1].ends + REST_SECONDS + chance.uniform(*_SHARED_GAP)
    return drawn
