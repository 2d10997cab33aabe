"""Teams, their keys and their limits."""

import hashlib
from collections.abc import Sequence
from typing import NewType

from msgspec import Struct

TeamName = NewType('TeamName', str)
#: A key as it is kept and compared; the key itself is never kept.
KeyDigest = NewType('KeyDigest', str)

#: 128 bits: a key that somebody makes up meets none of 100,000 others.
_DIGEST_BYTES = 16


def digest_key(key: str) -> KeyDigest:
    """Make the digest of a key; keys are random, so one round is enough."""
    raw = key.encode('utf-8', 'surrogateescape')
    return KeyDigest(
        hashlib.blake2b(raw, digest_size=_DIGEST_BYTES).hexdigest()
    )


class Team(Struct, frozen=True):
    """Say who may call, how urgent its calls are and how many it may make.

    ``rate`` is in requests a second and ``burst`` in requests above it; a rate
    of 0 is no limit. Of two teams the one of lower ``priority`` goes first.
    """

    name: TeamName
    keys: Sequence[KeyDigest] = ()
    priority: int = 0
    rate: float = 0
    burst: float = 0

    @property
    def limited(self) -> bool:
        """Tell whether the requests of the team are counted."""
        return self.rate > 0


class LimitWindow(Struct, frozen=True):
    """Say what may pass of a team in each window of some seconds.

    That is its rate over the window and its burst, an ``excess`` share more,
    and ``slack`` requests.
    """

    seconds: float = 5
    excess: float = 0.1
    slack: float = 0
