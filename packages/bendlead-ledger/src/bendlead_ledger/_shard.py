"""An owned shard: its log, its state and its commands."""

from collections.abc import Callable, Mapping
from typing import Any

import gevent
from bendlead_schema.messages import (
    AcceptRequest,
    CancelJob,
    Command,
    CompleteRequest,
    DescribeJob,
    FetchOutput,
    FindRequest,
    GrantRun,
    ListJobs,
    RefuseRequest,
    RenewRuns,
    Reply,
    ReportRun,
    SubmitJob,
)
from bendlead_schema.settings import LedgerSettings
from bendlead_store import Failure, ValueStore
from bendlead_store.tasks import Report, keep_running, print_failure
from result import Err, Ok, Result

from bendlead_ledger._committer import Committer
from bendlead_ledger._grants import GrantOrder
from bendlead_ledger._ids import ShardId
from bendlead_ledger._input import ChunkReader
from bendlead_ledger._jobs import JobCommands
from bendlead_ledger._log import Owner, ShardLog
from bendlead_ledger._requests import RequestCommands
from bendlead_ledger._results import ResultPacker
from bendlead_ledger._state import ShardState

_EXPIRY_INTERVAL_SECONDS = 0.5


class Shard:
    """Handler of commands for a shard that this process owns."""

    def __init__(
        self,
        log: ShardLog,
        state: ShardState,
        jobs: JobCommands,
        requests: RequestCommands,
        close: Callable[[], None],
        lose: Callable[[Failure], None],
        report: Report = print_failure,
    ) -> None:
        self._lose = lose
        self._log = log
        self._state = state
        self._jobs = jobs
        self._close = close
        self._handlers = _handlers(jobs, requests)
        self._expiry = keep_running('leases', report, self._expire)

    @property
    def epoch(self) -> int:
        """Epoch at which this process owns the shard."""
        return self._log.epoch

    @property
    def confirmed_at(self) -> float:
        """Time when ownership was last proved, by ``clock.uptime``."""
        return self._log.confirmed_at

    @property
    def state(self) -> ShardState:
        """State of the jobs and requests of the shard."""
        return self._state

    def summary(self) -> list[str]:
        """Return one line for each active job, for the state dump."""
        return self._jobs.summary()

    def answer(self, command: Command) -> Reply:
        """Execute a command; return its reply once the effect is durable."""
        return self._handlers[type(command)](command)

    def confirm(self) -> None:
        """Check by a read that the shard is still owned; lose it if not."""
        confirmed = self._log.confirm()
        if isinstance(confirmed, Err) and self._log.fenced:
            self._lose(confirmed.err_value)

    def close(self) -> None:
        """Stop expiring leases and committing."""
        self._expiry.kill()
        self._close()

    def _expire(self) -> None:
        while True:
            gevent.sleep(_EXPIRY_INTERVAL_SECONDS)
            self._jobs.expire()


def _no_interval() -> float:
    return 0


def open_shard(
    store: ValueStore,
    shard: ShardId,
    owner: Owner,
    settings: LedgerSettings,
    reader: ChunkReader,
    order: GrantOrder,
    on_lost: Callable[[ShardId], None],
    interval: Callable[[], float] = _no_interval,
    report: Report = print_failure,
) -> Result[Shard, Failure]:
    """Take a shard over from its previous owner.

    ``interval`` returns the least time between commits in seconds.
    """
    log = ShardLog(store, shard, owner, settings)
    taken = log.take_over()
    if isinstance(taken, Err):
        return taken
    state = taken.ok_value
    committer = Committer(
        log,
        state,
        interval,
        lambda: on_lost(shard),
    )
    packer = ResultPacker(store, shard, committer, settings, report)
    jobs = JobCommands(
        shard,
        owner.address,
        state,
        committer,
        packer,
        reader,
        settings,
        order,
    )
    packer.flush_when(jobs.covers_leased_items)

    def close() -> None:  # noqa: WPS430
        packer.close()
        committer.close()

    requests = RequestCommands(state, committer)
    return Ok(Shard(log, state, jobs, requests, close, committer.lose, report))


def _handlers(
    jobs: JobCommands,
    requests: RequestCommands,
) -> Mapping[type, Callable[[Any], Reply]]:
    return {
        SubmitJob: jobs.submit,
        CancelJob: jobs.cancel,
        DescribeJob: jobs.describe,
        ListJobs: jobs.list_jobs,
        FetchOutput: jobs.output,
        GrantRun: jobs.grant,
        RenewRuns: jobs.renew,
        ReportRun: jobs.report,
        AcceptRequest: requests.accept,
        CompleteRequest: requests.complete,
        RefuseRequest: requests.refuse,
        FindRequest: requests.find,
    }
