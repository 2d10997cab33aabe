"""What the hop through bendlead adds to a direct call of the engine."""

import time
from typing import Any

import gevent
from bendlead_cli.load import LoadPlan, LoadResult, OpenLoop, new_histogram
from geventhttpclient import HTTPClient

from bendlead_testing.cluster import MODEL, TEAM_KEY, Cluster
from bendlead_testing.workload import chat_body

_ENGINES = 3
_SLOTS = 512
_FAST_ENGINE = ('--slots', str(_SLOTS), '--base', '0.02', '--sequence', '0')
_RATE = 40.0
_TOKENS = 64
_CLOSED_TASKS = 64


def measure(seconds: float) -> dict[str, Any]:
    """Compare latencies, then find what one entry core carries."""
    with Cluster(
        entries=1,
        engines=_ENGINES,
        engine_options=_FAST_ENGINE,
        engine_settings={'capacity': _SLOTS, 'queue': _SLOTS, 'batch': False},
    ) as cluster:
        entry = cluster.entries[0]
        plan = LoadPlan(rate=_RATE, seconds=seconds / 4, tokens=_TOKENS)
        direct = _open_loop(cluster.engines[0].address, plan)
        through = _open_loop(entry.address, plan)
        whole = _closed_loop(cluster, seconds / 4)
        chunks = _chunks(cluster, seconds / 4)
        return {
            'direct': direct.summary(),
            'through': through.summary(),
            'added_first_token_ms': _added(direct, through),
            'whole_requests': whole,
            'chunks': chunks,
            'rss_mb': {
                daemon.name: round(daemon.rss_mb(), 1)
                for daemon in (entry, cluster.endpoints[0])
            },
        }


def _open_loop(address: str, plan: LoadPlan) -> LoadResult:
    return OpenLoop(address, TEAM_KEY, MODEL).run(plan)


def _added(direct: LoadResult, through: LoadResult) -> dict[str, float]:
    before = direct.summary()['first_token_ms']
    after = through.summary()['first_token_ms']
    return {point: round(after[point] - before[point], 2) for point in before}


def _closed_loop(cluster: Cluster, seconds: float) -> dict[str, float]:
    """Send short whole requests back to back; count them by entry core."""
    import msgspec

    entry = cluster.entries[0]
    host, port = entry.address.rsplit(':', 1)
    client = HTTPClient(host, int(port), concurrency=_CLOSED_TASKS)
    headers = {
        'Authorization': f'Bearer {TEAM_KEY}',
        'Content-Type': 'application/json',
    }
    body = msgspec.json.encode(chat_body('a short wish', 1))
    waits = new_histogram()
    until = time.monotonic() + seconds

    def send_until_end() -> None:
        while time.monotonic() < until:
            started = time.monotonic()
            client.request('POST', '/v1/chat/completions', body, headers).read()
            waits.record_value(int((time.monotonic() - started) * 1_000_000))

    used = entry.cpu_seconds()
    tasks = [gevent.spawn(send_until_end) for _task in range(_CLOSED_TASKS)]
    gevent.joinall(tasks)
    used = entry.cpu_seconds() - used
    return {
        'requests': waits.get_total_count(),
        'entry_core_seconds': round(used, 2),
        'requests_per_entry_core_second': round(
            waits.get_total_count() / used,
        ),
    }


def _chunks(cluster: Cluster, seconds: float) -> dict[str, float]:
    """Stream many answers at once; count chunks by core."""
    entry = cluster.entries[0]
    endpoint = cluster.endpoints[0]
    used = entry.cpu_seconds()
    endpoint_used = endpoint.cpu_seconds()
    plan = LoadPlan(rate=30, seconds=seconds, tokens=400)
    result = _open_loop(entry.address, plan)
    used = entry.cpu_seconds() - used
    endpoint_used = endpoint.cpu_seconds() - endpoint_used
    return {
        'chunks': result.tokens,
        'chunks_per_entry_core_second': round(result.tokens / used),
        'chunks_per_endpoint_core_second': round(
            result.tokens / _ENGINES / endpoint_used,
        ),
    }
