"""Carry configuration from the store to every process, peer to peer.

A few entries watch the store. What they learn goes down a tree of peers, and
whatever the tree misses is mended by comparing digests with a random peer.
"""

import random
import time
from collections.abc import Callable, Sequence
from typing import Protocol

import gevent
import xxhash
from bendlead_schema.messages import (
    Acknowledged,
    PushChanges,
    SyncReply,
    SyncRequest,
    VersionedKey,
)
from bendlead_store import Change, ObjectStore, Version
from result import Err, Ok

from bendlead_node._common.config import CONFIG_PREFIX, ConfigTable
from bendlead_node._common.telemetry import Journal
from bendlead_node._common.upstream import PeerClient

FANOUT = 8
_WATCH_SECONDS = 20.0
_WATCHERS = 2
_RETRY_SECONDS = 0.5


class PeerInfo(Protocol):
    """Name a peer as the relay needs it."""

    @property
    def node(self) -> str:
        """Tell the name of the peer."""

    @property
    def address(self) -> str:
        """Tell where the peer listens."""

    @property
    def digest(self) -> str:
        """Tell the digest of the configuration the peer last showed."""


class Relay:
    """Keep one process up to date and pass on what it learns."""

    def __init__(
        self,
        node: str,
        config: ConfigTable,
        alive: Callable[[], Sequence[PeerInfo]],
        peers: PeerClient,
        journal: Journal,
    ) -> None:
        self._node = node
        self._config = config
        self._alive = alive
        self._peers = peers
        self._journal = journal
        self._in_sync = False

    @property
    def ready(self) -> bool:
        """Tell whether the store or a peer has been heard since the start."""
        return self._in_sync

    @property
    def rank(self) -> int:
        """Tell the place of this process in the order of those alive."""
        _by_name, ranked = self._ranked()
        return ranked.index(self._node)

    def watch(self, store: ObjectStore) -> None:
        """Follow the store for ever, while this process is a watcher."""
        seen = Version(0)
        while True:
            if self._in_sync and not self._is_watcher():
                gevent.sleep(_RETRY_SECONDS)
                continue
            wait = _WATCH_SECONDS if self._in_sync else 0
            found = store.watch(CONFIG_PREFIX, seen, wait)
            if isinstance(found, Ok):
                seen = self._learn(found.ok_value, seen)
                self._in_sync = True
            else:
                gevent.sleep(found.err_value.retry_after or _RETRY_SECONDS)

    def mend(self, interval: float) -> None:
        """Compare with a random peer, again and again."""
        while True:
            gevent.sleep(interval * (0.5 + random.random()))
            others = self._alive()
            if others:
                self._compare(random.choice(others))

    def take_push(self, push: PushChanges) -> Acknowledged:
        """Take changes from a peer and pass on those that were new."""
        self._apply(push.changes, push.hops + 1)
        return Acknowledged()

    def answer_sync(self, request: SyncRequest) -> SyncReply:
        """Give a peer what it holds at lower versions."""
        return SyncReply(changes=self._config.above(request.versions))

    def learn(self, changes: Sequence[VersionedKey]) -> None:
        """Take changes this process made, and send them to the top."""
        self._apply(changes, 0)
        push = PushChanges(changes=list(changes), hops=1)
        by_name, ranked = self._ranked()
        if ranked[0] != self._node:
            gevent.spawn(self._push, by_name[ranked[0]], push)

    def _is_watcher(self) -> bool:
        _by_name, ranked = self._ranked()
        return self._node in ranked[:_WATCHERS]

    def _ranked(self) -> tuple[dict[str, PeerInfo], list[str]]:
        """Put all nodes in the one order that makes the tree.

        The tree is the same wherever a change enters: with a tree for each
        watcher, a node could wait for two parents that had each got the
        change by the other tree and passed it on there only.
        """
        by_name = {peer.node: peer for peer in self._alive()}
        return by_name, sorted({*by_name, self._node}, key=_rank)

    def _learn(self, changes: Sequence[Change], seen: Version) -> Version:
        for change in changes:
            seen = max(seen, change.version)
        self._apply([_versioned(change) for change in changes], 0)
        return seen

    def _compare(self, peer: PeerInfo) -> None:
        if peer.digest == self._config.digest:
            self._in_sync = True
            return
        request = SyncRequest(versions=self._config.versions)
        reply = self._peers.ask(
            peer.address,
            '/peer/v1/sync',
            request,
            SyncReply,
        )
        if isinstance(reply, Ok):
            self._in_sync = True
            self._apply(reply.ok_value.changes, 0)

    def _apply(
        self,
        changes: Sequence[VersionedKey],
        hops: int,
    ) -> None:
        fresh = self._config.merge(changes)
        if not fresh:
            return
        self._journal.decide(
            'config-in-force',
            revision=self._config.revision,
            keys=len(fresh),
            hops=hops,
            at=f'{time.time():.3f}',
        )
        push = PushChanges(changes=fresh, hops=hops)
        self._push_below(self._node, push)

    def _push_below(self, node: str, push: PushChanges) -> None:
        for child in self._children(node):
            gevent.spawn(self._push, child, push)

    def _children(self, node: str) -> list[PeerInfo]:
        by_name, ranked = self._ranked()
        if node not in ranked:
            return []
        first = ranked.index(node) * FANOUT + 1
        names = ranked[first : first + FANOUT]
        return [by_name[name] for name in names if name in by_name]

    def _push(self, peer: PeerInfo, push: PushChanges) -> None:
        path = '/peer/v1/push'
        pushed = self._peers.ask(peer.address, path, push, Acknowledged)
        if isinstance(pushed, Err):
            # Whoever cannot reach a peer serves those below it as well.
            self._push_below(peer.node, push)


def _rank(node: str) -> int:
    return xxhash.xxh3_64_intdigest(node.encode())


def _versioned(change: Change) -> VersionedKey:
    return VersionedKey(
        key=change.key,
        version=change.version,
        deleted=change.deleted,
        body=change.body.decode(),
    )
