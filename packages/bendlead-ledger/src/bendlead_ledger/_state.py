"""State of a shard, rebuilt by applying its records in log order.

Only this module decides which records take effect: the first result of an item
wins, nothing is recorded after a cancel, and a request is recorded once. A
replay therefore gives the same state as the original run.
"""

import base64
import enum
from collections.abc import Callable, Iterable, Mapping
from types import MappingProxyType
from typing import Any, Final

from bendlead_schema.records import (
    AttemptFailed,
    DirectJobAccepted,
    DirectJobEnded,
    DirectResultsRecorded,
    JobAccepted,
    JobCancelled,
    JobRemoved,
    JobSnapshot,
    PackRef,
    Record,
    RequestAccepted,
    RequestCompleted,
    RequestRefused,
    RequestSnapshot,
    ResultsRecorded,
    Snapshot,
)
from msgspec import Struct, field

from bendlead_ledger._codec import FORMAT
from bendlead_ledger._direct import DirectJobState


class ItemStatus(enum.IntEnum):
    """Status of one item of a job; the values are stored."""

    WAITING = 0
    SUCCEEDED = 1
    FAILED = 2


class JobState(Struct):
    """State of one batch job, with one status byte for each item."""

    accepted: JobAccepted
    status: bytearray
    attempts: dict[int, int] = field(default_factory=dict)
    #: Those of the attempts that were cut off.
    cuts: dict[int, int] = field(default_factory=dict)
    packs: list[PackRef] = field(default_factory=list)
    cancelled_at: float = 0
    finished_at: float = 0
    remaining: int = 0

    def failures(self, position: int) -> int:
        """Count the attempts that an engine failed, none of them cut off."""
        return self.attempts.get(position, 0) - self.cuts.get(position, 0)

    @classmethod
    def create(cls, accepted: JobAccepted) -> 'JobState':
        """Return the state of a new job; its rejected lines count as failed."""
        status = bytearray(accepted.item_count)
        for position in accepted.rejected:
            status[position] = ItemStatus.FAILED
        job = cls(accepted, status)
        job.remaining = status.count(ItemStatus.WAITING)
        if not job.remaining:
            job.finished_at = accepted.accepted_at
        return job

    @property
    def active(self) -> bool:
        """Whether items of the job may still be run."""
        return not (self.finished_at or self.cancelled_at)

    def is_waiting(self, position: int) -> bool:
        """Return whether an item has no result yet."""
        return self.status[position] == ItemStatus.WAITING

    def record(self, recorded: ResultsRecorded) -> bool:
        """Record the first result of each item; ignore later ones.

        Returns whether the state changed.
        """
        # A pack may contain an item twice if its report was resent.
        new = list(dict.fromkeys(filter(self.is_waiting, recorded.positions)))
        if not new:
            return False
        failed = frozenset(recorded.failed)
        for position in new:
            status = ItemStatus.SUCCEEDED
            if position in failed:
                status = ItemStatus.FAILED
            self.status[position] = status
            self.attempts.pop(position, None)
            self.cuts.pop(position, None)
        self.packs.append(PackRef(key=recorded.pack, positions=new))
        self.remaining -= len(new)
        if not self.remaining:
            self.finished_at = recorded.at
        return True


class RequestState(Struct):
    """State of one recorded online request."""

    accepted: RequestAccepted
    status: int = 0
    body: str = ''
    completed_at: float = 0


class ShardState:
    """Jobs and requests of one shard.

    Methods that apply a record return whether it changed the state.
    """

    def __init__(self) -> None:
        self.jobs: dict[str, JobState] = {}
        self.requests: dict[str, RequestState] = {}
        self.direct: dict[str, DirectJobState] = {}

    def apply(self, record: Record) -> bool:
        """Apply one record; return whether it changed the state."""
        return _APPLY[type(record)](self, record)

    def replay(self, records: Iterable[Record]) -> int:
        """Apply records in log order; return their number."""
        count = 0
        for record in records:
            self.apply(record)
            count += 1
        return count

    def snapshot(self) -> Snapshot:
        """Return the complete state as a snapshot record."""
        return Snapshot(
            format=FORMAT,
            jobs=[_job_snapshot(job) for job in self.jobs.values()],
            requests=[
                RequestSnapshot(
                    accepted=request.accepted,
                    status=request.status,
                    body=request.body,
                )
                for request in self.requests.values()
            ],
            direct=[job.snapshot() for job in self.direct.values()],
        )

    def restore(self, snapshot: Snapshot) -> None:
        """Load the state of a snapshot."""
        for job in snapshot.jobs:
            self.jobs[job.accepted.job] = _restored_job(job)
        for request in snapshot.requests:
            self.requests[request.accepted.request] = RequestState(
                request.accepted,
                request.status,
                request.body,
            )
        for direct in snapshot.direct:
            restored = DirectJobState.restored(direct)
            self.direct[direct.accepted.job] = restored

    def accept_job(self, record: JobAccepted) -> bool:
        """Accept a job once."""
        if record.job in self.jobs:
            return False
        self.jobs[record.job] = JobState.create(record)
        return True

    def record_results(self, record: ResultsRecorded) -> bool:
        """Record results unless the job is cancelled or removed."""
        job = self.jobs.get(record.job)
        if job is None or job.cancelled_at:
            return False
        return job.record(record)

    def count_attempts(self, record: AttemptFailed) -> bool:
        """Count failed attempts of items without result."""
        job = self.jobs.get(record.job)
        if job is None or not job.active:
            return False
        for position in filter(job.is_waiting, record.positions):
            job.attempts[position] = job.attempts.get(position, 0) + 1
            if record.cut:
                job.cuts[position] = job.cuts.get(position, 0) + 1
        return True

    def cancel_job(self, record: JobCancelled) -> bool:
        """Cancel an active job."""
        job = self.jobs.get(record.job)
        if job is None or not job.active:
            return False
        job.cancelled_at = record.at
        job.attempts.clear()
        job.cuts.clear()
        return True

    def remove_job(self, record: JobRemoved) -> bool:
        """Remove a job."""
        direct = self.direct.pop(record.job, None)
        return self.jobs.pop(record.job, direct) is not None

    def accept_direct(self, record: DirectJobAccepted) -> bool:
        """Accept a direct job once."""
        if record.job in self.direct:
            return False
        self.direct[record.job] = DirectJobState(record)
        return True

    def record_direct(self, record: DirectResultsRecorded) -> bool:
        """Record results, failures and progress of a direct job's items."""
        job = self.direct.get(record.job)
        if job is None:
            return False
        recorded = job.record(record.results)
        counted = job.update_failures(record.failed)
        return job.add_progress(record.progress) or counted or recorded

    def end_direct(self, record: DirectJobEnded) -> bool:
        """End a direct job."""
        job = self.direct.get(record.job)
        return job is not None and job.end()

    def accept_request(self, record: RequestAccepted) -> bool:
        """Accept a request once."""
        if record.request in self.requests:
            return False
        self.requests[record.request] = RequestState(record)
        return True

    def complete_request(self, record: RequestCompleted) -> bool:
        """Record the first result of a request."""
        request = self.requests.get(record.request)
        if request is None or request.status:
            return False
        request.status = record.status
        request.body = record.body
        request.completed_at = record.at
        return True

    def refuse_request(self, record: RequestRefused) -> bool:
        """Remove a request without result; its key can then be used again."""
        request = self.requests.get(record.request)
        if request is None or request.status:
            return False
        self.requests.pop(record.request)
        return True


def _job_snapshot(job: JobState) -> JobSnapshot:
    return JobSnapshot(
        accepted=job.accepted,
        status=base64.b64encode(job.status).decode(),
        attempts={str(at): count for at, count in job.attempts.items()},
        cuts={str(at): count for at, count in job.cuts.items()},
        packs=list(job.packs),
        cancelled_at=job.cancelled_at,
        finished_at=job.finished_at,
    )


def _restored_job(snapshot: JobSnapshot) -> JobState:
    status = bytearray(base64.b64decode(snapshot.status))
    return JobState(
        accepted=snapshot.accepted,
        status=status,
        attempts={int(at): count for at, count in snapshot.attempts.items()},
        cuts={int(at): count for at, count in snapshot.cuts.items()},
        packs=list(snapshot.packs),
        cancelled_at=snapshot.cancelled_at,
        finished_at=snapshot.finished_at,
        remaining=status.count(ItemStatus.WAITING),
    )


_Apply = Callable[[ShardState, Any], bool]
_APPLY: Final[Mapping[type, _Apply]] = MappingProxyType(
    {
        JobAccepted: ShardState.accept_job,
        ResultsRecorded: ShardState.record_results,
        AttemptFailed: ShardState.count_attempts,
        JobCancelled: ShardState.cancel_job,
        JobRemoved: ShardState.remove_job,
        RequestAccepted: ShardState.accept_request,
        RequestCompleted: ShardState.complete_request,
        RequestRefused: ShardState.refuse_request,
        DirectJobAccepted: ShardState.accept_direct,
        DirectResultsRecorded: ShardState.record_direct,
        DirectJobEnded: ShardState.end_direct,
    }
)
