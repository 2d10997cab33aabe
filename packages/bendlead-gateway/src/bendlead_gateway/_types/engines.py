"""Engines and what their answers mean."""

import enum

from msgspec import Struct

from bendlead_gateway._types.ids import (
    DataHall,
    EngineId,
    RequestId,
    ServiceName,
)


class EngineState(enum.Enum):
    """Say whether an engine takes new requests."""

    READY = 'ready'
    DRAINING = 'draining'


class Engine(Struct, frozen=True):
    """Describe one life of an engine as service discovery tells it.

    ``born`` tells the lives of an engine apart; 0 where it is not told.
    """

    engine: EngineId
    service: ServiceName
    address: str
    hall: DataHall
    slots: int
    state: EngineState
    warmup: float = 0
    born: int = 0


class EngineAnswer(Struct, frozen=True):
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
