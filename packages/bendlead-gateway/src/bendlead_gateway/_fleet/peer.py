"""What is known of one other process of ours."""

from collections.abc import Sequence

import gevent
from bendlead_schema.gateway import NodeReport
from bendlead_store import clock
from msgspec import Struct, field

from bendlead_gateway._fleet.changes import ReportLink
from bendlead_gateway._fleet.links import Link
from bendlead_gateway.types import NodeName, PeerRecord

#: A peer that was not heard for this long (s) is taken as stopped.
_SILENT_SECONDS = 0.9
#: An owner that was not heard for this long (s) is asked for a connection.
QUIET_SECONDS = 0.2
#: Loads of a peer that was not heard for this long (s) are asked of others.
_MISSED_SECONDS = 0.4
#: Exchanges in a row that a peer may miss until each of these is so.
_SILENT_EXCHANGES = 4
_QUIET_EXCHANGES = 2
_MISSED_EXCHANGES = 3


class Peer(Struct):
    """Keep what is known of one peer."""

    record: PeerRecord
    report: NodeReport | None = None
    heard: float = 0
    task: gevent.Greenlet | None = None
    #: Nodes that the peer does not hear.
    missed: Sequence[str] = ()
    listed: float = field(default_factory=clock.uptime)
    #: When its counts were heard last, from itself or from others.
    heard_of: float = 0
    #: How it is linked with this process, and seconds between two exchanges.
    link: Link = Link.NONE
    pause: float = 0
    #: The part of the last report to it that it should hear of at once.
    told_state: object = None
    #: Versions of others' counts that the peer was told or told us.
    knows: dict[NodeName, int] = field(default_factory=dict)
    #: It was told of all counts that arrived here up to this one.
    told_until: int = 0
    #: The same of suspected requests.
    suspects_told: int = 0
    #: Whether it said on this connection that it takes changes of reports.
    takes_changes: bool = False
    #: What is held of the reports that are exchanged as changes.
    _change_link: ReportLink | None = None
    #: The same of engines that failed.
    evidence_told: int = 0

    def forget_told(self) -> None:
        """Start over with a peer that may be a process of another version."""
        self.forget_news()
        self.takes_changes = False
        self._change_link = None

    def forget_news(self) -> None:
        """Tell all news once more: what was told last may not have arrived."""
        self.knows.clear()
        self.told_until = 0
        self.suspects_told = 0
        self.evidence_told = 0

    @property
    def change_link(self) -> ReportLink:
        """Give what is held of its reports; few peers of many exchange any."""
        if self._change_link is None:
            self._change_link = ReportLink()
        return self._change_link

    @property
    def silent(self) -> bool:
        """Tell whether the peer is taken as stopped."""
        bound = max(_SILENT_SECONDS, _SILENT_EXCHANGES * self.pause)
        return clock.uptime() - self.heard > bound

    @property
    def quiet(self) -> bool:
        """Tell whether it is time to see if the peer's process has ended."""
        bound = max(QUIET_SECONDS, _QUIET_EXCHANGES * self.pause)
        return clock.uptime() - self.heard > bound

    @property
    def unheard(self) -> bool:
        """Tell whether the peer's loads should be heard and are not."""
        bound = max(_MISSED_SECONDS, _MISSED_EXCHANGES * self.pause)
        late = clock.uptime() - self.heard > bound
        return late and self.link is Link.CLOSE
