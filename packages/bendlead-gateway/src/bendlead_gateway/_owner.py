"""The owner: hold batch jobs and run their items."""

import gevent
from bendlead_ledger import ShardId, head_key
from bendlead_schema.gateway import NodeReport
from bendlead_store import FollowedStore, clock
from msgspec.structs import replace

from bendlead_gateway._fleet.claims import shard_claims
from bendlead_gateway._http.messages import Request, Responder
from bendlead_gateway._jobs.api import JobApi
from bendlead_gateway._jobs.retirement import Retirement
from bendlead_gateway._jobs.runner import ItemRunner
from bendlead_gateway._jobs.shard_manager import ShardManager
from bendlead_gateway._node import Node
from bendlead_gateway.dialect import Dialect
from bendlead_gateway.types import NodeSettings

#: How long (s) a leaving owner lets commits and calls finish.
_LEAVING_SECONDS = 1.5
_CHECK_SECONDS = 0.05
_FORGET_SECONDS = 30.0
#: A holder that has made no call for this long (s) makes one. Configurations
#: and leaving engines are due within 2 s of the store's being well again.
_ASK_SECONDS = 1.0


class OwnerNode(Node):
    """Hold shards of batch jobs."""

    def __init__(
        self, settings: NodeSettings, store: FollowedStore, dialect: Dialect
    ) -> None:
        super().__init__(settings, store, dialect)
        self._calls = 0
        self._keeper = ShardManager(
            self.store,
            self.record,
            self.peers,
            self.log,
            settings.status_retention,
        )
        self._runner = ItemRunner(
            settings.node,
            self._keeper,
            dialect,
            self.fleet,
            self.log,
            self.metrics,
        )
        retirement = Retirement(
            settings.node,
            self.store,
            dialect,
            self._keeper,
            self.log,
            self.retire,
            self.finish_calls,
        )
        self._orders_watch = self.fleet.watcher(
            dialect.stops_prefix, retirement
        )
        self._api = JobApi(
            self._keeper,
            self._runner,
            self.fleet.configuration,
            dialect,
            self.log,
            settings.settle,
        )

    def start(self) -> None:
        """Hold shards, run items."""
        gevent.spawn(self._orders_watch.run)
        gevent.spawn(self._keeper.run, self._sound)
        gevent.spawn(self._runner.run)
        gevent.spawn(self._forget)
        gevent.spawn(self._ask_store)

    def retire(self) -> None:
        """Tell peers that this node takes no shard any more."""
        self.leaving = True

    def report(self) -> NodeReport:
        """Tell peers what runs and which shards are held here."""
        return replace(
            super().report(),
            sound=self._sound(),
            shards=shard_claims(self._keeper.epochs()),
        )

    def state(self) -> dict[str, object]:
        """Dump what this process believes."""
        return {**super().state(), 'items': self._runner.summary()}

    def answer_peer_call(self, request: Request, responder: Responder) -> None:
        """Answer a call about jobs that an entry relays."""
        self._calls += 1
        try:
            self._api.answer(request, responder)
        finally:
            self._calls -= 1

    def leave(self) -> None:
        """Hand the shards over, let calls finish, end."""
        self._keeper.leave(_LEAVING_SECONDS)
        self.finish_calls()
        self.done.set()

    def finish_calls(self) -> None:
        """Let the calls about jobs that are under way be answered."""
        until = clock.uptime() + _LEAVING_SECONDS
        while self._calls and clock.uptime() < until:
            gevent.sleep(_CHECK_SECONDS)

    def _sound(self) -> bool:
        """Tell whether the object service can be written from here.

        A held watch may live on while new calls are turned away.
        """
        stuck = any(one.stuck for one in self._keeper.owned.values())
        reached = self.peers_watch.current or self.store.uses_peers
        return reached and not stuck

    def _ask_store(self) -> None:
        """Notice outages for all: held watches stay open and say nothing."""
        while True:
            gevent.sleep(_ASK_SECONDS / 2)
            rested = clock.uptime() - self.store.last_success_at
            if self._keeper.owned and rested > _ASK_SECONDS:
                shard = next(iter(self._keeper.owned))
                self.store.fetch(head_key(ShardId(shard)))

    def _forget(self) -> None:
        while True:
            gevent.sleep(_FORGET_SECONDS)
            for board in list(self._keeper.owned.values()):
                board.remove_expired_jobs()
                if board.snapshot_failure:
                    self.log.event(
                        'snapshot-failed',
                        epoch=board.epoch,
                        reason=board.snapshot_failure,
                    )
