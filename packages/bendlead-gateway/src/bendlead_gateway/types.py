"""What the gateway knows of routes, engines, requests and jobs."""

import enum
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import NewType

RequestId = NewType('RequestId', str)
JobId = NewType('JobId', str)
ItemId = NewType('ItemId', str)
EngineId = NewType('EngineId', str)
ServiceName = NewType('ServiceName', str)
DataHall = NewType('DataHall', str)
NodeName = NewType('NodeName', str)

Headers = Sequence[tuple[str, str]]


class RouteKind(enum.Enum):
    """Say how the requests of a route may be repeated."""

    SAFE = 'safe'
    UNSAFE = 'unsafe'
    STREAM = 'stream'
    BATCH = 'batch'


class EngineState(enum.Enum):
    """Say whether an engine takes new requests."""

    READY = 'ready'
    DRAINING = 'draining'


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """Give a service its weight among those a route is split over."""

    service: ServiceName
    weight: int


@dataclass(frozen=True, slots=True)
class Route:
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

    @property
    def repeatable(self) -> bool:
        """Tell whether a request may run again after an unknown outcome."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.SAFE


@dataclass(frozen=True, slots=True)
class Service:
    """Describe the engines of one service."""

    name: ServiceName
    health_path: str
    connection_limit: int


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Bound what a client may send (bytes) and how long it takes (s)."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_seconds: float = 3
    idle_seconds: float = 15


@dataclass(frozen=True, slots=True)
class Configuration:
    """Hold one whole version of what operators configured."""

    version: int
    routes: Sequence[Route]
    services: Mapping[ServiceName, Service]
    limits: ClientLimits = field(default_factory=ClientLimits)


@dataclass(frozen=True, slots=True)
class Engine:
    """Describe one life of an engine as service discovery tells it."""

    engine: EngineId
    service: ServiceName
    address: str
    hall: DataHall
    slots: int
    state: EngineState
    warmup: float = 0


@dataclass(frozen=True, slots=True)
class RequestFacts:
    """Hold what the head of a client's request says to the gateway.

    ``patience`` is how long the client waits, in seconds, where it tells.
    ``resume_after`` is the last event the client has, where it resumes.
    """

    request: RequestId
    host: str
    patience: float | None = None
    resume_after: int | None = None


@dataclass(frozen=True, slots=True)
class JobItem:
    """Hold one request of a batch job."""

    item: ItemId
    path: str
    headers: Mapping[str, str]
    body: bytes
    tokens: int


@dataclass(frozen=True, slots=True)
class Submission:
    """Hold a batch job as a client hands it in."""

    job: JobId
    host: str
    path: str
    items: Sequence[JobItem]


@dataclass(frozen=True, slots=True)
class ReadResults:
    """Ask for the results of a job from a position on; wait in seconds."""

    job: JobId
    after: int
    wait: float


@dataclass(frozen=True, slots=True)
class ReadBody:
    """Ask for the body of one item."""

    job: JobId
    item: ItemId


@dataclass(frozen=True, slots=True)
class EndJob:
    """Ask for the end of a job."""

    job: JobId


JobCall = ReadResults | ReadBody | EndJob


class ItemOutcome(enum.Enum):
    """Say how an item ended."""

    COMPLETED = 'completed'
    GIVEN_UP = 'given_up'


@dataclass(frozen=True, slots=True)
class ItemResult:
    """Hold the final result of one item."""

    item: ItemId
    outcome: ItemOutcome
    text: str


@dataclass(frozen=True, slots=True)
class EngineAnswer:
    """Say what the head of an engine's answer means for the request.

    ``request`` names the request the answer is for, where it tells.
    ``not_run`` is the engine's word that it did not run the request.
    ``misdirected`` says that another engine has the address.
    ``idle_seconds`` is how long the engine keeps an idle connection.
    """

    request: RequestId | None
    not_run: bool
    misdirected: bool
    closing: bool
    idle_seconds: float | None


class NodeRole(enum.Enum):
    """Say what a process does."""

    ENTRY = 'entry'
    OWNER = 'owner'


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Hold what one process is told at its start; times in seconds."""

    node: NodeName
    role: NodeRole
    hall: DataHall
    address: str
    store_address: str
    internal_port: int
    last_internal_port: int
    clients_address: str | None
    ready_address: str | None
    descriptors: int
    memory_bytes: int
    grace: float
    drain: float
    settle: float
    status_kept: float
    value_bytes: int
    heartbeat: float


@dataclass(frozen=True, slots=True)
class PeerRecord:
    """Say where a process of ours answers its peers."""

    node: NodeName
    role: NodeRole
    hall: DataHall
    address: str


@dataclass(frozen=True, slots=True)
class StopOrder:
    """Ask to empty a node within some seconds, or tell that it is empty."""

    node: NodeName
    seconds: float
    revision: int
