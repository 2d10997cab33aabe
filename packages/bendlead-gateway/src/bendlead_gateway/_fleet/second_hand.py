"""What nodes that are not heard here told their other peers."""

from collections.abc import Sequence

from bendlead_schema.gateway import ToldLoad

from bendlead_gateway._fleet.loads import LoadTable
from bendlead_gateway.types import EngineId, NodeName

_MS = 1000
#: A report that was told on more than once is older than it is worth; one that
#: is as old as this (s) is not told.
_OLDEST_TOLD = 1.0
#: Nodes that one report may ask for or tell of.
_MOST_NODES = 16


class SecondHand:
    """Tell loads on to a peer that is cut off from where they are.

    Without them an owner would start items on engines that are full of the
    requests of entries it does not hear, and the entries would count on them.
    """

    def __init__(self, loads: LoadTable) -> None:
        self._loads = loads

    def tell(self, missed: Sequence[str]) -> list[ToldLoad]:
        """Tell what is known of the nodes that a peer does not hear."""
        told: list[ToldLoad] = []
        for name in missed[:_MOST_NODES]:
            known = self._loads.latest(NodeName(name))
            if known is None or known.age > _OLDEST_TOLD:
                continue
            told.append(
                ToldLoad(
                    node=name,
                    age_ms=round(known.age * _MS),
                    online=dict(known.online),
                    batch=dict(known.batch),
                ),
            )
        return told

    def take(self, told: Sequence[ToldLoad]) -> None:
        """Take what a peer tells of others; what is newer stays."""
        for one in told[:_MOST_NODES]:
            self._loads.report(
                NodeName(one.node),
                {EngineId(name): count for name, count in one.online.items()},
                {EngineId(name): count for name, count in one.batch.items()},
                one.age_ms / _MS,
            )
