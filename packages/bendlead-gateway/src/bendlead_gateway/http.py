"""The HTTP/1.1 connection that the gateway and its adapters share."""

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
