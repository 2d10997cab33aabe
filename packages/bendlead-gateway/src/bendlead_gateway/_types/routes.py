"""Routes, services and limits that operators configure."""

import enum
from collections.abc import Mapping, Sequence

from msgspec import Struct, field

from bendlead_gateway._types.ids import ServiceName
from bendlead_gateway._types.teams import Team


class RouteKind(enum.Enum):
    """Say how the requests of a route may be repeated."""

    SAFE = 'safe'
    UNSAFE = 'unsafe'
    STREAM = 'stream'
    BATCH = 'batch'


class ServiceShare(Struct, frozen=True):
    """Give a service its weight among those a route is split over."""

    service: ServiceName
    weight: int


class Route(Struct, frozen=True):
    """Say where requests of a host and path go and what may be done to them.

    Times are in seconds.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    shares: Sequence[ServiceShare]
    timeout: float
    target: float
    max_attempts: int
    resumable: bool = False
    priority: int = 0
    gap_target: float = 0
    run_target: float = 0
    retention: float = 0
    max_waiting_tokens: int = 0
    #: Whether requests without a key are served.
    public: bool = False

    @property
    def repeatable(self) -> bool:
        """Tell whether a request may run again after an unknown outcome."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.SAFE


class Service(Struct, frozen=True):
    """Describe the engines of one service."""

    name: ServiceName
    health_path: str
    connection_limit: int


class ClientLimits(Struct, frozen=True):
    """Bound what a client may send (bytes) and how long it takes (s)."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_seconds: float = 3
    idle_seconds: float = 15


class Configuration(Struct, frozen=True):
    """Hold one whole version of what operators configured."""

    version: int
    routes: Sequence[Route]
    services: Mapping[ServiceName, Service]
    limits: ClientLimits = field(default_factory=ClientLimits)
    #: Where there are teams, requests carry the key of one.
    teams: Sequence[Team] = ()
