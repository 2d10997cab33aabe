"""Exponentially decaying token counts per team or job."""

import math
from collections.abc import Mapping
from typing import Generic, TypeVar

from msgspec import Struct

#: Long enough to span several item runs, short enough that neither past use
#: nor past idleness counts for long.
HALF_LIFE_SECONDS = 10.0
#: Tokens counted for an item that states no size.
MIN_TOKENS = 1
#: Keys whose count falls below this are dropped.
_DROP_BELOW_TOKENS = 0.01

_Key = TypeVar('_Key')


class DecayedTokens(Struct, Generic[_Key]):
    """Token counts per key, halved every ``HALF_LIFE_SECONDS``."""

    _tokens: dict[_Key, float]
    _updated_at: float = 0

    def add(self, key: _Key, tokens: int, now: float) -> None:
        """Add tokens to the count of a key."""
        self._decay(now)
        self._tokens[key] = self._tokens.get(key, 0) + tokens

    def current(self, now: float) -> Mapping[_Key, float]:
        """Return the decayed counts by key."""
        self._decay(now)
        return self._tokens

    def _decay(self, now: float) -> None:
        factor = math.exp2((self._updated_at - now) / HALF_LIFE_SECONDS)
        self._updated_at = now
        self._tokens = {
            key: tokens * factor
            for key, tokens in self._tokens.items()
            if tokens * factor >= _DROP_BELOW_TOKENS
        }
