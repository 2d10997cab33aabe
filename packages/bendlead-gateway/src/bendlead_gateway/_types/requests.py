"""What clients send."""

from collections.abc import Sequence

from msgspec import Struct

from bendlead_gateway._types.ids import RequestId

Headers = Sequence[tuple[str, str]]


class RequestFacts(Struct, frozen=True):
    """Hold what the head of a client's request says to the gateway.

    ``patience`` is how long the client waits, in seconds, where it tells.
    ``resume_after`` is the last event the client has, where it resumes.
    """

    request: RequestId
    host: str
    patience: float | None = None
    resume_after: int | None = None
