"""Pull batch work and run it in whatever capacity online leaves."""

import random
import time
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import gevent
from bendlead_schema.messages import (
    Acknowledged,
    Command,
    GrantRun,
    ItemReport,
    NoWork,
    Refusal,
    RenewedRuns,
    RenewRuns,
    Reply,
    ReportRun,
    RunGrant,
    RunLease,
)
from bendlead_store import Failure
from gevent.event import Event
from result import Ok, Result

from bendlead_node._common.telemetry import Journal, Metrics
from bendlead_node._common.upstream import PeerClient
from bendlead_node._endpoint.admission import Admission
from bendlead_node._endpoint.engine import Engine
from bendlead_node._endpoint.item import BatchItem, ItemState

_IDLE_SECONDS = 0.25
_REPORT_SECONDS = 0.2
_PREFETCH = 2
_ATTEMPT_PAUSE = 0.2
_LONGEST_PAUSE = 5.0
_AWAY_SECONDS = 1.0
_PATHS = ['/v1/chat/completions', '/v1/completions']


@dataclass(slots=True)
class _Held:
    """Follow one granted run."""

    grant: RunGrant
    open: set[int]
    reports: list[ItemReport] = field(default_factory=list)
    returned: list[int] = field(default_factory=list)
    failed: list[int] = field(default_factory=list)

    def take_due(self) -> ReportRun | None:
        """Take what is to be reported, or nothing."""
        if not (self.reports or self.returned or self.failed):
            return None
        report = ReportRun(
            run=self.grant.run,
            job=self.grant.job,
            endpoint='',
            reports=self.reports,
            returned=self.returned,
            failed=self.failed,
        )
        self.reports, self.returned, self.failed = [], [], []
        return report


class BatchRunner:
    """Keep the engine busy with batch items while online leaves room."""

    def __init__(
        self,
        endpoint: str,
        models: list[str],
        admission: Admission,
        engine: Engine,
        peers: PeerClient,
        entries: Callable[[], list[str]],
        journal: Journal,
        metrics: Metrics,
    ) -> None:
        self._endpoint = endpoint
        self._models = models
        self._admission = admission
        self._engine = engine
        self._peers = peers
        self._entries = entries
        self._journal = journal
        self._metrics = metrics
        self._runs: dict[str, _Held] = {}
        self._ready: deque[BatchItem] = deque()
        self._running: set[BatchItem] = set()
        self._wake = Event()
        self._next_ask = 0.0
        self._unreported = 0
        self._away_until = 0.0

    @property
    def runs(self) -> list[str]:
        """List the runs held."""
        return list(self._runs)

    @property
    def held_results(self) -> int:
        """Tell how many results wait to be made durable."""
        return self._unreported

    def run(self) -> None:
        """Pull, start and report for ever."""
        gevent.spawn(self._renew)
        gevent.spawn(self._report)
        gevent.spawn(self._fetch)
        while True:
            self._start_ready()
            self._wake.wait(timeout=_IDLE_SECONDS)
            self._wake.clear()

    def wake(self) -> None:
        """Look again for room, for an online request has ended."""
        self._wake.set()

    def hand_back(self) -> None:
        """Give back what has not started, for it will not start here soon."""
        while self._ready:
            self._give_back(self._ready.popleft())

    def _start_ready(self) -> None:
        while self._ready and self._admission.room_for_batch() > 0:
            item = self._ready.popleft()
            if item.state is ItemState.DROPPED:
                continue
            self._admission.enter_batch(item)
            self._running.add(item)
            gevent.spawn(self._execute, item)

    def _execute(self, item: BatchItem) -> None:
        state = item.execute(self._engine, self._metrics.batch_tokens.inc)
        self._admission.leave_batch(item)
        self._running.discard(item)
        held = self._runs.get(item.run)
        position = item.granted.position
        if held is None or state is ItemState.DROPPED:
            return
        if state is ItemState.PREEMPTED:
            if self._admission.leaving:
                self._give_back(item)
            else:
                self._ready.appendleft(item)
        elif state is ItemState.UNREACHED:
            # No engine got a byte: not an attempt, and work for others.
            self._give_back(item)
            self._note_engine_away()
        elif state is ItemState.FINISHED and item.report:
            self._metrics.batch_items.inc()
            held.reports.append(item.report)
            self._unreported += 1
            held.open.discard(position)
        else:
            self._journal.decide(
                'item-failed',
                job=held.grant.job,
                position=position,
                reason='the engine failed or was lost',
            )
            held.failed.append(position)
            held.open.discard(position)
        self._wake.set()

    def _note_engine_away(self) -> None:
        self._away_until = time.monotonic() + _AWAY_SECONDS
        self.hand_back()

    def _engine_away(self) -> bool:
        return time.monotonic() < self._away_until

    def _give_back(self, item: BatchItem) -> None:
        held = self._runs.get(item.run)
        if held is not None:
            held.returned.append(item.granted.position)
            held.open.discard(item.granted.position)

    def _fetch(self) -> None:
        while True:
            wanted = self._admission.room_for_batch()
            short = len(self._ready) < self._admission.capacity * _PREFETCH
            idle = wanted > 0 and short and not self._engine_away()
            if not idle or not self._ask():
                gevent.sleep(_IDLE_SECONDS * random.uniform(0.5, 1))

    def _ask(self) -> bool:
        """Ask entries in random order until one grants a run."""
        entries = self._entries()
        random.shuffle(entries)
        command = GrantRun(
            endpoint=self._endpoint,
            limit=max(1, self._admission.capacity),
            paths=_PATHS,
            models=self._models,
        )
        for address in entries:
            reply = self._peers.ask(address, '/peer/v1/grants', command, Reply)
            granted = reply.unwrap_or(NoWork())
            if isinstance(granted, RunGrant):
                self._take(granted)
                return True
        return False

    def _take(self, grant: RunGrant) -> None:
        positions = {item.position for item in grant.items}
        self._runs[grant.run] = _Held(grant, positions)
        self._ready.extend(BatchItem(grant.run, one) for one in grant.items)
        self._wake.set()

    def _report(self) -> None:
        while True:
            for run, held in list(self._runs.items()):
                due = held.take_due()
                if due is not None:
                    gevent.spawn(self._report_run, held, due)
                if not held.open:
                    self._runs.pop(run, None)
            gevent.sleep(_REPORT_SECONDS)

    def _report_run(self, held: _Held, report: ReportRun) -> None:
        report.endpoint = self._endpoint
        pause = _ATTEMPT_PAUSE
        while True:
            reply = self._route(held.grant, report)
            if isinstance(reply, Ok) and isinstance(
                reply.ok_value,
                Acknowledged,
            ):
                self._unreported -= len(report.reports)
                return
            gevent.sleep(pause * random.uniform(0.5, 1))
            pause = min(_LONGEST_PAUSE, pause * 2)

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

    def _renew(self) -> None:
        while True:
            gevent.sleep(_IDLE_SECONDS)
            now = time.monotonic()
            if now < self._next_ask or not self._runs:
                continue
            leases = [held.grant.lease_seconds for held in self._runs.values()]
            # Often enough that a cancel stops running items within 2 s.
            self._next_ask = now + min(1.0, min(leases) / 3)
            by_shard: dict[int, list[_Held]] = {}
            for held in self._runs.values():
                by_shard.setdefault(held.grant.shard, []).append(held)
            for group in by_shard.values():
                gevent.spawn(self._renew_shard, group)

    def _renew_shard(self, group: list[_Held]) -> None:
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
            self._stop_runs(reply.ok_value.stop)

    def _stop_runs(self, runs: Iterable[str]) -> None:
        stopped = set(runs)
        for run in stopped:
            self._runs.pop(run, None)
        victims = [item for item in self._running if item.run in stopped]
        self._engine.cancel([item.request for item in victims])
        for item in victims:
            item.drop()
        for waiting in self._ready:
            if waiting.run in stopped:
                waiting.state = ItemState.DROPPED
