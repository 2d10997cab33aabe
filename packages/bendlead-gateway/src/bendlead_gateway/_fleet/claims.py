"""Ownership of shards, by the reports of live peers."""

from collections.abc import Callable, Sequence

from bendlead_schema.gateway import HeldShard, NodeReport
from msgspec import Struct
from msgspec.structs import replace

from bendlead_gateway._fleet.peer import Peer
from bendlead_gateway.types import NodeName, NodeRole


class Claim(Struct, frozen=True):
    """A peer that owns a shard, or that can reach its owner."""

    node: NodeName
    address: str
    epoch: int


class Claims:
    """Find owners of shards in the reports of live peers."""

    def __init__(self, live: Callable[[], Sequence[Peer]]) -> None:
        self._live = live

    def owner(self, shard: int) -> Claim | None:
        """Return the live peer that owns a shard at the highest epoch."""
        best: Claim | None = None
        for peer in self._live():
            epoch = _owned_epoch(peer, shard)
            if best is None or epoch > best.epoch:
                best = Claim(peer.record.node, peer.record.address, epoch)
        return best if best and best.epoch else None

    def relay_to_owner(self, shard: int) -> Claim | None:
        """Return a live entry that receives the reports of a shard's owner.

        An entry that is draining is left out: it may stop before the owner
        has answered.
        """
        best: Claim | None = None
        for peer in self._live():
            epoch = _relayed_epoch(peer, shard)
            if best is None or epoch > best.epoch:
                best = Claim(peer.record.node, peer.record.address, epoch)
        return best if best and best.epoch else None

    def highest_epoch(self, shard: int) -> int:
        """Return the highest epoch at which a live node owns a shard, or 0.

        Relayed claims count too: an owner that only this node cannot reach
        still owns its shards.
        """
        return max(
            (_highest_epoch(peer.report, shard) for peer in self._live()),
            default=0,
        )

    def owner_cannot_write(self, shard: int, epoch: int) -> bool:
        """Return whether the owner at an epoch reports that it cannot write.

        Relayed claims count where this node has no report of the owner.
        """
        reports = [peer.report for peer in self._live() if peer.report]
        for report in reports:
            if _epoch_among(report.shards, shard) == epoch:
                return not report.sound
        return any(
            claim.stuck is True
            for report in reports
            for claim in report.heard
            if claim.shard == shard and claim.epoch == epoch
        )

    def direct_claims(self) -> list[HeldShard]:
        """List the claims in reports received from peers directly."""
        return [
            claim if peer.report.sound else replace(claim, stuck=True)
            for peer in self._live()
            if peer.report
            for claim in peer.report.shards
        ]

    def available_owners(self) -> list[NodeName]:
        """List the live peers that can own shards."""
        return [
            peer.record.node
            for peer in self._live()
            if peer.record.role is NodeRole.OWNER
            and peer.report
            and peer.report.sound
            and not peer.report.leaving
        ]


def _owned_epoch(peer: Peer, shard: int) -> int:
    """Return the epoch at which a peer owns a shard, or 0."""
    return _epoch_among(peer.report.shards, shard) if peer.report else 0


def _relayed_epoch(peer: Peer, shard: int) -> int:
    """Return the epoch of a shard in the claims that an entry relays, or 0."""
    report = peer.report
    if report is None or peer.record.role is not NodeRole.ENTRY:
        return 0
    return 0 if report.leaving else _epoch_among(report.heard, shard)


def _epoch_among(claims: Sequence[HeldShard], shard: int) -> int:
    return max(
        (claim.epoch for claim in claims if claim.shard == shard), default=0
    )


def _highest_epoch(report: NodeReport | None, shard: int) -> int:
    """Return the highest epoch of a shard in own and relayed claims, or 0."""
    if report is None:
        return 0
    return _epoch_among((*report.shards, *report.heard), shard)


def shard_claims(epochs: dict[int, int]) -> list[HeldShard]:
    """Build the list of owned shards for a report."""
    return [
        HeldShard(shard=shard, epoch=epoch) for shard, epoch in epochs.items()
    ]
