"""Relay the loads that other processes reported."""

import time
from collections.abc import Callable, Mapping, Sequence

from bendlead_schema.gateway import NodeReport, ToldLoad
from bendlead_store import clock
from msgspec import Struct

from bendlead_gateway._fleet.links import Link, Links
from bendlead_gateway._fleet.loads import (
    LoadTable,
    PeerLoad,
    format_ages,
)
from bendlead_gateway._fleet.peer import Peer
from bendlead_gateway._log import Log
from bendlead_gateway._teams.reported_counts import TeamCounts
from bendlead_gateway.types import EngineId, NodeName, TeamName

_MS_PER_SECOND = 1000

#: Called with a node, its counts of admitted requests by team, their version
#: and the time of its report.
OnTeamCounts = Callable[[NodeName, TeamCounts, int, float], None]


def ignore_team_counts(
    node: NodeName, counts: TeamCounts, version: int, reported_at: float
) -> None:
    """Ignore counts by team, in processes that admit no clients."""


#: Reports of this age are no longer relayed.
_MAX_RELAYED_AGE_SECONDS = 1.0
#: Bound on the requested nodes whose reports are relayed in one report.
_MAX_REQUESTED_NODES = 16
#: Bound on further nodes in one report; the others follow in the next.
_MAX_RELAYED_NODES = 128
#: Unchanged counts get a new version after this time, before they expire at the
#: receiver.
_REFRESH_SECONDS = 0.5


def urgent_state(report: NodeReport) -> object:
    """Return the part of a report whose changes are sent at once."""
    return (
        report.online,
        report.batch,
        report.refused,
        report.teams,
        report.shards,
        report.configuration,
        report.sound,
        report.leaving,
        report.strained,
    )


class _OwnCounts(Struct):
    """Version of the own counts, and when it was set."""

    version: int = 0
    since: float = 0
    online: Mapping[str, int] | None = None
    batch: Mapping[str, int] | None = None
    teams: Mapping[str, int] | None = None


class LoadRelay:
    """Relay loads to peers that do not receive them directly.

    Close peers are sent all new reports of nodes that they are not closely
    linked with. Any peer may ask for nodes whose reports it misses, since an
    owner without them would start items on engines that are busy with online
    requests.
    """

    def __init__(
        self,
        own: NodeName,
        loads: LoadTable,
        links: Links,
        log: Log,
        on_teams: OnTeamCounts = ignore_team_counts,
    ) -> None:
        self._own = own
        self._on_teams = on_teams
        self._loads = loads
        self._links = links
        self._log = log
        self._own_counts = _OwnCounts()

    def set_version(self, report: NodeReport) -> None:
        """Set the version of the own counts in a report."""
        last = self._own_counts
        now = clock.uptime()
        changed = (
            report.online != last.online
            or report.batch != last.batch
            or report.teams != last.teams
        )
        # An idle process must refresh its counts too if it counts by team.
        needed = bool(report.online or report.batch or report.life)
        if changed or (needed and now - last.since > _REFRESH_SECONDS):
            # Based on wall-clock time, so that versions rise across restarts.
            version = max(last.version + 1, round(time.time() * _MS_PER_SECOND))
            self._own_counts = _OwnCounts(
                version, now, report.online, report.batch, report.teams
            )
        report.version = self._own_counts.version

    def reports_for(self, peer: Peer) -> list[ToldLoad]:
        """Return the reports that a peer asked for and those new to it."""
        relayed: list[ToldLoad] = []
        self._log_answer(peer)
        for name in peer.missing_nodes[:_MAX_REQUESTED_NODES]:
            peer_load = self._loads.latest(NodeName(name))
            if (
                peer_load is not None
                and peer_load.age < _MAX_RELAYED_AGE_SECONDS
            ):
                relayed.append(_to_relayed_load(NodeName(name), peer_load))
        if peer.link is Link.CLOSE:
            relayed.extend(self._new_reports(peer))
        return relayed

    def has_reports_for(self, peer: Peer) -> bool:
        """Return whether there are new reports to relay to a peer."""
        reports = self._loads.reported_after(peer.relayed_until)
        return any(
            self._should_relay(peer, node, peer_load)
            for node, peer_load in reports
        )

    def receive(self, peer: Peer, relayed: Sequence[ToldLoad]) -> None:
        """Store relayed reports that are newer than those stored."""
        now = clock.uptime()
        for load in relayed:
            node = NodeName(load.node)
            if node == self._own:
                continue
            peer.known_versions[node] = load.version
            teams = team_counts(load)
            age = load.age_ms / _MS_PER_SECOND
            self._loads.report(
                node,
                {EngineId(name): count for name, count in load.online.items()},
                {EngineId(name): count for name, count in load.batch.items()},
                age,
                load.version,
                teams,
            )
            self._on_teams(node, teams, load.version, now - age)

    def _log_answer(self, peer: Peer) -> None:
        """Log the ages of the reports that a peer newly asks for."""
        requested = peer.missing_nodes[:_MAX_REQUESTED_NODES]
        if requested == peer.answered_nodes:
            return
        peer.answered_nodes = requested
        held = {node: self._loads.latest(NodeName(node)) for node in requested}
        if any(held.values()):
            ages = {
                node: load.age if load else None for node, load in held.items()
            }
            self._log.event(
                'relay-answered',
                peer=peer.record.node,
                held=format_ages(ages),
            )

    def _new_reports(self, peer: Peer) -> list[ToldLoad]:
        relayed: list[ToldLoad] = []
        for node, peer_load in self._loads.reported_after(peer.relayed_until):
            if len(relayed) == _MAX_RELAYED_NODES:
                break
            peer.relayed_until = peer_load.sequence
            if self._should_relay(peer, node, peer_load):
                peer.known_versions[node] = peer_load.version
                relayed.append(_to_relayed_load(node, peer_load))
        return relayed

    def _should_relay(
        self, peer: Peer, node: NodeName, peer_load: PeerLoad
    ) -> bool:
        receiver = peer.record.node
        if node == receiver or peer_load.age > _MAX_RELAYED_AGE_SECONDS:
            return False
        if peer.known_versions.get(node, -1) >= peer_load.version:
            return False
        if not self._links.relays(self._own, receiver, node):
            return False
        return self._links.between(receiver, node) is not Link.CLOSE


def _to_relayed_load(node: NodeName, peer_load: PeerLoad) -> ToldLoad:
    return ToldLoad(
        node=node,
        age_ms=round(peer_load.age * _MS_PER_SECOND),
        version=peer_load.version,
        online=dict(peer_load.online),
        batch=dict(peer_load.batch),
        life=peer_load.teams.life,
        teams=dict(peer_load.teams.counts),
    )


def team_counts(report: NodeReport | ToldLoad) -> TeamCounts:
    """Return a node's counts of admitted requests by team."""
    return TeamCounts(
        report.life,
        {TeamName(name): count for name, count in report.teams.items()},
    )
