"""Choice of peers to ask for relayed reports of nodes that are missing.

Reports cross between data halls over few links. While these links are down,
other peers are asked for the reports that should have come over them. Peers in
the own hall miss the reports of a hall that is cut off just the same, so peers
in other halls are asked for these.
"""

import math
import random
from collections.abc import Iterable, Mapping, Sequence

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
        requests: dict[NodeName, list[str]] = {}
        self._observe_silent_halls(now)
        missing = list(self._missing_nodes(now))
        if missing:
            own_hall, other_halls = self._choose_peers()
            for node in missing:
                is_own = self._peers[node].record.hall == self._hall
                preferred = own_hall if is_own else other_halls
                for peer in preferred or own_hall or other_halls:
                    requests.setdefault(peer, []).append(node)
        for peer, nodes in requests.items():
            if len(nodes) > _MAX_MISSING:
                requests[peer] = random.sample(nodes, _MAX_MISSING)
            self._log_request(peer, requests[peer])
        return _Selection(now, requests)

    def _choose_peers(self) -> tuple[list[NodeName], list[NodeName]]:
        """Choose peers to ask in the own hall, and in other halls."""
        own_hall: list[NodeName] = []
        other_halls: list[NodeName] = []
        for node, peer in self._peers.items():
            if peer.link is Link.CLOSE and not peer.loads_overdue:
                is_own = peer.record.hall == self._hall
                (own_hall if is_own else other_halls).append(node)
        return _choose_some(own_hall), _choose_some(other_halls)

    def _observe_silent_halls(self, now: float) -> None:
        halls = {peer.record.hall for peer in self._peers.values()}
        heard = {
            peer.record.hall
            for node, peer in self._peers.items()
            if self._loads.latest(node)
        }
        self._silent_at.update(dict.fromkeys(halls - heard, now))

    def _missing_nodes(self, now: float) -> Iterable[NodeName]:
        """Yield the peers that may run requests but send no reports.

        A hall that is silent as a whole is cut off rather than stopped, so its
        nodes still count as missing for a while when one of them returns. In
        the meantime one of them is enough to notice that.
        """
        oldest = now - MAX_SILENCE_SECONDS
        silent_halls: dict[DataHall, list[NodeName]] = {}
        for node, peer in self._peers.items():
            hall = peer.record.hall
            heard_at = self._overdue_since(peer, now)
            if heard_at is None:
                continue
            silent_at = self._silent_at.get(hall, -math.inf)
            if heard_at > oldest or oldest < silent_at < now:
                yield node
            elif silent_at == now:
                silent_halls.setdefault(hall, []).append(node)
        yield from map(random.choice, silent_halls.values())

    def _overdue_since(self, peer: Peer, now: float) -> float | None:
        """Return when an overdue peer last reported, or else was listed."""
        if peer.link is Link.CLOSE:
            if peer.loads_overdue:
                return max(peer.last_report_at, peer.listed_at)
            return None
        if peer.record.hall == self._hall:
            return None
        node = peer.record.node
        age = self._loads.age_of(node)
        if not self._loads.has_report(node):
            age = now - peer.listed_at
        if age is None or age <= _OVERDUE_SECONDS:
            return None
        return now - age

    def _log_request(self, peer: NodeName, missing: Sequence[str]) -> None:
        ages = {node: self._loads.age_of(NodeName(node)) for node in missing}
        self._log.event(
            'relay-requested',
            peer=peer,
            hall=self._peers[peer].record.hall,
            missing=format_ages(ages),
        )


def _choose_some(peers: Sequence[NodeName]) -> list[NodeName]:
    return random.sample(peers, min(_PEERS_TO_ASK, len(peers)))
