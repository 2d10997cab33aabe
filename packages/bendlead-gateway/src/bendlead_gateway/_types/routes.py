"""Configuration of routes, services and client limits."""

import enum
from collections.abc import Mapping, Sequence

from msgspec import Struct, field

from bendlead_gateway._types.ids import ServiceName
from bendlead_gateway._types.teams import Team
from bendlead_gateway.numbers import Integer, Natural, Seconds


class RouteKind(enum.Enum):
    """Kind of a route, which decides how its requests may be retried."""

    SAFE = 'safe'
    UNSAFE = 'unsafe'
    STREAM = 'stream'
    BATCH = 'batch'


class ServiceShare(Struct, frozen=True):
    """Weight of a service in the traffic split of a route."""

    service: ServiceName
    weight: Integer


class Route(Struct, frozen=True):
    """Routing rule for the requests of one host and path prefix.

    Times are in seconds.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    shares: Sequence[ServiceShare]
    timeout: Seconds
    target: Seconds
    max_attempts: Natural
    resumable: bool = False
    priority: Integer = 0
    gap_target: Seconds = 0
    run_target: Seconds = 0
    retention: Seconds = 0
    max_waiting_tokens: Natural = 0
    #: Whether requests without a team key are accepted.
    public: bool = False

    @property
    def repeatable(self) -> bool:
        """Whether a request may be retried after an unknown outcome."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.SAFE


class Service(Struct, frozen=True):
    """Settings for the engines of one service."""

    name: ServiceName
    health_path: str
    connection_limit: Integer


class ClientLimits(Struct, frozen=True):
    """Size limits and timeouts for client requests."""

    header_bytes: Natural = 16_384
    body_bytes: Natural = 4_194_304
    header_seconds: Seconds = 3
    idle_seconds: Seconds = 15


class Configuration(Struct, frozen=True):
    """One version of the complete configuration."""

    version: Natural
    routes: Sequence[Route]
    services: Mapping[ServiceName, Service]
    limits: ClientLimits = field(default_factory=ClientLimits)
    #: If not empty, requests must carry a team key, except on public routes.
    teams: Sequence[Team] = ()
