"""Choose which processes exchange reports, and how often.

In a large fleet each process exchanges reports with a bounded number of others,
and reports are relayed between them. All processes compute the same links from
the list of all processes.

Many pairs of processes link any two halls. Reports about a process are relayed
to another hall only over the few of these links that begin nearest to it, so
that traffic between halls does not grow with the square of the fleet.
"""

import enum
from collections import deque
from collections.abc import Collection, Iterable, Sequence
from hashlib import blake2b

from msgspec import Struct, field

from bendlead_gateway.types import DataHall, NodeName, NodeRole, PeerRecord

#: Largest fleet in which every process is linked with every other.
_FULL_MESH_NODES = 17
#: Limit on the exchanges of a process over links of one kind.
_EXCHANGES_PER_SECOND = 160
#: Interval between exchanges of a pair in a small fleet.
_FULL_MESH_SECONDS = 0.04
#: Interval between exchanges over a close link in a large fleet.
_CLOSE_SECONDS = 0.08
#: Different distances in the ring of a hall that are linked.
_RING_DISTANCES = 3
#: Links that relay reports about a process to each other hall. Fewer lose
#: reports when links fail and make them older.
_RELAYS_PER_HALL = 20


class Link(enum.Enum):
    """How two processes exchange reports."""

    #: Frequent exchanges, with relayed reports about other processes.
    CLOSE = 'close'
    #: Exchanges for liveness and shard ownership only.
    WATCH = 'watch'
    NONE = 'none'


class _Position(Struct, frozen=True):
    """Position of a process: its hall and its index in the hall."""

    hall: int
    index: int
    owner: bool


class Links(Struct):
    """Links between the processes of the fleet.

    Each hall is a ring, whose members are linked at a few fixed distances. A
    process is also linked with those of the same index in two other halls.
    Owners are linked with all processes.
    """

    _positions: dict[NodeName, _Position] = field(default_factory=dict)
    _distances: Sequence[frozenset[int]] = ()
    _sizes: Sequence[int] = ()
    #: Hops from one index to each other in a ring, by size of the ring.
    _hops_by_size: dict[int, Sequence[int]] = field(default_factory=dict)
    #: Indices in a hall that relay reports about a process to another hall.
    _relays: dict[tuple[int, int, int], Collection[int]] = field(
        default_factory=dict
    )

    def rebuild(self, records: Iterable[PeerRecord]) -> None:
        """Replace all links by those between these processes."""
        halls: dict[DataHall, list[PeerRecord]] = {}
        for record in records:
            halls.setdefault(record.hall, []).append(record)
        self._positions = {}
        for number, hall in enumerate(sorted(halls)):
            ring = sorted(halls[hall], key=_ring_order)
            for index, member in enumerate(ring):
                owner = member.role is NodeRole.OWNER
                self._positions[member.node] = _Position(number, index, owner)
        self._sizes = [len(halls[hall]) for hall in sorted(halls)]
        self._distances = [_ring_distances(size) for size in self._sizes]
        self._hops_by_size.clear()
        self._relays.clear()

    def between(self, node: NodeName, other: NodeName) -> Link:
        """Return how two processes exchange reports."""
        first = self._positions.get(node)
        second = self._positions.get(other)
        if first is None or second is None or first == second:
            return Link.NONE
        if self._is_close(first, second):
            return Link.CLOSE
        if first.owner or second.owner:
            return Link.WATCH
        return Link.NONE

    def relays(
        self, sender_node: NodeName, receiver_node: NodeName, node: NodeName
    ) -> bool:
        """Return whether one process relays reports about a node to another.

        Within a hall all reports are relayed. Another hall gets them from the
        node's hall, or from halls linked with both if these are not linked.
        """
        sender = self._positions.get(sender_node)
        receiver = self._positions.get(receiver_node)
        subject = self._positions.get(node)
        if sender is None or receiver is None or subject is None:
            return False
        if sender.hall == receiver.hall:
            return True
        relays = self._relays_for(subject, receiver.hall)
        if subject.hall == sender.hall:
            return sender.index in relays
        return not relays and subject.hall != receiver.hall

    def interval(self, link: Link) -> float:
        """Return the seconds between two exchanges over a link."""
        if link is Link.CLOSE and not self._is_full_mesh:
            return _CLOSE_SECONDS
        interval = (len(self._positions) - 1) / _EXCHANGES_PER_SECOND
        return max(_FULL_MESH_SECONDS, interval)

    @property
    def _is_full_mesh(self) -> bool:
        return len(self._positions) <= _FULL_MESH_NODES

    def _relays_for(self, subject: _Position, hall: int) -> Collection[int]:
        """Return the linked indices nearest to a process, for a hall."""
        key = (subject.hall, subject.index, hall)
        indices = self._relays.get(key)
        if indices is None:
            size = self._sizes[subject.hall]
            hops = self._hops_in(subject.hall)
            linked = [
                index
                for index in range(min(size, self._sizes[hall]))
                if self._are_linked(index, subject.hall, hall)
            ]
            linked.sort(key=lambda index: hops[(index - subject.index) % size])
            indices = frozenset(linked[:_RELAYS_PER_HALL])
            self._relays[key] = indices
        return indices

    def _hops_in(self, hall: int) -> Sequence[int]:
        size = self._sizes[hall]
        if size not in self._hops_by_size:
            self._hops_by_size[size] = _ring_hops(size, self._distances[hall])
        return self._hops_by_size[size]

    def _are_linked(self, index: int, hall: int, other: int) -> bool:
        """Return whether processes of this index in two halls are linked."""
        halls = len(self._distances)
        distance = abs(hall - other)
        linked_distance = 1 + index % (halls // 2)
        return min(distance, halls - distance) == linked_distance

    def _is_close(self, first: _Position, second: _Position) -> bool:
        if self._is_full_mesh or (first.owner and second.owner):
            return True
        if first.hall == second.hall:
            distance = abs(first.index - second.index)
            return distance in self._distances[first.hall]
        if first.index != second.index:
            return False
        # Which halls are linked depends on the index.
        return self._are_linked(first.index, first.hall, second.hall)


def _ring_order(record: PeerRecord) -> bytes:
    """Sort key by hash, the same in all processes and unrelated to names."""
    return blake2b(record.node.encode(), digest_size=8).digest()


def _ring_distances(size: int) -> frozenset[int]:
    """Return the distances in a ring at which members are linked."""
    steps = {
        max(1, round(size ** (step / _RING_DISTANCES)))
        for step in range(_RING_DISTANCES)
    }
    return frozenset(steps | {size - step for step in steps})


def _ring_hops(size: int, distances: Collection[int]) -> Sequence[int]:
    """Count the hops from the first member of a ring to each."""
    hops = {0: 0}
    queue = deque([0])
    while queue:
        index = queue.popleft()
        for distance in distances:
            neighbor = (index + distance) % size
            if neighbor not in hops:
                hops[neighbor] = hops[index] + 1
                queue.append(neighbor)
    return [hops[index] for index in range(size)]
