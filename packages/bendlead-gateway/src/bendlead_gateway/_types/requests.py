"""Metadata of client requests."""

from collections.abc import Sequence

from msgspec import Struct

from bendlead_gateway._types.ids import PromptPart, RequestId

Headers = Sequence[tuple[str, str]]


class RequestFacts(Struct, frozen=True):
    """Request metadata that the gateway reads from a client's headers.

    ``timeout`` is the client's timeout in seconds, if given.
    ``resume_after`` is the id of the last event received, for a resumed stream.
    ``resumes`` is the id of the request that received its first event, ``None``
    unless exactly one is named.
    ``shared_parts`` are the parts of the prompt that other requests may share.
    """

    request: RequestId
    host: str
    timeout: float | None = None
    resume_after: int | None = None
    resumes: RequestId | None = None
    shared_parts: tuple[PromptPart, ...] = ()
