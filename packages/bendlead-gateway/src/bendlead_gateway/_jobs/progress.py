"""Choose which item progress is written to a shard's log, and when."""

from collections.abc import Callable, Iterator, Mapping

import gevent
from bendlead_ledger import Committer
from bendlead_schema.records import (
    DirectResultsRecorded,
    Record,
)
from bendlead_store import clock
from bendlead_store.tasks import Report, TaskFailure, print_failure

from bendlead_gateway._jobs.owned_job import OwnedJob, Progress
from bendlead_gateway.types import JobId

#: Shortest interval at which other writes carry progress: each later write
#: repeats the record until the tail of the log is sealed.
_PIGGYBACK_INTERVAL_SECONDS = 0.4
#: Interval after which progress gets a write of its own. It trades billed calls
#: for the progress that is lost when the process dies.
_OWN_WRITE_INTERVAL_SECONDS = 1.0
#: Interval as a multiple of the duration of the last write, up to the maximum:
#: new records wait for the write under way, so slow writes must be rare.
_INTERVAL_PER_WRITE_TIME = 10
_MAX_INTERVAL_SECONDS = 5.0
_CHECK_SECONDS = 0.2
#: Limit of the text in one write: a value of the object service is limited to
#: 1 MB, and compressing more text delays the requests of this process.
_MAX_CHARACTERS = 200_000

_UnsavedItem = tuple[JobId, Progress]


class ProgressWriter:
    """Produce the log records of progress that is not saved yet.

    ``write_seconds`` returns the duration of the last write to the log.
    """

    def __init__(
        self,
        jobs: Mapping[JobId, OwnedJob],
        write_seconds: Callable[[], float],
        report: Report = print_failure,
    ) -> None:
        self._report = report
        self._jobs = jobs
        self._write_seconds = write_seconds
        self._taken_at = clock.uptime()

    @property
    def due(self) -> bool:
        """Return whether progress needs a write of its own."""
        return self._interval_passed(_OWN_WRITE_INTERVAL_SECONDS) and any(
            self._unsaved()
        )

    def run(self, committer: Committer) -> None:
        """Commit progress without waiting for other writes, while owned."""
        while not committer.lost:
            gevent.sleep(_CHECK_SECONDS)
            if self.due:
                # A failure means that the shard is lost, which its owner logs.
                committer.commit(self.take_records())

    def piggyback(self) -> list[Record]:
        """Return the records to add to a write that is made anyway.

        An error costs these alone, not the write.
        """
        try:
            if self._interval_passed(_PIGGYBACK_INTERVAL_SECONDS):
                return self.take_records()
        except Exception as error:
            self._report(TaskFailure('progress', error))
        return []

    def take_records(self) -> list[Record]:
        """Return records up to the size limit, most unsaved texts first."""
        self._taken_at = clock.uptime()
        remaining = _MAX_CHARACTERS
        taken: dict[JobId, DirectResultsRecorded] = {}
        for job, progress in sorted(
            self._unsaved(), key=_count_unsaved, reverse=True
        ):
            if remaining <= 0:
                break
            record = taken.setdefault(
                job, DirectResultsRecorded(job=job, results=[])
            )
            if progress.has_unsaved_failures:
                record.failed.append(progress.take_failures())
            if progress.unsaved_texts:
                events = progress.take_events(remaining)
                remaining -= len(events.text)
                record.progress.append(events)
        return list(taken.values())

    def _interval_passed(self, interval: float) -> bool:
        wanted = max(interval, self._write_seconds() * _INTERVAL_PER_WRITE_TIME)
        elapsed = clock.uptime() - self._taken_at
        return elapsed > min(wanted, _MAX_INTERVAL_SECONDS)

    def _unsaved(self) -> Iterator[_UnsavedItem]:
        """Yield the unfinished items with unsaved events or failures."""
        for job_id, job in self._jobs.items():
            if job.state.ended:
                continue
            for progress in job.progress.values():
                unsaved = (
                    progress.unsaved_texts or progress.has_unsaved_failures
                )
                if unsaved and not progress.finished:
                    yield job_id, progress


def _count_unsaved(item: _UnsavedItem) -> int:
    _job, progress = item
    return progress.unsaved_texts
