"""Assignment of hosts to shards and of shards to nodes."""

from collections.abc import Sequence

import xxhash

from bendlead_gateway.types import NodeName

#: All jobs of one host are in one shard, so that one process enforces the
#: queue limits of its routes.
SHARDS = 4


def shard_of(host: str) -> int:
    """Return the shard of the jobs of a host."""
    return xxhash.xxh3_64_intdigest(host.encode()) % SHARDS


def preferred_owner(shard: int, nodes: Sequence[NodeName]) -> NodeName:
    """Return the preferred owner, by rendezvous hashing.

    Few shards move when a node joins or leaves.
    """
    return takeover_order(shard, nodes)[0]


def takeover_order(shard: int, nodes: Sequence[NodeName]) -> list[NodeName]:
    """Return the nodes in the order in which they may take a shard over."""
    return sorted(
        nodes,
        key=lambda node: xxhash.xxh3_64_intdigest(f'{shard}/{node}'.encode()),
        reverse=True,
    )
