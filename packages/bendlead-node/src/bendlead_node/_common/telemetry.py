"""One line of key=value pairs for each event, and metrics."""

import sys
import time
from collections import deque
from collections.abc import Callable, Mapping
from http import HTTPStatus
from typing import Any

import eliot
import gevent
from bendlead_gateway.log_text import quote_field
from bendlead_store.tasks import (
    TaskFailure,
    keep_running,
    report_unwatched,
)
from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import CONTENT_TYPE_LATEST, generate_latest

from bendlead_node._common.limited import AnswerTooLargeError, Report
from bendlead_node._common.web import Answer, Call

_DECISIONS = 200
_HIDDEN = frozenset(('task_uuid', 'task_level', 'message_type', 'timestamp'))
_LATENCY_BUCKETS = (
    0.005,
    0.01,
    0.02,
    0.04,
    0.07,
    0.1,
    0.2,
    0.49,
    1,
    2,
    5,
    20,
)


class Journal:
    """Write events as lines and keep the latest decisions for a dump."""

    def __init__(self, node: str) -> None:
        self._node = node
        self._decisions: deque[str] = deque(maxlen=_DECISIONS)

    @property
    def decisions(self) -> list[str]:
        """List the latest decisions, oldest first."""
        return list(self._decisions)

    def event(self, kind: str, **fields: Any) -> None:
        """Log one event."""
        eliot.log_message(message_type=kind, node=self._node, **fields)

    def watch_tasks(self) -> None:
        """Log what ends any task of this process that is not kept running."""
        report_unwatched(self.task_failed)

    def keep_running(
        self, task: str, function: Callable[..., object], *args: Any
    ) -> gevent.Greenlet:
        """Start a task that goes on after an error, with a pause."""
        return keep_running(task, self.task_failed, function, *args)

    def task_failed(self, failure: TaskFailure) -> None:
        """Log an unforeseen exception of a task."""
        self.event('task-failed', **failure.fields)

    def decide(self, kind: str, **fields: Any) -> None:
        """Log a decision with its reason and keep it for the dump."""
        self._decisions.append(_line({'event': kind, **fields}))
        self.event(kind, **fields)


class Metrics:
    """Count and time what one process does."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.requests = Counter(
            'bendlead_requests',
            'Requests by service, class and outcome.',
            ('service', 'traffic', 'outcome'),
            registry=self.registry,
        )
        self.first_token = self._histogram('first_token')
        self.between_tokens = self._histogram('between_tokens')
        self.preemptions = self._counter('preemptions')
        self.batch_items = self._counter('batch_items')
        self.batch_tokens = self._counter('batch_tokens')
        self.retries = self._counter('retries')
        self.refused_peers = self._counter('refused_peers')
        self.answers_too_large = self._counter('answers_too_large')
        self.running = Gauge(
            'bendlead_running',
            'Requests running now, by class.',
            ('traffic',),
            registry=self.registry,
        )

    def page(self, _call: Call) -> Answer:
        """Show all metrics."""
        body = generate_latest(self.registry)
        return Answer(
            HTTPStatus.OK, body, {'Content-Type': CONTENT_TYPE_LATEST}
        )

    def _counter(self, name: str) -> Counter:
        return Counter(
            f'bendlead_{name}',
            f'{name.replace("_", " ").capitalize()} so far.',
            registry=self.registry,
        )

    def _histogram(self, name: str) -> Histogram:
        return Histogram(
            f'bendlead_{name}_seconds',
            f'{name.replace("_", " ").capitalize()}, in seconds.',
            ('service', 'traffic'),
            buckets=_LATENCY_BUCKETS,
            registry=self.registry,
        )


def answer_reporter(journal: Journal, metrics: Metrics) -> Report:
    """Return a function that counts and logs an answer beyond a limit."""

    def report(error: AnswerTooLargeError) -> None:  # noqa: WPS430
        metrics.answers_too_large.inc()
        journal.decide(
            'answer-too-large',
            step=error.step,
            peer=error.peer,
            part=error.part,
            limit_bytes=error.limit,
        )

    return report


def start_logging() -> None:
    """Send events to standard error."""
    eliot.add_destinations(_write_event)


def _write_event(message: Mapping[str, Any]) -> None:
    shown = {
        name: text for name, text in message.items() if name not in _HIDDEN
    }
    kind = message.get('message_type', message.get('action_type', ''))
    moment = f'{message.get("timestamp", time.time()):.6f}'
    line = _line({'time': moment, 'event': kind, **shown})
    sys.stderr.write(f'{line}\n')
    sys.stderr.flush()


def _line(fields: Mapping[str, Any]) -> str:
    return ' '.join(
        f'{name}={quote_field(shown)}' for name, shown in fields.items()
    )
