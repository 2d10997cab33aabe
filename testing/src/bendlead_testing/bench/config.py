"""The real relay over loopback: many logical nodes in a few processes."""

import json
import pathlib
import random
import subprocess
import sys
import tempfile
import time
from typing import Any

import gevent
from bendlead_node._common.config import config_key
from bendlead_store import ABSENT, HttpStore, Version

from bendlead_testing.daemons import Daemon, http, running_platform

NODES = 200
_PROCESSES = 4
_KEYS = 50
_SLOW_SECONDS = 0.3
_DRAIN_SECONDS = 4.0


def measure(seconds: float) -> dict[str, Any]:
    """Change configuration once a second and time it on every node."""
    return relay_figures(NODES, min(seconds, 20))


def relay_figures(nodes: int, seconds: float) -> dict[str, Any]:
    """Run a number of logical nodes and sum up their figures."""
    with running_platform() as platform:
        return _relayed(platform, nodes, seconds)


def _relayed(platform: Daemon, nodes: int, seconds: float) -> dict[str, Any]:
    names = [f'node-{at}' for at in range(nodes)]
    # Below the range that outgoing connections take their ports from.
    first = random.randrange(12_000, 30_000)
    addresses = {
        name: f'127.0.0.1:{first + at}' for at, name in enumerate(names)
    }
    folder = pathlib.Path(tempfile.mkdtemp(prefix='bendlead-'))
    workers = []
    for at in range(_PROCESSES):
        task = {
            'addresses': addresses,
            'names': names[at::_PROCESSES],
            'platform': platform.address,
        }
        path = folder / f'task-{at}.json'
        path.write_text(json.dumps(task))
        workers.append(_worker(path))
    for worker in workers:
        worker.stdout.readline()
    before = json.loads(http('GET', f'{platform.url}/stats')[2])
    written = _change(platform, seconds, workers)
    gevent.sleep(_DRAIN_SECONDS)
    after = json.loads(http('GET', f'{platform.url}/stats')[2])
    reports = [_report(worker) for worker in workers]
    calls = {name: after[name] - before.get(name, 0) for name in after}
    return _summed(reports, written, calls, nodes, seconds)


def _worker(task: pathlib.Path) -> subprocess.Popen:
    return subprocess.Popen(
        [
            sys.executable,
            '-m',
            'bendlead_testing.bench.relay_worker',
            str(task),
        ],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        stderr=task.with_suffix('.log').open('wb'),
    )


def _report(worker: subprocess.Popen) -> dict[str, Any]:
    _order(worker, b'report')
    report = json.loads(worker.stdout.readline())
    worker.kill()
    worker.wait()
    return report


def _order(worker: subprocess.Popen, order: bytes) -> None:
    worker.stdin.write(order + b'\n')
    worker.stdin.flush()


def _change(
    platform: Daemon,
    seconds: float,
    workers: list[subprocess.Popen],
) -> dict[str, float]:
    store = HttpStore(platform.address, 2)
    versions: dict[str, Version] = {}
    written: dict[str, float] = {}
    for number in range(int(seconds)):
        key = config_key('limit', f'key-{number % _KEYS}')
        body = json.dumps({'number': number}).encode()
        expected = versions.get(key, ABSENT)
        versions[key] = store.put(key, body, expected).unwrap()
        written[f'{key}@{versions[key]}'] = time.time()
        if number == int(seconds) // 2:
            # A relaying node is lost midway.
            _order(workers[0], b'lose')
        gevent.sleep(1)
    return written


def _summed(
    reports: list[dict[str, Any]],
    written: dict[str, float],
    calls: dict[str, int],
    nodes: int,
    seconds: float,
) -> dict[str, Any]:
    alive = sum(report['nodes'] for report in reports)
    delays = sorted(
        seen[change] - at
        for report in reports
        for seen in report['seen']
        for change, at in written.items()
        if change in seen
    )
    for change, at in written.items():
        late = [
            seen[change] - at
            for report in reports
            for seen in report['seen']
            if change in seen
        ]
        slow = sum(delay > _SLOW_SECONDS for delay in late)
        sys.stderr.write(f'{change}: max {max(late):.3f} s, slow {slow}\n')
    digests = {digest for one in reports for digest in one['digests']}
    return {
        'nodes': nodes,
        'changes': len(written),
        'in_force_p50_s': round(delays[len(delays) // 2], 3),
        'in_force_p99_s': round(delays[int(len(delays) * 0.99)], 3),
        'in_force_max_s': round(delays[-1], 3),
        'missing': alive * len(written) - len(delays),
        'converged': len(digests) == 1,
        'reverts': sum(report['reverts'] for report in reports),
        'store_calls': calls,
        'store_calls_per_change': round(sum(calls.values()) / len(written), 2),
        'bytes_per_node_s': round(
            sum(report['received'] for report in reports) / alive,
        ),
        'core_per_node': round(
            sum(report['core'] for report in reports) / alive,
            5,
        ),
        'seconds': seconds,
    }
