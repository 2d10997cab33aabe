"""Group commit: records queued during one write are sent with the next."""

from collections.abc import Callable, Sequence

import gevent
from bendlead_schema.records import Record
from bendlead_store import Failure, FailureKind, clock
from gevent.event import AsyncResult, Event
from msgspec import Struct, field
from result import Err, Ok, Result

from bendlead_ledger._log import ShardLog
from bendlead_ledger._state import ShardState

#: A write that takes longer than this marks the object service as stalled.
_STALLED_SECONDS = 1.0
#: Delay before a failed snapshot is retried; the log grows meanwhile.
_SNAPSHOT_RETRY_SECONDS = 5.0
_MAX_BATCH_COMMITS = 2000
_MIN_INTERVAL_SECONDS = 0.005


def _no_records() -> Sequence[Record]:
    return ()


class _PendingCommit(Struct):
    records: Sequence[Record]
    outcome: AsyncResult = field(default_factory=AsyncResult)


class Committer:
    """Commit the records of many tasks in one update of a shard's head."""

    def __init__(
        self,
        log: ShardLog,
        state: ShardState,
        interval: Callable[[], float],
        on_lost: Callable[[], None],
        piggyback: Callable[[], Sequence[Record]] = _no_records,
    ) -> None:
        """Start the commit task.

        ``interval`` returns the least time between writes in seconds.
        ``on_lost`` is called when the shard can no longer be written.
        ``piggyback`` is called before each write and returns records to send
        with it for which no task waits.
        """
        self._log = log
        self._state = state
        self._interval = interval
        self._on_lost = on_lost
        self._piggyback = piggyback
        self._queue: list[_PendingCommit] = []
        self._writing: Sequence[_PendingCommit] = ()
        self._wake = Event()
        self._lost = False
        self._writing_since = 0.0
        self._last_write_seconds = 0.0
        self._failure: Failure | None = None
        self._snapshot_failure: Failure | None = None
        self._next_snapshot = 0.0
        self._task = gevent.spawn(self._run)

    @property
    def lost(self) -> bool:
        """Whether this process can no longer write the shard."""
        return self._lost

    @property
    def failure(self) -> Failure | None:
        """Failure with which the shard was lost; None without one."""
        return self._failure

    @property
    def snapshot_failure(self) -> Failure | None:
        """Why the latest snapshot failed; None if it was written."""
        return self._snapshot_failure

    @property
    def stalled(self) -> bool:
        """Whether the write in progress exceeds the stall threshold."""
        return self.writing_seconds > _STALLED_SECONDS

    @property
    def writing_seconds(self) -> float:
        """Age of the write in progress in seconds; 0 if there is none."""
        if not self._writing_since:
            return 0
        return clock.uptime() - self._writing_since

    @property
    def last_write_seconds(self) -> float:
        """Duration of the latest finished write in seconds."""
        return self._last_write_seconds

    def commit(
        self,
        records: Sequence[Record],
        timeout: float | None = None,
    ) -> Result[Sequence[bool], Failure]:
        """Write records durably; return for each whether it changed the state.

        Without a timeout (seconds) the call waits until the write is settled.
        """
        if self._lost:
            return self._failed(
                FailureKind.CONFLICT, 'this process no longer owns the shard'
            )
        if timeout and self.stalled:
            return self._failed(
                FailureKind.NOT_DONE,
                'object service does not answer; nothing was written',
            )
        pending = _PendingCommit(records)
        self._queue.append(pending)
        self._wake.set()
        try:
            return pending.outcome.get(timeout=timeout)
        except gevent.Timeout:
            return self._withdraw(pending)

    def lose(self, failure: Failure) -> None:
        """Stop committing, as another process has taken the shard over."""
        if not self._lost:
            self._mark_lost([], Err(failure))

    def close(self) -> None:
        """Stop committing and fail every waiting commit.

        Queued commits fail as CONFLICT. The outcome of the write in progress
        is unknown.
        """
        self._lost = True
        self._task.kill()
        for pending in self._writing:
            unknown = self._failed(
                FailureKind.UNKNOWN, 'shard was closed during the write'
            )
            pending.outcome.set(unknown)
        self._writing = ()
        self._fail_queued()

    def _withdraw(self, pending: _PendingCommit) -> Err[Failure]:
        if pending in self._queue:
            self._queue.remove(pending)
            return self._failed(
                FailureKind.NOT_DONE,
                'timed out in the queue; nothing was written',
            )
        return self._failed(FailureKind.UNKNOWN, 'timed out during the write')

    def _run(self) -> None:
        """Commit; on an unexpected exception fail all waiting commits."""
        try:
            self._commit_while_owned()
        except Exception:
            # The process reports what ends a task.
            detail = 'unexpected exception during the write; see standard error'
            self._mark_lost(
                self._writing, self._failed(FailureKind.UNKNOWN, detail)
            )
            raise

    def _commit_while_owned(self) -> None:
        while not self._lost:
            self._wake.wait()
            self._wake.clear()
            if self._queue:
                self._commit_queued()
                gevent.sleep(max(_MIN_INTERVAL_SECONDS, self._interval()))

    def _commit_queued(self) -> None:
        batch = self._queue[:_MAX_BATCH_COMMITS]
        self._queue = self._queue[_MAX_BATCH_COMMITS:]
        if self._queue:
            self._wake.set()
        records = [record for pending in batch for record in pending.records]
        # Set first: these commits fail if anything below raises.
        self._writing = batch
        piggyback = self._piggyback()
        self._writing_since = clock.uptime()
        committed = self._log.commit([*records, *piggyback])
        self._last_write_seconds = self.writing_seconds
        self._writing_since = 0
        if isinstance(committed, Err):
            self._writing = ()
            self._mark_lost(batch, committed)
            return
        for pending in batch:
            effects = [self._state.apply(record) for record in pending.records]
            pending.outcome.set(Ok(effects))
        self._state.replay(piggyback)
        self._writing = ()
        if self._log.fenced:
            self._mark_lost([])
        elif self._log.needs_snapshot():
            self._write_snapshot()

    def _write_snapshot(self) -> None:
        if clock.uptime() < self._next_snapshot:
            return
        written = self._log.write_snapshot(self._state)
        self._snapshot_failure = None
        if isinstance(written, Ok):
            return
        if self._log.fenced:
            self._mark_lost([], written)
            return
        # The log that the snapshot would have replaced is still complete.
        self._snapshot_failure = written.err_value
        self._next_snapshot = clock.uptime() + _SNAPSHOT_RETRY_SECONDS

    def _mark_lost(
        self,
        batch: Sequence[_PendingCommit],
        failure: Err[Failure] | None = None,
    ) -> None:
        self._lost = True
        self._failure = failure.err_value if failure else None
        for pending in batch:
            pending.outcome.set(failure)
        self._fail_queued()
        self._on_lost()

    def _fail_queued(self) -> None:
        queued, self._queue = self._queue, []
        for pending in queued:
            pending.outcome.set(
                self._failed(
                    FailureKind.CONFLICT,
                    'this process no longer owns the shard',
                )
            )

    def _failed(self, kind: FailureKind, detail: str) -> Err[Failure]:
        return Err(Failure(kind, 'commit', 'object service', detail, 1))
