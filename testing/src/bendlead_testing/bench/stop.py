"""Planned stops under load: requests cut, and when new work ends."""

import json
import sys
import time
from typing import Any

import gevent
from bendlead_cli.load import LoadPlan, OpenLoop

from bendlead_testing.cluster import (
    MODEL,
    OPERATOR_KEY,
    PEER_KEY,
    TEAM_KEY,
    Cluster,
)
from bendlead_testing.daemons import Daemon, http, wait_for
from bendlead_testing.workload import batch_lines, client, submit

_STOPS = 20
_RATE = 25.0
_SECONDS_PER_STOP = 4.0
_ITEMS = 20_000


def measure(_seconds: float) -> dict[str, Any]:
    """Stop endpoints one after another while chats and a batch run."""
    with Cluster(entries=2, engines=3) as cluster:
        submit(client(cluster), batch_lines(_ITEMS, 32))
        plan = LoadPlan(rate=_RATE, seconds=_STOPS * _SECONDS_PER_STOP)
        loop = OpenLoop(cluster.entries[0].address, TEAM_KEY, MODEL)
        load = gevent.spawn(loop.run, plan)
        gevent.sleep(2)
        stops = [_stop(cluster, number) for number in range(_STOPS)]
        result = load.get()
    delays = sorted(one['leaving_after'] for one in stops)
    return {
        'stops': len(stops),
        'requests': result.sent,
        'completed': result.completed,
        'cut': result.truncated,
        'statuses': result.statuses,
        'leaving_after_p50_s': delays[len(delays) // 2],
        'leaving_after_max_s': delays[-1],
        'started_after_leaving': sum(one['late'] for one in stops),
        'safe_after_max_s': max(one['safe_after'] for one in stops),
    }


def _stop(cluster: Cluster, number: int) -> dict[str, Any]:
    endpoint = cluster.endpoints[number % len(cluster.endpoints)]
    name = f'stop-{number}'
    started = time.monotonic()
    cluster.apply('stop', name, {'endpoint': endpoint.name})
    wait_for(lambda: _status(endpoint)['leaving'])
    leaving_after = time.monotonic() - started
    begun = _started(cluster, number)
    wait_for(lambda: _status(endpoint)['safe_to_stop'])
    safe_after = time.monotonic() - started
    late = _started(cluster, number) - begun
    endpoint.stop()
    endpoint.process.wait(timeout=10)
    _delete(cluster, name)
    endpoint.start()
    wait_for(lambda: not _status(endpoint)['leaving'])
    gevent.sleep(0.7)
    sys.stderr.write(f'{name} leaving after {leaving_after:.2f} s\n')
    return {
        'leaving_after': round(leaving_after, 3),
        'safe_after': round(safe_after, 3),
        'late': late,
    }


def _started(cluster: Cluster, number: int) -> int:
    """Count the requests the engine of an endpoint has begun."""
    engine = number % len(cluster.engines)
    return sum(cluster.engine_stats(engine)['starts'].values())


def _status(endpoint: Daemon) -> dict[str, Any]:
    _status, _headers, body = http(
        'GET',
        f'{endpoint.url}/peer/v1/stop',
        headers={'X-Bendlead-Peer': PEER_KEY},
    )
    return json.loads(body)


def _delete(cluster: Cluster, name: str) -> None:
    url = f'{cluster.entries[0].url}/admin/v1/objects/stop/{name}'
    headers = {'Authorization': f'Bearer {OPERATOR_KEY}'}
    http('DELETE', url, headers=headers)
