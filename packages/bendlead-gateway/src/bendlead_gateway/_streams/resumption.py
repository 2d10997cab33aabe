"""Decide whether a client may resume a stream, and for how long."""

from bendlead_gateway._streams.origin import StreamOrigin
from bendlead_gateway.types import Route, TeamName

#: A client that states no timeout may return within this many route timeouts.
_TIMEOUTS_TO_RETURN = 2
#: Allows for the first event and the return being seen by different processes.
_SLACK_SECONDS = 2.0
_MAX_RETENTION_SECONDS = 60.0


def resume_refusal(
    origin: StreamOrigin | None, route: Route, team: TeamName
) -> str | None:
    """Return why a stream cannot be resumed, ``None`` if it can."""
    if origin is None:
        return 'stream unknown: no first request named, or it is not known'
    if origin.route != route.name or origin.team != team:
        return 'stream belongs to another route or team'
    if all(share.service != origin.service for share in route.shares):
        return f'route no longer leads to service {origin.service}'
    if not origin.version:
        return 'version that began the stream is unknown'
    return None


def retention_seconds(route: Route, client_timeout: float | None) -> float:
    """Return how long a client may return to a stream after its first event."""
    patience = route.timeout * _TIMEOUTS_TO_RETURN
    if client_timeout is not None:
        patience = max(route.timeout, client_timeout)
    return min(patience + _SLACK_SECONDS, _MAX_RETENTION_SECONDS)
