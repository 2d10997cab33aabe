"""Who holds which shard, by the reports of the peers that are heard."""

from collections.abc import Callable, Sequence

from bendlead_schema.gateway import HeldShard, NodeReport
from msgspec import Struct

from bendlead_gateway._fleet.peer import Peer
from bendlead_gateway.types import NodeName, NodeRole


class Claim(Struct, frozen=True):
    """Say who holds a shard and where to reach it."""

    node: NodeName
    address: str
    epoch: int


class Claims:
    """Read the claims of shards from what live peers report."""

    def __init__(self, live: Callable[[], Sequence[Peer]]) -> None:
        self._live = live

    def holder(self, shard: int) -> Claim | None:
        """Find the live peer that holds a shard at the highest epoch."""
        best: Claim | None = None
        for peer in self._live():
            epoch = _epoch_of(peer, shard)
            if best is None or epoch > best.epoch:
                best = Claim(peer.record.node, peer.record.address, epoch)
        return best if best and best.epoch else None

    def way_to(self, shard: int) -> Claim | None:
        """Find a live entry that hears the holder, which this node does not.

        One that leaves may end before the holder has answered it.
        """
        best: Claim | None = None
        for peer in self._live():
            epoch = _epoch_passed_on(peer, shard)
            if best is None or epoch > best.epoch:
                best = Claim(peer.record.node, peer.record.address, epoch)
        return best if best and best.epoch else None

    def claimed(self, shard: int) -> int:
        """Give the highest epoch at which a live node holds a shard, or 0.

        What peers hear counts too: an owner that is cut off from this node
        alone still holds its shards.
        """
        return max(
            (_highest(peer.report, shard) for peer in self._live()),
            default=0,
        )

    def holder_is_stuck(self, shard: int, epoch: int) -> bool:
        """Tell whether the holder at an epoch says it can't write."""
        return any(
            peer.report is not None
            and not peer.report.sound
            and _epoch_of(peer, shard) == epoch
            for peer in self._live()
        )

    def heard(self) -> list[HeldShard]:
        """List the claims that this node hears itself."""
        return [
            held
            for peer in self._live()
            if peer.report
            for held in peer.report.shards
        ]

    def able_owners(self) -> list[NodeName]:
        """List the live peers that can hold shards."""
        return [
            peer.record.node
            for peer in self._live()
            if peer.record.role is NodeRole.OWNER
            and peer.report
            and peer.report.sound
            and not peer.report.leaving
        ]


def _epoch_of(peer: Peer, shard: int) -> int:
    """Give the epoch at which a peer holds a shard, or 0."""
    return _epoch_among(peer.report.shards, shard) if peer.report else 0


def _epoch_passed_on(peer: Peer, shard: int) -> int:
    """Give the epoch at which an entry hears a shard held, or 0."""
    report = peer.report
    if report is None or peer.record.role is not NodeRole.ENTRY:
        return 0
    return 0 if report.leaving else _epoch_among(report.heard, shard)


def _epoch_among(claims: Sequence[HeldShard], shard: int) -> int:
    return max((one.epoch for one in claims if one.shard == shard), default=0)


def _highest(report: NodeReport | None, shard: int) -> int:
    """Give the highest epoch of a shard that a report claims or tells of."""
    if report is None:
        return 0
    return _epoch_among((*report.shards, *report.heard), shard)


def held_shards(epochs: dict[int, int]) -> list[HeldShard]:
    """Make the claims of a report."""
    return [
        HeldShard(shard=shard, epoch=epoch) for shard, epoch in epochs.items()
    ]
