"""Find the team behind a caller's key, or say why the caller is turned away."""

from http import HTTPStatus

from msgspec import Struct

from bendlead_gateway._fleet.catalog import ConfigurationHolder
from bendlead_gateway.types import KeyDigest, Team

#: A configuration that may hold the key is fetched within about this long (s).
_RETRY_SECONDS = 0.3


class Admitted(Struct, frozen=True):
    """Let a caller in; without a team where no key is asked for."""

    team: Team | None


class TurnedAway(Struct, frozen=True):
    """Tell why a caller is not let in, and when to come back (s), if ever."""

    reason: str
    status: HTTPStatus
    retry_after: float | None = None


class Access:
    """Judge callers by the configuration in force here."""

    def __init__(self, configuration: ConfigurationHolder) -> None:
        self._configuration = configuration

    def judge(
        self, key: KeyDigest | None, *, public: bool, surely_newest: bool
    ) -> Admitted | TurnedAway:
        """Let a caller in or turn it away.

        Only the newest configuration shows that no team has a key: an older
        one may lack a key that was added since.
        """
        if not self._configuration.asks_for_keys:
            return Admitted(None)
        if key is None and public:
            return Admitted(None)
        if key is None:
            return TurnedAway('no key', HTTPStatus.UNAUTHORIZED)
        team = self._configuration.team_of(key)
        if team is not None:
            return Admitted(team)
        if surely_newest:
            return TurnedAway('unknown key', HTTPStatus.UNAUTHORIZED)
        return TurnedAway(
            'key not known yet', HTTPStatus.SERVICE_UNAVAILABLE, _RETRY_SECONDS
        )
