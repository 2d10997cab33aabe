"""One run of a batch item on an engine."""

from functools import partial
from http import HTTPStatus

import gevent
from bendlead_store import clock
from msgspec import Struct

from bendlead_gateway._fleet.fleet import Fleet
from bendlead_gateway._fleet.own_answer import read_own_head
from bendlead_gateway._health.observation import FailureKind
from bendlead_gateway._http.answer_budget import TextBudget
from bendlead_gateway._http.client import HttpConnection, ResponseHead
from bendlead_gateway._http.limits import (
    MAX_ITEM_EVENTS,
    MAX_ITEM_TEXT_BYTES,
)
from bendlead_gateway._jobs.item_states import ItemReason
from bendlead_gateway._jobs.owned_job import ITEM_METHOD, OwnedJob, Progress
from bendlead_gateway._jobs.owned_shard import OwnedShard
from bendlead_gateway._log import Log
from bendlead_gateway._online.answer_body import AnswerBody
from bendlead_gateway._online.events import EventSplitter, StreamEvent
from bendlead_gateway._suspects.digest import RequestDigest
from bendlead_gateway._suspects.suspected_parts import (
    find_suspected_parts,
    outlasts_suspicion,
)
from bendlead_gateway.dialect import Dialect
from bendlead_gateway.types import (
    Engine,
    EngineAnswer,
    ItemId,
    ItemOutcome,
    PromptPart,
    Route,
)

#: Timeout of each read and write on a connection to an engine.
_IO_TIMEOUT_SECONDS = 2.0
#: Timeout of the claim of a trial, which takes a few calls.
_CLAIM_SECONDS = 4.0
#: A run that is refused has a line if that took as long as this.
_SLOW_SECONDS = 1.0
_REFUSED_PAUSE_SECONDS = 0.1
#: Greatest age of the last proof of shard ownership when an item starts.
_OWNERSHIP_MAX_AGE_SECONDS = 1.5
#: Numbers of a first event; no engine goes on behind a number that is too high.
_FIRST_EVENTS = (0, 1)


class RunFailedError(Exception):
    """A run ended without the item's complete output.

    ``status`` is the status of the engine's response, 0 if there was none.
    """

    def __init__(self, reason: str, status: int = 0) -> None:
        super().__init__(reason)
        self.status = status


class ItemRun(Struct, eq=False):
    """A run of an item, which can be stopped from another greenlet."""

    engine: Engine
    shard: OwnedShard
    job: OwnedJob
    progress: Progress
    route: Route
    connection: HttpConnection | None = None
    stopped: bool = False
    #: When it began to connect (uptime, s).
    connect_began_at: float = 0
    #: When the request was sent (uptime, s); whether a response has begun.
    sent_at: float = 0
    response_started: bool = False
    response_started_at: float = 0
    #: Whether the response has gone on for long enough to clear its parts.
    parts_cleared: bool = False
    #: When output last arrived (uptime, s), 0 for never.
    last_output_at: float = 0

    @property
    def digest(self) -> RequestDigest:
        """Return the name of the item as a suspect, equal for all its runs."""
        return self.job.digest(self.progress)

    @property
    def suspected_parts(self) -> tuple[PromptPart, ...]:
        """Return the parts that may be the cause if the engine crashes now."""
        return find_suspected_parts(
            self.progress.shared_parts or (), self.response_started_at
        )

    @property
    def silent_seconds(self) -> float:
        """Return the seconds since the last output, 0 before the first."""
        return (
            clock.uptime() - self.last_output_at if self.last_output_at else 0
        )

    @property
    def has_unread_output(self) -> bool:
        """Return whether output has arrived, as while the process paused."""
        return self.connection is not None and self.connection.has_unread_bytes

    def stop(self) -> None:
        """Close the connection, so that the engine cancels the request."""
        self.stopped = True
        if self.connection is not None:
            self.connection.close()

    def postpone(self, reason: ItemReason) -> None:
        """Postpone the item's next run after a refusal."""
        self.progress.reason = reason
        self.progress.not_before = clock.uptime() + _REFUSED_PAUSE_SECONDS


class ItemExecutor:
    """Execute runs: connect, send the request, collect the events."""

    def __init__(
        self, dialect: Dialect, fleet: Fleet, texts: TextBudget, log: Log
    ) -> None:
        self._dialect = dialect
        self._fleet = fleet
        self._texts = texts
        self._log = log

    def execute(self, run: ItemRun) -> ItemOutcome | None:
        """Execute a run; return None if the engine did not run the item.

        Raises RunFailedError where the output is incomplete, and OSError where
        the connection fails.
        """
        if run.shard.confirm_ownership(_OWNERSHIP_MAX_AGE_SECONDS).is_err():
            self._log_slow(run)
            run.postpone(ItemReason.NOT_CONFIRMED)
            return None
        run.progress.reason = ItemReason.CLAIM
        if not self._claim(run):
            self._log_slow(run)
            run.postpone(ItemReason.CLAIM_REFUSED)
            return None
        run.progress.reason = ItemReason.CONNECT
        connection = self._connect(run)
        if run.stopped or run.job.state.ended:
            connection.close()
            return None
        head = self._send(run, connection)
        return self._read_response(run, connection, head)

    def record_progress(self, run: ItemRun) -> None:
        """Clear the item and its parts if its answer has gone on for long."""
        if not run.parts_cleared:
            if outlasts_suspicion(run.response_started_at):
                run.parts_cleared = True
                self._fleet.suspects.record_progress(
                    run.progress.shared_parts or (),
                    lambda: run.digest,
                )

    def _claim(self, run: ItemRun) -> bool:
        """Claim the trial that a run may be; return whether it may be sent."""
        trials = self._fleet.suspects.item_trials
        with gevent.Timeout(_CLAIM_SECONDS, exception=False):
            return trials.claim(run, run.digest, run.engine.engine)
        # The end of the run gives it back.
        return False

    def _log_slow(self, run: ItemRun) -> None:
        """Log a run that kept its slot for long and was not sent."""
        seconds = clock.uptime() - run.progress.running_since
        if seconds >= _SLOW_SECONDS:
            self._log.event(
                'run-not-begun',
                job=run.job.job,
                item=run.progress.item.item,
                engine=run.engine.engine,
                reason=run.progress.reason.value,
                seconds=round(seconds, 3),
            )

    def _connect(self, run: ItemRun) -> HttpConnection:
        run.connect_began_at = self._fleet.shared_health.start_connect(
            run.engine
        )
        try:
            run.connection = self._fleet.pool.acquire(run.engine)
        except OSError as error:
            raise RunFailedError(
                f'cannot connect to engine: {error}'
            ) from error
        return run.connection

    def _send(self, run: ItemRun, connection: HttpConnection) -> ResponseHead:
        item = run.progress.item
        headers = self._dialect.item_headers(
            item.item,
            run.job.host,
            list(item.headers.items()),
            run.engine.engine,
            run.progress.last_event,
            run.job.team,
        )
        run.progress.reason = ItemReason.HEAD
        run.sent_at = clock.uptime()
        self._fleet.suspects.record_sent(
            run.progress.read_shared_parts(self._dialect)
        )
        connection.send(
            ITEM_METHOD, item.path, headers, item.body, _IO_TIMEOUT_SECONDS
        )
        head = read_own_head(
            connection,
            item.item,
            self._dialect,
            _IO_TIMEOUT_SECONDS,
            partial(self._log_surplus, item.item),
        )
        run.response_started = True
        run.response_started_at = clock.uptime()
        return head

    def _log_surplus(self, item: ItemId, answer: EngineAnswer) -> None:
        self._log.event(
            'surplus-answer', request=item, belongs_to=answer.request or '-'
        )

    def _read_response(
        self, run: ItemRun, connection: HttpConnection, head: ResponseHead
    ) -> ItemOutcome | None:
        answer = self._dialect.engine_answer(head.status, head.headers)
        if answer.closing:
            connection.disable_reuse()
        if head.status == HTTPStatus.OK:
            self._fleet.shared_health.record_success(
                run.engine, run.sent_at, lambda: run.digest
            )
            self._read_events(run, connection, head)
            self._fleet.health.record_success(run.engine.engine)
            self._fleet.pool.release(
                run.engine, connection, answer.idle_seconds
            )
            return ItemOutcome.COMPLETED
        connection.disable_reuse()
        if answer.not_run:
            run.postpone(ItemReason.ENGINE_REFUSED)
            if answer.misdirected:
                self._fleet.health.record_failure(
                    run.engine.engine, unreachable=True, since=run.sent_at
                )
                self._fleet.shared_health.record_unreachable(
                    run.engine, FailureKind.REFUSED, run.sent_at
                )
            return None
        return self._classify_failure(run, head)

    def _classify_failure(
        self, run: ItemRun, head: ResponseHead
    ) -> ItemOutcome | None:
        if head.status == HTTPStatus.UNPROCESSABLE_ENTITY:
            return ItemOutcome.GIVEN_UP
        if head.status == HTTPStatus.INTERNAL_SERVER_ERROR:
            run.progress.failures += 1
        raise RunFailedError(
            f'engine responded with status {head.status}', head.status
        )

    def _read_events(
        self, run: ItemRun, connection: HttpConnection, head: ResponseHead
    ) -> None:
        """Store each event as it arrives, so that a stopped run keeps them."""
        run.progress.reason = ItemReason.EVENTS
        splitter = EventSplitter()
        body = AnswerBody(
            run.engine,
            connection,
            head,
            self._fleet.ends,
            splitter,
        )
        for part in body.parts(_IO_TIMEOUT_SECONDS):
            if run.stopped:
                raise RunFailedError('run was stopped')
            run.last_output_at = clock.uptime()
            self.record_progress(run)
            for event in splitter.feed(part):
                self._append_event(run.progress, event)
        if not run.progress.texts:
            raise RunFailedError('response has no events')

    def _append_event(self, progress: Progress, event: StreamEvent) -> None:
        _check_order(progress, event)
        size = _encoded_size(event) + 1
        grown = progress.text_bytes + size
        too_large = (
            event.number > MAX_ITEM_EVENTS
            or grown > MAX_ITEM_TEXT_BYTES
            or self._texts.is_over(grown, size)
        )
        if too_large:
            # The events before are of the same output.
            progress.start_over()
            raise RunFailedError(
                f'output too large: event {event.number}, {grown} bytes'
            )
        progress.last_event = event.number
        progress.progressed_at = clock.uptime()
        progress.texts.append(event.text)
        progress.text_bytes = grown


def _check_order(progress: Progress, event: StreamEvent) -> None:
    previous = progress.last_event
    if event.number is None:
        raise RunFailedError('event without an event number')
    expected = _FIRST_EVENTS if previous is None else (previous + 1,)
    if event.number not in expected:
        raise RunFailedError(
            f'event {event.number} received after event {previous}'
        )


def _encoded_size(event: StreamEvent) -> int:
    """Return the size of an event's text as UTF-8."""
    try:
        return len(event.text.encode())
    except UnicodeEncodeError as invalid:
        # The decoder keeps invalid bytes as surrogates.
        raise RunFailedError(f'event {event.number} is not UTF-8') from invalid
