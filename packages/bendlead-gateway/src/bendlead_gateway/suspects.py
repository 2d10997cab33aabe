"""Requests under which engines end, for whatever face takes them."""

from bendlead_gateway._fleet.probe import refuses_connections
from bendlead_gateway._suspects.digest import RequestDigest, digest_request
from bendlead_gateway._suspects.evidence import (
    ENDS_UNTIL_QUARANTINE,
    REQUEST_SECONDS,
    Evidence,
)

__all__ = (
    'ENDS_UNTIL_QUARANTINE',
    'REQUEST_SECONDS',
    'Evidence',
    'RequestDigest',
    'digest_request',
    'refuses_connections',
)
