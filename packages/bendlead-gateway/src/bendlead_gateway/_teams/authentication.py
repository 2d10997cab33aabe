"""Authentication of callers by key."""

from http import HTTPStatus

from msgspec import Struct

from bendlead_gateway._fleet.catalog import ConfigurationHolder
from bendlead_gateway.types import KeyDigest, Team

#: Time within which a newer configuration is usually fetched.
_RETRY_SECONDS = 0.3


class Admitted(Struct, frozen=True):
    """An accepted caller; ``team`` is ``None`` where no key is required."""

    team: Team | None


class Rejected(Struct, frozen=True):
    """A rejected caller; ``retry_after`` (s) is set where a retry may help."""

    reason: str
    status: HTTPStatus
    retry_after: float | None = None


class Authenticator:
    """Check keys against the current configuration of this process."""

    def __init__(self, configuration: ConfigurationHolder) -> None:
        self._configuration = configuration

    def authenticate(
        self, key: KeyDigest | None, *, public: bool, is_newest: bool
    ) -> Admitted | Rejected:
        """Return the caller's team, or why the caller is rejected.

        Only the newest configuration can show that a caller is not allowed: an
        older one lacks the keys added since, and may require keys on routes
        that have become public.
        """
        if not self._configuration.requires_key:
            return Admitted(None)
        if key is None and public:
            return Admitted(None)
        team = None if key is None else self._configuration.team_by_key(key)
        if team is not None:
            return Admitted(team)
        reason = 'no key' if key is None else 'unknown key'
        if is_newest:
            return Rejected(reason, HTTPStatus.UNAUTHORIZED)
        return Rejected(
            f'{reason}, configuration may be outdated',
            HTTPStatus.SERVICE_UNAVAILABLE,
            _RETRY_SECONDS,
        )
