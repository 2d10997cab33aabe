"""Pass on what other processes told of their requests."""

import time
from collections.abc import Callable, Mapping, Sequence

from bendlead_schema.gateway import NodeReport, ToldLoad
from bendlead_store import clock
from msgspec import Struct

from bendlead_gateway._fleet.links import Link, Links
from bendlead_gateway._fleet.loads import LoadTable, Report
from bendlead_gateway._fleet.peer import Peer
from bendlead_gateway._teams.told import TeamCounts
from bendlead_gateway.types import EngineId, NodeName, TeamName

_MS = 1000

#: Takes what a node let through, its number for that, and when it said so (s).
OnTeams = Callable[[NodeName, TeamCounts, int, float], None]


def ignore_teams(
    node: NodeName, told: TeamCounts, version: int, heard: float
) -> None:
    """Count no teams, as processes do that take no clients."""


#: A report that was told on more than once is older than it is worth; one that
#: is as old as this (s) is not told.
_OLDEST_TOLD = 1.0
#: Nodes that one report may ask for, or tell of in answer to that.
_MOST_NODES = 16
#: Nodes that one report tells of unasked; the others follow in the next.
_MOST_NEWS = 128
#: Counts that stay as they are get a new version after this long (s), since
#: what is told counts for 1.5 s only.
_REFRESH_SECONDS = 0.5


def urgent_part(report: NodeReport) -> object:
    """Give what peers should hear of as soon as it changes."""
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


class _OwnVersion(Struct):
    """Keep the version of this process's counts and since when it is so."""

    version: int = 0
    since: float = 0
    online: Mapping[str, int] | None = None
    batch: Mapping[str, int] | None = None
    teams: Mapping[str, int] | None = None


class LoadNews:
    """Tell loads on to peers that do not hear of them from where they are.

    A peer over a close link is told all that is new and not linked to it as
    closely. Any peer may ask for nodes it should hear and does not: without
    them an owner would start items on engines that are full of the requests
    of entries it does not hear, and the entries would count on them.
    """

    def __init__(
        self,
        own: NodeName,
        loads: LoadTable,
        links: Links,
        on_teams: OnTeams = ignore_teams,
    ) -> None:
        self._own = own
        self._on_teams = on_teams
        self._loads = loads
        self._links = links
        self._own_version = _OwnVersion()

    def sign(self, report: NodeReport) -> None:
        """Give a report of this process the version of its counts."""
        last = self._own_version
        now = clock.uptime()
        changed = (
            report.online != last.online
            or report.batch != last.batch
            or report.teams != last.teams
        )
        # Who counts teams has to be heard of, also while nothing runs there.
        wanted = bool(report.online or report.batch or report.life)
        if changed or (wanted and now - last.since > _REFRESH_SECONDS):
            # Versions go on rising after a restart.
            version = max(last.version + 1, round(time.time() * _MS))
            self._own_version = _OwnVersion(
                version, now, report.online, report.batch, report.teams
            )
        report.version = self._own_version.version

    def tell(self, peer: Peer) -> list[ToldLoad]:
        """Tell what a peer asked for and what is new to it."""
        told: list[ToldLoad] = []
        for name in peer.missed[:_MOST_NODES]:
            known = self._loads.latest(NodeName(name))
            if known is not None and known.age < _OLDEST_TOLD:
                told.append(_told(NodeName(name), known))
        if peer.link is Link.CLOSE:
            told.extend(self._news(peer))
        return told

    def any_for(self, peer: Peer) -> bool:
        """Tell whether there is anything new to tell a peer of others."""
        arrived = self._loads.since(peer.told_until)
        return any(self._wants(peer, node, known) for node, known in arrived)

    def take(self, peer: Peer, told: Sequence[ToldLoad]) -> None:
        """Take what a peer tells of others; what is newer stays."""
        now = clock.uptime()
        for one in told:
            node = NodeName(one.node)
            if node == self._own:
                continue
            peer.knows[node] = one.version
            teams = counts_of_teams(one)
            age = one.age_ms / _MS
            self._loads.report(
                node,
                {EngineId(name): count for name, count in one.online.items()},
                {EngineId(name): count for name, count in one.batch.items()},
                age,
                one.version,
                teams,
            )
            self._on_teams(node, teams, one.version, now - age)

    def _news(self, peer: Peer) -> list[ToldLoad]:
        told: list[ToldLoad] = []
        for node, known in self._loads.since(peer.told_until):
            if len(told) == _MOST_NEWS:
                break
            peer.told_until = known.arrival
            if self._wants(peer, node, known):
                peer.knows[node] = known.version
                told.append(_told(node, known))
        return told

    def _wants(self, peer: Peer, node: NodeName, known: Report) -> bool:
        receiver = peer.record.node
        if node == receiver or known.age > _OLDEST_TOLD:
            return False
        if peer.knows.get(node, -1) >= known.version:
            return False
        if not self._links.carries(self._own, receiver, node):
            return False
        return self._links.between(receiver, node) is not Link.CLOSE


def _told(node: NodeName, known: Report) -> ToldLoad:
    return ToldLoad(
        node=node,
        age_ms=round(known.age * _MS),
        version=known.version,
        online=dict(known.online),
        batch=dict(known.batch),
        life=known.teams.life,
        teams=dict(known.teams.counts),
    )


def counts_of_teams(said: NodeReport | ToldLoad) -> TeamCounts:
    """Read what a node let through of each team."""
    return TeamCounts(
        said.life,
        {TeamName(name): count for name, count in said.teams.items()},
    )
