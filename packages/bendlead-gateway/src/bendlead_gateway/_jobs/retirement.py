"""Empty this node when the operator asks for it, and say when it is."""

from collections.abc import Callable, Sequence

import gevent
from bendlead_store import Change, Entry, FollowedStore, clock
from result import Err, Ok

from bendlead_gateway._jobs.keeper import ShardKeeper
from bendlead_gateway._log import Log
from bendlead_gateway.dialect import Dialect
from bendlead_gateway.types import NodeName, StopOrder

#: Part of the time allowed after which the node says it is empty even where
#: nobody has taken its shards yet: all they hold is in the object service.
_PATIENCE_SHARE = 0.6
_CHECK_SECONDS = 0.1
_RETRY_SECONDS = 0.3


class Retirement:
    """Follow orders to empty nodes and obey the one for this node."""

    def __init__(
        self,
        node: NodeName,
        store: FollowedStore,
        dialect: Dialect,
        keeper: ShardKeeper,
        log: Log,
        on_order: Callable[[], None],
        finish_calls: Callable[[], None],
    ) -> None:
        self._node = node
        self._store = store
        self._dialect = dialect
        self._keeper = keeper
        self._log = log
        self._on_order = on_order
        self._finish_calls = finish_calls
        self._obeyed = False

    def reset(self, entries: Sequence[Entry], after_outage: bool) -> None:
        """Take all orders."""
        for entry in entries:
            self._take(entry)

    def change(self, change: Change) -> None:
        """Take one order."""
        if not change.deleted:
            self._take(Entry(change.key, change.version, change.body))

    def _take(self, entry: Entry) -> None:
        decoded = self._dialect.stop_order(entry)
        if isinstance(decoded, Err):
            self._log.event('order-unreadable', reason=decoded.err_value)
            return
        order = decoded.ok_value
        if order.node == self._node and not self._obeyed:
            self._obeyed = True
            gevent.spawn(self._obey, entry.key, order)

    def _obey(self, key: str, order: StopOrder) -> None:
        self._log.event('retiring', seconds=order.seconds)
        until = clock.uptime() + order.seconds * _PATIENCE_SHARE
        self._on_order()
        while self._keeper.boards and clock.uptime() < until:
            self._keeper.hand_over()
            gevent.sleep(_CHECK_SECONDS)
        self._keeper.leave(0)
        self._finish_calls()
        self._say_empty(key)

    def _say_empty(self, key: str) -> None:
        body = self._dialect.stop_status(finished=True)
        while True:
            written = self._store.put_status(key, body)
            if isinstance(written, Ok):
                self._log.event('retired', key=key)
                return
            gevent.sleep(_RETRY_SECONDS)
