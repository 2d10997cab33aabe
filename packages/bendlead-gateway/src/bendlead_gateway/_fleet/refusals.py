"""Services that recently refused online requests for lack of free slots."""

import math
from collections import Counter
from collections.abc import Mapping

from bendlead_store import clock
from msgspec import Struct

from bendlead_gateway._log import Log
from bendlead_gateway.types import NodeName, ServiceName

#: Counts of a process without reports are kept this long.
_RETENTION_SECONDS = 60.0
#: Greater counts are treated as invalid.
_MAX_REFUSALS = 1_000_000_000_000


class _PeerCounts(Struct):
    """The last counts received from a process."""

    counts: Mapping[str, int]
    received_at: float
    invalid: bool = False


class Refusals:
    """Count refusals of this process and detect new ones of its peers.

    Counts are totals since the start of a process.
    """

    def __init__(self, log: Log) -> None:
        self._log = log
        self._own: Counter[ServiceName] = Counter()
        self._peer_counts: dict[NodeName, _PeerCounts] = {}
        self._latest: dict[ServiceName, float] = {}

    @property
    def own_counts(self) -> dict[str, int]:
        """Return the refusals of this process by service."""
        return dict(self._own)

    def record(self, service: ServiceName) -> None:
        """Count a request that this process refused."""
        self._own[service] += 1

    def seconds_since(self, service: ServiceName) -> float:
        """Return the seconds since a peer's last known refusal, or infinity."""
        refused_at = self._latest.get(service)
        return math.inf if refused_at is None else clock.uptime() - refused_at

    def receive(self, node: NodeName, counts: Mapping[str, int]) -> None:
        """Apply a peer's counts; its first ones are the baseline."""
        now = clock.uptime()
        previous = self._peer_counts.get(node)
        if any(not 0 <= count <= _MAX_REFUSALS for count in counts.values()):
            self._reject(node, previous, counts, now)
            return
        if previous is None:
            self._remove_old(now)
        else:
            for name, count in counts.items():
                # A lower count is that of a restarted process.
                if count and count != previous.counts.get(name, 0):
                    self._latest[ServiceName(name)] = now
        self._peer_counts[node] = _PeerCounts(counts, now)

    def _reject(
        self,
        node: NodeName,
        previous: _PeerCounts | None,
        counts: Mapping[str, int],
        now: float,
    ) -> None:
        if previous is None or not previous.invalid:
            self._log.event('refusals-unusable', peer=node, told=dict(counts))
        self._peer_counts[node] = _PeerCounts(
            previous.counts if previous else {}, now, True
        )

    def _remove_old(self, now: float) -> None:
        oldest = now - _RETENTION_SECONDS
        self._peer_counts = {
            node: peer
            for node, peer in self._peer_counts.items()
            if peer.received_at > oldest
        }
        self._latest = {
            name: refused_at
            for name, refused_at in self._latest.items()
            if refused_at > oldest
        }
