"""Open-loop load: requests leave when planned, however slow answers are.

Latency counts from the planned moment, so that a stalled system cannot hide
its stall by slowing the load down.
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

_MICROSECONDS = 1_000_000
_LONGEST = 600_000_000
_DIGITS = 3
_PERCENTILES = (50, 95, 99, 99.9)
_SETTLE_SECONDS = 20.0
_CONNECTIONS = 2000
_NETWORK_SECONDS = 120.0
_WORD_BITS = 20
_EVENT_END = b'\n\n'


def new_histogram() -> HdrHistogram:
    """Make an empty histogram of microseconds."""
    return HdrHistogram(1, _LONGEST, _DIGITS)


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """Say how many requests leave when (rates per second)."""

    rate: float
    seconds: float
    burst_seconds: float = 0
    gap_seconds: float = 0
    prompt_words: int = 40
    tokens: int = 32
    seed: int = 1

    def moments(self) -> Iterator[float]:
        """Give the seconds after the start at which requests leave."""
        chance = random.Random(self.seed)
        at = chance.expovariate(self.rate)
        while at < self.seconds:
            if self._in_burst(at):
                yield at
            at += chance.expovariate(self.rate)

    def _in_burst(self, at: float) -> bool:
        period = self.burst_seconds + self.gap_seconds
        if not period:
            return True
        return math.fmod(at, period) < self.burst_seconds


@dataclass(slots=True)
class LoadResult:
    """Gather what a load run measured."""

    first: HdrHistogram = field(default_factory=new_histogram)
    between: HdrHistogram = field(default_factory=new_histogram)
    whole: HdrHistogram = field(default_factory=new_histogram)
    sent: int = 0
    completed: int = 0
    cut: int = 0
    tokens: int = 0
    statuses: dict[int, int] = field(default_factory=dict)

    def add(self, other: 'LoadResult') -> None:
        """Take in what another run of the same kind measured."""
        self.first.add(other.first)
        self.between.add(other.between)
        self.whole.add(other.whole)
        self.sent += other.sent
        self.completed += other.completed
        self.cut += other.cut
        self.tokens += other.tokens
        for status, count in other.statuses.items():
            self.statuses[status] = self.statuses.get(status, 0) + count

    def summary(self) -> dict[str, object]:
        """Give all figures in milliseconds."""
        return {
            'sent': self.sent,
            'completed': self.completed,
            'cut': self.cut,
            'tokens': self.tokens,
            'statuses': self.statuses,
            'first_token_ms': _milliseconds(self.first),
            'between_tokens_ms': _milliseconds(self.between),
            'whole_ms': _milliseconds(self.whole),
        }


class OpenLoop:
    """Send streamed chat requests by a plan."""

    def __init__(self, address: str, key: str, model: str) -> None:
        host, port = address.rsplit(':', 1)
        self._client = HTTPClient(
            host,
            int(port),
            concurrency=_CONNECTIONS,
            network_timeout=_NETWORK_SECONDS,
        )
        self._headers = {
            'Authorization': f'Bearer {key}',
            'Content-Type': 'application/json',
        }
        self._model = model

    def run(self, plan: LoadPlan) -> LoadResult:
        """Send every request of the plan and wait for the answers."""
        result = LoadResult()
        started = time.monotonic()
        tasks = []
        for number, moment in enumerate(plan.moments()):
            planned = started + moment
            gevent.sleep(max(0, planned - time.monotonic()))
            tasks.append(
                gevent.spawn(self._request, plan, number, planned, result),
            )
        rest = started + plan.seconds - time.monotonic()
        gevent.sleep(max(0, rest))
        gevent.joinall(tasks, timeout=_SETTLE_SECONDS)
        gevent.killall(tasks)
        return result

    def _request(
        self,
        plan: LoadPlan,
        number: int,
        planned: float,
        result: LoadResult,
    ) -> None:
        result.sent += 1
        try:
            self._stream(plan, number, planned, result)
        except Exception:  # the library raises many kinds
            result.cut += 1

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
                _record(result.whole, now - planned)
                return
            if previous:
                _record(result.between, now - previous)
            else:
                _record(result.first, now - planned)
            previous = now
            result.tokens += 1
        result.cut += 1

    def _body(self, plan: LoadPlan, number: int) -> bytes:
        chance = random.Random(plan.seed * _MICROSECONDS + number)
        words = [
            f'{chance.getrandbits(_WORD_BITS):x}'
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
    histogram.record_value(max(1, int(seconds * _MICROSECONDS)))


def _milliseconds(histogram: HdrHistogram) -> dict[str, float]:
    return {
        f'p{percentile:g}': round(
            histogram.get_value_at_percentile(percentile) / 1000,
            2,
        )
        for percentile in _PERCENTILES
    }
