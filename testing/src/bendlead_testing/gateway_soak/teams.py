"""The teams whose clients the soak plays."""

import enum
from typing import Any

_HEADER = 'X-Credential'


class SoakTeam(enum.Enum):
    """Name a team; each has one key."""

    #: Sends as much as it always does.
    QUIET = 'quiet'
    #: Sends many times its usual for some seconds, and nothing else.
    HOT = 'hot'

    @property
    def header(self) -> tuple[str, str]:
        """Give the header that tells whose request it is."""
        return _HEADER, f'key-of-{self.value}'

    def configure(self, rate: float) -> dict[str, Any]:
        """Describe the team for the configuration; a rate of 0 is no limit."""
        return {
            'name': self.value,
            'api_keys': [self.header[1]],
            'per_s': rate,
            'burst': rate,
        }
