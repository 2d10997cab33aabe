"""What simulated entries learn of engines, and tell one another."""

from collections.abc import Sequence

from bendlead_gateway._fleet.pace import PaceTable
from bendlead_gateway._scheduling.speed import EngineSpeeds
from bendlead_gateway._scheduling.speed_estimates import SpeedEstimate
from bendlead_gateway.types import Engine, EngineId, NodeName
from msgspec.structs import replace

from bendlead_testing.replay._load import Uneven
from bendlead_testing.replay._simulated import Clock, Run

#: Seconds between two events of a run at the usual speed, and how often a run
#: is looked at: a look stands for the latest few events.
GAP = 0.02
_LOOK_SECONDS = 0.06
#: Streams at which a finding is told.
_TELLING_STREAMS = (1, 3, 7)


class LearningEntries:
    """Hold what each entry knows of the engines' speed.

    A finding reaches all others after the age of news.
    """

    def __init__(
        self, uneven: Uneven, entries: int, age: float, clock: Clock
    ) -> None:
        self._uneven = uneven
        self._age = age
        self._clock = clock
        self._speeds = [EngineSpeeds() for _entry in range(entries)]
        self._gaps = [PaceTable() for _entry in range(entries)]
        clock.after(uneven.entries_restart_at, self._restart)
        clock.after(uneven.engines_restart_at, self._restart)

    def follow(self, run: Run) -> None:
        """Look at a run from its begin to its end."""
        if run.entry is None or run.over:
            return
        now = self._clock.now
        factor = run.engine.factor(now)
        engine = self._life(run.engine.engine)
        self._gaps[run.entry].observe_gap(engine.engine, GAP * factor)
        if self._uneven.learns:
            self._speeds[run.entry].observe_event(
                engine, GAP * factor, run.engine.load, now
            )
        self._clock.after(_LOOK_SECONDS, lambda: self.follow(run))

    def end(self, run: Run) -> None:
        """Take what a whole run shows of its engine."""
        if run.entry is None or run.began is None:
            return
        now = self._clock.now
        self._gaps[run.entry].observe_run(now - run.began)
        if not self._uneven.learns:
            return
        engine = self._life(run.engine.engine)
        gap = GAP * (now - run.began) / run.seconds
        found = self._speeds[run.entry].observe_stream(
            engine, gap, run.engine.load, now
        )
        if found is not None and found.streams in _TELLING_STREAMS:
            self._tell(run.entry, engine, found)

    def pace(self, entry: int, engine: EngineId) -> float:
        """Give an entry's moving average."""
        return self._gaps[entry].gap(engine)

    def run_seconds(self, entry: int) -> float:
        """Give how long an entry has seen requests run."""
        return self._gaps[entry].run_seconds

    def slowness(self, entry: int, engine: Engine) -> float:
        """Give how slow an entry takes an engine for."""
        engine = self._life(engine)
        return self._speeds[entry].slowness(engine, self._clock.now)

    def stall(self, entry: int, engine: Engine) -> float:
        """Give how much longer it takes events at the moment."""
        engine = self._life(engine)
        return self._speeds[entry].stall(engine, self._clock.now)

    def _tell(self, entry: int, engine: Engine, found: SpeedEstimate) -> None:
        uneven = self._uneven
        now = self._clock.now
        if uneven.unheard_from <= now < uneven.unheard_until:
            return
        witness = NodeName(f'entry-{entry}')
        others = self._speeds[:entry] + self._speeds[entry + 1 :]
        self._clock.after(
            self._age, lambda: _hear(others, engine, witness, found)
        )

    def _life(self, engine: Engine) -> Engine:
        again = self._clock.now >= self._uneven.engines_restart_at
        return replace(engine, born=1) if again else engine

    def _restart(self) -> None:
        """Forget all, as where entries or engines start again."""
        count = len(self._speeds)
        self._speeds[:] = [EngineSpeeds() for _entry in range(count)]
        self._gaps[:] = [PaceTable() for _entry in range(count)]


def _hear(
    others: Sequence[EngineSpeeds],
    engine: Engine,
    witness: NodeName,
    found: SpeedEstimate,
) -> None:
    for one in others:
        one.add_peer_estimate(engine, witness, found)
