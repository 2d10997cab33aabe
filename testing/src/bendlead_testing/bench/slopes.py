"""The slopes that docs/CAPACITY.md multiplies by the size planned for."""

import time
import tracemalloc
from collections.abc import Callable
from typing import Any

import msgspec
from bendlead_ledger._state import ShardState
from bendlead_node._common.config import ConfigTable, config_key
from bendlead_node._entry.members import Members
from bendlead_node._entry.ownership import preferred_owner
from bendlead_node._entry.routing import Router
from bendlead_schema.messages import EndpointHeartbeat, VersionedKey
from bendlead_schema.records import (
    ChunkRef,
    JobAccepted,
    RequestAccepted,
    RequestCompleted,
    ResultsRecorded,
)

from bendlead_testing.bench.config import relay_figures
from bendlead_testing.cluster import MODEL, Cluster

_IDLE_SECONDS = 8.0
_REPEATS = 20_000
_ITEMS = 100_000
_KEYS = 10_000
_RELAY_SIZES = (50, 100, 200)
_RELAY_SECONDS = 8


def measure(_seconds: float) -> dict[str, Any]:
    """Measure every slope once."""
    return {
        'heartbeat': _heartbeat(),
        'routing': _routing(),
        'ownership_us': _timed(
            lambda: preferred_owner.__wrapped__(7, _names(300)),
            200,
        ),
        'memory': _memory(),
        'idle': _idle(),
        'relay': [relay_figures(one, _RELAY_SECONDS) for one in _RELAY_SIZES],
    }


def _heartbeat() -> dict[str, float]:
    heartbeat = _endpoint(1)
    body = msgspec.json.encode(heartbeat)
    members = Members('entry', 2)

    def take() -> None:
        decoded = msgspec.json.decode(body, type=EndpointHeartbeat)
        members.hear_endpoint(decoded)

    return {'bytes': len(body), 'microseconds': _timed(take, _REPEATS)}


def _routing() -> list[dict[str, float]]:
    figures = []
    for count in (10, 100, 1000):
        members = Members('entry', 60)
        for number in range(count):
            members.hear_endpoint(_endpoint(number))
        router = Router(members)
        pick = _timed(
            lambda router=router: router.pick('notes', MODEL, ()), 500
        )
        figures.append({'endpoints': count, 'microseconds': pick})
    return figures


def _memory() -> dict[str, float]:
    return {
        'bytes_per_item': _bytes(_job) / _ITEMS,
        'bytes_per_recorded_request': _bytes(_requests) / _KEYS,
        'bytes_per_configuration_key': _bytes(_keys) / _KEYS,
        'bytes_per_known_endpoint': _bytes(_known) / _KEYS,
    }


def _job() -> Any:
    state = ShardState()
    state.apply(
        JobAccepted(
            job='j',
            team='t',
            fingerprint='f',
            input_file='file',
            path='/',
            chunks=[
                ChunkRef(key=f'c{at}', first=at * 1000, count=1000)
                for at in range(_ITEMS // 1000)
            ],
            item_count=_ITEMS,
            accepted_at=1.0,
            deadline=2.0,
            rejected=[],
        ),
    )
    for start in range(0, _ITEMS, 500):
        positions = list(range(start, start + 500))
        state.apply(
            ResultsRecorded(
                job='j',
                pack=f'p{start}',
                positions=positions,
                failed=[],
                at=1.0,
            ),
        )
    return state


def _requests() -> Any:
    state = ShardState()
    for number in range(_KEYS):
        name = f'chatcmpl-{number:032d}'
        state.apply(
            RequestAccepted(
                request=name,
                team='t',
                key=name,
                fingerprint=name,
                path='/v1/chat/completions',
                repeatable=True,
                body='x' * 500 + name,
                nonce=name,
                runner='n/1',
                service='s',
                model=MODEL,
                method='POST',
                stream=False,
                at=1.0,
            ),
        )
        state.apply(
            RequestCompleted(
                request=name,
                status=200,
                body='y' * 1000 + name,
                at=1.0,
            ),
        )
    return state


def _keys() -> Any:
    table = ConfigTable()
    table.merge(
        VersionedKey(
            key=config_key('limit', f'key-{number}'),
            version=number + 1,
            body='z' * 200 + str(number),
        )
        for number in range(_KEYS)
    )
    return table


def _known() -> Any:
    members = Members('entry', 60)
    for number in range(_KEYS):
        members.hear_endpoint(_endpoint(number))
    return members


def _idle() -> dict[str, Any]:
    """Measure processes that have nothing to do."""
    figures = {}
    with Cluster(entries=2, engines=4) as cluster:
        watched = [*cluster.entries, *cluster.endpoints]
        before = {one.name: one.cpu_seconds() for one in watched}
        calls = cluster.store_calls()
        time.sleep(_IDLE_SECONDS)
        after = cluster.store_calls()
        for one in watched:
            used = one.cpu_seconds() - before[one.name]
            figures[one.name] = {
                'core': round(used / _IDLE_SECONDS, 4),
                'rss_mb': round(one.rss_mb(), 1),
            }
        figures['store_calls_per_second'] = {
            kind: round((after[kind] - calls.get(kind, 0)) / _IDLE_SECONDS, 2)
            for kind in after
        }
    return figures


def _endpoint(number: int) -> EndpointHeartbeat:
    return EndpointHeartbeat(
        endpoint=f'endpoint-{number}',
        address=f'127.0.0.1:{number}',
        data_hall='hall-1',
        service='notes',
        models=[MODEL],
        capacity=16,
        online=number % 16,
        batch=0,
    )


def _names(count: int) -> tuple[str, ...]:
    return tuple(f'entry-{at}' for at in range(count))


def _timed(action: Callable[[], Any], repeats: int) -> float:
    started = time.perf_counter()
    for _repeat in range(repeats):
        action()
    took = time.perf_counter() - started
    return round(took / repeats * 1_000_000, 2)


def _bytes(make: Callable[[], Any]) -> int:
    tracemalloc.start()
    kept = make()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return size
