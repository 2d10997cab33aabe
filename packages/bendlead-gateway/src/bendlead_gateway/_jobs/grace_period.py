"""Grace period for a shard's owner that cannot write."""

from bendlead_ledger import ShardId, head_key
from bendlead_store import FollowedStore, clock
from msgspec import Struct
from result import Err

#: Time for an owner to recover after the object service answers this process
#: again. Replacing it loses the results and progress that it has in memory.
_GRACE_SECONDS = 1.5
#: Longest gap between two successful reads of one series.
_MAX_READ_GAP_SECONDS = 1.0


class _ReadSeries(Struct):
    """First and last time (s) of a series of successful reads."""

    first: float
    last: float


class OwnerGracePeriod:
    """Decide when an owner that cannot write may be replaced.

    It may once this process has reached the object service for a while: until
    then the outage may concern all processes. An open watch is no proof of
    that, since it may stay up while the service refuses new requests.
    """

    def __init__(self, store: FollowedStore) -> None:
        self._store = store
        self._series_by_shard: dict[int, _ReadSeries] = {}

    def is_over(self, shard: int) -> bool:
        """Read once; return whether reads have succeeded for long enough.

        Call repeatedly while the owner cannot write: a failed read or a long
        gap between calls starts the period again.
        """
        read = self._store.fetch(head_key(ShardId(shard)))
        if isinstance(read, Err):
            self._series_by_shard.pop(shard, None)
            return False
        now = clock.uptime()
        series = self._series_by_shard.get(shard)
        if series is None or now - series.last > _MAX_READ_GAP_SECONDS:
            series = _ReadSeries(now, now)
            self._series_by_shard[shard] = series
        series.last = now
        return now - series.first > _GRACE_SECONDS
