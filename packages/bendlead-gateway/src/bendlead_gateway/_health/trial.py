"""Whose turn it is to try an engine that was left alone.

Load pattern: an engine that fails all it gets, and many processes that would
all try it again after the same pause. One at a time does, and the turn passes
on where whoever has it has nothing that can bear the loss.

Each process ranks all of them by a hash over the engine's life, owners with
items first, since an item may run again. No message is needed: those that
differ on who is there try twice at worst.
"""

from collections.abc import Callable, Sequence
from hashlib import blake2b

from msgspec import Struct

from bendlead_gateway._health.observation import EngineIncarnation
from bendlead_gateway.types import NodeName

#: How long a process has the turn (s): an entry gets a request that may be
#: repeated within it, and news of the last trial arrive.
TURN_SECONDS = 0.4
#: Who is there is looked up this often (s); ranking hundreds takes a while.
_LOOK_SECONDS = 0.2
_DIGEST_BYTES = 8


class TrialNode(Struct, frozen=True):
    """Say which process could try engines, and whether it has items to run."""

    node: NodeName
    items: bool = False


#: Lists the processes heard, this one too, that could try an engine.
ListTrialNodes = Callable[[], Sequence[TrialNode]]


class TrialSchedule:
    """Remember the ranks of a moment; steady seconds come in."""

    def __init__(self, list_triers: ListTrialNodes) -> None:
        self._list_triers = list_triers
        self._triers: Sequence[TrialNode] = ()
        self._ranked: dict[EngineIncarnation, Sequence[TrialNode]] = {}
        self._looked_at = -_LOOK_SECONDS

    def holder(
        self, life: EngineIncarnation, waited: float, now: float
    ) -> NodeName | None:
        """Name whose turn it is, some seconds after a trial was due."""
        if now - self._looked_at >= _LOOK_SECONDS:
            self._looked_at = now
            self._triers = self._list_triers()
            self._ranked.clear()
        if life not in self._ranked:
            self._ranked[life] = rank(life, self._triers)
        ranked = self._ranked[life]
        if not ranked:
            return None
        turn = int(max(0, waited) / TURN_SECONDS)
        return ranked[turn % len(ranked)].node


def rank(
    life: EngineIncarnation, triers: Sequence[TrialNode]
) -> Sequence[TrialNode]:
    """Rank processes for one life, all alike."""
    return sorted(triers, key=lambda one: _rank(life, one))


def _rank(life: EngineIncarnation, one: TrialNode) -> tuple[bool, bytes]:
    named = f'{life.engine}/{life.born}/{one.node}'
    return not one.items, blake2b(
        named.encode(), digest_size=_DIGEST_BYTES
    ).digest()
