"""What a shard knows, rebuilt from its records in log order.

The rules that make a result final stand here and nowhere else: the first
result of an item wins, nothing is recorded after a cancel, and a request is
recorded once. Replay therefore decides exactly as the first run did.
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
    """Say where one item of a job is."""

    WAITING = 0
    SUCCEEDED = 1
    FAILED = 2


class JobState(Struct):
    """Keep one byte for each item, so that a large job stays small."""

    accepted: JobAccepted
    status: bytearray
    attempts: dict[int, int] = field(default_factory=dict)
    packs: list[PackRef] = field(default_factory=list)
    cancelled_at: float = 0
    finished_at: float = 0
    remaining: int = 0

    @classmethod
    def fresh(cls, accepted: JobAccepted) -> 'JobState':
        """Start a job with its unreadable lines already failed."""
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
        """Tell whether items of the job may still be run."""
        return not (self.finished_at or self.cancelled_at)

    def waits(self, position: int) -> bool:
        """Tell whether an item has no result yet."""
        return self.status[position] == ItemStatus.WAITING

    def record(self, recorded: ResultsRecorded) -> bool:
        """Take the first result of each item; later ones change nothing."""
        # A pack may hold an item twice, when its report was sent again.
        fresh = list(dict.fromkeys(filter(self.waits, recorded.positions)))
        if not fresh:
            return False
        failed = frozenset(recorded.failed)
        for position in fresh:
            status = ItemStatus.SUCCEEDED
            if position in failed:
                status = ItemStatus.FAILED
            self.status[position] = status
            self.attempts.pop(position, None)
        self.packs.append(PackRef(key=recorded.pack, positions=fresh))
        self.remaining -= len(fresh)
        if not self.remaining:
            self.finished_at = recorded.at
        return True


class RequestState(Struct):
    """Keep one recorded online request."""

    accepted: RequestAccepted
    status: int = 0
    body: str = ''
    completed_at: float = 0


class ShardState:
    """Fold records into the jobs and requests of one shard."""

    def __init__(self) -> None:
        self.jobs: dict[str, JobState] = {}
        self.requests: dict[str, RequestState] = {}
        self.direct: dict[str, DirectJobState] = {}

    def apply(self, record: Record) -> bool:
        """Apply one record; tell whether it changed anything."""
        return _APPLY[type(record)](self, record)

    def replay(self, records: Iterable[Record]) -> int:
        """Apply records in log order and count them."""
        count = 0
        for record in records:
            self.apply(record)
            count += 1
        return count

    def snapshot(self) -> Snapshot:
        """Write down the whole state."""
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
        """Take over the state that a snapshot holds."""
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
        self.jobs[record.job] = JobState.fresh(record)
        return True

    def record_results(self, record: ResultsRecorded) -> bool:
        """Record results unless the job is cancelled or gone."""
        job = self.jobs.get(record.job)
        if job is None or job.cancelled_at:
            return False
        return job.record(record)

    def count_attempts(self, record: AttemptFailed) -> bool:
        """Count failed attempts of items that still wait."""
        job = self.jobs.get(record.job)
        if job is None or not job.active:
            return False
        for position in filter(job.waits, record.positions):
            job.attempts[position] = job.attempts.get(position, 0) + 1
        return True

    def cancel_job(self, record: JobCancelled) -> bool:
        """Cancel a job that still runs."""
        job = self.jobs.get(record.job)
        if job is None or not job.active:
            return False
        job.cancelled_at = record.at
        job.attempts.clear()
        return True

    def remove_job(self, record: JobRemoved) -> bool:
        """Forget a job."""
        direct = self.direct.pop(record.job, None)
        return self.jobs.pop(record.job, direct) is not None

    def accept_direct(self, record: DirectJobAccepted) -> bool:
        """Accept a direct job once."""
        if record.job in self.direct:
            return False
        self.direct[record.job] = DirectJobState(record)
        return True

    def record_direct(self, record: DirectResultsRecorded) -> bool:
        """Append first results of items and keep progress of the others."""
        job = self.direct.get(record.job)
        if job is None:
            return False
        recorded = job.record(record.results)
        counted = job.count(record.failed)
        return job.keep(record.progress) or counted or recorded

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
        """Release the key of a request that did not run."""
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
        packs=list(snapshot.packs),
        cancelled_at=snapshot.cancelled_at,
        finished_at=snapshot.finished_at,
        remaining=status.count(ItemStatus.WAITING),
    )


_Rule = Callable[[ShardState, Any], bool]
_APPLY: Final[Mapping[type, _Rule]] = MappingProxyType(
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
