"""Record the results of finished items."""

from bendlead_store import FailureKind, clock
from bendlead_store.tasks import attempt, keep_running

from bendlead_gateway._fleet.fleet import Fleet
from bendlead_gateway._jobs.item_states import ItemReason
from bendlead_gateway._jobs.owned_job import OwnedJob, Progress
from bendlead_gateway._jobs.owned_shard import OwnedShard
from bendlead_gateway._log import Log
from bendlead_gateway._metrics import Metrics
from bendlead_gateway._scheduling.backlog import BacklogRates
from bendlead_gateway._scheduling.urgency import ItemDurations
from bendlead_gateway.types import ItemOutcome, ItemResult


class NotRecordedError(Exception):
    """The result of an item is not in the log of the shard."""


class ItemResults:
    """Record each finished item, and learn from it."""

    def __init__(
        self,
        fleet: Fleet,
        durations: ItemDurations,
        log: Log,
        metrics: Metrics,
    ) -> None:
        self._fleet = fleet
        self._durations = durations
        self._log = log
        self._metrics = metrics
        self.backlog_rates = BacklogRates()

    def finish(
        self,
        shard: OwnedShard,
        job: OwnedJob,
        progress: Progress,
        outcome: ItemOutcome,
    ) -> None:
        """Start to record an item, which does not run again here."""
        completed = outcome is ItemOutcome.COMPLETED
        text = '\n'.join(progress.texts) if completed else ''
        item_result = ItemResult(progress.item.item, outcome, text)
        # Nothing comes between the two: the item would be at no one.
        progress.finished = True
        progress.reason = ItemReason.TO_COMMIT
        progress.progressed_at = clock.uptime()
        keep_running(
            'item-record',
            self._log.task_failed,
            self._record,
            shard,
            job,
            progress,
            item_result,
        )
        self._metrics.items[outcome.value] += 1
        attempt(
            'item-finish',
            self._log.task_failed,
            self._observe_finish,
            job,
            progress,
            outcome,
        )

    def _observe_finish(
        self, job: OwnedJob, progress: Progress, outcome: ItemOutcome
    ) -> None:
        """Update the estimates from a finished item."""
        self.backlog_rates.record_finished(
            job.host, job.team, progress.item.tokens, clock.uptime()
        )
        if outcome is ItemOutcome.COMPLETED:
            self._fleet.suspects.record_success(
                lambda: job.digest(progress), progress.shared_parts or ()
            )
            self._durations.observe(
                progress.run_seconds, progress.elapsed_seconds
            )

    def _record(
        self,
        shard: OwnedShard,
        job: OwnedJob,
        progress: Progress,
        item_result: ItemResult,
    ) -> None:
        progress.reason = ItemReason.COMMIT
        recorded = shard.record(job, item_result)
        # Dropped from the job if it is recorded.
        progress.reason = ItemReason.COMMIT_FAILED
        failure = recorded.err()
        self._log.event(
            'item-recorded',
            job=job.job,
            item=item_result.item,
            outcome=item_result.outcome.value,
            characters=len(item_result.text),
            failure=failure or '-',
        )
        if failure is None or failure.kind is FailureKind.REFUSED:
            # Recorded, or the log takes no record of it.
            return
        if shard.is_owned:
            # Still owed here, so it is recorded again after a pause.
            raise NotRecordedError(str(failure))
