"""Rank the batch items that are ready to start."""

import time
from collections.abc import Callable, Iterator, Sequence

from bendlead_store import clock
from msgspec import Struct

from bendlead_gateway._fleet.fleet import Fleet
from bendlead_gateway._jobs.item_errors import ItemErrors
from bendlead_gateway._jobs.item_states import ItemReason
from bendlead_gateway._jobs.owned_job import OwnedJob, Progress
from bendlead_gateway._jobs.owned_shard import OwnedShard
from bendlead_gateway._jobs.shard_manager import ShardManager
from bendlead_gateway._log import Log
from bendlead_gateway._metrics import Metrics
from bendlead_gateway._scheduling.deferral import ItemTiming, item_timing
from bendlead_gateway._scheduling.fair_order import FairOrder, ItemCost
from bendlead_gateway._scheduling.urgency import ItemDurations, Urgency
from bendlead_gateway.dialect import Dialect
from bendlead_gateway.types import PromptPart, Route

#: Tolerance for clock skew: another process may have accepted the job.
_RETENTION_SLACK_SECONDS = 4.0
_PAUSE_RECHECK_SECONDS = 0.5

#: Record an item as given up; it does not run again.
GiveUp = Callable[[OwnedShard, OwnedJob, Progress], None]

_Waiting = tuple[OwnedShard, OwnedJob, Progress]


class Candidate(Struct, frozen=True):
    """An item that is ready to start, with its rank."""

    urgency: Urgency
    shard: OwnedShard
    job: OwnedJob
    progress: Progress
    route: Route

    @property
    def cost(self) -> ItemCost:
        """Return the item's cost for fair ordering among teams."""
        return ItemCost(
            self.urgency,
            self.job.team,
            self.job.job,
            self.progress.item.tokens,
        )

    @property
    def elapsed_share(self) -> float:
        """Return the share of the job's target run time that has passed.

        0 where the route has no target.
        """
        if not self.route.run_target:
            return 0
        return job_age_seconds(self.job) / self.route.run_target


class Candidates:
    """Rank waiting items, and give up those that can no longer run."""

    def __init__(
        self,
        manager: ShardManager,
        fleet: Fleet,
        durations: ItemDurations,
        log: Log,
        metrics: Metrics,
        give_up: GiveUp,
        dialect: Dialect,
    ) -> None:
        self._manager = manager
        self._fleet = fleet
        self._durations = durations
        self._log = log
        self._metrics = metrics
        self._give_up = give_up
        self._dialect = dialect
        self._fair_order = FairOrder()
        self.errors = ItemErrors(log)

    def ranked(self) -> list[Candidate]:
        """Return the items that are ready to start, in the order to run."""
        found: list[Candidate] = []
        for shard, job, progress in self._waiting():
            try:
                candidate = self._candidate(shard, job, progress)
            except Exception as error:
                self.errors.postpone(job, progress, error)
                continue
            if candidate is not None:
                found.append(candidate)
        if self._fleet.configuration.requires_key:
            costs = [candidate.cost for candidate in found]
            order = self._fair_order.order(costs, clock.uptime())
            found = [found[number] for number in order]
        else:
            found.sort(key=_urgency_of)
        return found

    def held_parts(self, progress: Progress) -> Sequence[PromptPart]:
        """Return the parts that an item tries if it starts now."""
        return self._fleet.suspects.parts.held(
            progress.read_shared_parts(self._dialect)
        )

    def is_in_trial(self, candidate: Candidate) -> bool:
        """Return whether another item tries one of its parts by now."""
        parts = self.held_parts(candidate.progress)
        return self._fleet.suspects.item_trials.any_running(parts)

    def record_start(self, candidate: Candidate) -> None:
        """Charge an item that starts to its team."""
        self._fair_order.record_start(candidate.cost, clock.uptime())

    def remaining_seconds(self, progress: Progress) -> float:
        """Estimate the seconds that an item still needs on an engine."""
        return self._durations.remaining_seconds(progress.run_seconds)

    def timing(
        self, job: OwnedJob, progress: Progress, route: Route
    ) -> ItemTiming:
        """Return whether an item can be deferred without missing its target."""
        return item_timing(
            self._durations.spare(
                job_age_seconds(job),
                progress.run_seconds,
                route.run_target,
            )
        )

    def urgency(
        self, job: OwnedJob, progress: Progress, route: Route
    ) -> Urgency:
        """Compute the urgency of one item."""
        accepted_at = job.state.accepted.accepted_at
        return self._durations.urgency(
            accepted_at,
            job_age_seconds(job),
            progress.run_seconds,
            route.run_target,
        )

    def _candidate(
        self, shard: OwnedShard, job: OwnedJob, progress: Progress
    ) -> Candidate | None:
        """Return an item with its rank, None if it can not start now."""
        route = self._fleet.configuration.match(job.host, progress.item.path)
        if route is None:
            self._give_up_unrouted(shard, job, progress)
        elif _expired(job, route):
            self._give_up(shard, job, progress)
        elif not self._postponed(job, progress):
            urgency = self.urgency(job, progress, route)
            return Candidate(urgency, shard, job, progress, route)
        return None

    def _waiting(self) -> Iterator[_Waiting]:
        """Yield the items of owned jobs that wait for a slot."""
        now = clock.uptime()
        for shard in list(self._manager.owned.values()):
            for job in list(shard.jobs.values()):
                for progress in list(job.ready_items(now)):
                    yield shard, job, progress

    def _give_up_unrouted(
        self, shard: OwnedShard, job: OwnedJob, progress: Progress
    ) -> None:
        """Give up an item whose route is gone.

        Only once the configuration is current: an older one may lack the
        route.
        """
        if (
            self._fleet.config_watch.current
            and self._fleet.configuration.current
        ):
            self._give_up(shard, job, progress)
        else:
            progress.reason = ItemReason.NO_ROUTE

    def _postponed(self, job: OwnedJob, progress: Progress) -> bool:
        """Postpone an item that engines crashed under a moment ago."""
        seconds = self._fleet.suspects.remaining_pause(
            lambda: job.digest(progress),
            progress.read_shared_parts(self._dialect),
        )
        if seconds:
            self._postpone(job, progress, seconds)
        progress.paused = seconds > 0
        return progress.paused

    def _postpone(
        self, job: OwnedJob, progress: Progress, seconds: float
    ) -> None:
        now = clock.uptime()
        progress.pause_ends = now + seconds
        # A complete answer to another item may end the pause sooner.
        progress.not_before = now + min(seconds, _PAUSE_RECHECK_SECONDS)
        progress.reason = self._pause_reason(job, progress, seconds)
        if progress.paused:
            return
        self._metrics.load.paused_items += 1
        self._log.event(
            'item-paused',
            job=job.job,
            item=progress.item.item,
            digest=job.digest(progress),
            parts=','.join(self.held_parts(progress)) or '-',
            reason=progress.reason.value,
            seconds=round(seconds, 1),
            **self._fleet.suspects.item_trials.summary(job.digest(progress)),
        )

    def _pause_reason(
        self, job: OwnedJob, progress: Progress, seconds: float
    ) -> ItemReason:
        trials = self._fleet.suspects.item_trials
        if trials.any_running(self.held_parts(progress)):
            return ItemReason.PART_IN_TRIAL
        if trials.remaining_pause(job.digest(progress)):
            return ItemReason.CRASHES
        return ItemReason.PART_PAUSED


def job_age_seconds(job: OwnedJob) -> float:
    """Return the seconds since a job was accepted."""
    return time.time() - job.state.accepted.accepted_at


def _urgency_of(candidate: Candidate) -> Urgency:
    return candidate.urgency


def _expired(job: OwnedJob, route: Route) -> bool:
    if not route.retention:
        return False
    return job_age_seconds(job) > route.retention + _RETENTION_SLACK_SECONDS
