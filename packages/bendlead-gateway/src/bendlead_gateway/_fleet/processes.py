"""Processes of this system by role, data hall and access to the store."""

from collections.abc import Mapping

import xxhash
from bendlead_schema.gateway import NodeReport

from bendlead_gateway._fleet.loads import LoadTable
from bendlead_gateway._fleet.peer import Peer
from bendlead_gateway._health.trial import TrialNode
from bendlead_gateway.types import DataHall, NodeName, NodeRole, PeerRecord


class Processes:
    """Answer queries on this process and its peers."""

    def __init__(
        self, own: PeerRecord, loads: LoadTable, peers: Mapping[NodeName, Peer]
    ) -> None:
        self._own = own
        self._loads = loads
        self._peers = peers

    def trial_nodes(self) -> list[TrialNode]:
        """List the processes with requests or items to use for trials.

        This process is always in the list; an owner counts as one with items.
        """
        owner = self._own.role is NodeRole.OWNER
        nodes = [TrialNode(self._own.node, items=owner)]
        for node, peer in self._peers.items():
            load = self._loads.latest(node)
            if load is not None:
                items = any(load.batch.values())
                if items or peer.record.role is NodeRole.ENTRY:
                    nodes.append(TrialNode(node, items))
        return nodes

    def by_role(self, role: NodeRole) -> list[NodeName]:
        """List the processes of a role that are heard, and this one."""
        nodes = [
            node
            for node, peer in self._peers.items()
            if peer.record.role is role and self._loads.latest(node) is not None
        ]
        if self._own.role is role:
            nodes.append(self._own.node)
        return nodes

    def rank(self, role: NodeRole, key: str) -> int:
        """Return the rank of this process in a role, by a hash with a key."""
        own = _rank(self._own.node, key)
        return sum(_rank(node, key) < own for node in self.by_role(role))

    def turn(self, role: NodeRole, key: str) -> tuple[int, int]:
        """Return the rank of this process in a role, and the size of that.

        One that knows none of the role has the only turn.
        """
        return self.rank(role, key), max(1, len(self.by_role(role)))

    def with_store_access(self) -> list[PeerRecord]:
        """List live peers that the object service answers.

        Peers in other data halls are listed only if there is none in this
        hall, to save traffic between halls.
        """
        records = [
            peer.record
            for peer in self._peers.values()
            if not peer.is_down and _reaches_store(peer.report)
        ]
        local = [record for record in records if record.hall == self._own.hall]
        return local or records

    def halls(self) -> dict[NodeName, DataHall]:
        """Return the data hall of each known process."""
        halls = {node: peer.record.hall for node, peer in self._peers.items()}
        halls[self._own.node] = self._own.hall
        return halls


def _rank(node: NodeName, key: str) -> int:
    return xxhash.xxh3_64_intdigest(f'{key}/{node}'.encode())


def _reaches_store(report: NodeReport | None) -> bool:
    """Return whether the last call of the object service succeeded."""
    if report is None or report.answered_ms < 0:
        return False
    return report.failed_ms < 0 or report.answered_ms < report.failed_ms
