"""Engines and the interpretation of their responses."""

import enum

from msgspec import Struct

from bendlead_gateway._types.ids import (
    DataHall,
    EngineId,
    EngineVersion,
    RequestId,
    ServiceName,
)


class EngineState(enum.Enum):
    """Whether an engine accepts new requests."""

    READY = 'ready'
    DRAINING = 'draining'


class Engine(Struct, frozen=True):
    """One incarnation of an engine as listed by service discovery.

    ``born`` is the start time of the incarnation in milliseconds since the
    epoch, 0 if not given; ``warmup`` is the warm-up time in seconds.
    ``version`` is the version of its software, empty if not given.
    """

    engine: EngineId
    service: ServiceName
    address: str
    hall: DataHall
    slots: int
    state: EngineState
    warmup: float = 0
    born: int = 0
    version: EngineVersion = EngineVersion('')


class EngineAnswer(Struct, frozen=True):
    """What the status and headers of an engine's response say.

    ``request`` is the id of the request that the response belongs to, if given.
    ``not_run`` is true if the engine reports that it did not run the request.
    ``misdirected`` is true if another engine now has the address.
    ``closing`` is true if the engine closes the connection afterwards.
    ``idle_seconds`` is the engine's keep-alive timeout, if given.
    ``engine`` is the id of the engine that responds, if given.
    """

    request: RequestId | None
    not_run: bool
    misdirected: bool
    closing: bool
    idle_seconds: float | None
    engine: EngineId | None = None
