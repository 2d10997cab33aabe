"""Pack results of many items into one object before they are committed."""

import time
from collections import defaultdict
from collections.abc import Callable, Sequence

import gevent
from bendlead_schema.records import ResultLine, ResultPack, ResultsRecorded
from bendlead_schema.settings import LedgerSettings
from bendlead_store import Failure, FailureKind, ValueStore
from gevent.event import AsyncResult, Event
from result import Err, Result

from bendlead_ledger import _codec
from bendlead_ledger._committer import Committer
from bendlead_ledger._ids import ShardId, unique
from bendlead_ledger._objects import write_once

_FAILED_STATUS = 400
_PACK_BYTES = 4_000_000


class ResultPacker:
    """Spend two store writes on hundreds of results."""

    def __init__(
        self,
        store: ValueStore,
        shard: ShardId,
        committer: Committer,
        settings: LedgerSettings,
    ) -> None:
        self._store = store
        self._shard = shard
        self._committer = committer
        self._settings = settings
        self._hurry: Callable[[Sequence[ResultLine]], bool] = bool
        self._lines: list[ResultLine] = []
        self._bytes = 0
        self._done: AsyncResult = AsyncResult()
        self._writing: AsyncResult | None = None
        self._closed = False
        self._full = Event()
        self._arrived = Event()
        self._task = gevent.spawn(self._run)

    def record(self, lines: Sequence[ResultLine]) -> Result[None, Failure]:
        """Make results durable together with those of other runs."""
        if self._closed:
            return _closed(FailureKind.CONFLICT)
        done = self._done
        self._lines.extend(lines)
        self._bytes += sum(len(line.body) for line in lines)
        self._arrived.set()
        if self._is_full() or self._hurry(self._lines):
            self._full.set()
        return done.get()

    def hurry_when(self, hurry: Callable[[Sequence[ResultLine]], bool]) -> None:
        """Commit at once when this says that nothing else is coming."""
        self._hurry = hurry

    def close(self) -> None:
        """Stop packing and answer whoever waits.

        A pack that is being written may take effect: its outcome is unknown.
        """
        self._closed = True
        self._task.kill()
        if self._writing is not None:
            self._writing.set(_closed(FailureKind.UNKNOWN))
        self._done.set(_closed(FailureKind.CONFLICT))

    def _is_full(self) -> bool:
        return (
            len(self._lines) >= self._settings.pack_items
            or self._bytes >= _PACK_BYTES
        )

    def _run(self) -> None:
        while True:
            self._arrived.wait()
            self._full.wait(timeout=self._settings.flush)
            self._flush()

    def _flush(self) -> None:
        lines, self._lines = self._lines, []
        done, self._done = self._done, AsyncResult()
        self._bytes = 0
        self._arrived.clear()
        self._full.clear()
        self._writing = done
        done.set(self._write(lines))
        self._writing = None

    def _write(self, lines: list[ResultLine]) -> Result[None, Failure]:
        key = f'results/{self._shard:04x}/{unique()}'
        pack = ResultPack(format=_codec.FORMAT, lines=lines)
        body = gevent.get_hub().threadpool.apply(
            _codec.compress,
            (_codec.encode(pack),),
        )
        written = write_once(self._store, key, body)
        if isinstance(written, Err):
            return written
        committed = self._committer.commit(_records(key, lines))
        return committed.map(_nothing)


def _records(key: str, lines: Sequence[ResultLine]) -> list[ResultsRecorded]:
    by_job = defaultdict(list)
    for line in lines:
        by_job[line.job].append(line)
    now = time.time()
    return [
        ResultsRecorded(
            job=job,
            pack=key,
            positions=[line.position for line in of_job],
            failed=[
                line.position
                for line in of_job
                if line.status >= _FAILED_STATUS
            ],
            at=now,
        )
        for job, of_job in by_job.items()
    ]


def _closed(kind: FailureKind) -> Err[Failure]:
    return Err(Failure(kind, 'pack results', 'object service', 'closed', 1))


def _nothing(_effects: Sequence[bool]) -> None:
    """Drop the effects: a result that lost to an earlier one is settled."""
