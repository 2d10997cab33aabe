"""The real relay over loopback: many logical nodes in a few processes."""

import json
import multiprocessing
import os
import random
import resource
import sys
import time
from multiprocessing.connection import Connection
from typing import Any

import gevent
from bendlead_node._common.config import ConfigTable, config_key
from bendlead_node._common.telemetry import Journal
from bendlead_node._common.upstream import PeerClient
from bendlead_node._common.web import (
    Answer,
    Call,
    Route,
    WebApp,
    WebServer,
    json_answer,
)
from bendlead_node._entry.relay import Relay
from bendlead_schema.messages import (
    EntryHeartbeat,
    PushChanges,
    SyncRequest,
    VersionedKey,
)
from bendlead_store import ABSENT, HttpStore, Version

from bendlead_testing.cluster import Daemon, free_port, http, wait_for

NODES = 200
_PROCESSES = 4
_KEYS = 50
_FORGET_SECONDS = 1.0
_DRAIN_SECONDS = 4.0


class LogicalNode:
    """Run the real relay and its real messages for one node."""

    def __init__(self, name: str, address: str, others: 'Directory') -> None:
        self.name = name
        self.config = ConfigTable()
        self.seen: dict[str, float] = {}
        self.reverts = 0
        self.alive = True
        self.received = 0
        peers = PeerClient('logical-node-key', 5)
        self.relay = Relay(
            name,
            self.config,
            lambda: others.alive(name),
            peers,
            Journal(name),
        )
        host, port = address.rsplit(':', 1)
        routes = [
            Route('POST', '/peer/v1/push', self._push),
            Route('POST', '/peer/v1/sync', self._sync),
        ]
        self.server = WebServer(host, int(port), WebApp(routes))

    def note(self) -> None:
        """Note the moment each version came in force."""
        now = time.time()
        for key, version in self.config.versions.items():
            self.seen.setdefault(f'{key}@{version}', now)

    def _push(self, call: Call) -> Answer:
        body = call.body(10_000_000)
        self.received += len(body)
        before = self.config.versions
        answer = self.relay.take_push(_decode(body, PushChanges))
        self._check(before)
        return json_answer(answer)

    def _sync(self, call: Call) -> Answer:
        body = call.body(10_000_000)
        self.received += len(body)
        return json_answer(self.relay.answer_sync(_decode(body, SyncRequest)))

    def _check(self, before: dict[str, int]) -> None:
        now = self.config.versions
        self.reverts += sum(now[key] < old for key, old in before.items())
        self.note()


class Directory:
    """Stand in for the membership: names, addresses and shown digests."""

    def __init__(self, addresses: dict[str, str]) -> None:
        self._peers = {
            name: EntryHeartbeat(
                node=name,
                address=address,
                data_hall='hall',
                shards=[],
            )
            for name, address in addresses.items()
        }
        self.gone: set[str] = set()

    def alive(self, but: str) -> list[EntryHeartbeat]:
        """List the other nodes."""
        return [
            peer
            for name, peer in self._peers.items()
            if name != but and name not in self.gone
        ]


def measure(seconds: float) -> dict[str, Any]:
    """Change configuration once a second and time it on every node."""
    return relay_figures(NODES, min(seconds, 20))


def relay_figures(nodes: int, seconds: float) -> dict[str, Any]:
    """Run a number of logical nodes and sum up their figures."""
    port = free_port()
    platform = Daemon(
        'platform',
        port,
        [sys.executable, '-m', 'bendlead_testing.platform', str(port)],
        _log_path(),
    )
    try:
        wait_for(lambda: http('GET', f'{platform.url}/stats')[0] == 200)
        return _relayed(platform, nodes, seconds)
    finally:
        platform.kill()


def _relayed(platform: Daemon, nodes: int, seconds: float) -> dict[str, Any]:
    names = [f'node-{at}' for at in range(nodes)]
    # Below the range that outgoing connections take their ports from.
    first = random.randrange(12_000, 30_000)
    addresses = {
        name: f'127.0.0.1:{first + at}' for at, name in enumerate(names)
    }
    context = multiprocessing.get_context('spawn')
    pipes, workers = [], []
    for at in range(_PROCESSES):
        near, far = context.Pipe()
        arguments = (far, addresses, names[at::_PROCESSES], platform.address)
        worker = context.Process(target=_serve, args=arguments, daemon=True)
        worker.start()
        pipes.append(near)
        workers.append(worker)
    for pipe in pipes:
        pipe.recv()
    before = json.loads(http('GET', f'{platform.url}/stats')[2])
    written = _change(platform, seconds, pipes)
    gevent.sleep(_DRAIN_SECONDS)
    after = json.loads(http('GET', f'{platform.url}/stats')[2])
    for pipe in pipes:
        pipe.send('report')
    reports = [pipe.recv() for pipe in pipes]
    for worker in workers:
        worker.join()
    calls = {name: after[name] - before.get(name, 0) for name in after}
    return _summed(reports, written, calls, nodes, seconds)


def _change(
    platform: Daemon,
    seconds: float,
    pipes: list[Connection],
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
            pipes[0].send('lose')
        gevent.sleep(1)
    return written


def _serve(
    pipe: Connection,
    addresses: dict[str, str],
    names: list[str],
    platform: str,
) -> None:
    directory = Directory(addresses)
    nodes = [LogicalNode(name, addresses[name], directory) for name in names]
    for node in nodes:
        node.server.start()
        gevent.spawn(node.relay.watch, HttpStore(platform, 2))
        gevent.spawn(node.relay.mend, 1.0)
    started = time.monotonic()
    used = _processor_seconds()
    pipe.send('ready')
    while not pipe.poll():
        _note_all(nodes)
        gevent.sleep(0.02)
    order = pipe.recv()
    lost = order == 'lose'
    if lost:
        victim = nodes.pop(random.randrange(len(nodes)))
        victim.server.stop()
        while not pipe.poll():
            _note_all(nodes)
            gevent.sleep(0.02)
        pipe.recv()
    took = time.monotonic() - started
    pipe.send(
        {
            'nodes': len(nodes),
            'seen': [node.seen for node in nodes],
            'reverts': sum(node.reverts for node in nodes),
            'digests': [node.config.digest for node in nodes],
            'received': sum(node.received for node in nodes) / took,
            'core': (_processor_seconds() - used) / took,
            'pid': os.getpid(),
        }
    )


def _note_all(nodes: list[LogicalNode]) -> None:
    for node in nodes:
        node.note()


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


def _decode(body: bytes, kind: Any) -> Any:
    import msgspec

    return msgspec.json.decode(body, type=kind)


def _processor_seconds() -> float:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


def _log_path() -> Any:
    import pathlib
    import tempfile

    return pathlib.Path(tempfile.mkdtemp(prefix='bendlead-')) / 'platform.log'


def node_change(number: int) -> VersionedKey:
    """Give a change for a table that is measured by itself."""
    return VersionedKey(
        key=config_key('limit', f'key-{number}'),
        version=number + 1,
        body='{}',
    )
