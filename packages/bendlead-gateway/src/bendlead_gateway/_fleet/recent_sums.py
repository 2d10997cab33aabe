"""Incremental sums of the peers' counts."""

import math
from collections.abc import Mapping

from bendlead_store import clock
from msgspec import Struct, field

from bendlead_gateway.types import EngineId, NodeName

_NO_COUNTS: Mapping[EngineId, int] = {}


class RecentSums(Struct):
    """Sums of each engine's counts over the unexpired reports of all peers.

    Reading a sum takes constant time; storing a report takes time in proportion
    to the engines that it names.
    """

    #: Counts older than this are dropped.
    seconds: float
    _totals: dict[EngineId, int] = field(default_factory=dict)
    _counts: dict[NodeName, Mapping[EngineId, int]] = field(
        default_factory=dict
    )
    _reported_at: dict[NodeName, float] = field(default_factory=dict)
    #: No counts expire before this time.
    _next_expiry: float = math.inf

    def put(
        self, node: NodeName, counts: Mapping[EngineId, int], reported_at: float
    ) -> None:
        """Replace the counts of a peer."""
        previous = self._counts.get(node, _NO_COUNTS)
        if previous != counts:
            self._subtract(previous)
            for engine, count in counts.items():
                self._totals[engine] = self._totals.get(engine, 0) + count
        self._counts[node] = counts
        self._reported_at[node] = reported_at
        self._next_expiry = min(self._next_expiry, reported_at + self.seconds)

    def drop(self, node: NodeName) -> None:
        """Remove the counts of a peer."""
        self._subtract(self._counts.pop(node, _NO_COUNTS))
        self._reported_at.pop(node, None)

    def total(self, engine: EngineId) -> int:
        """Return the sum of the counts of an engine."""
        now = clock.uptime()
        if now >= self._next_expiry:
            self._remove_expired(now)
        return self._totals.get(engine, 0)

    def _subtract(self, counts: Mapping[EngineId, int]) -> None:
        for engine, count in counts.items():
            remaining = self._totals.get(engine, 0) - count
            if remaining:
                self._totals[engine] = remaining
            else:
                self._totals.pop(engine, None)

    def _remove_expired(self, now: float) -> None:
        """Remove expired counts."""
        oldest = now - self.seconds
        for node, reported_at in list(self._reported_at.items()):
            if reported_at <= oldest:
                self.drop(node)
        self._next_expiry = (
            min(self._reported_at.values(), default=math.inf) + self.seconds
        )
