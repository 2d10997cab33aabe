"""Replay of one load."""

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
from bendlead_testing.replay._simulated import SimulatedClock


class Replay:
    """Replay of one load until the last item is due."""

    def __init__(self, load: Load, seed: int) -> None:
        self._load = load
        # Separate generators, so that requests and jobs depend on the seed
        # alone and not on the decisions.
        self._job_rng = random.Random(f'jobs {seed}')
        rng = random.Random(seed)
        self._clock = SimulatedClock()
        self._fleet = SimulatedFleet(load, self._clock, rng, seed)
        self.tally = Tally(by_hall=[Counter() for _hall in load.engines])
        self._entries = SimulatedEntries(
            load,
            self._fleet,
            self._clock,
            random.Random(f'requests {seed}'),
            rng,
            self.tally,
        )
        self._owners = [
            SimulatedOwner(number, load, self._fleet, self._clock, self.tally)
            for number in range(load.owners)
        ]
        self._next_owner = itertools.cycle(self._owners)

    def play(self) -> Tally:
        """Run the replay and return its tally."""
        load = self._load
        self._fleet.record_snapshots()
        for number, owner in enumerate(self._owners):
            delay = number * ROUND_SECONDS / load.owners
            self._clock.call_later(delay, owner.run_rounds)
        self._entries.generate_requests()
        self._generate_jobs()
        self._clock.call_later(load.engine_loss_at, self._fleet.lose_engines)
        self._clock.run(load.duration + load.completion_window)
        for owner in self._owners:
            for item in owner.items:
                self._count(item)
        return self.tally

    def _generate_jobs(self) -> None:
        """Submit a job and schedule the next one."""
        now = self._clock.now
        if now < self._load.duration:
            if now:
                self._add_job(now)
            pause = self._job_rng.expovariate(self._load.job_rate)
            self._clock.call_later(pause, self._generate_jobs)

    def _add_job(self, now: float) -> None:
        owner = next(self._next_owner)
        for _item in range(self._load.items_per_job):
            seconds = self._load.item_run_seconds * _draw_factor(
                self._job_rng, self._load.item_spread
            )
            owner.items.append(Item(seconds, now))

    def _count(self, item: Item) -> None:
        due = item.accepted_at + self._load.completion_window
        in_time = item.completed_at is not None and item.completed_at <= due
        self.tally.items['in_time' if in_time else 'late'] += 1


def _draw_factor(rng: random.Random, spread: float) -> float:
    """Draw a factor that differs from 1 by at most `spread`."""
    return rng.uniform(1 - spread, 1 + spread)
