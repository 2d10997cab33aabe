"""Leased runs an endpoint process holds: report them and renew them."""

import random
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field

import gevent
from bendlead_schema.messages import (
    Acknowledged,
    Command,
    ItemReport,
    Refusal,
    RenewedRuns,
    RenewRuns,
    Reply,
    ReportRun,
    RunGrant,
    RunLease,
)
from bendlead_store import Failure, clock
from result import Ok, Result

from bendlead_node._common.upstream import PeerClient

_REPORT_SECONDS = 0.2
_RENEW_CHECK_SECONDS = 0.25
_ATTEMPT_PAUSE = 0.2
_LONGEST_PAUSE = 5.0
# With the longest pause this outlasts a store that is away for an hour.
_ATTEMPTS = 1000
_DOUBLINGS = 8


@dataclass(slots=True)
class HeldRun:
    """Follow one granted run."""

    grant: RunGrant
    open: set[int]
    reports: list[ItemReport] = field(default_factory=list)
    returned: list[int] = field(default_factory=list)
    failed: list[int] = field(default_factory=list)
    cut: list[int] = field(default_factory=list)

    def take_due(self) -> ReportRun | None:
        """Take what is to be reported, or nothing."""
        if not (self.reports or self.returned or self.failed or self.cut):
            return None
        report = ReportRun(
            run=self.grant.run,
            job=self.grant.job,
            endpoint='',
            reports=self.reports,
            returned=self.returned,
            failed=self.failed,
            cut=self.cut,
        )
        self.reports, self.returned = [], []
        self.failed, self.cut = [], []
        return report


def _pauses() -> Iterator[float]:
    """Double the pause between attempts, up to the longest."""
    return (
        min(_LONGEST_PAUSE, _ATTEMPT_PAUSE * 2 ** min(attempt, _DOUBLINGS))
        for attempt in range(_ATTEMPTS)
    )


class RunBook:
    """Keep owners told of every run until its results are durable."""

    def __init__(
        self,
        endpoint: str,
        peers: PeerClient,
        entries: Callable[[], list[str]],
        stop: Callable[[Iterable[str]], None],
    ) -> None:
        self._endpoint = endpoint
        self._peers = peers
        self._entries = entries
        self._stop = stop
        self._next_renewal = 0.0
        self._unreported = 0
        self.runs: dict[str, HeldRun] = {}

    @property
    def unreported(self) -> int:
        """Tell how many results wait to be made durable."""
        waiting = sum(len(held.reports) for held in self.runs.values())
        return waiting + self._unreported

    def report(self) -> None:
        """Report what is finished, again and again."""
        while True:
            for run, held in list(self.runs.items()):
                due = held.take_due()
                if due is not None:
                    self._unreported += len(due.reports)
                    gevent.spawn(self._report_run, held, due)
                if not held.open:
                    self.runs.pop(run, None)
            gevent.sleep(_REPORT_SECONDS)

    def renew(self) -> None:
        """Renew all leases; stop the runs whose job needs them no more."""
        while True:
            gevent.sleep(_RENEW_CHECK_SECONDS)
            now = clock.uptime()
            if now < self._next_renewal or not self.runs:
                continue
            leases = [held.grant.lease_seconds for held in self.runs.values()]
            # Often enough that a cancel stops running items within 2 s.
            self._next_renewal = now + min(1.0, min(leases) / 3)
            by_shard: dict[int, list[HeldRun]] = {}
            for held in self.runs.values():
                by_shard.setdefault(held.grant.shard, []).append(held)
            for group in by_shard.values():
                gevent.spawn(self._renew_shard, group)

    def _report_run(self, held: HeldRun, report: ReportRun) -> None:
        report.endpoint = self._endpoint
        for pause in _pauses():
            reply = self._route(held.grant, report)
            if isinstance(reply, Ok) and isinstance(
                reply.ok_value,
                Acknowledged,
            ):
                self._unreported -= len(report.reports)
                return
            gevent.sleep(pause * random.uniform(0.5, 1))

    def _route(
        self, grant: RunGrant, command: Command
    ) -> Result[Reply, Failure]:
        """Reach the owner: first who granted, else through any entry."""
        direct = f'/peer/v1/shards/{grant.shard}'
        reply = self._peers.ask(grant.address, direct, command, Reply)
        if isinstance(reply, Ok) and not isinstance(reply.ok_value, Refusal):
            return reply
        entries = self._entries()
        if not entries:
            return reply
        path = f'/peer/v1/route/{grant.shard}'
        return self._peers.ask(random.choice(entries), path, command, Reply)

    def _renew_shard(self, group: list[HeldRun]) -> None:
        command = RenewRuns(
            endpoint=self._endpoint,
            runs=[
                RunLease(
                    run=held.grant.run,
                    job=held.grant.job,
                    positions=sorted(held.open),
                )
                for held in group
            ],
        )
        reply = self._route(group[0].grant, command)
        if isinstance(reply, Ok) and isinstance(reply.ok_value, RenewedRuns):
            for run in reply.ok_value.stop:
                self.runs.pop(run, None)
            self._stop(reply.ok_value.stop)
