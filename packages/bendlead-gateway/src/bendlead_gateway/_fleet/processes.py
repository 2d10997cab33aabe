"""Which processes of ours are there, and in which halls."""

from collections.abc import Mapping

from bendlead_schema.gateway import NodeReport

from bendlead_gateway._fleet.loads import LoadTable
from bendlead_gateway._fleet.peer import Peer
from bendlead_gateway._health.trial import TrialNode
from bendlead_gateway.types import DataHall, NodeName, NodeRole, PeerRecord


class Processes:
    """List this process and the peers that it knows."""

    def __init__(
        self, own: PeerRecord, loads: LoadTable, peers: Mapping[NodeName, Peer]
    ) -> None:
        self._own = own
        self._loads = loads
        self._peers = peers

    def triers(self) -> list[TrialNode]:
        """List those heard of lately that have requests or items to send.

        This process is asked where it has some, though none may run yet.
        """
        owner = self._own.role is NodeRole.OWNER
        found = [TrialNode(self._own.node, items=owner)]
        for node, peer in self._peers.items():
            known = self._loads.latest(node)
            if known is not None:
                items = any(known.batch.values())
                if items or peer.record.role is NodeRole.ENTRY:
                    found.append(TrialNode(node, items))
        return found

    def reaching_store(self) -> list[PeerRecord]:
        """List live peers that the object service answers.

        Those of this hall alone where there are any: bytes stay within it.
        """
        found = [
            peer.record
            for peer in self._peers.values()
            if not peer.is_down and _reaches_store(peer.report)
        ]
        near = [one for one in found if one.hall == self._own.hall]
        return near or found

    def halls(self) -> dict[NodeName, DataHall]:
        """Give the hall of each process that is listed."""
        halls = {node: one.record.hall for node, one in self._peers.items()}
        halls[self._own.node] = self._own.hall
        return halls


def _reaches_store(report: NodeReport | None) -> bool:
    """Tell whether the object service has answered since it last failed."""
    if report is None or report.answered_ms < 0:
        return False
    return report.failed_ms < 0 or report.answered_ms < report.failed_ms
