"""Who is alive, as this entry last heard it."""

from dataclasses import dataclass

from bendlead_gateway.teams import EntryGroup
from bendlead_schema.messages import EndpointHeartbeat, EntryHeartbeat
from bendlead_store import clock

#: An entry that falls silent may be cut off and serve on for this long (s).
_CUT_SECONDS = 60.0


@dataclass(slots=True)
class EntryPeer:
    """Remember another entry and when it was last heard (monotonic)."""

    heartbeat: EntryHeartbeat
    heard: float


@dataclass(slots=True)
class EndpointPeer:
    """Remember an endpoint process and what this entry has sent it."""

    heartbeat: EndpointHeartbeat
    first_heard: float
    heard: float
    sent: int = 0
    failures: int = 0
    ejected_until: float = 0


class Members:
    """Keep entries and endpoints that were heard lately."""

    def __init__(self, node: str, suspect_after: float) -> None:
        self._node = node
        self._suspect_after = suspect_after
        self._entries: dict[str, EntryPeer] = {}
        self._endpoints: dict[str, EndpointPeer] = {}
        self.leaving_machines: set[str] = set()

    def hear_entry(self, heartbeat: EntryHeartbeat) -> None:
        """Note the heartbeat of another entry."""
        if heartbeat.node != self._node:
            peer = EntryPeer(heartbeat, clock.uptime())
            self._entries[heartbeat.node] = peer

    def hear_endpoint(self, heartbeat: EndpointHeartbeat) -> None:
        """Note the heartbeat of an endpoint process."""
        now = clock.uptime()
        known = self._endpoints.get(heartbeat.endpoint)
        if known is None or known.heartbeat.address != heartbeat.address:
            known = EndpointPeer(heartbeat, now, now)
            self._endpoints[heartbeat.endpoint] = known
        known.heartbeat = heartbeat
        known.heard = now

    def group(self) -> EntryGroup:
        """Count the entries that are alive, and those that may be."""
        now = clock.uptime()
        ages = [now - peer.heard for peer in self._entries.values()]
        heard = sum(age < self._suspect_after for age in ages)
        known = sum(age < _CUT_SECONDS for age in ages)
        return EntryGroup(heard + 1, known + 1)

    def entries(self) -> list[EntryHeartbeat]:
        """List the other entries that are alive."""
        since = clock.uptime() - self._suspect_after
        return [
            peer.heartbeat
            for peer in self._entries.values()
            if peer.heard > since
        ]

    def endpoints(self) -> list[EndpointPeer]:
        """List the endpoints that are alive."""
        since = clock.uptime() - self._suspect_after
        return [peer for peer in self._endpoints.values() if peer.heard > since]

    def forget_endpoint(self, endpoint: str) -> None:
        """Drop an endpoint whose process refuses connections."""
        self._endpoints.pop(endpoint, None)

    def owner_of(self, shard: int) -> EntryHeartbeat | None:
        """Find the entry that claims a shard at the highest epoch."""
        claims = self._claims(shard)
        return max(claims, key=_epoch)[1] if claims else None

    def epoch_of(self, shard: int) -> int:
        """Tell the highest epoch at which another entry claims a shard."""
        claims = self._claims(shard)
        return max(claims, key=_epoch)[0] if claims else 0

    def _claims(self, shard: int) -> list[tuple[int, EntryHeartbeat]]:
        return [
            (owned.epoch, entry)
            for entry in self.entries()
            for owned in entry.shards
            if owned.shard == shard
        ]


def _epoch(claim: tuple[int, EntryHeartbeat]) -> int:
    return claim[0]
