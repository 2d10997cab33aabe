"""Results of many items, packed into one object and committed together."""

import time
from collections import defaultdict
from collections.abc import Callable, Sequence

import gevent
from bendlead_schema.records import ResultLine, ResultPack, ResultsRecorded
from bendlead_schema.settings import LedgerSettings
from bendlead_store import Failure, FailureKind, ValueStore
from bendlead_store.tasks import Report, keep_running, print_failure
from gevent.event import AsyncResult, Event
from result import Err, Result

from bendlead_ledger import _codec
from bendlead_ledger._committer import Committer
from bendlead_ledger._ids import ShardId, unique_id
from bendlead_ledger._objects import write_once

_MIN_FAILED_STATUS = 400
_MAX_PACK_BYTES = 4_000_000


class ResultPacker:
    """Writer that stores hundreds of results with two writes."""

    def __init__(
        self,
        store: ValueStore,
        shard: ShardId,
        committer: Committer,
        settings: LedgerSettings,
        report: Report = print_failure,
    ) -> None:
        self._store = store
        self._shard = shard
        self._committer = committer
        self._settings = settings
        self._flush_condition: Callable[[Sequence[ResultLine]], bool] = bool
        self._lines: list[ResultLine] = []
        self._bytes = 0
        self._done: AsyncResult = AsyncResult()
        self._writing: AsyncResult | None = None
        self._closed = False
        self._flush_now = Event()
        self._has_lines = Event()
        self._task = keep_running('results', report, self._run)

    def record(self, lines: Sequence[ResultLine]) -> Result[None, Failure]:
        """Write results durably, together with those of other runs."""
        if self._closed:
            return _closed_failure(FailureKind.CONFLICT)
        done = self._done
        self._lines.extend(lines)
        self._bytes += sum(len(line.body) for line in lines)
        self._has_lines.set()
        if self._is_full() or self._flush_condition(self._lines):
            self._flush_now.set()
        return done.get()

    def flush_when(
        self, condition: Callable[[Sequence[ResultLine]], bool]
    ) -> None:
        """Set the condition under which queued results are written at once."""
        self._flush_condition = condition

    def close(self) -> None:
        """Stop and fail every waiting call.

        Queued results fail as CONFLICT. The outcome of the pack that is being
        written is unknown.
        """
        self._closed = True
        self._task.kill()
        if self._writing is not None:
            self._writing.set(_closed_failure(FailureKind.UNKNOWN))
        self._done.set(_closed_failure(FailureKind.CONFLICT))

    def _is_full(self) -> bool:
        return (
            len(self._lines) >= self._settings.pack_items
            or self._bytes >= _MAX_PACK_BYTES
        )

    def _run(self) -> None:
        while True:
            self._has_lines.wait()
            self._flush_now.wait(timeout=self._settings.flush)
            self._flush()

    def _flush(self) -> None:
        lines, self._lines = self._lines, []
        done, self._done = self._done, AsyncResult()
        self._bytes = 0
        self._has_lines.clear()
        self._flush_now.clear()
        self._writing = done
        try:
            done.set(self._write(lines))
        except Exception:
            done.set(
                _failed(FailureKind.UNKNOWN, 'unexpected exception; see log')
            )
            self._writing = None
            raise
        self._writing = None

    def _write(self, lines: list[ResultLine]) -> Result[None, Failure]:
        key = f'results/{self._shard:04x}/{unique_id()}'
        pack = ResultPack(format=_codec.FORMAT, lines=lines)
        body = gevent.get_hub().threadpool.apply(
            _codec.compress,
            (_codec.encode(pack),),
        )
        written = write_once(self._store, key, body)
        if isinstance(written, Err):
            return written
        committed = self._committer.commit(_results_records(key, lines))
        return committed.map(_ignore_effects)


def _results_records(
    key: str, lines: Sequence[ResultLine]
) -> list[ResultsRecorded]:
    by_job = defaultdict(list)
    for line in lines:
        by_job[line.job].append(line)
    now = time.time()
    return [
        ResultsRecorded(
            job=job,
            pack=key,
            positions=[line.position for line in job_lines],
            failed=[
                line.position
                for line in job_lines
                if line.status >= _MIN_FAILED_STATUS
            ],
            at=now,
        )
        for job, job_lines in by_job.items()
    ]


def _closed_failure(kind: FailureKind) -> Err[Failure]:
    return _failed(kind, 'closed')


def _failed(kind: FailureKind, detail: str) -> Err[Failure]:
    return Err(Failure(kind, 'pack results', 'object service', detail, 1))


def _ignore_effects(_effects: Sequence[bool]) -> None:
    """Ignore the effects: it is no error if an item had a result before."""
