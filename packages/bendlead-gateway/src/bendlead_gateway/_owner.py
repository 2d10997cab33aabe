"""Owner role: stores batch jobs and runs their items."""

from collections import deque
from functools import partial

import gevent
from bendlead_schema.gateway import NodeReport
from bendlead_store import FollowedStore, clock
from bendlead_store.tasks import for_each, keep_running
from msgspec.structs import replace

from bendlead_gateway._fleet.claims import shard_claims
from bendlead_gateway._http.messages import Request, Responder
from bendlead_gateway._jobs.api import JobApi
from bendlead_gateway._jobs.owed_items import OwedItems
from bendlead_gateway._jobs.owned_shard import OwnedShard
from bendlead_gateway._jobs.retirement import Retirement
from bendlead_gateway._jobs.runner import ItemRunner
from bendlead_gateway._jobs.shard_manager import ShardManager
from bendlead_gateway._node import Node
from bendlead_gateway.dialect import Dialect
from bendlead_gateway.types import NodeSettings

#: Time for running commits, and then for open calls, to finish on shutdown.
_DRAIN_SECONDS = 1.5
_DRAIN_POLL_SECONDS = 0.05
_EXPIRY_INTERVAL_SECONDS = 30.0
#: Share of the memory for the texts of items without a result, which are
#: copied when they are saved and when they are recorded.
_TEXTS_MEMORY_SHARE = 0.125
#: Longest time without a call to the object service while shards are owned,
#: so that its outages are noticed.
_PROBE_AFTER_SECONDS = 1.0
#: Greatest age of the last proof of ownership of a shard. Another process may
#: have taken it over and ended before its report arrived here; then accepted
#: jobs wait for a commit that never comes.
_MAX_PROOF_AGE_SECONDS = 4.0


class OwnerNode(Node):
    """Owns shards of batch jobs and serves calls about them."""

    def __init__(
        self, settings: NodeSettings, store: FollowedStore, dialect: Dialect
    ) -> None:
        super().__init__(settings, store, dialect)
        self._open_calls = 0
        self._confirm_rounds = 0
        self._shard_manager = ShardManager(
            self.store,
            self.record,
            self.peers,
            self.log,
            settings.status_retention,
        )
        self._runner = ItemRunner(
            settings.node,
            self._shard_manager,
            dialect,
            self.fleet,
            self.log,
            self.metrics,
        )
        self._shard_manager.texts.max_bytes = int(
            settings.memory * _TEXTS_MEMORY_SHARE
        )
        self._owed_items = OwedItems(
            self._shard_manager,
            lambda: self._runner.latest_round_at,
            self.log,
            self.metrics,
        )
        retirement = Retirement(
            settings.node,
            self.store,
            dialect,
            self._shard_manager,
            self.log,
            self.retire,
            self.finish_calls,
        )
        self._stop_orders_watch = self.fleet.watcher(
            dialect.stops_prefix, retirement
        )
        self._api = JobApi(
            self._shard_manager,
            self._runner,
            self.fleet.configuration,
            dialect,
            self.log,
            settings.settle,
        )

    def start(self) -> None:
        """Start to take over shards and run items."""
        tasks = {
            'orders-watch': self._stop_orders_watch.run,
            'shards': partial(self._shard_manager.run, self._can_write),
            'rounds': self._runner.run,
            'expiry': self._remove_expired,
            'owed-items': self._owed_items.run,
            'confirm-shards': self._confirm_shards,
        }
        for task, function in tasks.items():
            keep_running(task, self.log.task_failed, function)

    def retire(self) -> None:
        """Stop taking over shards, and tell peers that this node drains."""
        self.draining = True

    def report(self) -> NodeReport:
        """Return the report to peers, with the shards owned here."""
        return replace(
            super().report(),
            sound=self._can_write(),
            shards=shard_claims(self._shard_manager.epochs()),
        )

    def state(self) -> dict[str, object]:
        """Return the state dump, with the items of jobs."""
        return {
            **super().state(),
            'items': self._runner.summary(),
            'owed': self._owed_items.summary(),
        }

    def answer_peer_call(self, request: Request, responder: Responder) -> None:
        """Answer a job call that an entry has forwarded."""
        self._open_calls += 1
        try:
            self._api.answer(request, responder)
        finally:
            self._open_calls -= 1

    def shut_down(self) -> None:
        """Hand over the shards, wait for open calls and set ``done``."""
        self._shard_manager.leave(_DRAIN_SECONDS)
        self.finish_calls()
        self.done.set()

    def finish_calls(self) -> None:
        """Wait for open job calls, up to the drain timeout."""
        deadline = clock.uptime() + _DRAIN_SECONDS
        while self._open_calls and clock.uptime() < deadline:
            gevent.sleep(_DRAIN_POLL_SECONDS)

    def _can_write(self) -> bool:
        """Return whether this process can write to the object service.

        An open watch alone does not prove it: it may stay open while new calls
        are rejected.
        """
        stuck = any(owned.stuck for owned in self._shard_manager.owned.values())
        reachable = self.peers_watch.current or self.store.uses_peers
        return reachable and not stuck

    def _confirm_shards(self) -> None:
        """Confirm the ownership of each shard at intervals.

        It also shows whether the object service answers: open watches do not.
        """
        while True:
            gevent.sleep(_PROBE_AFTER_SECONDS / 2)
            self._confirm_rounds += 1
            shards = deque(self._shard_manager.owned.values())
            # One that is never answered must not hide the others.
            shards.rotate(self._confirm_rounds)
            for owned in shards:
                if owned.confirm_ownership(self._max_proof_age).is_err():
                    # A call that failed tells of the others as well.
                    break

    @property
    def _max_proof_age(self) -> float:
        """Return the greatest age (s) of a proof of ownership."""
        idle = clock.uptime() - self.store.last_success_at
        if idle > _PROBE_AFTER_SECONDS:
            return _PROBE_AFTER_SECONDS
        return _MAX_PROOF_AGE_SECONDS

    def _remove_expired(self) -> None:
        while True:
            gevent.sleep(_EXPIRY_INTERVAL_SECONDS)
            for_each(
                self._remove_expired_jobs,
                list(self._shard_manager.owned.values()),
            )

    def _remove_expired_jobs(self, owned: OwnedShard) -> None:
        owned.remove_expired_jobs()
        if owned.snapshot_failure:
            self.log.event(
                'snapshot-failed',
                epoch=owned.epoch,
                reason=owned.snapshot_failure,
            )
