"""What kind of failure an error of a connection is, for whoever sends."""

import errno
from http import HTTPStatus

from bendlead_gateway._health.observation import FailureKind
from bendlead_gateway._http.client import SilentPeerError

#: These say that this process has no more room, or no network.
_OWN_TROUBLE = frozenset(
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
    """Name the kind of an engine's failure, if the failure is the engine's."""
    if error.errno in _OWN_TROUBLE:
        return None
    if isinstance(error, ConnectionRefusedError):
        return FailureKind.REFUSED
    if isinstance(error, TimeoutError | SilentPeerError):
        return FailureKind.SILENT
    return FailureKind.BROKEN


def classify_status(status: int) -> FailureKind | None:
    """Name the kind of failure that an engine's own answer is, if it is one.

    At its deadline a request ends with 504 on an engine that is full, and what
    is wrong with a request is no failure of the engine.
    """
    if status == HTTPStatus.GATEWAY_TIMEOUT:
        return None
    if status < HTTPStatus.INTERNAL_SERVER_ERROR:
        return None
    return FailureKind.ERROR


def classify_missing_response(error: OSError, *, replaced: bool) -> FailureKind:
    """Name the kind of failure of an engine that gave no answer.

    One that is replaced may only have been slow to begin.
    """
    if not isinstance(error, SilentPeerError):
        return FailureKind.BROKEN
    return FailureKind.SLOW if replaced else FailureKind.SILENT
