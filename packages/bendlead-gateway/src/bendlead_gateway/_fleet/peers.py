"""Find the other processes of ours and exchange reports with them."""

from collections.abc import Callable, Sequence

import gevent
from bendlead_schema.gateway import NodeReport
from bendlead_store import (
    Change,
    Entry,
    FollowedStore,
    clock,
)
from result import Err

from bendlead_gateway._fleet.claims import Claims
from bendlead_gateway._fleet.exchanges import Exchanges
from bendlead_gateway._fleet.links import Link, Links
from bendlead_gateway._fleet.loads import LoadTable
from bendlead_gateway._fleet.news import (
    LoadNews,
    OnTeams,
    counts_of_teams,
    ignore_teams,
    urgent_part,
)
from bendlead_gateway._fleet.peer import QUIET_SECONDS, Peer
from bendlead_gateway._fleet.probe import refuses_connections
from bendlead_gateway._fleet.processes import Processes
from bendlead_gateway._fleet.registration import Registration
from bendlead_gateway._fleet.survey import CUT_SECONDS, Survey
from bendlead_gateway._fleet.wire import ReportWire
from bendlead_gateway._health.shared import SharedHealth
from bendlead_gateway._log import Log
from bendlead_gateway._suspects.suspects import Suspects
from bendlead_gateway._teams.quota import Group
from bendlead_gateway.dialect import Dialect
from bendlead_gateway.types import EngineId, NodeName, NodeRole, PeerRecord

_PROBE_SECONDS = 0.1
#: Until the peers are listed there may be as many entries as this; each lets
#: its share of a team's limit through.
_ENTRIES_UNTIL_LISTED = 300


class PeerTable:
    """Know the peers and exchange reports with each of them."""

    def __init__(
        self,
        own: PeerRecord,
        store: FollowedStore,
        dialect: Dialect,
        loads: LoadTable,
        log: Log,
        report: Callable[[], NodeReport],
        on_report: Callable[[NodeReport], None],
        on_teams: OnTeams = ignore_teams,
        levels: Callable[[], dict[str, float]] = dict,
    ) -> None:
        self._own = own
        self._registration = Registration(own, store, dialect, log)
        self._dialect = dialect
        self._loads = loads
        self._log = log
        self._report = report
        self._on_report = on_report
        self._on_teams = on_teams
        self._levels = levels
        self.wire = ReportWire(own.hall, log)
        self._links = Links()
        self._news = LoadNews(own.node, loads, self._links, on_teams)
        self._peers: dict[NodeName, Peer] = {}
        self._survey = Survey(own.hall, self._peers, loads)
        self._listed = False
        #: What is exchanged of suspected requests, if anything is.
        self.suspects: Suspects | None = None
        #: What is exchanged of engines that failed, if anything is.
        self.shared_health: SharedHealth | None = None
        self.exchanges = Exchanges(
            own.hall, self.wire, self._report_to, self._hear, self._has_news
        )
        self.processes = Processes(own, loads, self._peers)
        self.claims = Claims(self._live)

    def reset(self, entries: Sequence[Entry], after_outage: bool) -> None:
        """Take the whole list of processes."""
        self._listed = True
        listed = {entry.key: entry for entry in entries}
        for entry in entries:
            self._take(entry)
        self._lay_links()
        self._registration.check(listed.get(self._registration.key))

    def change(self, change: Change) -> None:
        """Take one change."""
        if not change.deleted:
            entry = Entry(change.key, change.version, change.body)
            if self._take(entry):
                self._lay_links()

    def exchange(self, body: bytes) -> bytes:
        """Take a peer's report and answer with our own."""
        report = self.wire.read_whole(body)
        self._hear(report)
        peer = self._peers.get(NodeName(report.node))
        return self.wire.write_whole(peer, self._report_to(peer))

    def exchange_changes(self, body: bytes) -> bytes:
        """Take what changed of a peer's report and answer with ours."""
        change = self.wire.read_change(body)
        peer = self._peers.get(NodeName(change.node))
        report = self.wire.take(peer, change) if peer else None
        if report is not None:
            self._hear(report)
        return self.wire.write_change(peer, self._report_to(peer))

    def peer(self, node: NodeName) -> Peer | None:
        """Give what is known of a peer that is listed."""
        return self._peers.get(node)

    def record_of(self, node: NodeName) -> PeerRecord | None:
        """Give the record of a peer that is listed."""
        peer = self._peers.get(node)
        return peer.record if peer else None

    def entry_group(self) -> Group:
        """Count the entries that are heard of lately, and all there may be."""
        if not self._listed:
            return Group(1, _ENTRIES_UNTIL_LISTED)
        heard = 1
        entries = 1
        cut = clock.uptime() - CUT_SECONDS
        for node, peer in self._peers.items():
            if peer.record.role is not NodeRole.ENTRY:
                continue
            known = self._loads.latest(node)
            if known is not None:
                peer.heard_of = known.heard
                heard += 1
            entries += max(peer.heard_of, peer.listed) > cut
        return Group(heard, entries)

    def strained_in_hall(self) -> list[bool]:
        """Tell of each entry of this hall that is heard if it is strained."""
        return [
            peer.report.strained
            for peer in self._live()
            if peer.report is not None
            and peer.record.hall == self._own.hall
            and peer.record.role is NodeRole.ENTRY
        ]

    def summary(self) -> dict[str, float]:
        """Show how long ago each peer was heard, for the state dump."""
        now = clock.uptime()
        return {
            node: round(now - peer.heard, 2) if peer.heard else -1
            for node, peer in self._peers.items()
        }

    def watch_owners(self) -> None:
        """Notice at once that the process of an owner has ended, for ever.

        Its machine refuses connections then; one that is cut off says nothing
        and counts until it has been silent for long.
        """
        while True:
            gevent.sleep(QUIET_SECONDS / 2)
            for peer in self._live():
                owner = peer.record.role is NodeRole.OWNER
                if owner and peer.quiet and _has_ended(peer.record):
                    peer.heard = 0
                    self._loads.forget(peer.record.node)
                    self._log.event('peer-ended', peer=peer.record.node)

    def _take(self, entry: Entry) -> bool:
        """Take the record of a process; tell whether it is new."""
        decoded = self._dialect.peer(entry)
        if isinstance(decoded, Err):
            self._log.event('peer-unreadable', reason=decoded.err_value)
            return False
        record = decoded.ok_value
        known = self._peers.get(record.node)
        same = known is not None and known.record == record
        if same or record.node == self._own.node:
            return False
        if known is not None and known.task is not None:
            known.task.kill(block=False)
        self._peers[record.node] = Peer(record)
        self._log.event('peer-listed', peer=record.node, address=record.address)
        return True

    def _lay_links(self) -> None:
        """Find who is linked with whom, and talk to those linked here.

        The one of a pair whose name sorts first asks.
        """
        records = [peer.record for peer in self._peers.values()]
        self._links.lay([self._own, *records])
        for node, peer in self._peers.items():
            peer.link = self._links.between(self._own.node, node)
            peer.pause = self._links.pause(peer.link)
            asks = self._own.node < node and peer.link is not Link.NONE
            if asks and (peer.task is None or peer.task.dead):
                peer.task = gevent.spawn(self.exchanges.talk, peer)

    def _has_news(self, peer: Peer) -> bool:
        """Tell whether a peer should hear of something at once."""
        if peer.told_state != urgent_part(self._report()):
            return True
        if self.suspects and self.suspects.news(peer.suspects_told)[1]:
            return True
        if peer.link is not Link.CLOSE:
            return False
        shared = self.shared_health
        if shared and shared.updates_after(peer.evidence_told)[1]:
            return True
        return self._news.any_for(peer)

    def _report_to(self, peer: Peer | None) -> NodeReport:
        """Make the report for one peer, with what it misses or may know."""
        report = self._report()
        report.takes_changes = True
        self._news.sign(report)
        if peer is not None:
            peer.told_state = urgent_part(report)
            report.told = self._news.tell(peer)
            if self.suspects:
                peer.suspects_told, report.suspects = self.suspects.news(
                    peer.suspects_told
                )
            report.missed = self._survey.missed_by(peer.record.node)
            shared = self.shared_health
            if shared and peer.link is Link.CLOSE:
                peer.evidence_told, news = shared.updates_after(
                    peer.evidence_told
                )
                report.evidence = news
            if peer.report is not None and peer.report.asks_levels:
                report.levels = self._levels()
        return report

    def _hear(self, report: NodeReport) -> None:
        node = NodeName(report.node)
        peer = self._peers.get(node)
        if peer is None:
            # It is listed within moments; the store tells its address.
            return
        if peer.silent:
            self._log.event('peer-heard', peer=node)
            # It may be a process that has just started and knows nothing.
            peer.suspects_told = 0
            peer.evidence_told = 0
        peer.report = report
        peer.takes_changes = report.takes_changes
        peer.heard = clock.uptime()
        peer.missed = report.missed
        self._news.take(peer, report.told)
        if self.suspects:
            self.suspects.hear(report.suspects)
        self._on_report(report)
        teams = counts_of_teams(report)
        self._loads.report(
            node,
            {EngineId(name): count for name, count in report.online.items()},
            {EngineId(name): count for name, count in report.batch.items()},
            version=report.version,
            teams=teams,
        )
        self._on_teams(node, teams, report.version, peer.heard)

    def _live(self) -> list[Peer]:
        return [peer for peer in self._peers.values() if not peer.silent]


def _has_ended(record: PeerRecord) -> bool:
    return refuses_connections(record.address, _PROBE_SECONDS)
