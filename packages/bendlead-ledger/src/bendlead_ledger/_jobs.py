"""Commands on batch jobs."""

import time
from collections import defaultdict
from collections.abc import Iterator, Sequence

from bendlead_schema.messages import (
    Acknowledged,
    CancelJob,
    DescribeJob,
    FetchOutput,
    GrantedItem,
    GrantRun,
    ItemReport,
    JobList,
    JobPhase,
    JobView,
    ListJobs,
    NoWork,
    OutputView,
    Refusal,
    RenewedRuns,
    RenewRuns,
    Reply,
    ReportRun,
    RunGrant,
    SubmitJob,
)
from bendlead_schema.records import (
    AttemptFailed,
    JobAccepted,
    JobCancelled,
    ResultLine,
)
from bendlead_schema.settings import LedgerSettings
from bendlead_store import Failure, FailureKind, clock
from msgspec import Struct, field
from result import Err

from bendlead_ledger._committer import Committer
from bendlead_ledger._grants import GrantOrder
from bendlead_ledger._ids import ShardId
from bendlead_ledger._input import BatchLine, ChunkReader
from bendlead_ledger._results import ResultPacker
from bendlead_ledger._runs import EndpointGaps, RunTable
from bendlead_ledger._state import ItemStatus, JobState, ShardState

#: Code of a refusal: another process owns the shard.
NOT_OWNER = 'not_owner'
_COMMIT_SECONDS = 5.0
_ITEM_FAILED = 500
#: Cut attempts from which on an item pauses, and for how long. It bounds how
#: many engines an item costs that does crash them.
_CUTS_UNTIL_PAUSE = 3
_CUT_PAUSE_SECONDS = 2.0
#: Time between two such items at one endpoint. Engines crash as they begin to
#: run an item, so one that crashes them does not take the others along.
_CUT_GAP_SECONDS = 0.15
_REFUSAL_CODES = {
    FailureKind.CONFLICT: NOT_OWNER,
    FailureKind.UNKNOWN: 'unknown',
}
_ITEM_FAILED_BODY = (
    '{"error": {"message": "the item was given up after %d attempts that '
    'engines failed", "type": "server_error", '
    '"code": "item_attempts_exhausted"}}'
)


class _Cursor(Struct):
    """Position up to which the items of a job were scanned for waiting ones."""

    position: int = 0
    returned: list[int] = field(default_factory=list)
    #: End of the pause of returned items that were cut off often (uptime, s).
    paused_until: dict[int, float] = field(default_factory=dict)


class JobCommands:
    """Handler of commands on the batch jobs of one shard."""

    def __init__(
        self,
        shard: ShardId,
        address: str,
        state: ShardState,
        committer: Committer,
        packer: ResultPacker,
        reader: ChunkReader,
        settings: LedgerSettings,
        order: GrantOrder,
    ) -> None:
        self._shard = shard
        self._address = address
        self._state = state
        self._committer = committer
        self._packer = packer
        self._reader = reader
        self._settings = settings
        self._order = order
        self._runs = RunTable(settings.lease)
        self._cursors: dict[str, _Cursor] = defaultdict(_Cursor)
        self._gaps = EndpointGaps(_CUT_GAP_SECONDS)

    def submit(self, command: SubmitJob) -> Reply:
        """Accept a job, or return the one accepted earlier under its id."""
        job = self._state.jobs.get(command.job)
        if job is None:
            record = _job_accepted(command)
            done = self._committer.commit([record], _COMMIT_SECONDS)
            if isinstance(done, Err):
                return refusal(done.err_value)
            job = self._state.jobs[command.job]
        if job.accepted.fingerprint != command.fingerprint:
            return Refusal(
                code='idempotency_mismatch',
                message='this key was used for another batch',
            )
        return view(job)

    def cancel(self, command: CancelJob) -> Reply:
        """Cancel a job; later results of its items are not recorded."""
        job = self._job(command.job, command.team)
        if job is None:
            return _not_found(command.job)
        if job.active:
            record = JobCancelled(job=command.job, at=time.time())
            done = self._committer.commit([record], _COMMIT_SECONDS)
            if isinstance(done, Err):
                return refusal(done.err_value)
            self._runs.drop_job(command.job)
        return view(job)

    def describe(self, command: DescribeJob) -> Reply:
        """Return the view of a job."""
        job = self._job(command.job, command.team)
        return view(job) if job else _not_found(command.job)

    def list_jobs(self, command: ListJobs) -> Reply:
        """Return the views of all jobs of a team."""
        jobs = self._state.jobs.values()
        return JobList(
            jobs=[
                view(job) for job in jobs if job.accepted.team == command.team
            ],
        )

    def output(self, command: FetchOutput) -> Reply:
        """Return where the input and the results of a job are stored."""
        job = self._job(command.job, command.team)
        if job is None:
            return _not_found(command.job)
        failed = [
            position
            for position, status in enumerate(job.status)
            if status == ItemStatus.FAILED
        ]
        return OutputView(
            job=view(job),
            chunks=job.accepted.chunks,
            packs=job.packs,
            failed=failed,
        )

    def grant(self, command: GrantRun) -> Reply:
        """Lease the next items of the first job in grant order that has any."""
        for job in self._order.ranked(self._state.jobs.values()):
            if job.accepted.path not in command.paths:
                continue
            positions = self._next_positions(
                job, command.limit, command.endpoint
            )
            if positions:
                return self._grant_items(job, command.endpoint, positions)
        return NoWork()

    def renew(self, command: RenewRuns) -> Reply:
        """Renew leases; return the runs to stop, whose job is not active."""
        stop = []
        live = []
        for lease in command.runs:
            job = self._state.jobs.get(lease.job)
            if job and job.active:
                live.append(lease)
            else:
                stop.append(lease.run)
        self._runs.renew(command.endpoint, live)
        return RenewedRuns(stop=stop)

    def report(self, command: ReportRun) -> Reply:
        """Record results and make unfinished items available again."""
        job = self._state.jobs.get(command.job)
        if job is None:
            # A former owner that does not know the job must not acknowledge.
            return _not_found(command.job)
        if not job.active:
            return Acknowledged()
        lines = [
            _result_line(command.job, report)
            for report in command.reports
            if job.is_waiting(report.position)
        ]
        if lines:
            recorded = self._packer.record(lines)
            if isinstance(recorded, Err):
                return refusal(recorded.err_value)
            self._order.charge(job, len(lines))
        if command.failed:
            self._count_failed(job, command.failed)
        if command.cut:
            self._count_cut(job, command.cut)
        reported = [report.position for report in command.reports]
        released = (*command.returned, *command.failed, *command.cut)
        self._runs.release(command.run, (*reported, *released))
        self._cursors[command.job].returned.extend(released)
        if not job.active:
            self._runs.drop_job(command.job)
            self._cursors.pop(command.job, None)
        return Acknowledged()

    def expire(self) -> int:
        """Release expired runs, count a cut attempt for each of their items.

        Returns the number of expired runs.
        """
        expired = self._runs.expired()
        for run in expired:
            job = self._state.jobs.get(run.job)
            if job and job.active:
                positions = sorted(run.positions)
                self._count_cut(job, positions)
                self._cursors[run.job].returned.extend(positions)
        return len(expired)

    def summary(self) -> list[str]:
        """Return one line for each active job, for the state dump."""
        return [
            f'{name} waiting={job.remaining}'
            f' leased={len(self._runs.leased(name))}'
            f' returned={len(self._cursors[name].returned)}'
            f' next={self._cursors[name].position}'
            for name, job in self._state.jobs.items()
            if job.active
        ]

    def covers_leased_items(self, lines: Sequence[ResultLine]) -> bool:
        """Return whether the results cover all leased items of the shard."""
        leased = sum(len(self._runs.leased(job)) for job in self._state.jobs)
        return len(lines) >= leased

    def _job(self, job_id: str, team: str) -> JobState | None:
        job = self._state.jobs.get(job_id)
        if job is None or job.accepted.team != team:
            return None
        return job

    def _next_positions(
        self, job: JobState, limit: int, endpoint: str
    ) -> list[int]:
        positions: list[int] = []
        for position in self._candidates(job, endpoint):
            alone = position in job.attempts
            if alone and positions:
                self._cursors[job.accepted.job].returned.append(position)
                break
            positions.append(position)
            if alone or len(positions) >= limit:
                break
        if any(_is_cut_often(job, position) for position in positions):
            self._gaps.begin(endpoint, clock.uptime())
        return positions

    def _is_held(self, job: JobState, position: int, endpoint: str) -> bool:
        now = clock.uptime()
        cursor = self._cursors[job.accepted.job]
        if cursor.paused_until.get(position, 0) > now:
            return True
        return _is_cut_often(job, position) and self._gaps.holds(endpoint, now)

    def _candidates(self, job: JobState, endpoint: str = '') -> Iterator[int]:
        leased = self._runs.leased(job.accepted.job)
        cursor = self._cursors[job.accepted.job]
        for position in list(cursor.returned):
            if self._is_held(job, position, endpoint):
                continue
            cursor.returned.remove(position)
            cursor.paused_until.pop(position, None)
            if job.is_waiting(position) and position not in leased:
                yield position
        while cursor.position < len(job.status):
            position = cursor.position
            cursor.position += 1
            if job.is_waiting(position) and position not in leased:
                yield position

    def _grant_items(
        self,
        job: JobState,
        endpoint: str,
        positions: Sequence[int],
    ) -> Reply:
        job_id = job.accepted.job
        run = self._runs.grant(job_id, endpoint, positions)
        read = self._reader.positions(job.accepted.chunks, positions)
        if isinstance(read, Err):
            self._runs.release(run.run, positions)
            self._cursors[job_id].returned.extend(positions)
            return refusal(read.err_value)
        return RunGrant(
            run=run.run,
            job=job_id,
            shard=self._shard,
            address=self._address,
            lease_seconds=self._settings.lease,
            deadline=job.accepted.deadline,
            items=[
                _granted_item(job, position, line)
                for position, line in read.ok_value.items()
            ],
        )

    def _count_failed(self, job: JobState, positions: Sequence[int]) -> None:
        job_id = job.accepted.job
        record = AttemptFailed(job=job_id, positions=list(positions))
        self._committer.commit([record])
        limit = self._settings.attempts
        exhausted = [at for at in positions if job.failures(at) >= limit]
        if exhausted:
            body = _ITEM_FAILED_BODY % limit
            self._packer.record(
                [
                    ResultLine(
                        job=job_id,
                        position=position,
                        status=_ITEM_FAILED,
                        body=body,
                        attempts=limit,
                    )
                    for position in exhausted
                ]
            )

    def _count_cut(self, job: JobState, positions: Sequence[int]) -> None:
        """Count attempts that were cut off; the items are still owed."""
        job_id = job.accepted.job
        record = AttemptFailed(job=job_id, positions=list(positions), cut=True)
        self._committer.commit([record])
        paused_until = clock.uptime() + _CUT_PAUSE_SECONDS
        for position in positions:
            if _is_cut_often(job, position):
                self._cursors[job_id].paused_until[position] = paused_until


def view(job: JobState) -> JobView:
    """Return the view of a job that callers receive."""
    accepted = job.accepted
    return JobView(
        job=accepted.job,
        team=accepted.team,
        input_file=accepted.input_file,
        path=accepted.path,
        phase=_phase(job),
        total=accepted.item_count,
        completed=job.status.count(ItemStatus.SUCCEEDED),
        failed=job.status.count(ItemStatus.FAILED),
        accepted_at=accepted.accepted_at,
        deadline=accepted.deadline,
        finished_at=job.finished_at or job.cancelled_at,
        metadata=accepted.metadata,
    )


def refusal(failure: Failure) -> Refusal:
    """Return the refusal for a command whose commit failed."""
    code = _REFUSAL_CODES.get(failure.kind, 'not_accepted')
    return Refusal(
        code=code,
        message=str(failure),
        retry_after=failure.retry_after or 1,
    )


def _is_cut_often(job: JobState, position: int) -> bool:
    return job.cuts.get(position, 0) >= _CUTS_UNTIL_PAUSE


def _phase(job: JobState) -> JobPhase:
    if job.cancelled_at:
        return JobPhase.cancelled
    return JobPhase.completed if job.finished_at else JobPhase.in_progress


def _not_found(job_id: str) -> Refusal:
    return Refusal(code='not_found', message=f'no batch {job_id}')


def _job_accepted(command: SubmitJob) -> JobAccepted:
    return JobAccepted(
        job=command.job,
        team=command.team,
        key=command.key,
        fingerprint=command.fingerprint,
        input_file=command.input_file,
        path=command.path,
        chunks=command.chunks,
        rejected=command.rejected,
        item_count=command.item_count,
        accepted_at=time.time(),
        deadline=command.deadline,
        metadata=command.metadata,
    )


def _granted_item(job: JobState, position: int, line: BatchLine) -> GrantedItem:
    return GrantedItem(
        position=position,
        path=line.url,
        custom_id=line.custom_id,
        # Earlier versions accepted bodies that are no UTF-8.
        body=bytes(line.body).decode(errors='replace'),
        alone=position in job.attempts,
    )


def _result_line(job_id: str, report: ItemReport) -> ResultLine:
    return ResultLine(
        job=job_id,
        position=report.position,
        status=report.status,
        body=report.body,
    )
