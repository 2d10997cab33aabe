"""Estimates of engine speeds that simulated entries make and exchange."""

from collections.abc import Sequence

from bendlead_gateway._fleet.pace import PaceTable
from bendlead_gateway._scheduling.speed import EngineSpeeds
from bendlead_gateway._scheduling.speed_estimates import SpeedEstimate
from bendlead_gateway.types import Engine, EngineId, NodeName
from msgspec.structs import replace

from bendlead_testing.replay._load import SpeedVariation
from bendlead_testing.replay._simulated import Run, SimulatedClock

#: Time between two events of a stream at the usual speed.
EVENT_GAP_SECONDS = 0.02
#: Interval at which a run is observed, a few events each.
_SAMPLE_INTERVAL_SECONDS = 0.06
#: Numbers of observed streams at which an estimate is sent to the peers.
_REPORTED_STREAMS = (1, 3, 7)


class EntryEstimates:
    """Speed estimates of every entry.

    Each estimate reaches all other entries after the age of reports.
    """

    def __init__(
        self,
        variation: SpeedVariation,
        entries: int,
        age: float,
        clock: SimulatedClock,
    ) -> None:
        self._variation = variation
        self._age = age
        self._clock = clock
        self._speeds = [EngineSpeeds() for _entry in range(entries)]
        self._gaps = [PaceTable() for _entry in range(entries)]
        clock.call_later(variation.entries_restart_at, self._restart)
        clock.call_later(variation.engines_restart_at, self._restart)

    def observe(self, run: Run) -> None:
        """Record the event gap of a run at intervals until it ends."""
        if run.entry is None or run.ended:
            return
        now = self._clock.now
        factor = run.engine.step_factor(now)
        engine = self._incarnation(run.engine.engine)
        self._gaps[run.entry].observe_gap(
            engine.engine, EVENT_GAP_SECONDS * factor
        )
        if self._variation.estimates_speeds:
            self._speeds[run.entry].observe_event(
                engine, EVENT_GAP_SECONDS * factor, run.engine.load, now
            )
        self._clock.call_later(
            _SAMPLE_INTERVAL_SECONDS, lambda: self.observe(run)
        )

    def record_finished(self, run: Run) -> None:
        """Record the duration of a complete run."""
        if run.entry is None or run.started_at is None:
            return
        now = self._clock.now
        self._gaps[run.entry].observe_run(now - run.started_at)
        if not self._variation.estimates_speeds:
            return
        engine = self._incarnation(run.engine.engine)
        gap = EVENT_GAP_SECONDS * (now - run.started_at) / run.seconds
        estimate = self._speeds[run.entry].observe_stream(
            engine, gap, run.engine.load, now
        )
        if estimate is not None and estimate.streams in _REPORTED_STREAMS:
            self._send(run.entry, engine, estimate)

    def event_gap(self, entry: int, engine: EngineId) -> float:
        """Return an entry's moving average of an engine's event gap."""
        return self._gaps[entry].gap(engine)

    def run_seconds(self, entry: int) -> float:
        """Return an entry's moving average of the duration of requests."""
        return self._gaps[entry].run_seconds

    def slowness(self, entry: int, engine: Engine) -> float:
        """Return an entry's estimate of an engine's lasting slowness."""
        engine = self._incarnation(engine)
        return self._speeds[entry].slowness(engine, self._clock.now)

    def stall(self, entry: int, engine: Engine) -> float:
        """Return an entry's estimate of an engine's present stall."""
        engine = self._incarnation(engine)
        return self._speeds[entry].stall(engine, self._clock.now)

    def _send(
        self, entry: int, engine: Engine, estimate: SpeedEstimate
    ) -> None:
        variation = self._variation
        now = self._clock.now
        if variation.reports_lost_from <= now < variation.reports_lost_until:
            return
        observer = NodeName(f'entry-{entry}')
        others = self._speeds[:entry] + self._speeds[entry + 1 :]
        self._clock.call_later(
            self._age, lambda: _receive(others, engine, observer, estimate)
        )

    def _incarnation(self, engine: Engine) -> Engine:
        restarted = self._clock.now >= self._variation.engines_restart_at
        return replace(engine, born=1) if restarted else engine

    def _restart(self) -> None:
        """Discard all estimates, as after a restart of entries or engines."""
        count = len(self._speeds)
        self._speeds[:] = [EngineSpeeds() for _entry in range(count)]
        self._gaps[:] = [PaceTable() for _entry in range(count)]


def _receive(
    others: Sequence[EngineSpeeds],
    engine: Engine,
    observer: NodeName,
    estimate: SpeedEstimate,
) -> None:
    for speeds in others:
        speeds.add_peer_estimate(engine, observer, estimate)
