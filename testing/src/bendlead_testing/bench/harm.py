"""Harm to the online tail against batch throughput, beside baselines."""

import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager
from http import HTTPStatus
from typing import Any

import gevent
import msgspec
from bendlead_cli.load import LoadPlan, LoadResult, OpenLoop
from bendlead_node._common.upstream import Clients, read_body
from gevent import Greenlet
from result import Ok

from bendlead_testing.cluster import MODEL, TEAM_KEY, Cluster
from bendlead_testing.workload import batch_lines, chat_body, client, submit

_ENGINES = 3
_SLOTS = 16
_ITEM_TOKENS = 64
_BURST = 1.5
_GAP = 4.5
_RATE = 45.0
_BACKLOG = 30_000
_VARIANTS = (
    'no-batch',
    'tail',
    'throughput',
    'ordinary',
    'priority',
    'fixed',
)


def measure(seconds: float) -> dict[str, Any]:
    """Run every variant for the same load."""
    idle = _batch_only(min(seconds, 10))
    _note({'batch_only_tokens_per_second': round(idle)})
    figures: dict[str, Any] = {}
    for variant in _VARIANTS:
        figures[variant] = _run(variant, seconds, idle)
        base = figures['no-batch']
        figures[variant]['ratio'] = _ratios(figures[variant], base)
        _note({variant: figures[variant]})
    return {'batch_only_tokens_per_second': round(idle), **figures}


def _batch_only(seconds: float) -> float:
    """Measure what the engines give when only batch runs."""
    with _cluster('throughput') as cluster:
        _submit(cluster)
        gevent.sleep(3)
        before = _tokens(cluster, 'batch')
        started = time.monotonic()
        gevent.sleep(seconds)
        done = _tokens(cluster, 'batch') - before
        return done / (time.monotonic() - started)


def _run(variant: str, seconds: float, idle: float) -> dict[str, Any]:
    with _cluster(variant) as cluster, _batch_side(variant, cluster):
        # Let the controller learn and the batch side fill up.
        _load(cluster, min(seconds, 2 * (_BURST + _GAP)), seed=7)
        before = _tokens(cluster, 'batch'), _tokens(cluster, 'online')
        online_before = before[1]
        started = time.monotonic()
        result = _load(cluster, seconds, seed=1)
        took = time.monotonic() - started
        batch = (_tokens(cluster, 'batch') - before[0]) / took
        online = (_tokens(cluster, 'online') - online_before) / took
        if variant == 'ordinary':
            # All traffic is online to the engines here.
            own = result.tokens / took
            batch, online = online - own, own
        return {
            **result.summary(),
            'batch_tokens_per_second': round(batch),
            'online_tokens_per_second': round(online),
            'idle_used': round(batch / (idle - online), 3),
            'yields': _yields(cluster),
            'wasted_tokens': sum(
                cluster.engine_stats(at)['wasted'] for at in range(_ENGINES)
            ),
        }


def _cluster(variant: str) -> Cluster:
    engine_settings: dict[str, Any] = {
        'capacity': _SLOTS,
        'queue': 200,
        'batch': variant in {'tail', 'throughput', 'fixed'},
    }
    if variant in {'tail', 'throughput'}:
        engine_settings['profile'] = variant
    if variant == 'fixed':
        engine_settings['batch_limit'] = _SLOTS // 2
    return Cluster(
        entries=1,
        engines=_ENGINES,
        engine_options=('--slots', str(_SLOTS)),
        engine_settings=engine_settings,
    )


def _load(cluster: Cluster, seconds: float, seed: int) -> LoadResult:
    plan = LoadPlan(
        rate=_RATE,
        seconds=seconds,
        burst_seconds=_BURST,
        gap_seconds=_GAP,
        seed=seed,
    )
    return OpenLoop(cluster.entries[0].address, TEAM_KEY, MODEL).run(plan)


@contextmanager
def _batch_side(variant: str, cluster: Cluster) -> Iterator[None]:
    senders: list[Greenlet] = []
    if variant in {'tail', 'throughput', 'fixed'}:
        _submit(cluster)
    if variant == 'priority':
        for engine in cluster.engines:
            senders += _senders(engine.address, '10', _SLOTS * 2)
    if variant == 'ordinary':
        address = cluster.entries[0].address
        senders += _senders(address, '0', _ENGINES * _SLOTS)
    yield
    gevent.killall(senders)


def _senders(address: str, priority: str, count: int) -> list[Greenlet]:
    clients = Clients(60)
    body = msgspec.json.encode(chat_body('a route note', _ITEM_TOKENS))
    headers = {
        'Content-Type': 'application/json',
        'X-Priority': priority,
        'Authorization': f'Bearer {TEAM_KEY}',
    }

    def send_for_ever() -> None:
        while True:
            sent = clients.send(
                'POST',
                address,
                '/v1/chat/completions',
                body,
                headers,
            )
            if isinstance(sent, Ok):
                read_body(sent.ok_value)
                if sent.ok_value.status_code == HTTPStatus.OK:
                    continue
            gevent.sleep(0.2)

    return [gevent.spawn(send_for_ever) for _sender in range(count)]


def _submit(cluster: Cluster) -> None:
    submit(client(cluster), batch_lines(_BACKLOG, _ITEM_TOKENS))


def _tokens(cluster: Cluster, kind: str) -> int:
    return sum(
        cluster.engine_stats(at)['tokens'].get(kind, 0)
        for at in range(_ENGINES)
    )


def _yields(cluster: Cluster) -> dict[str, float]:
    """Read how long engines took to free a slot after a preemption."""
    milliseconds = sorted(
        gap
        for endpoint in cluster.endpoints
        for gap in cluster.state(endpoint)['yields_ms']
    )
    if not milliseconds:
        return {}
    return {
        'count': len(milliseconds),
        'p50_ms': milliseconds[len(milliseconds) // 2],
        'p99_ms': milliseconds[int(len(milliseconds) * 0.99)],
    }


def _ratios(figures: dict[str, Any], base: dict[str, Any]) -> dict[str, Any]:
    return {
        name: {
            point: round(figures[name][point] / base[name][point], 3)
            for point in base[name]
        }
        for name in ('first_token_ms', 'between_tokens_ms')
    }


def _note(figures: dict[str, Any]) -> None:
    sys.stderr.write(f'{msgspec.json.encode(figures).decode()}\n')
