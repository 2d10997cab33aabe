"""Drain this node on an operator's order and report when it is done."""

from collections.abc import Callable, Sequence

import gevent
from bendlead_store import Change, Entry, FollowedStore, clock
from bendlead_store.tasks import attempt, keep_running
from result import Err, Ok

from bendlead_gateway._jobs.shard_manager import ShardManager
from bendlead_gateway._log import Log
from bendlead_gateway.dialect import Dialect
from bendlead_gateway.types import NodeName, StopOrder

#: Share of the order's time after which shards are given up even if no other
#: owner can take them: their state is in the object service.
_HAND_OVER_SHARE = 0.6
_CHECK_INTERVAL_SECONDS = 0.1
_RETRY_INTERVAL_SECONDS = 0.3


class Retirement:
    """Watch orders to drain nodes and execute the one for this node.

    ``on_order`` is called first; ``finish_calls`` once all shards are given
    up, to wait for the requests under way.
    """

    def __init__(
        self,
        node: NodeName,
        store: FollowedStore,
        dialect: Dialect,
        manager: ShardManager,
        log: Log,
        on_order: Callable[[], None],
        finish_calls: Callable[[], None],
    ) -> None:
        self._node = node
        self._store = store
        self._dialect = dialect
        self._manager = manager
        self._log = log
        self._on_order = on_order
        self._finish_calls = finish_calls
        self._order_received = False

    def reset(self, entries: Sequence[Entry], after_outage: bool) -> None:
        """Process all orders."""
        for entry in entries:
            attempt('order-entry', self._log.task_failed, self._receive, entry)

    def change(self, change: Change) -> None:
        """Process a new or changed order."""
        if not change.deleted:
            self._receive(Entry(change.key, change.version, change.body))

    def _receive(self, entry: Entry) -> None:
        decoded = self._dialect.stop_order(entry)
        if isinstance(decoded, Err):
            self._log.event('order-unreadable', reason=decoded.err_value)
            return
        order = decoded.ok_value
        if order.node == self._node and not self._order_received:
            self._order_received = True
            keep_running(
                'retirement',
                self._log.task_failed,
                self._execute,
                entry.key,
                order,
            )

    def _execute(self, key: str, order: StopOrder) -> None:
        self._log.event('retiring', seconds=order.seconds)
        deadline = clock.uptime() + order.seconds * _HAND_OVER_SHARE
        self._on_order()
        while self._manager.owned and clock.uptime() < deadline:
            self._manager.hand_over()
            gevent.sleep(_CHECK_INTERVAL_SECONDS)
        self._manager.leave(0)
        self._finish_calls()
        self._report_drained(key)

    def _report_drained(self, key: str) -> None:
        body = self._dialect.stop_status(finished=True)
        while True:
            written = self._store.put_status(key, body)
            if isinstance(written, Ok):
                self._log.event('retired', key=key)
                return
            gevent.sleep(_RETRY_INTERVAL_SECONDS)
