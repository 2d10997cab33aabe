"""HTTP/1.1 client shared by the gateway and its platform adapters."""

from bendlead_gateway._http.client import (
    BrokenAnswerError,
    HttpConnection,
    Response,
    ResponseHead,
    SilentPeerError,
)

__all__ = (
    'BrokenAnswerError',
    'HttpConnection',
    'Response',
    'ResponseHead',
    'SilentPeerError',
)
