"""Why a connection ended before a response was complete."""

import enum

from msgspec import Struct


class EndReason(enum.Enum):
    """Cause of the end of a connection, as logged."""

    CLIENT_CLOSED = 'client closed'
    INVALID_BYTES = 'invalid bytes behind the request'
    EARLIER_RESPONSE = 'closed after an earlier response'
    CONNECTION_ERROR = 'connection error'
    WRITE_FAILED = 'write failed'
    HANDLER_ERROR = 'handler error'
    ABORTED = 'aborted by handler'
    PROCESS_ENDS = 'process ends'


class ConnectionEnd(Struct, frozen=True):
    """End of a connection: its cause and details of it."""

    reason: EndReason
    detail: str = ''
