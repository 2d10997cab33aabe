"""Discover the peer processes and exchange reports with them."""

from collections.abc import Callable, Sequence

import gevent
from bendlead_schema.gateway import NodeReport
from bendlead_store import (
    Change,
    Entry,
    FollowedStore,
    clock,
)
from bendlead_store.tasks import attempt, for_each, keep_running
from result import Err

from bendlead_gateway._fleet.claims import Claims
from bendlead_gateway._fleet.links import Link, Links
from bendlead_gateway._fleet.load_relay import (
    LoadRelay,
    OnTeamCounts,
    ignore_team_counts,
    team_counts,
    urgent_state,
)
from bendlead_gateway._fleet.loads import LoadTable
from bendlead_gateway._fleet.peer import PROBE_AFTER_SECONDS, Peer
from bendlead_gateway._fleet.probe import refuses_connections
from bendlead_gateway._fleet.processes import Processes
from bendlead_gateway._fleet.registration import Registration
from bendlead_gateway._fleet.relay_requests import (
    MAX_SILENCE_SECONDS,
    RelayRequests,
)
from bendlead_gateway._fleet.report_codec import ReportCodec
from bendlead_gateway._fleet.report_exchanger import ReportExchanger
from bendlead_gateway._health.shared import SharedHealth
from bendlead_gateway._log import Log
from bendlead_gateway._streams.holder_ring import HolderRing
from bendlead_gateway._suspects.suspects import Suspects
from bendlead_gateway._teams.quota import EntryGroup
from bendlead_gateway.dialect import Dialect
from bendlead_gateway.types import EngineId, NodeName, NodeRole, PeerRecord

_PROBE_TIMEOUT_SECONDS = 0.1
#: Number of entries assumed until the peers are listed; limits of teams are
#: divided by it.
_ASSUMED_ENTRIES = 300


class PeerTable:
    """Table of the peers, with which reports are exchanged."""

    def __init__(
        self,
        own: PeerRecord,
        store: FollowedStore,
        dialect: Dialect,
        loads: LoadTable,
        log: Log,
        report: Callable[[], NodeReport],
        on_report: Callable[[NodeReport], None],
        on_teams: OnTeamCounts = ignore_team_counts,
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
        self.codec = ReportCodec(own.hall, log)
        self._links = Links()
        #: Processes that may keep the origins of streams.
        self.holders = HolderRing()
        self._relay = LoadRelay(own.node, loads, self._links, log, on_teams)
        self._peers: dict[NodeName, Peer] = {}
        self._relay_requests = RelayRequests(own.hall, self._peers, loads, log)
        self._listed = False
        #: Source and sink of updates on suspects, if they are exchanged.
        self.suspects: Suspects | None = None
        #: Source and sink of updates on engine health, if they are exchanged.
        self.shared_health: SharedHealth | None = None
        self.exchanger = ReportExchanger(
            own.hall,
            self.codec,
            self._build_report,
            self._on_peer_report,
            self._has_updates,
        )
        self.processes = Processes(own, loads, self._peers)
        self.claims = Claims(self._live)

    def reset(self, entries: Sequence[Entry], after_outage: bool) -> None:
        """Apply the complete list of processes."""
        self._listed = True
        listed = {entry.key: entry for entry in entries}
        for entry in entries:
            attempt('peer-entry', self._log.task_failed, self._add, entry)
        self._rebuild_links()
        self._registration.check(listed.get(self._registration.key))

    def change(self, change: Change) -> None:
        """Apply one change to the list of processes."""
        if change.deleted:
            # A changed one may be that of the process that replaces this one.
            if change.key == self._registration.key:
                self._registration.check(None)
            return
        entry = Entry(change.key, change.version, change.body)
        if self._add(entry):
            self._rebuild_links()

    def exchange(self, body: bytes) -> bytes:
        """Apply a peer's full report and return the own one, encoded."""
        report = self.codec.decode_full(body)
        self._on_peer_report(report)
        peer = self._peers.get(NodeName(report.node))
        return self.codec.encode_full(peer, self._build_report(peer))

    def exchange_changes(self, body: bytes) -> bytes:
        """Apply a peer's report and return the own one, both as changes."""
        change = self.codec.decode_change(body)
        peer = self._peers.get(NodeName(change.node))
        report = self.codec.apply(peer, change) if peer else None
        if report is not None:
            self._on_peer_report(report)
        return self.codec.encode_change(peer, self._build_report(peer))

    def peer(self, node: NodeName) -> Peer | None:
        """Return the state of a listed peer."""
        return self._peers.get(node)

    def record_of(self, node: NodeName) -> PeerRecord | None:
        """Return the record of a listed peer."""
        peer = self._peers.get(node)
        return peer.record if peer else None

    def entry_group(self) -> EntryGroup:
        """Count the entries that currently report, and all there may be."""
        if not self._listed:
            return EntryGroup(1, _ASSUMED_ENTRIES)
        reporting = 1
        entries = 1
        oldest = clock.uptime() - MAX_SILENCE_SECONDS
        for node, peer in self._peers.items():
            if peer.record.role is not NodeRole.ENTRY:
                continue
            load = self._loads.latest(node)
            if load is not None:
                peer.counts_received_at = load.reported_at
                reporting += 1
            entries += max(peer.counts_received_at, peer.listed_at) > oldest
        return EntryGroup(reporting, entries)

    def strained_in_hall(self) -> list[bool]:
        """Return the strained flag of each live entry of this hall."""
        return [
            peer.report.strained
            for peer in self._live()
            if peer.report is not None
            and peer.record.hall == self._own.hall
            and peer.record.role is NodeRole.ENTRY
        ]

    def summary(self) -> dict[str, float]:
        """Return the seconds since each peer's report, for the state dump."""
        now = clock.uptime()
        return {
            node: round(now - peer.last_report_at, 2)
            if peer.last_report_at
            else -1
            for node, peer in self._peers.items()
        }

    def seems_down(self, node: NodeName) -> bool:
        """Return whether a peer that should report here does not."""
        peer = self._peers.get(node)
        return peer is None or (peer.link is not Link.NONE and peer.is_down)

    def watch_owners(self) -> None:
        """Detect that the process of an owner has ended; runs forever.

        A machine whose process has ended refuses connections. An owner that is
        merely unreachable counts until its silence exceeds the limit.
        """
        while True:
            gevent.sleep(PROBE_AFTER_SECONDS / 2)
            for_each(self._check_owner, self._live())

    def _check_owner(self, peer: Peer) -> None:
        owner = peer.record.role is NodeRole.OWNER
        if owner and peer.needs_probe and _has_ended(peer.record):
            peer.last_report_at = 0
            self._loads.forget(peer.record.node)
            self._log.event('peer-ended', peer=peer.record.node)

    def _add(self, entry: Entry) -> bool:
        """Store the record of a process; return whether it is new."""
        decoded = self._dialect.peer(entry)
        if isinstance(decoded, Err):
            self._log.event('peer-unreadable', reason=decoded.err_value)
            return False
        record = decoded.ok_value
        previous = self._peers.get(record.node)
        same = previous is not None and previous.record == record
        if same or record.node == self._own.node:
            return False
        if previous is not None and previous.task is not None:
            previous.task.kill(block=False)
        self._peers[record.node] = Peer(record)
        self._log.event('peer-listed', peer=record.node, address=record.address)
        return True

    def _rebuild_links(self) -> None:
        """Recompute the links and start the exchanges over the own ones.

        In each pair the process whose name sorts first is the client.
        """
        records = [peer.record for peer in self._peers.values()]
        self._links.rebuild([self._own, *records])
        self.holders.rebuild([self._own, *records])
        for node, peer in self._peers.items():
            peer.link = self._links.between(self._own.node, node)
            peer.interval = self._links.interval(peer.link)
            is_client = self._own.node < node and peer.link is not Link.NONE
            if is_client and (peer.task is None or peer.task.dead):
                peer.task = keep_running(
                    'reports', self._log.task_failed, self.exchanger.run, peer
                )

    def _has_updates(self, peer: Peer) -> bool:
        """Return whether an update should be sent to the peer at once."""
        if peer.sent_state != urgent_state(self._report()):
            return True
        if self.suspects and self.suspects.updates_after(peer.suspects_sent)[1]:
            return True
        if peer.link is not Link.CLOSE:
            return False
        shared = self.shared_health
        if shared and shared.updates_after(peer.evidence_sent)[1]:
            return True
        return self._relay.has_reports_for(peer)

    def _build_report(self, peer: Peer | None) -> NodeReport:
        """Build the report for a peer, with the updates that it lacks."""
        report = self._report()
        report.takes_changes = True
        self._relay.set_version(report)
        if peer is not None:
            peer.sent_state = urgent_state(report)
            report.told = self._relay.reports_for(peer)
            if self.suspects:
                peer.suspects_sent, report.suspects = (
                    self.suspects.updates_after(peer.suspects_sent)
                )
            report.missed = self._relay_requests.missing_for(peer.record.node)
            shared = self.shared_health
            if shared and peer.link is Link.CLOSE:
                peer.evidence_sent, updates = shared.updates_after(
                    peer.evidence_sent
                )
                report.evidence = updates
            if peer.report is not None and peer.report.asks_levels:
                report.levels = self._levels()
        return report

    def _on_peer_report(self, report: NodeReport) -> None:
        node = NodeName(report.node)
        peer = self._peers.get(node)
        if peer is None:
            # Its record has not arrived from the store yet.
            return
        if peer.is_down:
            self._log.event('peer-heard', peer=node)
            # The process may have restarted and lost its state.
            peer.suspects_sent = 0
            peer.evidence_sent = 0
        peer.report = report
        peer.takes_changes = report.takes_changes
        peer.last_report_at = clock.uptime()
        peer.missing_nodes = report.missed
        self._relay.receive(peer, report.told)
        if self.suspects:
            self.suspects.receive(report.suspects)
        self._on_report(report)
        teams = team_counts(report)
        self._loads.report(
            node,
            {EngineId(name): count for name, count in report.online.items()},
            {EngineId(name): count for name, count in report.batch.items()},
            version=report.version,
            teams=teams,
        )
        self._on_teams(node, teams, report.version, peer.last_report_at)

    def _live(self) -> list[Peer]:
        return [peer for peer in self._peers.values() if not peer.is_down]


def _has_ended(record: PeerRecord) -> bool:
    return refuses_connections(record.address, _PROBE_TIMEOUT_SECONDS)
