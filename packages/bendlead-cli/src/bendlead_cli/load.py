"""Open-loop load generator: requests are sent on schedule.

Latency is counted from the scheduled time, which avoids coordinated omission
when responses are slow.
"""

import math
import random
import time
from collections.abc import Iterator
from dataclasses import dataclass, field
from functools import partial
from http import HTTPStatus

import gevent
import msgspec
from geventhttpclient import HTTPClient
from hdrh.histogram import HdrHistogram

_MICROSECONDS_PER_SECOND = 1_000_000
_MAX_LATENCY_MICROSECONDS = 600_000_000
_SIGNIFICANT_DIGITS = 3
_PERCENTILES = (50, 95, 99, 99.9)
_COMPLETION_TIMEOUT_SECONDS = 20.0
_MAX_CONNECTIONS = 2000
_NETWORK_TIMEOUT_SECONDS = 120.0
_WORD_BITS = 20
_EVENT_END = b'\n\n'


def new_histogram() -> HdrHistogram:
    """Return an empty histogram of microseconds."""
    return HdrHistogram(1, _MAX_LATENCY_MICROSECONDS, _SIGNIFICANT_DIGITS)


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """Schedule and size of requests; the rate is per second."""

    rate: float
    seconds: float
    burst_seconds: float = 0
    gap_seconds: float = 0
    prompt_words: int = 40
    tokens: int = 32
    seed: int = 1

    def send_times(self) -> Iterator[float]:
        """Yield the send times, in seconds after the start."""
        random_source = random.Random(self.seed)
        elapsed = random_source.expovariate(self.rate)
        while elapsed < self.seconds:
            if self._in_burst(elapsed):
                yield elapsed
            elapsed += random_source.expovariate(self.rate)

    def _in_burst(self, elapsed: float) -> bool:
        period = self.burst_seconds + self.gap_seconds
        if not period:
            return True
        return math.fmod(elapsed, period) < self.burst_seconds


@dataclass(slots=True)
class LoadResult:
    """Latencies and counts of a load run."""

    first_token: HdrHistogram = field(default_factory=new_histogram)
    token_gaps: HdrHistogram = field(default_factory=new_histogram)
    total: HdrHistogram = field(default_factory=new_histogram)
    sent: int = 0
    completed: int = 0
    truncated: int = 0
    tokens: int = 0
    statuses: dict[int, int] = field(default_factory=dict)

    def add(self, other: 'LoadResult') -> None:
        """Add the latencies and counts of another run."""
        self.first_token.add(other.first_token)
        self.token_gaps.add(other.token_gaps)
        self.total.add(other.total)
        self.sent += other.sent
        self.completed += other.completed
        self.truncated += other.truncated
        self.tokens += other.tokens
        for status, count in other.statuses.items():
            self.statuses[status] = self.statuses.get(status, 0) + count

    def summary(self) -> dict[str, object]:
        """Return counts, and latency percentiles in milliseconds."""
        return {
            'sent': self.sent,
            'completed': self.completed,
            'cut': self.truncated,
            'tokens': self.tokens,
            'statuses': self.statuses,
            'first_token_ms': _percentiles_ms(self.first_token),
            'between_tokens_ms': _percentiles_ms(self.token_gaps),
            'whole_ms': _percentiles_ms(self.total),
        }


class OpenLoop:
    """Client that sends streamed chat requests on a schedule."""

    def __init__(self, address: str, key: str, model: str) -> None:
        host, port = address.rsplit(':', 1)
        self._client = HTTPClient(
            host,
            int(port),
            concurrency=_MAX_CONNECTIONS,
            network_timeout=_NETWORK_TIMEOUT_SECONDS,
        )
        self._headers = {
            'Authorization': f'Bearer {key}',
            'Content-Type': 'application/json',
        }
        self._model = model

    def run(self, plan: LoadPlan) -> LoadResult:
        """Send every request of the plan and wait for the responses."""
        result = LoadResult()
        started = time.monotonic()
        tasks = []
        for number, send_time in enumerate(plan.send_times()):
            planned = started + send_time
            gevent.sleep(max(0, planned - time.monotonic()))
            tasks.append(
                gevent.spawn(self._send, plan, number, planned, result),
            )
        remaining = started + plan.seconds - time.monotonic()
        gevent.sleep(max(0, remaining))
        gevent.joinall(tasks, timeout=_COMPLETION_TIMEOUT_SECONDS)
        gevent.killall(tasks)
        return result

    def _send(
        self,
        plan: LoadPlan,
        number: int,
        planned: float,
        result: LoadResult,
    ) -> None:
        result.sent += 1
        try:
            self._stream(plan, number, planned, result)
        except Exception:  # geventhttpclient raises unrelated types
            result.truncated += 1

    def _stream(
        self,
        plan: LoadPlan,
        number: int,
        planned: float,
        result: LoadResult,
    ) -> None:
        body = self._body(plan, number)
        response = self._client.request(
            'POST',
            '/v1/chat/completions',
            body,
            self._headers,
        )
        status = response.status_code
        result.statuses[status] = result.statuses.get(status, 0) + 1
        if status != HTTPStatus.OK:
            response.read()
            return
        previous = 0.0
        for event in iter(partial(response.readline, _EVENT_END), b''):
            now = time.monotonic()
            if b'[DONE]' in event:
                result.completed += 1
                _record(result.total, now - planned)
                return
            if previous:
                _record(result.token_gaps, now - previous)
            else:
                _record(result.first_token, now - planned)
            previous = now
            result.tokens += 1
        result.truncated += 1

    def _body(self, plan: LoadPlan, number: int) -> bytes:
        random_source = random.Random(
            plan.seed * _MICROSECONDS_PER_SECOND + number
        )
        words = [
            f'{random_source.getrandbits(_WORD_BITS):x}'
            for _ in range(plan.prompt_words)
        ]
        return msgspec.json.encode(
            {
                'model': self._model,
                'messages': [{'role': 'user', 'content': ' '.join(words)}],
                'max_tokens': plan.tokens,
                'stream': True,
            }
        )


def _record(histogram: HdrHistogram, seconds: float) -> None:
    histogram.record_value(max(1, int(seconds * _MICROSECONDS_PER_SECOND)))


def _percentiles_ms(histogram: HdrHistogram) -> dict[str, float]:
    return {
        f'p{percentile:g}': round(
            histogram.get_value_at_percentile(percentile) / 1000,
            2,
        )
        for percentile in _PERCENTILES
    }
