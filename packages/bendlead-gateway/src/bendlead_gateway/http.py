"""HTTP/1.1 client shared by the gateway and its platform adapters."""

from bendlead_gateway._http.client import (
    CloseDelimitedError,
    HttpConnection,
    Response,
    ResponseError,
    ResponseHead,
    ResponseTimeoutError,
)
from bendlead_gateway._http.framing import Framing

__all__ = (
    'CloseDelimitedError',
    'Framing',
    'HttpConnection',
    'Response',
    'ResponseError',
    'ResponseHead',
    'ResponseTimeoutError',
)
