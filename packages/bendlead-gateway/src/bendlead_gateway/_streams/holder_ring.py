"""Choice of the processes that keep the origin of a stream.

All processes compute the same order from the id of a request. It alternates
between roles and between data halls, so that neither the loss of a hall nor of
all entries at once loses an origin.
"""

from bisect import bisect
from collections.abc import Iterable, Iterator
from functools import lru_cache
from hashlib import blake2b

from msgspec import Struct

from bendlead_gateway.types import (
    DataHall,
    NodeName,
    NodeRole,
    PeerRecord,
    RequestId,
)

_HASH_BYTES = 8
#: Points of each process on the ring of its hall, for an even spread.
_POINTS = 8
_CACHED_NODES = 4096


class _HallRing(Struct, frozen=True):
    """Points of a hall's processes, in ascending order."""

    hashes: list[int]
    members: list[PeerRecord]

    def walk(self, start: int) -> Iterator[PeerRecord]:
        """Yield each process once, in the order of the points from a hash."""
        first = bisect(self.hashes, start)
        seen: set[PeerRecord] = set()
        for member in (*self.members[first:], *self.members[:first]):
            if member not in seen:
                seen.add(member)
                yield member


class HolderRing:
    """Consistent hashing over the processes of each role and data hall."""

    def __init__(self) -> None:
        #: Rings of the halls, by role.
        self._rings: list[list[_HallRing]] = []

    def rebuild(self, records: Iterable[PeerRecord]) -> None:
        """Replace the processes."""
        halls: dict[NodeRole, dict[DataHall, list[PeerRecord]]] = {
            role: {} for role in NodeRole
        }
        for record in records:
            halls[record.role].setdefault(record.hall, []).append(record)
        self._rings = [
            [_make_ring(of_role[hall]) for hall in sorted(of_role)]
            for of_role in halls.values()
        ]

    def order(self, request: RequestId) -> Iterator[PeerRecord]:
        """Yield all processes in the order in which to use them."""
        start = _hash(request)
        # The first of each role, and the second entry, are in different halls.
        return _alternate(
            _walk_halls(rings, start, start + 2 * number)
            for number, rings in enumerate(self._rings)
        )


def _walk_halls(
    rings: list[_HallRing], start: int, first: int
) -> Iterator[PeerRecord]:
    first %= max(1, len(rings))
    return _alternate(
        ring.walk(start) for ring in (*rings[first:], *rings[:first])
    )


def _alternate(
    orders: Iterable[Iterator[PeerRecord]],
) -> Iterator[PeerRecord]:
    """Yield one of each in turn, until all are used up."""
    left = list(orders)
    while left:
        for order in tuple(left):
            member = next(order, None)
            if member is None:
                left.remove(order)
            else:
                yield member


def _make_ring(members: Iterable[PeerRecord]) -> _HallRing:
    points = sorted(
        (
            (point, member)
            for member in members
            for point in _points_of(member.node)
        ),
        key=_hash_of,
    )
    return _HallRing(
        [point for point, _ in points], [member for _, member in points]
    )


@lru_cache(maxsize=_CACHED_NODES)
def _points_of(node: NodeName) -> tuple[int, ...]:
    return tuple(_hash(f'{node}/{point}') for point in range(_POINTS))


def _hash_of(point: tuple[int, PeerRecord]) -> int:
    return point[0]


def _hash(text: str) -> int:
    digest = blake2b(
        text.encode('utf-8', 'surrogateescape'), digest_size=_HASH_BYTES
    )
    return int.from_bytes(digest.digest(), 'big')
