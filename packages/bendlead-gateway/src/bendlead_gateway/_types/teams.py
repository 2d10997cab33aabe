"""Teams, their keys and their rate limits."""

import hashlib
from collections.abc import Sequence
from typing import NewType

from msgspec import Struct

from bendlead_gateway.numbers import Integer, Rate

TeamName = NewType('TeamName', str)
#: Digest of a team key; the key itself is never stored.
KeyDigest = NewType('KeyDigest', str)

#: 128 bits make guessing a key with a matching digest infeasible.
_DIGEST_BYTES = 16


def digest_key(key: str) -> KeyDigest:
    """Return the digest of a key.

    Keys are random, so a single unsalted hash is enough.
    """
    raw = key.encode('utf-8', 'surrogateescape')
    return KeyDigest(
        hashlib.blake2b(raw, digest_size=_DIGEST_BYTES).hexdigest()
    )


class Team(Struct, frozen=True):
    """A team with its keys, priority and rate limit.

    ``rate`` is in requests per second and ``burst`` in requests; a rate of 0
    means no limit. A lower ``priority`` value is served first.
    """

    name: TeamName
    keys: Sequence[KeyDigest] = ()
    priority: Integer = 0
    rate: Rate = 0
    burst: Rate = 0

    @property
    def limited(self) -> bool:
        """Whether the team has a rate limit."""
        return self.rate > 0


class LimitWindow(Struct, frozen=True):
    """Tolerance of the rate limits in each window of ``seconds``.

    In a window a team may send its rate times ``seconds`` plus its burst,
    increased by the share ``excess``, plus ``slack`` requests.
    """

    seconds: float = 5
    excess: float = 0.1
    slack: float = 0
