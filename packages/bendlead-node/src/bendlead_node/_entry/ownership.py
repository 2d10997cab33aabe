"""Decide which shards this entry owns, and reach the owners of the others."""

from functools import lru_cache

import gevent
import xxhash
from bendlead_ledger import (
    NOT_OWNER,
    ChunkReader,
    GrantOrder,
    Owner,
    Shard,
    ShardId,
    open_shard,
)
from bendlead_schema.messages import (
    Command,
    Refusal,
    Reply,
    ShardOwnership,
)
from bendlead_schema.settings import LedgerSettings
from bendlead_store import Failure, FailureKind, ObjectStore, clock
from bendlead_store.tasks import for_each
from result import Err, Ok, Result

from bendlead_node._common.telemetry import Journal
from bendlead_node._common.upstream import PeerClient
from bendlead_node._entry.members import Members

#: Wait this long before taking a shard back from an owner that is alive.
_CALM_SECONDS = 3.0
_RETRY_SECONDS = 0.1
_CHECK_SECONDS = 0.25
#: Age of the proof of ownership from which on a shard is confirmed: an entry
#: that replaced this one may have ended unseen. One read at a time is paid for.
_PROOF_SECONDS = 4.0
_CONFIRM_INTERVAL_SECONDS = 1.0
#: One choice a shard is kept while the set of entries stays the same.
_OWNERS_KEPT = 8192


@lru_cache(maxsize=_OWNERS_KEPT)
def preferred_owner(shard: int, nodes: tuple[str, ...]) -> str:
    """Pick an owner by rendezvous hashing: few shards move on a change."""
    return max(nodes, key=lambda node: _weight(shard, node))


class ShardTable:
    """Own the shards that fall to this entry and forward the rest."""

    def __init__(
        self,
        store: ObjectStore,
        owner: Owner,
        settings: LedgerSettings,
        members: Members,
        peers: PeerClient,
        journal: Journal,
        order: GrantOrder,
        writes_per_second: float,
    ) -> None:
        self._store = store
        self._writes_per_second = writes_per_second
        self._owner = owner
        self._settings = settings
        self._members = members
        self._peers = peers
        self._journal = journal
        self._order = order
        self._reader = ChunkReader(store)
        self._owned: dict[ShardId, Shard] = {}
        self._lost_at: dict[ShardId, float] = {}
        self._leaving = False
        self._confirmed_at = 0.0

    @property
    def count(self) -> int:
        """Tell the number of shards of the deployment."""
        return self._settings.shards

    @property
    def reader(self) -> ChunkReader:
        """Share the cache of input chunks."""
        return self._reader

    def owned(self) -> list[ShardOwnership]:
        """List the shards this entry owns, with their epochs."""
        return [
            ShardOwnership(shard=shard, epoch=owner.epoch)
            for shard, owner in self._owned.items()
        ]

    def local(self) -> list[Shard]:
        """List the shards this entry owns."""
        return list(self._owned.values())

    def run(self) -> None:
        """Take over the shards that fall to this entry, for ever."""
        while True:
            self._drop_fenced()
            self._confirm_oldest()
            for_each(self._consider, map(ShardId, range(self.count)))
            gevent.sleep(_CHECK_SECONDS)

    def leave(self) -> None:
        """Let the other entries have the shards; stop taking any."""
        self._leaving = True

    def answer(self, shard: ShardId, command: Command) -> Reply:
        """Answer for an owned shard, or say that it is not owned here."""
        owner = self._owned.get(shard)
        if owner is None:
            return Refusal(code=NOT_OWNER, message=f'shard {shard}')
        return owner.answer(command)

    def call(
        self,
        shard: ShardId,
        command: Command,
        timeout: float = 10,
    ) -> Result[Reply, Failure]:
        """Have the owner of a shard answer, following it as it moves."""
        until = clock.uptime() + timeout
        failure = self._failure(FailureKind.NOT_DONE, shard, 'no owner')
        uncertain = False
        while clock.uptime() < until:
            reply = self._call_once(shard, command)
            if isinstance(reply, Ok):
                return reply
            failure = reply.err_value
            uncertain = uncertain or not failure.had_no_effect
            gevent.sleep(_RETRY_SECONDS)
        if uncertain:
            return Err(
                self._failure(FailureKind.UNKNOWN, shard, str(failure)),
            )
        return Err(failure)

    def _call_once(
        self,
        shard: ShardId,
        command: Command,
    ) -> Result[Reply, Failure]:
        reply = self.answer(shard, command)
        if not _is_moving(reply):
            return Ok(reply)
        owner = self._members.owner_of(shard)
        if owner is None:
            detail = 'no entry claims the shard'
            return Err(self._failure(FailureKind.NOT_DONE, shard, detail))
        path = f'/peer/v1/shards/{shard}'
        asked = self._peers.ask(owner.address, path, command, Reply)
        if isinstance(asked, Ok) and _is_moving(asked.ok_value):
            detail = f'{owner.node} no longer owns it'
            return Err(self._failure(FailureKind.NOT_DONE, shard, detail))
        return asked

    def _drop_fenced(self) -> None:
        """Give up shards that another entry owns at a higher epoch.

        An owner that commits nothing meets no fence, and would answer reads
        from a state that has stopped.
        """
        for shard, owned in list(self._owned.items()):
            if self._members.epoch_of(shard) > owned.epoch:
                self._lose(shard)

    def _confirm_oldest(self) -> None:
        """Confirm the shard whose proof of ownership is the oldest."""
        now = clock.uptime()
        if now - self._confirmed_at < _CONFIRM_INTERVAL_SECONDS:
            return
        self._confirmed_at = now
        oldest = min(
            self._owned.values(),
            key=lambda owned: owned.confirmed_at,
            default=None,
        )
        if oldest and now - oldest.confirmed_at > _PROOF_SECONDS:
            oldest.confirm()

    def _consider(self, shard: ShardId) -> None:
        nodes = [
            entry.node for entry in self._members.entries() if not entry.leaving
        ]
        if not self._leaving:
            nodes.append(self._owner.node)
        if shard in self._owned or not nodes:
            return
        if preferred_owner(shard, tuple(sorted(nodes))) != self._owner.node:
            return
        if clock.uptime() - self._lost_at.get(shard, 0) < _CALM_SECONDS:
            return
        self._take(shard)

    def _take(self, shard: ShardId) -> None:
        started = clock.uptime()
        opened = open_shard(
            self._store,
            shard,
            self._owner,
            self._settings,
            self._reader,
            self._order,
            self._lose,
            self._commit_interval,
            self._journal.task_failed,
        )
        if isinstance(opened, Err):
            self._journal.decide(
                'takeover-failed',
                shard=shard,
                reason=opened.err_value,
            )
            return
        self._owned[shard] = opened.ok_value
        self._journal.decide(
            'takeover',
            shard=shard,
            epoch=opened.ok_value.epoch,
            milliseconds=round((clock.uptime() - started) * 1000),
        )

    def _commit_interval(self) -> float:
        """Spread the write budget of this process over its shards."""
        return len(self._owned) / self._writes_per_second

    def _lose(self, shard: ShardId) -> None:
        lost = self._owned.pop(shard, None)
        self._lost_at[shard] = clock.uptime()
        self._journal.decide('shard-lost', shard=shard, reason='fenced')
        if lost is not None:
            gevent.spawn(lost.close)

    def _failure(
        self,
        kind: FailureKind,
        shard: ShardId,
        detail: str,
    ) -> Failure:
        return Failure(kind, f'shard {shard}', self._owner.node, detail, 1)


def _is_moving(reply: Reply) -> bool:
    # Commands may be sent again, for each is recorded once at most; an
    # unknown outcome is settled by asking the next owner.
    return isinstance(reply, Refusal) and reply.code in {NOT_OWNER, 'unknown'}


def _weight(shard: int, node: str) -> int:
    return xxhash.xxh3_64_intdigest(f'{shard}/{node}'.encode())
