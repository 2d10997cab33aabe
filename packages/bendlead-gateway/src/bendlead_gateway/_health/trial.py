"""Turns of processes to send a trial request to an ejected engine.

Only the process whose turn it is sends a trial, so that a failing engine costs
one request at a time. The turn passes on if that process has no request that
can be retried.

Each process ranks all of them by a hash over the engine's incarnation, owners
with items first, since items can be retried. No messages are needed: processes
with different views of the fleet send two trials at worst.
"""

from collections.abc import Callable, Sequence
from hashlib import blake2b

from msgspec import Struct

from bendlead_gateway._health.observation import EngineIncarnation
from bendlead_gateway.types import NodeName

#: Length of a turn: time for an entry to get a request that can be retried, and
#: for the outcome of the previous trial to arrive.
TURN_SECONDS = 0.4
#: Interval between updates of the ranking.
_REFRESH_SECONDS = 0.2
_DIGEST_BYTES = 8


class TrialNode(Struct, frozen=True):
    """Process that may send trials, and whether it has items to run."""

    node: NodeName
    items: bool = False


#: Returns the known processes that may send trials, including this one.
ListTrialNodes = Callable[[], Sequence[TrialNode]]


class TrialSchedule:
    """Which process may send trials to which engine, by monotonic time."""

    def __init__(self, list_trial_nodes: ListTrialNodes) -> None:
        self._list_trial_nodes = list_trial_nodes
        self._trial_nodes: Sequence[TrialNode] = ()
        self._ranked: dict[EngineIncarnation, Sequence[TrialNode]] = {}
        self._refreshed_at = -_REFRESH_SECONDS

    def assigned_node(
        self, incarnation: EngineIncarnation, waited: float, now: float
    ) -> NodeName | None:
        """Return whose turn it is ``waited`` seconds after a trial was due."""
        if now - self._refreshed_at >= _REFRESH_SECONDS:
            self._refreshed_at = now
            self._trial_nodes = self._list_trial_nodes()
            self._ranked.clear()
        if incarnation not in self._ranked:
            self._ranked[incarnation] = rank(incarnation, self._trial_nodes)
        ranked = self._ranked[incarnation]
        if not ranked:
            return None
        turn = int(max(0, waited) / TURN_SECONDS)
        return ranked[turn % len(ranked)].node


def rank(
    incarnation: EngineIncarnation, trial_nodes: Sequence[TrialNode]
) -> Sequence[TrialNode]:
    """Sort processes for one incarnation, in the same order everywhere."""
    return sorted(trial_nodes, key=lambda node: _rank(incarnation, node))


def _rank(
    incarnation: EngineIncarnation, trial_node: TrialNode
) -> tuple[bool, bytes]:
    name = f'{incarnation.engine}/{incarnation.born}/{trial_node.node}'
    return not trial_node.items, blake2b(
        name.encode(), digest_size=_DIGEST_BYTES
    ).digest()
