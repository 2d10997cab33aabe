"""Whose items go first on an engine where several owners place some.

Load pattern: bursts in which items of several owners share an engine. An owner
that steps aside for its own items alone holds places together with the others
that the engine does not have, and requests wait behind items. If each steps
aside for those of all, all stop for the same request and start again together.
"""

from collections.abc import Mapping
from typing import Protocol

import xxhash

from bendlead_gateway.types import EngineId, NodeName


class OwnerItems(Protocol):
    """Tell on which engines another owner runs items."""

    @property
    def batch(self) -> Mapping[EngineId, int]:
        """Give the number of items on each engine."""

    @property
    def quiet(self) -> bool:
        """Tell whether nothing is heard of it, so that it stops none."""


class Precedence:
    """Order the owners on each engine, alike in all processes.

    Where each owner steps aside for its own items alone, several together
    hold more places than the engine has.
    """

    def __init__(self, node: NodeName) -> None:
        self._node = node
        self._others: Mapping[NodeName, OwnerItems] = {}
        self._first: dict[EngineId, list[NodeName]] = {}

    def meet(self, others: Mapping[NodeName, OwnerItems]) -> None:
        """Take the other owners that have items on engines."""
        if others.keys() != self._others.keys():
            self._first.clear()
        self._others = others

    @property
    def owners(self) -> int:
        """Count the owners that have items on engines, and this one."""
        return len(self._others) + 1

    def leads(self, engine: EngineId) -> bool:
        """Tell whether items from here go before all others there."""
        return not self._before(engine)

    def items_before(self, engine: EngineId) -> int:
        """Count the items on an engine that those from here step aside for.

        Items that nobody stops hold their places, whoever began them.
        """
        first = self._before(engine)
        return sum(
            one.batch.get(engine, 0)
            for name, one in self._others.items()
            if one.quiet or name in first
        )

    def _before(self, engine: EngineId) -> list[NodeName]:
        found = self._first.get(engine)
        if found is None:
            own = _rank(self._node, engine)
            found = [one for one in self._others if _rank(one, engine) < own]
            self._first[engine] = found
        return found


def _rank(node: NodeName, engine: EngineId) -> int:
    return xxhash.xxh3_64_intdigest(f'{engine}/{node}'.encode())
