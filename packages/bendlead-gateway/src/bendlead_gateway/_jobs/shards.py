"""Which shard keeps the jobs of a host, and who should hold it."""

from collections.abc import Sequence

import xxhash

from bendlead_gateway.types import NodeName

#: Shards of all jobs. All jobs of one host are in one shard, so that one
#: process counts the tokens that wait on its routes.
SHARDS = 4


def shard_of(host: str) -> int:
    """Give the shard that keeps the jobs of a host."""
    return xxhash.xxh3_64_intdigest(host.encode()) % SHARDS


def preferred_owner(shard: int, nodes: Sequence[NodeName]) -> NodeName:
    """Pick an owner by rendezvous hashing: few shards move on a change."""
    return max(
        nodes,
        key=lambda node: xxhash.xxh3_64_intdigest(f'{shard}/{node}'.encode()),
    )
