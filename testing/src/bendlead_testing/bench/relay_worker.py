"""Run some logical nodes of the real relay; orders come by standard input."""

import bendlead_testing.patched  # noqa: F401, I001

import json
import random
import resource
import sys
import time
from typing import Any

import gevent
import msgspec
from bendlead_node._common.config import ConfigTable
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
from bendlead_schema.messages import EntryHeartbeat, PushChanges, SyncRequest
from bendlead_store import HttpStore
from gevent.fileobject import FileObjectPosix

_BODY_BYTES = 10_000_000
_NOTE_SECONDS = 0.02


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
        body = call.body(_BODY_BYTES)
        self.received += len(body)
        before = self.config.versions
        answer = self.relay.take_push(_decoded(body, PushChanges))
        self._check(before)
        return json_answer(answer)

    def _sync(self, call: Call) -> Answer:
        body = call.body(_BODY_BYTES)
        self.received += len(body)
        return json_answer(self.relay.answer_sync(_decoded(body, SyncRequest)))

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


def main() -> None:
    """Serve the nodes a task file names, until told to report."""
    with open(sys.argv[1], encoding='utf-8') as task_file:
        task = json.load(task_file)
    directory = Directory(task['addresses'])
    nodes = [
        LogicalNode(name, task['addresses'][name], directory)
        for name in task['names']
    ]
    for node in nodes:
        node.server.start()
        gevent.spawn(node.relay.watch, HttpStore(task['platform'], 2))
        gevent.spawn(node.relay.mend, 1.0)
    gevent.spawn(_note_for_ever, nodes)
    started = time.monotonic()
    used = _processor_seconds()
    _say({'ready': True})
    orders = FileObjectPosix(sys.stdin.fileno(), 'r', close=False)
    for order in iter(orders.readline, ''):
        if order.strip() == 'lose':
            nodes.pop(random.randrange(len(nodes))).server.stop()
        else:
            break
    took = time.monotonic() - started
    _say(
        {
            'nodes': len(nodes),
            'seen': [node.seen for node in nodes],
            'reverts': sum(node.reverts for node in nodes),
            'digests': [node.config.digest for node in nodes],
            'received': sum(node.received for node in nodes) / took,
            'core': (_processor_seconds() - used) / took,
        }
    )


def _note_for_ever(nodes: list[LogicalNode]) -> None:
    while True:
        for node in nodes:
            node.note()
        gevent.sleep(_NOTE_SECONDS)


def _say(message: dict[str, Any]) -> None:
    sys.stdout.write(f'{json.dumps(message)}\n')
    sys.stdout.flush()


def _decoded(body: bytes, kind: Any) -> Any:
    return msgspec.json.decode(body, type=kind)


def _processor_seconds() -> float:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


if __name__ == '__main__':
    main()
