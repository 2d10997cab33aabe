"""Sums of the peers' counts that are kept up instead of added up."""

import math
from collections.abc import Mapping

from bendlead_store import clock
from msgspec import Struct, field

from bendlead_gateway.types import EngineId, NodeName

_NOTHING: Mapping[EngineId, int] = {}


class FreshSums(Struct):
    """Keep the sum of each engine's counts over what was heard lately.

    A look costs the same however many peers there are; a report costs what it
    names.
    """

    #: Counts of a peer that was heard longer ago than this (s) are dropped.
    seconds: float
    _totals: dict[EngineId, int] = field(default_factory=dict)
    _counts: dict[NodeName, Mapping[EngineId, int]] = field(
        default_factory=dict
    )
    _heard: dict[NodeName, float] = field(default_factory=dict)
    #: No counts are too old before this moment.
    _sweep_at: float = math.inf

    def put(
        self, node: NodeName, counts: Mapping[EngineId, int], heard: float
    ) -> None:
        """Take a peer's counts in place of its earlier ones."""
        known = self._counts.get(node, _NOTHING)
        if known != counts:
            self._subtract(known)
            for engine, count in counts.items():
                self._totals[engine] = self._totals.get(engine, 0) + count
        self._counts[node] = counts
        self._heard[node] = heard
        self._sweep_at = min(self._sweep_at, heard + self.seconds)

    def drop(self, node: NodeName) -> None:
        """Drop a peer's counts."""
        self._subtract(self._counts.pop(node, _NOTHING))
        self._heard.pop(node, None)

    def total(self, engine: EngineId) -> int:
        """Give the sum of the counts of an engine."""
        now = clock.uptime()
        if now >= self._sweep_at:
            self._sweep(now)
        return self._totals.get(engine, 0)

    def _subtract(self, counts: Mapping[EngineId, int]) -> None:
        for engine, count in counts.items():
            left = self._totals.get(engine, 0) - count
            if left:
                self._totals[engine] = left
            else:
                self._totals.pop(engine, None)

    def _sweep(self, now: float) -> None:
        """Drop what is too old."""
        oldest = now - self.seconds
        for node, heard in list(self._heard.items()):
            if heard <= oldest:
                self.drop(node)
        self._sweep_at = (
            min(self._heard.values(), default=math.inf) + self.seconds
        )
