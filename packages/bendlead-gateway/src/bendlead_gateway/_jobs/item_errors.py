"""Pauses of items whose handling raised an unforeseen error."""

from bendlead_store import clock
from bendlead_store.tasks import TaskFailure, error_fields, pause_after

from bendlead_gateway._jobs.item_run import ItemRun
from bendlead_gateway._jobs.item_states import ItemReason
from bendlead_gateway._jobs.owned_job import OwnedJob, Progress
from bendlead_gateway._log import Log

#: Shortest pause after a run: an engine may have run the item.
_MIN_RUN_PAUSE_SECONDS = 0.3


class ItemErrors:
    """Have such an item wait, with one line, while the others go on."""

    def __init__(self, log: Log) -> None:
        self._log = log

    def postpone(
        self, job: OwnedJob, progress: Progress, error: Exception
    ) -> None:
        """Postpone an item that could not be started."""
        pause = _postpone(progress, 0)
        self._log.task_failed(
            TaskFailure('item-start', error, progress.errors, pause),
            job=job.job,
            item=progress.item.item,
        )

    def postpone_run(self, run: ItemRun, error: Exception) -> None:
        """Postpone an item whose run raised an error."""
        pause = _postpone(run.progress, _MIN_RUN_PAUSE_SECONDS)
        run.progress.failed_at = clock.uptime()
        fields = error_fields(error)
        reason = f'{fields.pop("error")}: {fields.pop("message")}'
        self._log.count_failure('item-run')
        self._log.event(
            'item-run',
            job=run.job.job,
            item=run.progress.item.item,
            engine=run.engine.engine,
            version=run.engine.version,
            ending='failed',
            digest='-',
            last_event=run.progress.last_event,
            failures=run.progress.failures,
            reason=reason,
            **fields,
            errors=run.progress.errors,
            pause_s=round(pause, 3),
        )


def _postpone(progress: Progress, least: float) -> float:
    pause = max(least, pause_after(progress.errors))
    progress.errors += 1
    progress.reason = ItemReason.ERROR
    progress.not_before = clock.uptime() + pause
    return pause
