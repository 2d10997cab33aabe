"""Gateway processes (nodes), their settings and their records."""

import enum

from msgspec import Struct, field

from bendlead_gateway._types.ids import DataHall, NodeName
from bendlead_gateway._types.teams import LimitWindow


class NodeRole(enum.Enum):
    """Role of a gateway process."""

    ENTRY = 'entry'
    OWNER = 'owner'


class NodeSettings(Struct, frozen=True):
    """Settings that a process is started with; times are in seconds."""

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
    status_retention: float
    limit_window: LimitWindow = field(default_factory=LimitWindow)
    #: Memory limit of the process in bytes; 0 if unknown.
    memory: int = 0


class PeerRecord(Struct, frozen=True):
    """Address and role of a gateway process, as published to its peers."""

    node: NodeName
    role: NodeRole
    hall: DataHall
    address: str


class StopOrder(Struct, frozen=True):
    """Order to drain a node within ``seconds``, or its completion."""

    node: NodeName
    seconds: float
    revision: int
