"""Ownership of job shards by this process."""

from collections.abc import Callable, Iterator, Sequence

import gevent
from bendlead_ledger import Owner, ShardId, read_owner
from bendlead_store import Failure, FailureKind, FollowedStore, clock
from bendlead_store.tasks import Backoff, TaskFailure
from result import Err, Result

from bendlead_gateway._fleet.peers import PeerTable
from bendlead_gateway._http.answer_budget import TextBudget
from bendlead_gateway._jobs.grace_period import OwnerGracePeriod
from bendlead_gateway._jobs.owned_shard import OwnedShard, take_over_shard
from bendlead_gateway._jobs.shards import (
    SHARDS,
    preferred_owner,
    takeover_order,
)
from bendlead_gateway._log import Log
from bendlead_gateway.types import NodeName, PeerRecord

_CHECK_SECONDS = 0.1
#: Time after a start, and after a pause of this process, for reports of peers
#: to arrive before any takeover.
_SETTLING_SECONDS = 0.8
#: The same for shards whose last owner is known to have ended, so that their
#: clients do not wait longer than needed.
_FAST_SETTLING_SECONDS = 0.2
#: A round that is late by this means that this process paused: it has read no
#: report meanwhile, so each peer may seem to have stopped.
_LATE_SECONDS = 0.4
#: Time after losing a shard before this process may take it over again.
_LOST_COOLDOWN_SECONDS = 1.5
#: Interval between takeover attempts, each of which takes a billed call or two.
_ATTEMPT_INTERVAL_SECONDS = 0.4
#: Time for which an owner waits for each one before it in the takeover order:
#: that one may be alive and unable to read the log.
_TURN_SECONDS = 4.0
#: Timeout of one takeover; the jobs of a shard may take many reads.
_TAKEOVER_SECONDS = 30.0
#: Timeout of the write that saves progress before shards are given up.
_SAVE_TIMEOUT_SECONDS = 0.5


class ShardManager:
    """Take over the shards whose preferred owner is this process.

    A shard is given up when another process owns it or this one leaves.
    """

    def __init__(
        self,
        store: FollowedStore,
        record: PeerRecord,
        peers: PeerTable,
        log: Log,
        retention: float,
    ) -> None:
        self._store = store
        self._record = record
        self._peers = peers
        self._log = log
        self._retention = retention
        self._lost_at: dict[int, float] = {}
        self._attempted_at: dict[int, float] = {}
        #: Since when no live owner that can write has a shard (uptime, s).
        self._free_since: dict[int, float] = {}
        #: Pauses of shards whose check has raised an error.
        self._backoffs = [Backoff() for _shard in range(SHARDS)]
        #: Owner of each shard, as recorded when this process started.
        self._initial_owners: dict[int, str] = {}
        self._leaving = False
        self._settled_at = 0.0
        self._paused_until = 0.0
        self._grace_period = OwnerGracePeriod(store)
        self.owned: dict[int, OwnedShard] = {}
        self.texts = TextBudget(self._text_sizes)

    def epochs(self) -> dict[int, int]:
        """Return the epoch of each owned shard."""
        return {shard: owned.epoch for shard, owned in self.owned.items()}

    def run(self, can_write: Callable[[], bool]) -> None:
        """Check the owner of each shard until this process leaves.

        Take shards over only while ``can_write`` returns true.
        """
        if not self._settled_at:
            self._settled_at = clock.uptime() + _SETTLING_SECONDS
        self._sleep(_FAST_SETTLING_SECONDS)
        while not self._leaving:
            for shard in range(SHARDS):
                if not self._leaving and self._backoffs[shard].over:
                    self._check_one(shard, can_write)
            self._sleep(_CHECK_SECONDS)

    def leave(self, timeout: float) -> None:
        """Give up all shards once their commits are done or time is up."""
        self._leaving = True
        self._save(list(self.owned.values()))
        deadline = clock.uptime() + timeout
        while clock.uptime() < deadline:
            if not any(owned.busy for owned in self.owned.values()):
                break
            gevent.sleep(_CHECK_SECONDS / 4)
        for shard in list(self.owned):
            self._give_up(shard, 'leaving')

    def hand_over(self) -> None:
        """Give up shards without pending commits, if any peer can own them."""
        self._leaving = True
        if not self._peers.claims.available_owners():
            return
        ready = {
            shard: owned
            for shard, owned in self.owned.items()
            if not owned.busy
        }
        self._save(list(ready.values()))
        for shard, owned in ready.items():
            # A job may have been submitted meanwhile.
            if not owned.busy:
                self._give_up(shard, 'handed over')

    def _text_sizes(self) -> Iterator[int]:
        """Yield the size of the text of each item that has one."""
        for owned in self.owned.values():
            for job in owned.jobs.values():
                sizes = (progress.text_bytes for progress in job.unfinished)
                yield from filter(None, sizes)

    def _save(self, owned_shards: Sequence[OwnedShard]) -> None:
        """Save the progress of items for the next owner to resume from."""
        gevent.joinall(
            [
                gevent.spawn(owned.save_progress, _SAVE_TIMEOUT_SECONDS)
                for owned in owned_shards
            ]
        )

    def _sleep(self, seconds: float) -> None:
        """Wait for the next round; hold takeovers back if it is late."""
        due_at = clock.uptime() + seconds
        gevent.sleep(seconds)
        now = clock.uptime()
        if now < self._paused_until + _SETTLING_SECONDS:
            # A process that is always late must take shards over, too.
            return
        if now - due_at > _LATE_SECONDS:
            self._paused_until = now + _SETTLING_SECONDS
            self._log.event('takeovers-paused', late=round(now - due_at, 3))

    def _check_one(self, shard: int, can_write: Callable[[], bool]) -> None:
        """Check one shard; an error holds up no other shard."""
        try:
            if self._needs_check(shard):
                self._check(shard, can_write())
        except Exception as error:
            backoff = self._backoffs[shard]
            pause = backoff.fail()
            self._log.task_failed(
                TaskFailure('shard-check', error, backoff.failures, pause)
            )

    def _needs_check(self, shard: int) -> bool:
        now = clock.uptime()
        if now < self._paused_until:
            return shard in self.owned
        return now >= self._settled_at or self._is_free(shard)

    def _check(self, shard: int, can_write: bool) -> None:
        owned = self.owned.get(shard)
        claimed = self._peers.claims.highest_epoch(shard)
        if self._has_writer(shard, owned, claimed):
            self._free_since.pop(shard, None)
        if owned is not None:
            # An owner that cannot write keeps its shard until another takes
            # over: its items go on, and the epoch fences late writes.
            if claimed > owned.epoch:
                self._give_up(
                    shard, f'owned by another process at epoch {claimed}'
                )
            elif not owned.is_owned:
                # An error kept its loss from being told.
                self._give_up(shard, '')
            return
        now = clock.uptime()
        cooled_down = now - self._lost_at.get(shard, 0) > _LOST_COOLDOWN_SECONDS
        attempted_recently = (
            now - self._attempted_at.get(shard, 0) < _ATTEMPT_INTERVAL_SECONDS
        )
        if not can_write or not cooled_down or attempted_recently:
            return
        if not self._is_turn(shard):
            return
        if not claimed or self._may_replace(shard, claimed):
            self._attempted_at[shard] = now
            self._take_over(shard)

    def _is_free(self, shard: int) -> bool:
        """Return whether the last owner of a shard is known to have ended.

        It has if it was an earlier process of this node, or of a node whose
        current process reports that it is able to own shards.
        """
        if not self._is_preferred(shard):
            return False
        if shard not in self._initial_owners:
            owner = read_owner(self._store, ShardId(shard))
            if isinstance(owner, Err):
                return False
            self._initial_owners[shard] = owner.ok_value
        node = NodeName(self._initial_owners[shard])
        own = node == self._record.node
        return own or node in self._peers.claims.available_owners()

    def _is_preferred(self, shard: int) -> bool:
        """Return whether this process is the preferred owner of a shard."""
        nodes = [*self._peers.claims.available_owners(), self._record.node]
        return preferred_owner(shard, nodes) == self._record.node

    def _has_writer(
        self, shard: int, owned: OwnedShard | None, claimed: int
    ) -> bool:
        """Return whether this process or a live one that can write owns it."""
        if owned is not None:
            return True
        claims = self._peers.claims
        return bool(claimed) and not claims.owner_cannot_write(shard, claimed)

    def _is_turn(self, shard: int) -> bool:
        """Return whether a free shard waits for no owner before this one."""
        nodes = [*self._peers.claims.available_owners(), self._record.node]
        order = takeover_order(shard, nodes)
        now = clock.uptime()
        free_seconds = now - self._free_since.setdefault(shard, now)
        turn = order.index(self._record.node)
        return free_seconds >= turn * _TURN_SECONDS

    def _may_replace(self, shard: int, epoch: int) -> bool:
        """Return whether the owner cannot write while this process can."""
        if not self._peers.claims.owner_cannot_write(shard, epoch):
            return False
        self._attempted_at[shard] = clock.uptime()
        return self._grace_period.is_over(shard)

    def _take_over(self, shard: int) -> None:
        started_at = clock.uptime()
        owner = Owner(self._record.node, self._record.address)
        taken: Result[OwnedShard, Failure] = Err(
            Failure(FailureKind.UNKNOWN, 'take over', 'object service')
        )
        with gevent.Timeout(_TAKEOVER_SECONDS, exception=False):
            taken = take_over_shard(
                self._store,
                shard,
                owner,
                self._retention,
                lambda: self._give_up(shard, ''),
                self._log.task_failed,
            )
        if isinstance(taken, Err):
            self._log.event(
                'takeover-failed', shard=shard, reason=taken.err_value
            )
            return
        owned = taken.ok_value
        self.owned[shard] = owned
        self._log.event(
            'takeover',
            shard=shard,
            epoch=owned.epoch,
            jobs=len(owned.jobs),
            items_begun=sum(job.started_items for job in owned.jobs.values()),
            ms=round((clock.uptime() - started_at) * 1000),
        )
        if self._leaving:
            # leave() was called meanwhile and did not see this shard.
            self._give_up(shard, 'leaving')

    def _give_up(self, shard: int, reason: str) -> None:
        owned = self.owned.pop(shard, None)
        self._lost_at[shard] = clock.uptime()
        if owned is not None:
            self._log.event(
                'shard-given-up',
                shard=shard,
                epoch=owned.epoch,
                reason=reason or owned.loss_reason,
            )
            gevent.spawn(owned.close)
