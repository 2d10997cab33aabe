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
from bendlead_gateway._http.idle_connections import IdleConnections

__all__ = (
    'CloseDelimitedError',
    'Framing',
    'HttpConnection',
    'IdleConnections',
    'Response',
    'ResponseError',
    'ResponseHead',
    'ResponseTimeoutError',
)
