"""Run the items of held jobs in the places that online requests leave."""

import time
from collections.abc import Iterator
from dataclasses import dataclass

import gevent
from gevent.event import Event

from bendlead_gateway._fleet.catalog import ConfigurationHolder, EngineList
from bendlead_gateway._fleet.health import EngineHealth
from bendlead_gateway._fleet.loads import LoadTable
from bendlead_gateway._fleet.watcher import Watcher
from bendlead_gateway._fleet.balancer import pick_service
from bendlead_gateway._http.client import HttpConnection, ResponseHead
from bendlead_gateway._jobs.board import Board, HeldJob, Progress
from bendlead_gateway._jobs.keeper import ShardKeeper
from bendlead_gateway._jobs.places import idle_places
from bendlead_gateway._log import Log
from bendlead_gateway._metrics import Metrics
from bendlead_gateway._online.events import EventSplitter
from bendlead_gateway._online.pool import EnginePool
from bendlead_gateway.dialect import Dialect
from bendlead_gateway.types import (
    Engine,
    EngineId,
    ItemOutcome,
    ItemResult,
    Route,
)

_ROUND_SECONDS = 0.025
#: An engine that sends nothing for this long (s) has stopped or is dark.
_SILENT_SECONDS = 2.0
#: Pause before an item that failed is run again (s).
_FAILED_PAUSE = 0.3
_REFUSED_PAUSE = 0.1
#: Ownership must have been proved this recently (s) before an item starts.
_PROVED_SECONDS = 1.5
#: Added to the time after which an item may be given up, for clocks (s).
_RETENTION_SLACK = 4.0
_ITEM_FAILED = 500
_NEVER_POSSIBLE = 422


class _RunFailedError(Exception):
    """A run ended without the item's whole output."""


@dataclass(slots=True, eq=False)
class _Run:
    """Keep one run of an item so that it can be stopped."""

    engine: Engine
    progress: Progress
    began: float
    connection: HttpConnection | None = None
    stopped: bool = False

    def stop(self) -> None:
        """Close the connection; the engine drops the run."""
        self.stopped = True
        if self.connection is not None:
            self.connection.close()


class ItemRunner:
    """Start, stop and finish runs of items."""

    def __init__(
        self,
        keeper: ShardKeeper,
        dialect: Dialect,
        configuration: ConfigurationHolder,
        config_watch: Watcher,
        engines: EngineList,
        loads: LoadTable,
        health: EngineHealth,
        pool: EnginePool,
        log: Log,
        metrics: Metrics,
    ) -> None:
        self._keeper = keeper
        self._dialect = dialect
        self._configuration = configuration
        self._config_watch = config_watch
        self._engines = engines
        self._loads = loads
        self._health = health
        self._pool = pool
        self._log = log
        self._metrics = metrics
        self._runs: set[_Run] = set()
        self._wake = Event()

    def wake(self) -> None:
        """Look for work at once."""
        self._wake.set()

    def run(self) -> None:
        """Keep idle places busy and step aside, for ever."""
        while True:
            self._step_aside()
            self._stop_orphans()
            self._start_runs()
            self._wake.wait(_ROUND_SECONDS)
            self._wake.clear()

    def _step_aside(self) -> None:
        """Stop runs on engines where online requests want the places."""
        by_engine: dict[EngineId, list[_Run]] = {}
        for one in self._runs:
            if not one.stopped:
                by_engine.setdefault(one.engine.engine, []).append(one)
        for engine, runs in by_engine.items():
            slots = runs[0].engine.slots
            over = self._loads.online(engine) + len(runs) - slots
            if over > 0:
                # The youngest lose least: their prompt is read again only.
                runs.sort(key=lambda one: one.began)
                for run in runs[-over:]:
                    run.stop()
                    self._metrics.items.labels('stepped_aside').inc()

    def _stop_orphans(self) -> None:
        """Stop runs of jobs that ended or whose shard is held elsewhere."""
        wanted = {
            id(progress)
            for board in self._keeper.boards.values()
            for job in board.jobs.values()
            if not job.state.ended
            for progress in job.progress.values()
        }
        for run in self._runs:
            if id(run.progress) not in wanted and not run.stopped:
                run.stop()

    def _start_runs(self) -> None:
        now = time.monotonic()
        full: set[str] = set()
        for board, job, progress in self._waiting(now):
            path = progress.item.path
            route = self._configuration.match(job.host, path)
            if route is None:
                self._give_up_unrouted(board, job, progress)
                continue
            if self._expired(job, route):
                self._finish(board, job, progress, ItemOutcome.GIVEN_UP)
                continue
            if route.name in full:
                continue
            engine = self._idle_engine(route, _age(job, route))
            if engine is None:
                full.add(route.name)
                continue
            self._start(board, job, progress, route, engine)

    def _waiting(
        self, now: float
    ) -> Iterator[tuple[Board, HeldJob, Progress]]:
        jobs = [
            (job.state.accepted.accepted_at, board, job)
            for board in self._keeper.boards.values()
            for job in board.jobs.values()
            if job.state.open
        ]
        jobs.sort(key=lambda one: one[0])
        for _accepted_at, board, job in jobs:
            for progress in list(job.waiting(now)):
                yield board, job, progress

    def _expired(self, job: HeldJob, route: Route) -> bool:
        if not route.retention:
            return False
        age = time.time() - job.state.accepted.accepted_at
        return age > route.retention + _RETENTION_SLACK

    def _idle_engine(self, route: Route, age: float) -> Engine | None:
        """Find the engine with most idle places for a job of an age."""
        found: Engine | None = None
        most = 0
        for one in self._engines.ready(pick_service(route)):
            if self._health.paused(one.engine):
                continue
            online = self._loads.online(one.engine)
            batch = self._loads.batch(one.engine)
            places = idle_places(one.slots, online, batch, age)
            if places > most:
                found, most = one, places
        return found

    def _start(
        self,
        board: Board,
        job: HeldJob,
        progress: Progress,
        route: Route,
        engine: Engine,
    ) -> None:
        progress.running = True
        run = _Run(engine, progress, time.monotonic())
        self._runs.add(run)
        self._loads.own.batch[engine.engine] += 1
        gevent.spawn(self._run_item, board, job, run, route)

    def _run_item(
        self, board: Board, job: HeldJob, run: _Run, route: Route
    ) -> None:
        progress = run.progress
        ending = 'failed'
        outcome = None
        try:
            outcome = self._attempt(board, job, run)
            ending = 'whole' if outcome else 'refused'
        except (_RunFailedError, OSError) as error:
            ending = 'stopped' if run.stopped else 'failed'
            self._note(job, run, ending, error)
            if not run.stopped:
                self._health.failed(run.engine.engine)
                progress.not_before = time.monotonic() + _FAILED_PAUSE
        finally:
            self._runs.discard(run)
            self._loads.own.batch[run.engine.engine] -= 1
            if run.connection is not None and not run.connection.reusable:
                run.connection.close()
            progress.running = False
        self._metrics.items.labels(ending).inc()
        if outcome is None and progress.failures >= route.max_attempts:
            outcome = ItemOutcome.GIVEN_UP
        if outcome is not None:
            self._finish(board, job, progress, outcome)
        self.wake()

    def _attempt(
        self, board: Board, job: HeldJob, run: _Run
    ) -> ItemOutcome | None:
        """Run an item once; nothing where the engine did not run it."""
        if board.sure(_PROVED_SECONDS).is_err():
            run.progress.not_before = time.monotonic() + _REFUSED_PAUSE
            return None
        try:
            run.connection = self._pool.take(run.engine)
        except OSError as error:
            self._health.failed(run.engine.engine, unreachable=True)
            raise _RunFailedError(f'connect: {error}') from error
        if run.stopped or job.state.ended:
            run.connection.close()
            return None
        head = self._ask(job, run, run.connection)
        return self._take_answer(job, run, run.connection, head)

    def _ask(
        self, job: HeldJob, run: _Run, connection: HttpConnection
    ) -> ResponseHead:
        item = run.progress.item
        headers = self._dialect.item_headers(
            item.item,
            job.host,
            list(item.headers.items()),
            run.engine.engine,
            run.progress.last_event,
        )
        connection.send('POST', item.path, headers, item.body, _SILENT_SECONDS)
        while True:
            head = connection.read_head(_SILENT_SECONDS)
            answer = self._dialect.engine_answer(head.status, head.headers)
            if answer.request in {None, item.item}:
                return head
            connection.skip_answer(head, _SILENT_SECONDS)
            connection.keep_no_longer()

    def _take_answer(
        self,
        job: HeldJob,
        run: _Run,
        connection: HttpConnection,
        head: ResponseHead,
    ) -> ItemOutcome | None:
        answer = self._dialect.engine_answer(head.status, head.headers)
        progress = run.progress
        if answer.closing:
            connection.keep_no_longer()
        if head.status == 200:
            self._gather(run, connection, head)
            self._health.succeeded(run.engine.engine)
            self._pool.give_back(run.engine, connection, answer.idle_seconds)
            return ItemOutcome.COMPLETED
        connection.keep_no_longer()
        if answer.not_run:
            progress.not_before = time.monotonic() + _REFUSED_PAUSE
            if answer.misdirected:
                self._health.failed(run.engine.engine, unreachable=True)
            return None
        if head.status == _NEVER_POSSIBLE:
            return ItemOutcome.GIVEN_UP
        if head.status == _ITEM_FAILED:
            progress.failures += 1
        raise _RunFailedError(f'engine said {head.status}')

    def _gather(
        self, run: _Run, connection: HttpConnection, head: ResponseHead
    ) -> None:
        """Keep the events as they come, so that a stop loses none."""
        splitter = EventSplitter()
        progress = run.progress
        for part in connection.read_parts(head, _SILENT_SECONDS):
            if run.stopped:
                raise _RunFailedError('stopped')
            for event in splitter.feed(part):
                self._keep(progress, event.number, event.text)
        if splitter.rest:
            raise _RunFailedError('ended within an event')
        if not progress.texts:
            raise _RunFailedError('no events')

    def _keep(
        self, progress: Progress, number: int | None, text: str
    ) -> None:
        before = progress.last_event
        if number is None:
            raise _RunFailedError('an event without a number')
        if before is not None and number != before + 1:
            raise _RunFailedError(f'event {number} after {before}')
        progress.last_event = number
        progress.texts.append(text)

    def _finish(
        self,
        board: Board,
        job: HeldJob,
        progress: Progress,
        outcome: ItemOutcome,
    ) -> None:
        progress.finished = True
        text = '\n'.join(progress.texts)
        if outcome is ItemOutcome.GIVEN_UP:
            text = ''
        found = ItemResult(progress.item.item, outcome, text)
        gevent.spawn(self._record, board, job, found)

    def _record(self, board: Board, job: HeldJob, found: ItemResult) -> None:
        recorded = board.record(job, found)
        failure = recorded.err_value if recorded.is_err() else '-'
        self._log.event(
            'item-recorded',
            job=job.job,
            item=found.item,
            outcome=found.outcome.value,
            characters=len(found.text),
            failure=failure,
        )

    def _give_up_unrouted(
        self, board: Board, job: HeldJob, progress: Progress
    ) -> None:
        """Give an item up once its route is surely gone."""
        if self._config_watch.current and self._configuration.known:
            self._finish(board, job, progress, ItemOutcome.GIVEN_UP)

    def _note(
        self, job: HeldJob, run: _Run, ending: str, error: Exception
    ) -> None:
        self._log.event(
            'item-run',
            job=job.job,
            item=run.progress.item.item,
            engine=run.engine.engine,
            ending=ending,
            last_event=run.progress.last_event,
            failures=run.progress.failures,
            reason=error,
        )


def _age(job: HeldJob, route: Route) -> float:
    """Give the share of a job's time that has passed."""
    if not route.run_target:
        return 0
    return (time.time() - job.state.accepted.accepted_at) / route.run_target
