"""The jobs of one shard while this process holds it."""

import base64
import time
from collections.abc import Callable
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
from gevent.event import Event
from gevent.pool import Pool
from result import Err, Ok, Result

from bendlead_gateway._jobs.held import HeldJob
from bendlead_gateway._jobs.pending import PendingJobs
from bendlead_gateway._jobs.progress import ProgressLog
from bendlead_gateway.types import (
    ItemId,
    ItemOutcome,
    ItemResult,
    JobId,
    JobItem,
    Submission,
    TeamName,
)

#: Pause between two commits of a shard (s): what comes meanwhile shares one
#: paid write, and an acceptance is due within some hundred ms.
_COMMIT_INTERVAL = 0.08
#: A client waits about this long (s) for its job to be accepted.
_ACCEPT_SECONDS = 2.0
#: A commit that has been tried for this long (s) is not merely one or two
#: lost answers: the object service turns this process away, or is down.
_STUCK_SECONDS = 2.0
#: Kept beyond the time a job's status must be readable (s).
_KEPT_SLACK = 60.0
#: Bytes of records that each write of the head repeats, until they are moved
#: into a segment of their own, which takes two paid calls.
_TAIL_BYTES = 32_768
#: Segments that gather before a snapshot replaces them: that packs the whole
#: shard and takes a paid call or two a segment. Progress fills half of them.
_SEGMENTS = 128
#: Jobs whose items are read side by side at a takeover.
_READS_AT_ONCE = 4


class Board:
    """Accept, record and end the jobs of one shard."""

    def __init__(
        self,
        store: ValueStore,
        shard: ShardId,
        log: ShardLog,
        state: ShardState,
        kept: float,
        on_lost: Callable[[], None],
    ) -> None:
        self._store = store
        self._log = log
        self._state = state
        self._shard = shard
        self._kept = kept
        self._confirming: Event | None = None
        self._accepting: dict[JobId, Event] = {}
        self.pending = PendingJobs()
        self.jobs: dict[JobId, HeldJob] = {}
        self._progress = ProgressLog(
            self.jobs, lambda: self._committer.last_write_seconds
        )
        self._committer = Committer(
            log, state, lambda: _COMMIT_INTERVAL, on_lost, self._progress.along
        )
        self._saver = gevent.spawn(self._progress.run, self._committer)

    @property
    def epoch(self) -> int:
        """Tell the epoch at which the shard is held."""
        return self._log.epoch

    @property
    def lost_by(self) -> str:
        """Tell why the shard was lost."""
        failure = self._committer.failure
        return f'lost: {failure}' if failure else 'fenced'

    @property
    def held(self) -> bool:
        """Tell whether results may still be recorded here."""
        return not self._committer.lost

    @property
    def snapshot_failure(self) -> Failure | None:
        """Tell why the log could not be folded, if so."""
        return self._committer.snapshot_failure

    @property
    def stuck(self) -> bool:
        """Tell whether this process can't write to the object service."""
        return self._committer.writing_seconds > _STUCK_SECONDS

    @property
    def busy(self) -> bool:
        """Tell whether results or acceptances wait for their commit."""
        recording = any(
            one.finished
            for job in self.jobs.values()
            for one in job.progress.values()
        )
        return recording or bool(self._accepting)

    def load(self) -> Result[None, Failure]:
        """Read the items of the jobs that the log holds."""
        jobs = list(self._state.direct.values())
        reads = Pool(_READS_AT_ONCE).imap(
            partial(_read_items, self._store), jobs
        )
        for state, read in zip(jobs, reads, strict=True):
            if isinstance(read, Err):
                return read
            job = HeldJob(state, read.ok_value)
            self.jobs[job.job] = job
        return Ok(None)

    def close(self) -> None:
        """Stop committing, and end the reads that wait for results."""
        self._saver.kill()
        self._committer.close()
        for job in self.jobs.values():
            job.announce()

    def save_progress(self, within: float) -> None:
        """Have the log hold all progress, for the next owner to go on."""
        records = self._progress.take()
        if records:
            self._committer.commit(records, within)

    def sure(self, within: float) -> Result[None, Failure]:
        """Make sure that the shard was held within the last seconds."""
        if clock.uptime() - self._log.confirmed_at < within:
            return Ok(None)
        running = self._confirming
        if running is not None:
            running.wait(within)
            if clock.uptime() - self._log.confirmed_at < within:
                return Ok(None)
            return Err(Failure(FailureKind.NOT_DONE, 'confirm', 'store'))
        self._confirming = Event()
        try:
            return self._log.confirm()
        finally:
            done, self._confirming = self._confirming, None
            done.set()

    def waiting_tokens(self, host: str, team: TeamName) -> int:
        """Count the tokens of a team that wait or are being accepted."""
        held = sum(
            job.waiting_tokens
            for job in self.jobs.values()
            if job.host == host and job.team == team
        )
        return held + self.pending.tokens(host, team)

    def accept(self, submission: Submission) -> Result[None, Failure]:
        """Make a job durable, or join the attempt that does."""
        running = self._accepting.get(submission.job)
        if running is not None:
            running.wait(_ACCEPT_SECONDS)
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

    def record(self, job: HeldJob, result: ItemResult) -> Result[None, Failure]:
        """Make the result of an item durable, then show it."""
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
        job.announce()
        return Ok(None)

    def end(self, job: HeldJob) -> Result[None, Failure]:
        """End a job durably."""
        if job.state.ended:
            return Ok(None)
        done = self._committer.commit(
            [DirectJobEnded(job=job.job)], _ACCEPT_SECONDS
        )
        if isinstance(done, Err):
            return done
        job.announce()
        return Ok(None)

    def forget_old(self) -> None:
        """Forget jobs whose status nobody may ask for any more."""
        oldest = time.time() - self._kept - _KEPT_SLACK
        gone: list[Record] = [
            JobRemoved(job=name)
            for name, job in self.jobs.items()
            if not job.state.open and job.state.accepted.accepted_at < oldest
        ]
        if gone and isinstance(self._committer.commit(gone), Ok):
            for record in gone:
                self.jobs.pop(JobId(record.job), None)

    def _commit_job(self, submission: Submission) -> Result[None, Failure]:
        packed, bulk = pack_items([_stored(one) for one in submission.items])
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
        done = self._committer.commit([record], _ACCEPT_SECONDS)
        if isinstance(done, Err):
            gevent.spawn(self._find_unclear, submission)
            return done
        self._hold(submission)
        return Ok(None)

    def _find_unclear(self, submission: Submission) -> None:
        """Hold a job whose commit took effect after its caller gave up."""
        until = clock.uptime() + self._kept
        while clock.uptime() < until and not self._committer.lost:
            if submission.job in self._state.direct:
                self._hold(submission)
                break
            if not self._committer.stalled:
                break
            gevent.sleep(_COMMIT_INTERVAL)
        self.pending.drop(submission.job)

    def _hold(self, submission: Submission) -> None:
        if submission.job not in self.jobs:
            state = self._state.direct[submission.job]
            self.jobs[submission.job] = HeldJob(state, submission.items)


def open_board(
    store: ValueStore,
    shard: int,
    owner: Owner,
    kept: float,
    on_lost: Callable[[], None],
) -> Result[Board, Failure]:
    """Take a shard over and read what it holds."""
    settings = LedgerSettings(tail_bytes=_TAIL_BYTES, segments=_SEGMENTS)
    log = ShardLog(store, ShardId(shard), owner, settings)
    taken = log.take_over()
    if isinstance(taken, Err):
        return taken
    state = taken.ok_value
    board = Board(store, ShardId(shard), log, state, kept, on_lost)
    loaded = board.load()
    if isinstance(loaded, Err):
        board.close()
        return loaded
    return Ok(board)


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
    # Decoding the items of one job takes some ms.
    gevent.sleep(0)
    return Ok([_item(one) for one in unpack_items(accepted.packed, bulk)])


def _stored(item: JobItem) -> DirectItem:
    return DirectItem(
        item=item.item,
        path=item.path,
        headers=dict(item.headers),
        body=base64.b64encode(item.body).decode(),
        tokens=item.tokens,
    )


def _item(stored: DirectItem) -> JobItem:
    return JobItem(
        ItemId(stored.item),
        stored.path,
        stored.headers,
        base64.b64decode(stored.body),
        stored.tokens,
    )
