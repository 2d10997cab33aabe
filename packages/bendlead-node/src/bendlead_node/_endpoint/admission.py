"""Who may use the engine now: online always first, batch in what is left."""

from collections.abc import Callable, Sequence
from http import HTTPStatus
from typing import Protocol

from bendlead_store import clock

from bendlead_node._common.telemetry import Journal, Metrics
from bendlead_node._common.web import LEAVING, CallError
from bendlead_node._endpoint.controller import BatchLimit


class Preemptible(Protocol):
    """Run batch work that can be stopped at once."""

    @property
    def request(self) -> str:
        """Tell the id under which the engine knows the work."""

    def preempt(self) -> None:
        """Stop; keep what was done for a later resume."""


class Admission:
    """Count exactly what runs, and stop batch work for online arrivals."""

    def __init__(
        self,
        capacity: int,
        queue: int,
        limit: BatchLimit,
        cancel: Callable[[Sequence[str]], None],
        journal: Journal,
        metrics: Metrics,
    ) -> None:
        self._capacity = capacity
        self._queue = queue
        self._limit = limit
        self._cancel = cancel
        self._journal = journal
        self._metrics = metrics
        self._online = 0
        self._batch: list[Preemptible] = []
        self.leaving = False

    @property
    def online(self) -> int:
        """Tell how many online requests run."""
        return self._online

    @property
    def batch(self) -> int:
        """Tell how many batch items run."""
        return len(self._batch)

    @property
    def capacity(self) -> int:
        """Tell how many requests the engine runs at once."""
        return self._capacity

    @property
    def idle(self) -> bool:
        """Tell whether nothing runs."""
        return not (self._online or self._batch)

    def enter_online(self) -> None:
        """Admit an online request, or refuse it before it costs anything."""
        if self.leaving:
            raise _refusal(LEAVING, 'the endpoint is leaving', 1)
        if self._online >= self._capacity + self._queue:
            raise _refusal('overloaded', 'the endpoint is full', 1)
        self._online += 1
        self._metrics.running.labels('online').set(self._online)
        self._preempt(self.batch - self._allowed_batch())

    def leave_online(self) -> None:
        """Note that an online request ended."""
        self._online -= 1
        self._metrics.running.labels('online').set(self._online)

    def room_for_batch(self) -> int:
        """Tell how many more batch items may start now."""
        if self.leaving:
            return 0
        return self._allowed_batch() - self.batch

    def enter_batch(self, work: Preemptible) -> None:
        """Note that a batch item starts."""
        self._batch.append(work)
        self._metrics.running.labels('batch').set(self.batch)

    def leave_batch(self, work: Preemptible) -> None:
        """Note that a batch item ended."""
        if work in self._batch:
            self._batch.remove(work)
            self._metrics.running.labels('batch').set(self.batch)

    def stop_batch(self) -> None:
        """Stop all batch work."""
        self._preempt(self.batch)

    def _allowed_batch(self) -> int:
        free = max(0, self._capacity - self._online)
        return min(free, self._limit.beside(self._online))

    def _preempt(self, count: int) -> None:
        if count <= 0:
            return
        # The latest started has the least to lose.
        victims = self._batch[-count:]
        started = clock.uptime()
        for work in victims:
            self._batch.remove(work)
        self._cancel([work.request for work in victims])
        for work in victims:
            work.preempt()
        self._metrics.preemptions.inc(len(victims))
        self._metrics.running.labels('batch').set(self.batch)
        self._journal.decide(
            'preempted',
            items=len(victims),
            online=self._online,
            milliseconds=round((clock.uptime() - started) * 1000, 2),
        )


def _refusal(code: str, message: str, retry_after: float) -> CallError:
    return CallError(
        HTTPStatus.SERVICE_UNAVAILABLE,
        code,
        message,
        retry_after=retry_after,
    )
