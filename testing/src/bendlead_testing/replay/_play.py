"""One load, played from its begin to the last item that is due."""

import itertools
import random
from collections import Counter

from bendlead_testing.replay._entries import SimulatedEntries
from bendlead_testing.replay._fleet import SimulatedFleet
from bendlead_testing.replay._load import Load, Tally
from bendlead_testing.replay._owner import (
    ROUND_SECONDS,
    Item,
    SimulatedOwner,
)
from bendlead_testing.replay._simulated import Clock


class Replay:
    """Play one load."""

    def __init__(self, load: Load, seed: int) -> None:
        self._load = load
        # Whatever is decided, the same requests and jobs come.
        self._jobs = random.Random(f'jobs {seed}')
        chance = random.Random(seed)
        self._clock = Clock()
        self._fleet = SimulatedFleet(load, self._clock, chance, seed)
        self.tally = Tally(by_hall=[Counter() for _hall in load.engines])
        self._entries = SimulatedEntries(
            load,
            self._fleet,
            self._clock,
            random.Random(f'requests {seed}'),
            chance,
            self.tally,
        )
        self._owners = [
            SimulatedOwner(number, load, self._fleet, self._clock, self.tally)
            for number in range(load.owners)
        ]
        self._turns = itertools.cycle(self._owners)

    def play(self) -> Tally:
        """Play to the end and count."""
        load = self._load
        self._fleet.tick()
        for number, owner in enumerate(self._owners):
            begin = number * ROUND_SECONDS / load.owners
            self._clock.after(begin, owner.look)
        self._entries.arrive()
        self._submit()
        self._clock.after(load.lost_at, self._fleet.lose)
        self._clock.run(load.length + load.item_due)
        for owner in self._owners:
            for item in owner.items:
                self._count(item)
        return self.tally

    def _submit(self) -> None:
        """Let a job come, and the next ones after pauses."""
        now = self._clock.now
        if now < self._load.length:
            if now:
                self._add_job(now)
            pause = self._jobs.expovariate(self._load.jobs)
            self._clock.after(pause, self._submit)

    def _add_job(self, now: float) -> None:
        owner = next(self._turns)
        for _item in range(self._load.items):
            seconds = self._load.item_run * _draw(
                self._jobs, self._load.item_spread
            )
            owner.items.append(Item(seconds, now))

    def _count(self, item: Item) -> None:
        due = item.accepted + self._load.item_due
        whole = item.whole is not None and item.whole <= due
        self.tally.items['in_time' if whole else 'late'] += 1


def _draw(chance: random.Random, spread: float) -> float:
    """Draw a factor that differs from 1 by a share at most."""
    return chance.uniform(1 - spread, 1 + spread)
