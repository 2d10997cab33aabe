"""Find out which peers are not heard, and ask others for news of them.

News of a process goes to another hall over few links. While these are cut, or
those at their ends are gone, whoever hears the process is asked instead.
"""

import random
from collections.abc import Collection, Iterable, Mapping, Sequence

from bendlead_store import clock
from msgspec import Struct

from bendlead_gateway._fleet.links import Link
from bendlead_gateway._fleet.loads import LoadTable
from bendlead_gateway._fleet.peer import Peer
from bendlead_gateway.types import DataHall, NodeName

#: A peer that falls silent may only be cut off for this long (s).
CUT_SECONDS = 60.0
#: How many peers are asked, and how often (s) others are chosen.
_WITNESSES = 2
_SURVEY_SECONDS = 0.25
#: Counts are told anew every 0.5 s and count for 1.5 s; those of another hall
#: that are as old as this (s) come no more by the way they should.
_OVERDUE_SECONDS = 1.0
#: Nodes that one report asks for; others are drawn for the next.
_MOST_ASKED = 16


class _Found(Struct, frozen=True):
    """Keep who is not heard, and who is asked for news of them."""

    made: float = 0
    missed: Sequence[str] = ()
    witnesses: Collection[NodeName] = ()


class Survey:
    """Choose now and then whom to ask for whom."""

    def __init__(
        self,
        hall: DataHall,
        peers: Mapping[NodeName, Peer],
        loads: LoadTable,
    ) -> None:
        self._hall = hall
        self._peers = peers
        self._loads = loads
        self._found = _Found()

    def missed_by(self, node: NodeName) -> list[str]:
        """List the nodes for which a peer is asked."""
        now = clock.uptime()
        if now - self._found.made > _SURVEY_SECONDS:
            self._found = self._look(now)
        return list(self._found.missed) if node in self._found.witnesses else []

    def _look(self, now: float) -> _Found:
        near = [
            node
            for node, peer in self._peers.items()
            if peer.link is Link.CLOSE and not peer.is_down
        ]
        chosen = random.sample(near, min(_WITNESSES, len(near)))
        missed = list(self._missed(now))
        if len(missed) > _MOST_ASKED:
            missed = random.sample(missed, _MOST_ASKED)
        return _Found(now, missed, frozenset(chosen))

    def _missed(self, now: float) -> Iterable[str]:
        """Find the peers that may run requests and are not heard here."""
        cut = now - CUT_SECONDS
        for node, peer in self._peers.items():
            if peer.link is not Link.CLOSE:
                if self._is_overdue(peer):
                    yield node
            elif (
                peer.loads_overdue
                and max(peer.last_report_at, peer.listed_at) > cut
            ):
                yield node

    def _is_overdue(self, peer: Peer) -> bool:
        """Tell whether counts of a peer of another hall stay away."""
        if peer.record.hall == self._hall:
            return False
        age = self._loads.age_of(peer.record.node)
        return age is not None and _OVERDUE_SECONDS < age < CUT_SECONDS
