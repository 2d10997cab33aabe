"""Hold the shards that fall to this process."""

from collections.abc import Callable, Sequence

import gevent
from bendlead_ledger import Owner, ShardId, read_holder
from bendlead_store import FollowedStore, clock
from result import Err

from bendlead_gateway._fleet.peers import PeerTable
from bendlead_gateway._jobs.board import Board, open_board
from bendlead_gateway._jobs.grace_period import OwnerGracePeriod
from bendlead_gateway._jobs.shards import SHARDS, preferred_owner
from bendlead_gateway._log import Log
from bendlead_gateway.types import NodeName, PeerRecord

_CHECK_SECONDS = 0.1
#: Let peers be heard before taking anything after a start (s).
_SETTLING_SECONDS = 0.8
#: The same for shards whose last holder is known to have ended: callers of its
#: jobs wait, and only the owners that prefer it less have to be heard.
_FIRST_LOOK_SECONDS = 0.2
#: Leave a shard that was just lost to its new owner (s).
_CALM_SECONDS = 1.5
#: Pause between two tries to take a shard (s); each costs a call or two.
_TRY_SECONDS = 0.4
#: What a leaving owner waits (s) for one write of its items' progress.
_SAVE_SECONDS = 0.5


class ShardKeeper:
    """Take over the shards that prefer this process, give up the others."""

    def __init__(
        self,
        store: FollowedStore,
        record: PeerRecord,
        peers: PeerTable,
        log: Log,
        kept: float,
    ) -> None:
        self._store = store
        self._record = record
        self._peers = peers
        self._log = log
        self._kept = kept
        self._lost_at: dict[int, float] = {}
        self._tried_at: dict[int, float] = {}
        #: Who held each shard when this process started.
        self._last_holders: dict[int, str] = {}
        self._leaving = False
        self._patience = OwnerGracePeriod(store)
        self.boards: dict[int, Board] = {}

    def epochs(self) -> dict[int, int]:
        """Tell which shards are held at which epoch."""
        return {shard: one.epoch for shard, one in self.boards.items()}

    def run(self, sound: Callable[[], bool]) -> None:
        """Check who should hold each shard, for ever."""
        settled_at = clock.uptime() + _SETTLING_SECONDS
        gevent.sleep(_FIRST_LOOK_SECONDS)
        while not self._leaving:
            settled = clock.uptime() >= settled_at
            for shard in range(SHARDS):
                if not self._leaving and (settled or self._is_free(shard)):
                    self._consider(shard, sound())
            gevent.sleep(_CHECK_SECONDS)

    def leave(self, within: float) -> None:
        """Give all shards up once their commits are through."""
        self._leaving = True
        self._save(list(self.boards.values()))
        until = clock.uptime() + within
        while clock.uptime() < until:
            if not any(one.busy for one in self.boards.values()):
                break
            gevent.sleep(_CHECK_SECONDS / 4)
        for shard in list(self.boards):
            self._give_up(shard, 'leaving')

    def hand_over(self) -> None:
        """Give up the shards whose commits are through, if others are able."""
        self._leaving = True
        if not self._peers.claims.able_owners():
            return
        ready = {
            shard: board
            for shard, board in self.boards.items()
            if not board.busy
        }
        self._save(list(ready.values()))
        for shard, board in ready.items():
            # A job may have come in meanwhile.
            if not board.busy:
                self._give_up(shard, 'handed over')

    def _save(self, boards: Sequence[Board]) -> None:
        """Write how far items have come, so that the next owner goes on."""
        gevent.joinall(
            [gevent.spawn(one.save_progress, _SAVE_SECONDS) for one in boards]
        )

    def _consider(self, shard: int, sound: bool) -> None:
        held = self.boards.get(shard)
        claimed = self._peers.claims.claimed(shard)
        if held is not None:
            # A holder that can't write goes on until another one can: its
            # items keep running, and nothing it does can count by mistake.
            if claimed > held.epoch:
                self._give_up(shard, f'held by another at epoch {claimed}')
            return
        now = clock.uptime()
        calm = now - self._lost_at.get(shard, 0) > _CALM_SECONDS
        tried = now - self._tried_at.get(shard, 0) < _TRY_SECONDS
        if not sound or not calm or tried:
            return
        if not self._prefers(shard):
            return
        if not claimed or self._may_replace(shard, claimed):
            self._tried_at[shard] = now
            self._take(shard)

    def _is_free(self, shard: int) -> bool:
        """Tell whether the last holder of a shard has surely ended since.

        It is a process of this node, or of one whose new process is heard and
        holds nothing.
        """
        if not self._prefers(shard):
            return False
        if shard not in self._last_holders:
            found = read_holder(self._store, ShardId(shard))
            if isinstance(found, Err):
                return False
            self._last_holders[shard] = found.ok_value
        holder = NodeName(self._last_holders[shard])
        own = holder == self._record.node
        return own or holder in self._peers.claims.able_owners()

    def _prefers(self, shard: int) -> bool:
        """Tell whether a shard prefers this process among those heard."""
        nodes = [*self._peers.claims.able_owners(), self._record.node]
        return preferred_owner(shard, nodes) == self._record.node

    def _may_replace(self, shard: int, epoch: int) -> bool:
        """Tell whether the holder at an epoch can't write while we can."""
        if not self._peers.claims.holder_is_stuck(shard, epoch):
            return False
        self._tried_at[shard] = clock.uptime()
        return self._patience.is_over(shard)

    def _take(self, shard: int) -> None:
        began = clock.uptime()
        owner = Owner(self._record.node, self._record.address)
        opened = open_board(
            self._store,
            shard,
            owner,
            self._kept,
            lambda: self._give_up(shard, ''),
        )
        if isinstance(opened, Err):
            self._log.event(
                'takeover-failed', shard=shard, reason=opened.err_value
            )
            return
        board = opened.ok_value
        self.boards[shard] = board
        self._log.event(
            'takeover',
            shard=shard,
            epoch=board.epoch,
            jobs=len(board.jobs),
            items_begun=sum(job.items_begun for job in board.jobs.values()),
            ms=round((clock.uptime() - began) * 1000),
        )
        if self._leaving:
            # Told to leave meanwhile: nobody else would give it up.
            self._give_up(shard, 'leaving')

    def _give_up(self, shard: int, reason: str) -> None:
        board = self.boards.pop(shard, None)
        self._lost_at[shard] = clock.uptime()
        if board is not None:
            self._log.event(
                'shard-given-up',
                shard=shard,
                epoch=board.epoch,
                reason=reason or board.lost_by,
            )
            gevent.spawn(board.close)
