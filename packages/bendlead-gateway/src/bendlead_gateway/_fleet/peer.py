"""State of one peer process."""

from collections.abc import Sequence

import gevent
from bendlead_schema.gateway import NodeReport
from bendlead_store import clock
from msgspec import Struct, field

from bendlead_gateway._fleet.changes import ChangeCodec
from bendlead_gateway._fleet.links import Link
from bendlead_gateway.types import NodeName, PeerRecord

#: A peer without a report for this long counts as stopped.
_DOWN_SECONDS = 0.9
#: An owner without a report for this long is probed for a connection.
PROBE_AFTER_SECONDS = 0.2
#: After this long without a report, other peers are asked to relay its loads.
_LOADS_OVERDUE_SECONDS = 0.4
#: Missed exchanges in a row after which each of these applies.
_DOWN_EXCHANGES = 4
_PROBE_EXCHANGES = 2
_LOADS_OVERDUE_EXCHANGES = 3


class Peer(Struct):
    """State of one peer, and what was exchanged with it."""

    record: PeerRecord
    report: NodeReport | None = None
    last_report_at: float = 0
    task: gevent.Greenlet | None = None
    #: Nodes whose reports the peer does not receive.
    missing_nodes: Sequence[str] = ()
    #: The missing nodes for which the held reports were last logged.
    answered_nodes: Sequence[str] = ()
    listed_at: float = field(default_factory=clock.uptime)
    #: When its counts were last received, directly or relayed.
    counts_received_at: float = 0
    #: Kind of link with this process, and seconds between two exchanges.
    link: Link = Link.NONE
    interval: float = 0
    #: Part of the last report to the peer whose changes are sent at once.
    sent_state: object = None
    #: Versions of other nodes' counts that the peer has.
    known_versions: dict[NodeName, int] = field(default_factory=dict)
    #: Sequence number of the last load that was relayed to the peer.
    relayed_until: int = 0
    #: Number of the last update on suspects that was sent to the peer.
    suspects_sent: int = 0
    #: Whether the peer accepts reports as changes on this connection.
    takes_changes: bool = False
    #: Codecs for reports exchanged as changes.
    _change_codec: ChangeCodec | None = None
    #: Number of the last update on engine health that was sent to the peer.
    evidence_sent: int = 0

    def reset_exchange(self) -> None:
        """Reset the exchange: the peer may now run another version."""
        self.resend_updates()
        self.takes_changes = False
        self._change_codec = None

    def resend_updates(self) -> None:
        """Send all updates again, since the last ones may be lost."""
        self.known_versions.clear()
        self.relayed_until = 0
        self.suspects_sent = 0
        self.evidence_sent = 0

    @property
    def change_codec(self) -> ChangeCodec:
        """Codecs for changes, created on first use."""
        if self._change_codec is None:
            self._change_codec = ChangeCodec()
        return self._change_codec

    @property
    def is_down(self) -> bool:
        """Whether the peer counts as stopped."""
        bound = max(_DOWN_SECONDS, _DOWN_EXCHANGES * self.interval)
        return clock.uptime() - self.last_report_at > bound

    @property
    def needs_probe(self) -> bool:
        """Whether the peer's process should be probed."""
        bound = max(PROBE_AFTER_SECONDS, _PROBE_EXCHANGES * self.interval)
        return clock.uptime() - self.last_report_at > bound

    @property
    def loads_overdue(self) -> bool:
        """Whether reports over a close link are overdue."""
        bound = max(
            _LOADS_OVERDUE_SECONDS, _LOADS_OVERDUE_EXCHANGES * self.interval
        )
        overdue = clock.uptime() - self.last_report_at > bound
        return overdue and self.link is Link.CLOSE
