"""The jobs of a shard that this process owns."""

import base64
import time
from collections.abc import Callable, Mapping
from functools import partial

import gevent
from bendlead_ledger import (
    Committer,
    DirectJobState,
    Owner,
    ShardId,
    ShardLog,
    ShardState,
    pack_items,
    read_parts,
    unpack_items,
    write_parts,
)
from bendlead_schema.records import (
    DirectItem,
    DirectJobAccepted,
    DirectJobEnded,
    DirectResult,
    DirectResultsRecorded,
    JobRemoved,
    Record,
)
from bendlead_schema.settings import LedgerSettings
from bendlead_store import Failure, FailureKind, ValueStore, clock
from bendlead_store.tasks import (
    Report,
    keep_running,
    print_failure,
)
from gevent.event import Event
from gevent.pool import Pool
from result import Err, Ok, Result

from bendlead_gateway._jobs.owned_job import OwnedJob
from bendlead_gateway._jobs.pending import PendingJobs
from bendlead_gateway._jobs.progress import ProgressWriter
from bendlead_gateway.types import (
    ItemId,
    ItemOutcome,
    ItemResult,
    JobId,
    JobItem,
    Submission,
    TeamName,
)

#: Records that arrive meanwhile share one write, since each write is billed.
_COMMIT_INTERVAL_SECONDS = 0.08
#: Timeout of the commits that clients wait for.
_CLIENT_COMMIT_SECONDS = 2.0
#: Timeout of a confirmation, which takes a call or two.
_CONFIRM_SECONDS = 3.0
#: A commit retried for this long is not just a lost response: the object
#: service is down or refuses this process.
_STUCK_SECONDS = 2.0
#: Time that jobs are kept beyond the retention period.
_RETENTION_SLACK_SECONDS = 60.0
#: Size limit of the log tail, which each write of the head repeats. Sealing it
#: into a segment takes two billed calls.
_TAIL_BYTES = 32_768
#: Number of segments at which a snapshot replaces them. A snapshot encodes the
#: whole shard and takes a billed call or two for each segment.
_MAX_SEGMENTS = 128
#: Jobs whose items are read concurrently at a takeover.
_CONCURRENT_READS = 4


class OwnedShard:
    """Accept, record and end the jobs of one shard.

    ``retention`` is how long (s) after its acceptance a job stays readable.
    ``on_lost`` is called once the shard turns out to have another owner.
    """

    def __init__(
        self,
        store: ValueStore,
        shard: ShardId,
        log: ShardLog,
        state: ShardState,
        retention: float,
        on_lost: Callable[[], None],
        report: Report = print_failure,
    ) -> None:
        self._store = store
        self._report = report
        self._log = log
        self._state = state
        self._shard = shard
        self._retention = retention
        self._confirmation: Event | None = None
        self._accepting: dict[JobId, Event] = {}
        self.pending = PendingJobs()
        self.jobs: dict[JobId, OwnedJob] = {}
        #: All jobs of the log, those whose items are not held here too.
        self.recorded_jobs: Mapping[str, DirectJobState] = state.direct
        self._progress = ProgressWriter(
            self.jobs, lambda: self._committer.last_write_seconds, report
        )
        self._committer = Committer(
            log,
            state,
            lambda: _COMMIT_INTERVAL_SECONDS,
            on_lost,
            self._progress.piggyback,
        )
        self._progress_writer = keep_running(
            'progress', report, self._progress.run, self._committer
        )

    @property
    def epoch(self) -> int:
        """Return the epoch of this ownership."""
        return self._log.epoch

    @property
    def loss_reason(self) -> str:
        """Return why the shard was lost."""
        failure = self._committer.failure
        return f'lost: {failure}' if failure else 'fenced'

    @property
    def is_owned(self) -> bool:
        """Return whether results may still be recorded here."""
        return not self._committer.lost

    @property
    def snapshot_failure(self) -> Failure | None:
        """Return why the last snapshot failed, None if it did not."""
        return self._committer.snapshot_failure

    @property
    def stuck(self) -> bool:
        """Return whether a write to the object service is overdue."""
        return self._committer.writing_seconds > _STUCK_SECONDS

    @property
    def busy(self) -> bool:
        """Return whether results or new jobs wait for their commit."""
        recording = any(
            progress.finished
            for job in self.jobs.values()
            for progress in job.progress.values()
        )
        return recording or bool(self._accepting)

    def load(self) -> Result[None, Failure]:
        """Read the items of the jobs in the log."""
        jobs = list(self._state.direct.values())
        reads = Pool(_CONCURRENT_READS).imap(
            partial(_read_items, self._store), jobs
        )
        for state, read in zip(jobs, reads, strict=True):
            if isinstance(read, Err):
                return read
            job = OwnedJob(state, read.ok_value)
            self.jobs[job.job] = job
        return Ok(None)

    def close(self) -> None:
        """Stop committing and wake the reads that wait for results."""
        self._progress_writer.kill()
        self._committer.close()
        for job in self.jobs.values():
            job.publish_results()

    def save_progress(self, timeout: float) -> None:
        """Commit all unsaved progress, so that the next owner can resume."""
        records = self._progress.take_records()
        if records:
            self._committer.commit(records, timeout)

    def confirm_ownership(self, max_age: float) -> Result[None, Failure]:
        """Confirm ownership unless it was confirmed within ``max_age`` seconds.

        Concurrent callers share one confirmation. The shard is lost where
        another process has taken it over: no commit may come to find that out.
        """
        if clock.uptime() - self._log.confirmed_at < max_age:
            return Ok(None)
        running = self._confirmation
        if running is not None:
            running.wait(max_age)
            if clock.uptime() - self._log.confirmed_at < max_age:
                return Ok(None)
            return Err(Failure(FailureKind.NOT_DONE, 'confirm', 'store'))
        self._confirmation = Event()
        confirmed: Result[None, Failure] = Err(
            Failure(FailureKind.NOT_DONE, 'confirm', 'store')
        )
        try:
            with gevent.Timeout(_CONFIRM_SECONDS, exception=False):
                confirmed = self._log.confirm()
        finally:
            confirmation, self._confirmation = self._confirmation, None
            confirmation.set()
        if isinstance(confirmed, Err) and self._log.fenced:
            self._committer.lose(confirmed.err_value)
        return confirmed

    def waiting_tokens(self, host: str, team: TeamName) -> int:
        """Count a team's tokens for a host in unfinished and pending jobs."""
        accepted = sum(
            job.waiting_tokens
            for job in self.jobs.values()
            if job.host == host and job.team == team
        )
        return accepted + self.pending.tokens(host, team)

    def accept(self, submission: Submission) -> Result[None, Failure]:
        """Commit a job, or wait for the attempt under way to do so."""
        running = self._accepting.get(submission.job)
        if running is not None:
            running.wait(_CLIENT_COMMIT_SECONDS)
            if submission.job in self.jobs:
                return Ok(None)
            return Err(Failure(FailureKind.UNKNOWN, 'accept', 'store'))
        self._accepting[submission.job] = Event()
        self.pending.add(submission)
        try:
            accepted = self._commit_job(submission)
        finally:
            self._accepting.pop(submission.job).set()
        if isinstance(accepted, Ok) or accepted.err_value.had_no_effect:
            self.pending.drop(submission.job)
        return accepted

    def record(
        self, job: OwnedJob, result: ItemResult
    ) -> Result[None, Failure]:
        """Commit the result of an item, then publish it to readers."""
        record = DirectResultsRecorded(
            job=job.job,
            results=[
                DirectResult(
                    item=result.item,
                    completed=result.outcome is ItemOutcome.COMPLETED,
                    text=result.text,
                ),
            ],
        )
        done = self._committer.commit([record])
        if isinstance(done, Err):
            return done
        job.publish_results()
        if result.item in job.progress and not job.state.ended:
            return Err(
                Failure(
                    FailureKind.REFUSED,
                    'record',
                    'log',
                    'the record changed nothing: the log lacks the job',
                )
            )
        return Ok(None)

    def end(self, job: OwnedJob) -> Result[None, Failure]:
        """Commit the end of a job, unless it has ended."""
        if job.state.ended:
            return Ok(None)
        done = self._committer.commit(
            [DirectJobEnded(job=job.job)], _CLIENT_COMMIT_SECONDS
        )
        if isinstance(done, Err):
            return done
        job.publish_results()
        return Ok(None)

    def remove_expired_jobs(self) -> None:
        """Remove finished jobs past the retention period."""
        oldest = time.time() - self._retention - _RETENTION_SLACK_SECONDS
        expired: list[Record] = [
            JobRemoved(job=name)
            for name, job in self.jobs.items()
            if not job.state.open and job.state.accepted.accepted_at < oldest
        ]
        if expired and isinstance(self._committer.commit(expired), Ok):
            for record in expired:
                self.jobs.pop(JobId(record.job), None)

    def _commit_job(self, submission: Submission) -> Result[None, Failure]:
        packed, bulk = pack_items(
            [_encode_item(item) for item in submission.items]
        )
        parts: list[str] = []
        if bulk:
            written = write_parts(self._store, self._shard, bulk)
            if isinstance(written, Err):
                return written
            parts = written.ok_value
        record = DirectJobAccepted(
            job=submission.job,
            host=submission.host,
            path=submission.path,
            accepted_at=time.time(),
            total=len(submission.items),
            tokens=submission.tokens,
            team=submission.team,
            packed=packed,
            parts=parts,
        )
        done = self._committer.commit([record], _CLIENT_COMMIT_SECONDS)
        if isinstance(done, Err):
            if not done.err_value.had_no_effect:
                keep_running(
                    'unclear-commit',
                    self._report,
                    self._await_unclear_commit,
                    submission,
                )
            return done
        self._add_job(submission)
        return Ok(None)

    def _await_unclear_commit(self, submission: Submission) -> None:
        """Add a job whose commit takes effect after its timeout."""
        # Its write ends with the job in the state, or with the shard lost.
        deadline = clock.uptime() + self._retention
        while clock.uptime() < deadline and not self._committer.lost:
            if submission.job in self._state.direct:
                self._add_job(submission)
                break
            if not self._committer.writing_seconds:
                break
            gevent.sleep(_COMMIT_INTERVAL_SECONDS)
        self.pending.drop(submission.job)

    def _add_job(self, submission: Submission) -> None:
        if submission.job not in self.jobs:
            state = self._state.direct[submission.job]
            self.jobs[submission.job] = OwnedJob(state, submission.items)


def take_over_shard(
    store: ValueStore,
    shard: int,
    owner: Owner,
    retention: float,
    on_lost: Callable[[], None],
    report: Report = print_failure,
) -> Result[OwnedShard, Failure]:
    """Take over a shard and load its jobs."""
    settings = LedgerSettings(tail_bytes=_TAIL_BYTES, segments=_MAX_SEGMENTS)
    log = ShardLog(store, ShardId(shard), owner, settings)
    taken = log.take_over()
    if isinstance(taken, Err):
        return taken
    state = taken.ok_value
    owned = OwnedShard(
        store, ShardId(shard), log, state, retention, on_lost, report
    )
    loaded: Result[None, Failure] | None = None
    try:
        loaded = owned.load()
    finally:
        # Also where the items raise an error.
        if loaded is None or isinstance(loaded, Err):
            owned.close()
    return loaded.map(lambda _none: owned)


def _read_items(
    store: ValueStore, state: DirectJobState
) -> Result[list[JobItem], Failure]:
    if not state.open:
        return Ok([])
    accepted = state.accepted
    bulk = b''
    if accepted.parts:
        read = read_parts(store, accepted.parts)
        if isinstance(read, Err):
            return read
        bulk = read.ok_value
    # Decoding the items of one job may take several milliseconds.
    gevent.sleep(0)
    return Ok(
        [_decode_item(item) for item in unpack_items(accepted.packed, bulk)]
    )


def _encode_item(item: JobItem) -> DirectItem:
    return DirectItem(
        item=item.item,
        path=item.path,
        headers=dict(item.headers),
        body=base64.b64encode(item.body).decode(),
        tokens=item.tokens,
    )


def _decode_item(stored: DirectItem) -> JobItem:
    return JobItem(
        ItemId(stored.item),
        stored.path,
        stored.headers,
        base64.b64decode(stored.body),
        stored.tokens,
    )
