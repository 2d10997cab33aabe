"""Choice of peers to ask for relayed reports of nodes that are missing.

Reports cross between data halls over few links. While these links are down,
other peers are asked for the reports that should have come over them. Peers in
the own hall miss the reports of a hall that is cut off just the same, so peers
in other halls are asked for these.
"""

import math
import random
from collections.abc import Mapping, Sequence

from bendlead_store import clock
from msgspec import Struct, field

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
#: A report requests at most this many nodes, chosen at random so that the
#: requests of several processes cover all.
_MAX_MISSING = 16


class _Selection(Struct, frozen=True):
    """The missing nodes that each chosen peer is asked for."""

    made_at: float = 0
    requests: Mapping[NodeName, list[str]] = field(default_factory=dict)


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
        #: When each hall was last silent as a whole.
        self._silent_at: dict[DataHall, float] = {}

    def missing_for(self, node: NodeName) -> list[str]:
        """List the missing nodes whose reports are requested from a peer."""
        now = clock.uptime()
        if now - self._selection.made_at > _REFRESH_SECONDS:
            self._selection = self._select(now)
        return list(self._selection.requests.get(node, ()))

    def _select(self, now: float) -> _Selection:
        missing, probes = self._find_missing(now)
        requests = self._assign([*missing, *probes])
        if missing:
            self._log_requests(requests)
        return _Selection(now, requests)

    def _assign(self, nodes: Sequence[NodeName]) -> dict[NodeName, list[str]]:
        """Choose the peers that are asked for each of the nodes."""
        requests: dict[NodeName, list[str]] = {}
        own_hall, other_halls = self._choose_peers()
        for node in nodes:
            is_own = self._peers[node].record.hall == self._hall
            preferred = own_hall if is_own else other_halls
            for peer in preferred or own_hall or other_halls:
                requests.setdefault(peer, []).append(node)
        return {
            peer: random.sample(requested, min(_MAX_MISSING, len(requested)))
            for peer, requested in requests.items()
        }

    def _choose_peers(self) -> tuple[list[NodeName], list[NodeName]]:
        """Choose peers to ask in the own hall, and in other halls."""
        own_hall: list[NodeName] = []
        other_halls: list[NodeName] = []
        for node, peer in self._peers.items():
            if peer.link is Link.CLOSE and not peer.loads_overdue:
                is_own = peer.record.hall == self._hall
                (own_hall if is_own else other_halls).append(node)
        return _choose_some(own_hall), _choose_some(other_halls)

    def _find_missing(
        self, now: float
    ) -> tuple[list[NodeName], list[NodeName]]:
        """List the nodes that miss reports, and some that probably stopped.

        A hall that is silent as a whole may be cut off rather than stopped. A
        random node of it is requested however long that lasts, to notice when
        it returns; then its other nodes count as missing for a while again.
        """
        oldest = now - MAX_SILENCE_SECONDS
        silent_halls = self._find_silent_halls()
        missing: list[NodeName] = []
        stopped: dict[DataHall, list[NodeName]] = {}
        for node, peer in self._peers.items():
            hall = peer.record.hall
            heard_at = self._overdue_since(peer, now)
            if heard_at is None:
                continue
            if hall in silent_halls:
                self._silent_at[hall] = now
            elif self._silent_at.get(hall, -math.inf) > oldest:
                heard_at = now
            if heard_at > oldest:
                missing.append(node)
            elif hall in silent_halls:
                stopped.setdefault(hall, []).append(node)
        return missing, [random.choice(nodes) for nodes in stopped.values()]

    def _find_silent_halls(self) -> set[DataHall]:
        """Return the halls of which no process has reported lately."""
        halls = {peer.record.hall for peer in self._peers.values()}
        heard = {
            peer.record.hall
            for node, peer in self._peers.items()
            if self._loads.latest(node)
        }
        return halls - heard

    def _overdue_since(self, peer: Peer, now: float) -> float | None:
        """Return when an overdue peer last reported, or else was listed."""
        node = peer.record.node
        age = self._loads.age_of(node)
        if not self._loads.has_report(node):
            age = now - peer.listed_at
        if peer.link is Link.CLOSE:
            if not peer.loads_overdue:
                return None
            # Others may still hear it and relay its reports.
            relayed_at = -math.inf if age is None else now - age
            return max(peer.last_report_at, peer.listed_at, relayed_at)
        if peer.record.hall == self._hall:
            return None
        if age is None or age <= _OVERDUE_SECONDS:
            return None
        return now - age

    def _log_requests(self, requests: Mapping[NodeName, list[str]]) -> None:
        for peer, nodes in requests.items():
            ages = {node: self._loads.age_of(NodeName(node)) for node in nodes}
            self._log.event(
                'relay-requested',
                peer=peer,
                hall=self._peers[peer].record.hall,
                missing=format_ages(ages),
            )


def _choose_some(peers: Sequence[NodeName]) -> list[NodeName]:
    return random.sample(peers, min(_PEERS_TO_ASK, len(peers)))
