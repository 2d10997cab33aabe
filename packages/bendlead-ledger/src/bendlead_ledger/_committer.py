"""Group commit: what arrives during one write goes out with the next."""

from collections.abc import Callable, Sequence

import gevent
from bendlead_schema.records import Record
from bendlead_store import Failure, FailureKind, clock
from gevent.event import AsyncResult, Event
from msgspec import Struct, field
from result import Err, Ok, Result

from bendlead_ledger._log import ShardLog
from bendlead_ledger._state import ShardState

#: While a write has been under way this long the store counts as away.
_STALLED_SECONDS = 1.0
#: A snapshot that could not be written is tried again after this long (s);
#: meanwhile the log grows by segments.
_SNAPSHOT_PAUSE = 5.0
_MAX_BATCH = 2000
_SHORTEST_INTERVAL = 0.005


def _nothing() -> Sequence[Record]:
    return ()


class _Ticket(Struct):
    records: Sequence[Record]
    done: AsyncResult = field(default_factory=AsyncResult)


class Committer:
    """Let many tasks share one conditional update of a shard's head."""

    def __init__(
        self,
        log: ShardLog,
        state: ShardState,
        interval: Callable[[], float],
        on_lost: Callable[[], None],
        riders: Callable[[], Sequence[Record]] = _nothing,
    ) -> None:
        """Ask for riders, records nobody waits for, before each write."""
        self._log = log
        self._state = state
        self._interval = interval
        self._on_lost = on_lost
        self._riders = riders
        self._queue: list[_Ticket] = []
        self._writing: Sequence[_Ticket] = ()
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
        """Tell whether the shard is no longer ours to write."""
        return self._lost

    @property
    def failure(self) -> Failure | None:
        """Tell why the shard was lost, where it was not by being fenced."""
        return self._failure

    @property
    def snapshot_failure(self) -> Failure | None:
        """Tell why the latest snapshot could not be written, if so."""
        return self._snapshot_failure

    @property
    def stalled(self) -> bool:
        """Tell whether the store has not answered a write for a while."""
        return self.writing_seconds > _STALLED_SECONDS

    @property
    def writing_seconds(self) -> float:
        """Tell for how long the write under way has been tried."""
        if not self._writing_since:
            return 0
        return clock.uptime() - self._writing_since

    @property
    def last_write_seconds(self) -> float:
        """Tell how long the latest whole write took."""
        return self._last_write_seconds

    def commit(
        self,
        records: Sequence[Record],
        timeout: float | None = None,
    ) -> Result[Sequence[bool], Failure]:
        """Make records durable and tell which of them took effect."""
        if self._lost:
            return self._failed(FailureKind.CONFLICT, 'shard lost')
        if timeout and self.stalled:
            return self._failed(FailureKind.NOT_DONE, 'object service away')
        ticket = _Ticket(records)
        self._queue.append(ticket)
        self._wake.set()
        try:
            return ticket.done.get(timeout=timeout)
        except gevent.Timeout:
            return self._withdraw(ticket)

    def close(self) -> None:
        """Stop committing; what is queued fails as not done.

        What is being written may take effect: its outcome is unknown.
        """
        self._lost = True
        self._task.kill()
        for ticket in self._writing:
            unknown = self._failed(FailureKind.UNKNOWN, 'closed meanwhile')
            ticket.done.set(unknown)
        self._writing = ()
        self._fail_queued()

    def _withdraw(self, ticket: _Ticket) -> Err[Failure]:
        if ticket in self._queue:
            self._queue.remove(ticket)
            return self._failed(FailureKind.NOT_DONE, 'object service away')
        return self._failed(FailureKind.UNKNOWN, 'no answer in time')

    def _run(self) -> None:
        while not self._lost:
            self._wake.wait()
            self._wake.clear()
            if self._queue:
                self._commit_or_lose()
                gevent.sleep(max(_SHORTEST_INTERVAL, self._interval()))

    def _commit_or_lose(self) -> None:
        """Commit; a fault of ours must leave nobody waiting for ever."""
        try:
            self._commit_queued()
        except Exception:
            # The traceback goes to standard error with the end of the task.
            detail = 'a record could not be written'
            self._lose(self._writing, self._failed(FailureKind.UNKNOWN, detail))
            raise

    def _commit_queued(self) -> None:
        batch = self._queue[:_MAX_BATCH]
        self._queue = self._queue[_MAX_BATCH:]
        if self._queue:
            self._wake.set()
        records = [record for ticket in batch for record in ticket.records]
        riders = self._riders()
        self._writing_since = clock.uptime()
        self._writing = batch
        committed = self._log.commit([*records, *riders])
        self._last_write_seconds = self.writing_seconds
        self._writing_since = 0
        if isinstance(committed, Err):
            self._writing = ()
            self._lose(batch, committed)
            return
        for ticket in batch:
            effects = [self._state.apply(record) for record in ticket.records]
            ticket.done.set(Ok(effects))
        self._state.replay(riders)
        self._writing = ()
        if self._log.fenced:
            self._lose([])
        elif self._log.needs_snapshot():
            self._fold()

    def _fold(self) -> None:
        if clock.uptime() < self._next_snapshot:
            return
        folded = self._log.fold(self._state)
        self._snapshot_failure = None
        if isinstance(folded, Ok):
            return
        if self._log.fenced:
            self._lose([], folded)
            return
        # Nothing is lost with it: the log it would have replaced is whole.
        self._snapshot_failure = folded.err_value
        self._next_snapshot = clock.uptime() + _SNAPSHOT_PAUSE

    def _lose(
        self,
        batch: Sequence[_Ticket],
        failure: Err[Failure] | None = None,
    ) -> None:
        self._lost = True
        self._failure = failure.err_value if failure else None
        for ticket in batch:
            ticket.done.set(failure)
        self._fail_queued()
        self._on_lost()

    def _fail_queued(self) -> None:
        queued, self._queue = self._queue, []
        for ticket in queued:
            ticket.done.set(self._failed(FailureKind.CONFLICT, 'shard lost'))

    def _failed(self, kind: FailureKind, detail: str) -> Err[Failure]:
        return Err(Failure(kind, 'commit', 'object service', detail, 1))
