"""The processes of the gateway."""

import enum

from msgspec import Struct, field

from bendlead_gateway._types.ids import DataHall, NodeName
from bendlead_gateway._types.teams import LimitWindow


class NodeRole(enum.Enum):
    """Say what a process does."""

    ENTRY = 'entry'
    OWNER = 'owner'


class Features(Struct, frozen=True):
    """Say which decisions under load a deployment asks for.

    ``shared_health`` is for engines that fail while their health checks are
    good. ``waiting_room``, ``holds_items_back`` and ``turns_clients_away`` are
    for callers who press when places, or an entry's own means, run out.
    """

    shared_health: bool = False
    waiting_room: bool = False
    holds_items_back: bool = False
    turns_clients_away: bool = False


class NodeSettings(Struct, frozen=True):
    """Hold what one process is told at its start; times in seconds."""

    node: NodeName
    role: NodeRole
    hall: DataHall
    address: str
    store_address: str
    internal_port: int
    clients_address: str | None
    ready_address: str | None
    descriptors: int
    grace: float
    settle: float
    status_kept: float
    limit_window: LimitWindow = field(default_factory=LimitWindow)
    features: Features = field(default_factory=Features)
    #: Memory that the process may use (bytes); 0 if no bound is known.
    memory: int = 0


class PeerRecord(Struct, frozen=True):
    """Say where a process of ours answers its peers."""

    node: NodeName
    role: NodeRole
    hall: DataHall
    address: str


class StopOrder(Struct, frozen=True):
    """Ask to empty a node within some seconds, or tell that it is empty."""

    node: NodeName
    seconds: float
    revision: int
