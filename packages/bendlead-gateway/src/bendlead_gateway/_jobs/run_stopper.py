"""Stop item runs that must make room, move or end."""

import enum
from collections.abc import Iterable, Sequence

from bendlead_gateway._fleet.fleet import Fleet
from bendlead_gateway._health.observation import FailureKind
from bendlead_gateway._jobs.batch_capacity import BatchCapacity, HoldBackStates
from bendlead_gateway._jobs.candidates import Candidates
from bendlead_gateway._jobs.item_run import ItemRun
from bendlead_gateway._jobs.shard_manager import ShardManager
from bendlead_gateway._log import Log
from bendlead_gateway._metrics import Metrics
from bendlead_gateway._scheduling.deferral import ItemTiming
from bendlead_gateway._scheduling.moves import RunView, runs_to_move
from bendlead_gateway._scheduling.urgency import Urgency
from bendlead_gateway.types import EngineId, Route, RouteKind, ServiceName


class StopCause(enum.Enum):
    """Why a run was stopped; the value is a label of a metric."""

    #: Online requests or items of a higher-ranked owner need its slot.
    PREEMPTED = 'place_wanted'
    #: Online requests are refused for lack of slots.
    HELD_BACK = 'held_back'
    #: Its engine drains, is out of rotation or has stopped sending.
    MOVED = 'moved'
    #: Its job has ended, or another process owns the shard.
    UNWANTED = 'unwanted'


class RunStopper:
    """Decide which runs to stop; each item resumes after its last event."""

    def __init__(
        self,
        manager: ShardManager,
        candidates: Candidates,
        fleet: Fleet,
        states: HoldBackStates,
        log: Log,
        metrics: Metrics,
    ) -> None:
        self._manager = manager
        self._candidates = candidates
        self._fleet = fleet
        self._states = states
        self._log = log
        self._metrics = metrics

    def check(self, runs: Iterable[ItemRun], capacity: BatchCapacity) -> None:
        """Stop the runs that must end in this round."""
        self._stop_unwanted([run for run in runs if not run.stopped])
        active = [run for run in runs if not self._stays(run)]
        self._preempt(active, capacity)
        self._hold_back([run for run in active if not run.stopped], capacity)
        self._move([run for run in active if not run.stopped], capacity)

    def may_start(
        self,
        service: ServiceName,
        route: Route,
        timing: ItemTiming,
        running: int,
    ) -> bool:
        """Return whether an item may start beside a service's running items."""
        state = self._states.of(service)
        if not state.held_back or not self._is_outranked(service, route):
            return True
        return timing is ItemTiming.NOW and running < state.urgent_slots

    def _stays(self, run: ItemRun) -> bool:
        """Return whether a run has been stopped, or is a trial.

        Trials are few, and each soon clears its suspects or crashes its engine.
        """
        is_trial = self._fleet.suspects.item_trials.is_trial(run)
        return run.stopped or (is_trial and not run.parts_cleared)

    def _stop_unwanted(self, runs: Sequence[ItemRun]) -> None:
        owned = self._manager.owned.values()
        for run in runs:
            if run.shard not in owned or run.job.state.ended:
                self._stop(run, StopCause.UNWANTED)

    def _preempt(
        self, runs: Sequence[ItemRun], capacity: BatchCapacity
    ) -> None:
        """Stop the least urgent runs on engines that lack slots."""
        by_engine: dict[EngineId, list[ItemRun]] = {}
        for run in runs:
            by_engine.setdefault(run.engine.engine, []).append(run)
        for engine_runs in by_engine.values():
            excess = capacity.excess_runs(
                engine_runs[0].engine, len(engine_runs)
            )
            if excess > 0:
                engine_runs.sort(key=self._urgency)
                for run in engine_runs[-excess:]:
                    self._stop(run, StopCause.PREEMPTED)

    def _hold_back(
        self, runs: Sequence[ItemRun], capacity: BatchCapacity
    ) -> None:
        """Hold items back while online requests are refused."""
        by_service = _by_service(runs)
        for service in self._states.services.keys() | by_service.keys():
            service_runs = by_service.get(service, [])
            seconds_since_refusal = self._fleet.refusals.seconds_since(service)
            held_back = capacity.lacks_online_slots(
                service, seconds_since_refusal
            )
            if held_back:
                self._release_slots(service, service_runs, capacity)
            self._update_state(service, held_back, len(service_runs))

    def _release_slots(
        self,
        service: ServiceName,
        runs: list[ItemRun],
        capacity: BatchCapacity,
    ) -> None:
        state = self._states.of(service)
        state.urgent_slots = capacity.urgent_slots(service)
        runs.sort(key=self._urgency)
        urgent_runs = 0
        for run in runs:
            if not self._is_outranked(service, run.route):
                continue
            timing = self._candidates.timing(run.job, run.progress, run.route)
            if timing is ItemTiming.NOW and urgent_runs < state.urgent_slots:
                urgent_runs += 1
            else:
                self._stop(run, StopCause.HELD_BACK)

    def _move(self, runs: Sequence[ItemRun], capacity: BatchCapacity) -> None:
        """Stop runs on failing engines if other engines have free slots."""
        by_service = _by_service(runs)
        for service, service_runs in by_service.items():
            views = [self._view(run) for run in service_runs]
            failing = {
                run.engine.engine
                for run, view in zip(service_runs, views, strict=True)
                if view.stalled or view.endangered
            }
            if not failing:
                continue
            for number in runs_to_move(
                views, capacity.spare_slots(service, failing)
            ):
                self._move_run(service_runs[number], views[number])

    def _move_run(self, run: ItemRun, view: RunView) -> None:
        if view.stalled:
            if run.has_unread_output:
                return
            self._fleet.health.record_failure(
                run.engine.engine, unreachable=True
            )
            self._report_silence(run)
        self._stop(run, StopCause.MOVED)

    def _report_silence(self, run: ItemRun) -> None:
        """Report the engine to the fleet, so that the item goes elsewhere."""
        self._fleet.shared_health.record_failure(
            run.engine, FailureKind.SILENT, run.digest
        )

    def _view(self, run: ItemRun) -> RunView:
        engine = run.engine
        return RunView(
            self._candidates.remaining_seconds(run.progress),
            run.silent_seconds,
            draining=not self._fleet.engines.is_ready(engine),
            paused=self._fleet.balancer.view(engine).paused,
        )

    def _update_state(
        self, service: ServiceName, held_back: bool, runs: int
    ) -> None:
        state = self._states.of(service)
        if state.held_back == held_back:
            return
        state.held_back = held_back
        self._metrics.load.items_held_back += held_back
        self._log.event(
            'items-held-back' if held_back else 'items-released',
            service=service,
            runs=runs,
            refused_s=round(self._fleet.refusals.seconds_since(service), 3),
            places_for_late=state.urgent_slots,
        )

    def _is_outranked(self, service: ServiceName, route: Route) -> bool:
        """Return whether an online route of the service outranks the route."""
        known = self._fleet.configuration.current
        return known is not None and any(
            other.kind is not RouteKind.BATCH
            and other.priority < route.priority
            for other in known.routes
            if any(share.service == service for share in other.shares)
        )

    def _stop(self, run: ItemRun, cause: StopCause) -> None:
        run.stop()
        self._metrics.load.item_stops[cause.value] += 1

    def _urgency(self, run: ItemRun) -> Urgency:
        return self._candidates.urgency(run.job, run.progress, run.route)


def _by_service(runs: Iterable[ItemRun]) -> dict[ServiceName, list[ItemRun]]:
    by_service: dict[ServiceName, list[ItemRun]] = {}
    for run in runs:
        by_service.setdefault(run.engine.service, []).append(run)
    return by_service
