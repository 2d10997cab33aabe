"""Choice of peers to ask for relayed reports of nodes that are missing.

Reports cross between data halls over few links. While these links are down,
other peers are asked for the reports that should have come over them.
"""

import random
from collections.abc import Collection, Iterable, Mapping, Sequence

from bendlead_store import clock
from msgspec import Struct

from bendlead_gateway._fleet.links import Link
from bendlead_gateway._fleet.loads import LoadTable, format_ages
from bendlead_gateway._fleet.peer import Peer
from bendlead_gateway._log import Log
from bendlead_gateway.types import DataHall, NodeName

#: A peer without reports for longer counts as stopped, not as cut off.
MAX_SILENCE_SECONDS = 60.0
_PEERS_TO_ASK = 2
#: After this time other peers are chosen.
_REFRESH_SECONDS = 0.25
#: Load reports of another hall are due every 0.5 s and expire after 1.5 s.
_OVERDUE_SECONDS = 1.0
#: A report requests at most this many nodes, chosen at random.
_MAX_MISSING = 16


class _Selection(Struct, frozen=True):
    """The missing nodes and the peers that are asked for them."""

    made_at: float = 0
    missing: Sequence[str] = ()
    asked: Collection[NodeName] = ()


class RelayRequests:
    """Choose at intervals which peers are asked for which nodes."""

    def __init__(
        self,
        hall: DataHall,
        peers: Mapping[NodeName, Peer],
        loads: LoadTable,
        log: Log,
    ) -> None:
        self._hall = hall
        self._peers = peers
        self._loads = loads
        self._log = log
        self._selection = _Selection()

    def missing_for(self, node: NodeName) -> list[str]:
        """List the missing nodes whose reports are requested from a peer."""
        now = clock.uptime()
        if now - self._selection.made_at > _REFRESH_SECONDS:
            self._selection = self._select(now)
        return (
            list(self._selection.missing)
            if node in self._selection.asked
            else []
        )

    def _select(self, now: float) -> _Selection:
        close = [
            node
            for node, peer in self._peers.items()
            if peer.link is Link.CLOSE and not peer.is_down
        ]
        chosen = random.sample(close, min(_PEERS_TO_ASK, len(close)))
        missing = list(self._missing_nodes(now))
        if len(missing) > _MAX_MISSING:
            missing = random.sample(missing, _MAX_MISSING)
        if missing:
            self._log_requests(missing, chosen)
        return _Selection(now, missing, frozenset(chosen))

    def _missing_nodes(self, now: float) -> Iterable[str]:
        """Yield the peers that may run requests but send no reports."""
        oldest = now - MAX_SILENCE_SECONDS
        for node, peer in self._peers.items():
            if peer.link is not Link.CLOSE:
                if self._is_overdue(peer):
                    yield node
            elif (
                peer.loads_overdue
                and max(peer.last_report_at, peer.listed_at) > oldest
            ):
                yield node

    def _log_requests(
        self, missing: Sequence[str], chosen: Sequence[NodeName]
    ) -> None:
        ages = {node: self._loads.age_of(NodeName(node)) for node in missing}
        halls = {self._peers[node].record.hall for node in chosen}
        self._log.event(
            'relay-requested',
            peers=','.join(chosen),
            halls=','.join(sorted(halls)),
            missing=format_ages(ages),
        )

    def _is_overdue(self, peer: Peer) -> bool:
        """Return whether load reports of a peer in another hall are overdue."""
        if peer.record.hall == self._hall:
            return False
        age = self._loads.age_of(peer.record.node)
        return age is not None and _OVERDUE_SECONDS < age < MAX_SILENCE_SECONDS
