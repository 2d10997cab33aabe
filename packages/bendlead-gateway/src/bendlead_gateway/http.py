"""HTTP/1.1 client shared by the gateway and its platform adapters."""

from bendlead_gateway._http.client import (
    HttpConnection,
    Response,
    ResponseError,
    ResponseHead,
    ResponseTimeoutError,
)

__all__ = (
    'HttpConnection',
    'Response',
    'ResponseError',
    'ResponseHead',
    'ResponseTimeoutError',
)
