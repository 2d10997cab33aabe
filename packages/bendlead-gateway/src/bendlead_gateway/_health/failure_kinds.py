"""Classify connection errors and responses as engine failures."""

import errno
from http import HTTPStatus

from bendlead_gateway._health.observation import FailureKind
from bendlead_gateway._http.client import ResponseTimeoutError

#: Local resource or network errors, which are not the engine's fault.
_LOCAL_ERRNOS = frozenset(
    (
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.EADDRNOTAVAIL,
        errno.ENETDOWN,
        errno.ENETUNREACH,
    )
)


def classify_error(error: OSError) -> FailureKind | None:
    """Return the failure kind of a connection error, None if it is local."""
    if error.errno in _LOCAL_ERRNOS:
        return None
    if isinstance(error, ConnectionRefusedError):
        return FailureKind.REFUSED
    if is_silence(error):
        return FailureKind.SILENT
    return FailureKind.BROKEN


def is_silence(error: OSError) -> bool:
    """Return whether a connection error is that nothing came in time."""
    return isinstance(error, TimeoutError | ResponseTimeoutError)


def classify_status(status: int) -> FailureKind | None:
    """Return the failure kind of a response status, None if it is no failure.

    A 504 is no failure: a full engine sends it for a request that reached its
    deadline. Nor is a 4xx, where the request is at fault.
    """
    if status == HTTPStatus.GATEWAY_TIMEOUT:
        return None
    if status < HTTPStatus.INTERNAL_SERVER_ERROR:
        return None
    return FailureKind.ERROR


def classify_missing_response(error: OSError, *, replaced: bool) -> FailureKind:
    """Return the failure kind of a request that got no response.

    A request that is retried on another engine before its deadline may only
    have been slow to start.
    """
    if not isinstance(error, ResponseTimeoutError):
        return FailureKind.BROKEN
    return FailureKind.SLOW if replaced else FailureKind.SILENT
