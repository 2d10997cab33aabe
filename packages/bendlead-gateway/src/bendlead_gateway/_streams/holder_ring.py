"""Choice of the processes that keep the origin of a stream.

All processes compute the same order from the id of a request. It alternates
between data halls, so that the loss of one loses no origin.
"""

from bisect import bisect
from collections.abc import Iterable, Iterator
from functools import lru_cache
from hashlib import blake2b

from msgspec import Struct

from bendlead_gateway.types import (
    DataHall,
    NodeName,
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
    """Consistent hashing over the processes of each data hall."""

    def __init__(self) -> None:
        self._rings: list[_HallRing] = []

    def rebuild(self, records: Iterable[PeerRecord]) -> None:
        """Replace the processes."""
        halls: dict[DataHall, list[PeerRecord]] = {}
        for record in records:
            halls.setdefault(record.hall, []).append(record)
        self._rings = [_make_ring(halls[hall]) for hall in sorted(halls)]

    def order(self, request: RequestId) -> Iterator[PeerRecord]:
        """Yield all processes in the order in which to use them."""
        start = _hash(request)
        first = start % max(1, len(self._rings))
        rings = self._rings[first:] + self._rings[:first]
        walks = [ring.walk(start) for ring in rings]
        while walks:
            for walk in tuple(walks):
                member = next(walk, None)
                if member is None:
                    walks.remove(walk)
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
