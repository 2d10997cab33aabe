"""Run the items of owned jobs in slots that online requests do not need."""

from collections import Counter
from functools import partial

import gevent
from bendlead_store import clock
from bendlead_store.tasks import attempt, run_all
from gevent.event import Event
from msgspec import Struct, field

from bendlead_gateway._fleet.balancer import pick_service
from bendlead_gateway._fleet.fleet import Fleet
from bendlead_gateway._health.failure_kinds import (
    classify_error,
    classify_status,
    is_silence,
)
from bendlead_gateway._health.observation import FailureKind
from bendlead_gateway._jobs.backlog_monitor import BacklogMonitor
from bendlead_gateway._jobs.batch_capacity import BatchCapacity, HoldBackStates
from bendlead_gateway._jobs.candidates import Candidate, Candidates
from bendlead_gateway._jobs.full_routes import FullRoutes
from bendlead_gateway._jobs.item_results import ItemResults
from bendlead_gateway._jobs.item_run import (
    ItemExecutor,
    ItemRun,
    RunFailedError,
)
from bendlead_gateway._jobs.item_states import ItemReason
from bendlead_gateway._jobs.run_stopper import RunStopper
from bendlead_gateway._jobs.shard_manager import ShardManager
from bendlead_gateway._jobs.slot_choice import take_slot, why_no_slot
from bendlead_gateway._log import Log
from bendlead_gateway._metrics import Metrics
from bendlead_gateway._scheduling.item_slots import ItemSlots
from bendlead_gateway._scheduling.precedence import Precedence
from bendlead_gateway._scheduling.urgency import ItemDurations
from bendlead_gateway._suspects.crash_detector import BrokenResponse
from bendlead_gateway.dialect import Dialect
from bendlead_gateway.types import (
    Engine,
    ItemOutcome,
    NodeName,
    ServiceName,
)

_ROUND_INTERVAL_SECONDS = 0.025
#: Pause before an item is run again after a failure.
_RETRY_PAUSE_SECONDS = 0.3
#: Time for which an item that has failed is no trial of an engine.
_TRIAL_INTERVAL_SECONDS = 5.0


class _Round(Struct):
    """What the items of one scheduling round share."""

    capacity: BatchCapacity
    #: Running items by service.
    running: Counter[ServiceName]
    full_routes: FullRoutes = field(default_factory=FullRoutes)
    tried_services: set[ServiceName] = field(default_factory=set)
    _slots: dict[ServiceName, ItemSlots] = field(default_factory=dict)

    def free_slots(self, service: ServiceName) -> ItemSlots:
        """Return the free slots of a service, looked up once."""
        slots = self._slots.get(service) or self.capacity.free_slots(service)
        self._slots[service] = slots
        return slots


class ItemRunner:
    """Start, stop and finish the item runs of this process."""

    def __init__(
        self,
        node: NodeName,
        manager: ShardManager,
        dialect: Dialect,
        fleet: Fleet,
        log: Log,
        metrics: Metrics,
    ) -> None:
        self._manager = manager
        self._fleet = fleet
        self._loads = fleet.loads
        self._executor = ItemExecutor(dialect, fleet, manager.texts, log)
        self._log = log
        self._metrics = metrics
        self._durations = ItemDurations()
        self._results = ItemResults(fleet, self._durations, log, metrics)
        self._precedence = Precedence(node)
        self._runs: set[ItemRun] = set()
        self._wake = Event()
        self._backlog_monitor = BacklogMonitor(manager, self._durations)
        self._candidates = Candidates(
            manager,
            fleet,
            self._durations,
            log,
            metrics,
            partial(self._results.finish, outcome=ItemOutcome.GIVEN_UP),
            dialect,
        )
        self._hold_back_states = HoldBackStates()
        self.backlog_rates = self._results.backlog_rates
        #: When the latest scheduling round ended (uptime, s).
        self.latest_round_at = clock.uptime()
        self._stopper = RunStopper(
            manager,
            self._candidates,
            fleet,
            self._hold_back_states,
            log,
            metrics,
        )

    @property
    def running(self) -> int:
        """Return the number of active runs."""
        return len(self._runs)

    def summary(self) -> dict[str, object]:
        """Return the hold-back state of each service for the state dump."""
        return self._hold_back_states.summary()

    def wake(self) -> None:
        """Start the next scheduling round now."""
        self._wake.set()

    def run(self) -> None:
        """Run scheduling rounds forever: stop runs, then start items."""
        while True:
            capacity = BatchCapacity(self._fleet.balancer, self._precedence)
            run_all(
                self._update_precedence,
                partial(self._stopper.check, self._runs, capacity),
                partial(self._backlog_monitor.update, len(self._runs)),
                partial(self._start_runs, capacity),
            )
            self.latest_round_at = clock.uptime()
            self._wake.wait(_ROUND_INTERVAL_SECONDS)
            self._wake.clear()

    def _update_precedence(self) -> None:
        self._precedence.update_others(self._loads.item_owners())

    def _start_runs(self, capacity: BatchCapacity) -> None:
        scheduling_round = _Round(
            capacity, Counter(run.engine.service for run in self._runs)
        )
        for candidate in self._candidates.ranked():
            try:
                self._start_candidate(candidate, scheduling_round)
            except Exception as error:
                # The others may start none the less.
                self._candidates.errors.postpone(
                    candidate.job, candidate.progress, error
                )

    def _start_candidate(
        self, candidate: Candidate, scheduling_round: '_Round'
    ) -> None:
        """Start a ranked item that no full route or trial holds up."""
        if self._is_held_up(candidate, scheduling_round.full_routes):
            candidate.progress.reason = ItemReason.ROUTE_FULL
            return
        if self._candidates.is_in_trial(candidate):
            candidate.progress.reason = ItemReason.PART_TAKEN
            return
        service = pick_service(candidate.route)
        running = scheduling_round.running
        if self._start_trial(
            candidate, service, scheduling_round.tried_services
        ):
            running[service] += 1
            return
        if not self._may_start(candidate, service, running[service]):
            candidate.progress.reason = ItemReason.HELD_BACK
            return
        if self._start_in_free_slot(
            candidate,
            scheduling_round.free_slots(service),
            scheduling_round.full_routes,
        ):
            running[service] += 1

    def _is_held_up(
        self, candidate: Candidate, full_routes: FullRoutes
    ) -> bool:
        """Return whether an item like it found no slot in this round."""
        if full_routes.holds_up(candidate):
            return True
        return full_routes.any_by_parts and full_routes.holds_up_parts(
            candidate, self._candidates.held_parts(candidate.progress)
        )

    def _start_in_free_slot(
        self, candidate: Candidate, slots: ItemSlots, full_routes: FullRoutes
    ) -> bool:
        """Start an item if there is a slot for it; return whether there was.

        Others of the route may have slots where an item waits for its version,
        or for engines that have had no trial of its parts.
        """
        parts = self._candidates.held_parts(candidate.progress)
        avoided = self._fleet.suspects.item_trials.tried_engines(parts)
        view = take_slot(slots, candidate, avoided)
        if view is not None:
            self._start(candidate, view.engine)
            return True
        reason = why_no_slot(slots, candidate)
        candidate.progress.reason = reason
        full_routes.add(candidate, reason, parts)
        return False

    def _may_start(
        self, candidate: Candidate, service: ServiceName, running: int
    ) -> bool:
        """Return whether an item may start beside the running ones."""
        route = candidate.route
        timing = self._candidates.timing(
            candidate.job, candidate.progress, route
        )
        return self._stopper.may_start(service, route, timing, running)

    def _start_trial(
        self,
        candidate: Candidate,
        service: ServiceName,
        tried_services: set[ServiceName],
    ) -> bool:
        """Start an item as the trial of an engine that is out of rotation.

        Only an item without failures: a failed trial counts towards giving it
        up. Nor one with events, which that engine may be unable to continue,
        nor one that has just failed: it could meet one such engine after the
        other. Each service is checked once a round, as thousands may wait.
        """
        progress = candidate.progress
        if progress.failures or progress.texts or service in tried_services:
            return False
        if self._candidates.held_parts(progress):
            # Its own trial tells nothing at an engine that fails.
            return False
        if clock.uptime() - progress.failed_at < _TRIAL_INTERVAL_SECONDS:
            return False
        tried_services.add(service)
        view = self._fleet.balancer.start_trial(service)
        if view is not None:
            self._start(candidate, view.engine)
        return view is not None

    def _start(self, candidate: Candidate, engine: Engine) -> None:
        run = ItemRun(
            engine,
            candidate.shard,
            candidate.job,
            candidate.progress,
            candidate.route,
        )
        trials = self._fleet.suspects.item_trials
        try:
            self._candidates.record_start(candidate)
            trials.begin(run, self._candidates.held_parts(run.progress))
        except Exception:
            # A trial that has not begun would hold up other items.
            trials.end(run, may_have_run=False)
            raise
        run.progress.begin_run(engine.version)
        run.progress.engine = engine.engine
        self._runs.add(run)
        self._loads.own.batch[engine.engine] += 1
        gevent.spawn(self._run_item, run)

    def _run_item(self, run: ItemRun) -> None:
        try:
            self._execute(run)
        except Exception as unforeseen:
            self._metrics.items['failed'] += 1
            self._candidates.errors.postpone_run(run, unforeseen)
        else:
            run.progress.errors = 0
        self.wake()

    def _execute(self, run: ItemRun) -> None:
        outcome = None
        may_have_run = True
        try:
            outcome = self._executor.execute(run)
            may_have_run = outcome is not None
        except (RunFailedError, OSError) as error:
            self._record_failure(run, error)
            answered = isinstance(error, RunFailedError) and error.status
            may_have_run = run.sent_at > 0 and not answered
        except Exception:
            may_have_run = run.sent_at > 0
            raise
        finally:
            self._release_slot(run)
            attempt(
                'item-trials',
                self._log.task_failed,
                partial(
                    self._fleet.suspects.item_trials.end,
                    run,
                    may_have_run=may_have_run,
                ),
            )
        progress = run.progress
        if outcome is None and progress.failures >= run.route.max_attempts:
            outcome = ItemOutcome.GIVEN_UP
        if outcome is not None:
            self._results.finish(run.shard, run.job, progress, outcome)

    def _release_slot(self, run: ItemRun) -> None:
        self._runs.discard(run)
        run.progress.end_run()
        self._loads.own.batch[run.engine.engine] -= 1
        connection = run.connection
        if connection is not None and not connection.reusable:
            connection.close()

    def _record_failure(self, run: ItemRun, error: Exception) -> None:
        ending = 'stopped' if run.stopped else 'failed'
        digest = '-' if run.stopped else run.digest
        self._metrics.items[ending] += 1
        self._log.event(
            'item-run',
            job=run.job.job,
            item=run.progress.item.item,
            engine=run.engine.engine,
            version=run.engine.version,
            ending=ending,
            digest=digest,
            last_event=run.progress.last_event,
            failures=run.progress.failures,
            reason=error,
        )
        if not run.stopped:
            if isinstance(error, OSError):
                if run.last_output_at and not is_silence(error):
                    # The engine was at work until now, between two events.
                    self._executor.record_progress(run)
                broken = BrokenResponse(
                    run.digest,
                    run.sent_at,
                    run.response_started,
                    run.suspected_parts,
                )
                self._fleet.suspects.crash_detector.record_broken(
                    run.engine, broken
                )
            self._report_failure(run, error)
            run.progress.reason = ItemReason.RETRY
            run.progress.failed_at = clock.uptime()
            run.progress.not_before = (
                run.progress.failed_at + _RETRY_PAUSE_SECONDS
            )

    def _report_failure(self, run: ItemRun, error: Exception) -> None:
        """Report an engine's failure, unless this process caused it."""
        engine = run.engine
        cause = error if isinstance(error, OSError) else error.__cause__
        kind: FailureKind | None = FailureKind.ERROR
        if isinstance(cause, OSError):
            kind = classify_error(cause)
        elif isinstance(error, RunFailedError) and error.status:
            kind = classify_status(error.status)
        if run.sent_at:
            self._fleet.health.record_failure(engine.engine)
            self._fleet.shared_health.record_failure(engine, kind, run.digest)
        else:
            since = run.connect_began_at
            self._fleet.health.record_failure(
                engine.engine, unreachable=True, since=since
            )
            self._fleet.shared_health.record_unreachable(engine, kind, since)
