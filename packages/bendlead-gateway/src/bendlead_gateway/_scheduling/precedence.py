"""Precedence among owners whose batch items share an engine.

If each owner counted only its own items, several would overcommit the engine.
If each preempted for all others, all would stop for the same request.
"""

from collections.abc import Mapping
from typing import Protocol

import xxhash

from bendlead_gateway.types import EngineId, NodeName


class OwnerItems(Protocol):
    """Items that another owner runs, as last reported."""

    @property
    def batch(self) -> Mapping[EngineId, int]:
        """Return the number of items by engine."""

    @property
    def quiet(self) -> bool:
        """Return whether its reports have ceased, so that it preempts none."""


class Precedence:
    """Order of owners on each engine, by a hash that all processes share."""

    def __init__(self, node: NodeName) -> None:
        self._node = node
        self._others: Mapping[NodeName, OwnerItems] = {}
        self._preceding: dict[EngineId, list[NodeName]] = {}

    def update_others(self, others: Mapping[NodeName, OwnerItems]) -> None:
        """Replace the other owners that have items on engines."""
        if others.keys() != self._others.keys():
            self._preceding.clear()
        self._others = others

    @property
    def owners(self) -> int:
        """Return the number of owners with items, including this one."""
        return len(self._others) + 1

    def comes_first(self, engine: EngineId) -> bool:
        """Return whether this owner comes first on an engine."""
        return not self._owners_before(engine)

    def items_before(self, engine: EngineId) -> int:
        """Count the items on an engine that take precedence over own ones.

        Items of owners whose reports have ceased count as well, since nobody
        preempts them.
        """
        preceding = self._owners_before(engine)
        return sum(
            owner.batch.get(engine, 0)
            for name, owner in self._others.items()
            if owner.quiet or name in preceding
        )

    def _owners_before(self, engine: EngineId) -> list[NodeName]:
        preceding = self._preceding.get(engine)
        if preceding is None:
            own = _rank(self._node, engine)
            preceding = [
                node for node in self._others if _rank(node, engine) < own
            ]
            self._preceding[engine] = preceding
        return preceding


def _rank(node: NodeName, engine: EngineId) -> int:
    return xxhash.xxh3_64_intdigest(f'{engine}/{node}'.encode())
