"""Pull batch work and run it in whatever capacity online leaves."""

import random
from collections import deque
from collections.abc import Callable, Iterable

import gevent
from bendlead_schema.messages import GrantRun, NoWork, Reply, RunGrant
from bendlead_store import clock
from bendlead_store.tasks import TaskFailure
from gevent.event import Event

from bendlead_node._common.telemetry import Journal, Metrics
from bendlead_node._common.upstream import PeerClient
from bendlead_node._endpoint.admission import Admission
from bendlead_node._endpoint.engine import Engine
from bendlead_node._endpoint.item import BatchItem, ItemState
from bendlead_node._endpoint.runs import HeldRun, RunBook

_IDLE_SECONDS = 0.25
_PREFETCH = 2
_AWAY_SECONDS = 1.0
_PATHS = ['/v1/chat/completions', '/v1/completions']


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
        self._book = RunBook(endpoint, peers, entries, self._stop_runs)
        self._ready: deque[BatchItem] = deque()
        self._running: set[BatchItem] = set()
        self._wake = Event()
        self._away_until = 0.0

    @property
    def runs(self) -> list[str]:
        """List the runs held."""
        return list(self._book.runs)

    @property
    def held_results(self) -> int:
        """Tell how many results wait to be made durable."""
        return self._book.unreported

    def start(self) -> None:
        """Begin to pull, start and report, for ever."""
        self._journal.keep_running('leases', self._book.renew)
        self._journal.keep_running('reports', self._book.report)
        self._journal.keep_running('grants', self._fetch)
        self._journal.keep_running('items', self._run)

    def wake(self) -> None:
        """Look again for room, for an online request has ended."""
        self._wake.set()

    def hand_back(self) -> None:
        """Give back what has not started, for it will not start here soon."""
        while self._ready:
            self._give_back(self._ready.popleft())

    def _run(self) -> None:
        while True:
            self._start_ready()
            self._wake.wait(timeout=_IDLE_SECONDS)
            self._wake.clear()

    def _start_ready(self) -> None:
        while self._ready and self._admission.room_for_batch() > 0:
            item = self._ready.popleft()
            if item.state is ItemState.DROPPED:
                continue
            self._admission.enter_batch(item)
            self._running.add(item)
            gevent.spawn(self._execute, item)

    def _execute(self, item: BatchItem) -> None:
        try:
            state = item.execute(self._engine, self._metrics.batch_tokens.inc)
        except Exception as error:
            # Held as running it would keep its lease, and run nowhere.
            state = ItemState.FAILED
            self._journal.task_failed(TaskFailure('item', error))
        self._admission.leave_batch(item)
        self._running.discard(item)
        held = self._book.runs.get(item.run)
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
            held.open.discard(position)
        else:
            self._note_failed(held, position, state)
        self._wake.set()

    def _note_failed(
        self, held: HeldRun, position: int, state: ItemState
    ) -> None:
        self._journal.decide(
            'item-failed',
            job=held.grant.job,
            position=position,
            reason=state.value,
        )
        positions = held.cut if state is ItemState.CUT else held.failed
        positions.append(position)
        held.open.discard(position)

    def _note_engine_away(self) -> None:
        self._away_until = clock.uptime() + _AWAY_SECONDS
        self.hand_back()

    def _engine_away(self) -> bool:
        return clock.uptime() < self._away_until

    def _give_back(self, item: BatchItem) -> None:
        held = self._book.runs.get(item.run)
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
        self._book.runs[grant.run] = HeldRun(grant, positions)
        self._ready.extend(BatchItem(grant.run, one) for one in grant.items)
        self._wake.set()

    def _stop_runs(self, runs: Iterable[str]) -> None:
        stopped = set(runs)
        victims = [item for item in self._running if item.run in stopped]
        self._engine.cancel([item.request for item in victims])
        for item in victims:
            item.drop()
        for waiting in self._ready:
            if waiting.run in stopped:
                waiting.state = ItemState.DROPPED
