"""Simulated engines and the history of their load."""

import math
import random
from collections import deque
from dataclasses import dataclass

from bendlead_gateway.types import (
    DataHall,
    Engine,
    EngineId,
    EngineState,
    ServiceName,
)

from bendlead_testing.replay._load import Load
from bendlead_testing.replay._simulated import SimulatedClock, SimulatedEngine
from bendlead_testing.replay._speed import SimulatedSpeed

_SNAPSHOT_INTERVAL_SECONDS = 0.01
_RETENTION_SECONDS = 2.0


@dataclass(frozen=True)
class LoadSnapshot:
    """Running and queued requests and items of each engine at one time."""

    at: float
    #: Requests by whether their entry is cut off from the others.
    online: dict[bool, list[int]]
    #: Items by owner.
    batch: list[list[int]]


class SimulatedFleet:
    """Engines of a load."""

    def __init__(
        self, load: Load, clock: SimulatedClock, rng: random.Random, seed: int
    ) -> None:
        self._load = load
        self._clock = clock
        self._rng = rng
        self._snapshots: deque[LoadSnapshot] = deque()
        engines = [
            _make_engine(hall, number, load.slots)
            for hall, count in enumerate(load.engines)
            for number in range(count)
        ]
        self.engines = [
            SimulatedEngine(engine, clock, _make_speed(load, number, seed))
            for number, engine in enumerate(engines)
        ]
        self.ready = list(self.engines)
        #: When a request was last refused for lack of slots.
        self.last_refused_at = -math.inf

    def record_snapshots(self) -> None:
        """Record the present load, and again at each interval."""
        online = {
            partitioned: [engine.online[partitioned] for engine in self.engines]
            for partitioned in (False, True)
        }
        batch = [
            [engine.batch[owner] for engine in self.engines]
            for owner in range(self._load.owners)
        ]
        self._snapshots.append(LoadSnapshot(self._clock.now, online, batch))
        while self._snapshots[0].at < self._clock.now - _RETENTION_SECONDS:
            self._snapshots.popleft()
        self._clock.call_later(
            _SNAPSHOT_INTERVAL_SECONDS, self.record_snapshots
        )

    def snapshot(self, age: float) -> LoadSnapshot:
        """Return the load as it was `age` seconds ago."""
        moment = self._clock.now - age
        latest = self._snapshots[0]
        for snapshot in self._snapshots:
            if snapshot.at > moment:
                break
            latest = snapshot
        return latest

    def draw_age(self) -> float:
        """Draw the age in seconds of the counts that a process has."""
        return self._load.report_age * self._rng.uniform(0.5, 1.5)

    def find(self, engine: Engine) -> SimulatedEngine:
        """Return the simulated engine of a ready engine."""
        return next(found for found in self.ready if found.engine is engine)

    def lose_engines(self) -> None:
        """Make a random share of the engines unavailable."""
        count = round(len(self.engines) * self._load.engine_loss_share)
        for engine in self._rng.sample(self.engines, count):
            self.ready.remove(engine)


def hall_name(number: int) -> DataHall:
    """Return the name of a data hall by its number."""
    return DataHall(f'hall-{number}')


def _make_speed(load: Load, number: int, seed: int) -> SimulatedSpeed | None:
    if load.speed_variation is None:
        return None
    return SimulatedSpeed(load.speed_variation, number, f'pace {seed}')


def _make_engine(hall: int, number: int, slots: int) -> Engine:
    return Engine(
        EngineId(f'engine-{hall}-{number}'),
        ServiceName('chat'),
        '',
        hall_name(hall),
        slots,
        EngineState.READY,
    )
