"""Detection of requests that crash engines, shared with other packages."""

from bendlead_gateway._fleet.probe import refuses_connections
from bendlead_gateway._suspects.crash_history import (
    CRASHES_UNTIL_QUARANTINE,
    CrashHistory,
)
from bendlead_gateway._suspects.digest import RequestDigest, digest_request

__all__ = (
    'CRASHES_UNTIL_QUARANTINE',
    'CrashHistory',
    'RequestDigest',
    'digest_request',
    'refuses_connections',
)
