"""How long a holder that can't write keeps its shard."""

from bendlead_ledger import ShardId, head_key
from bendlead_store import FollowedStore, clock
from msgspec import Struct
from result import Err

#: A holder that could not write is given this long (s) to return once the
#: object service answers this process. It comes back for all of them within
#: some hundred ms, and a holder that is replaced loses the results and the
#: progress that it keeps in memory: all of its items run again.
_RETURN_SECONDS = 1.5
#: Answers further apart than this (s) say nothing of the time between them.
_LINKED_SECONDS = 1.0


class _Answers(Struct):
    """Keep when answers without a failure between them began and ended."""

    first: float
    last: float


class HolderPatience:
    """Tell holders that the service turns away from ones that wait for it.

    A held watch may live on while new calls are refused, so only an answer to
    a call of our own shows that the service is there.
    """

    def __init__(self, store: FollowedStore) -> None:
        self._store = store
        self._answers: dict[int, _Answers] = {}

    def is_over(self, shard: int) -> bool:
        """Ask the service once; tell whether it has answered for long.

        To be called again and again while the holder can't write.
        """
        read = self._store.fetch(head_key(ShardId(shard)))
        if isinstance(read, Err):
            self._answers.pop(shard, None)
            return False
        now = clock.uptime()
        answers = self._answers.get(shard)
        if answers is None or now - answers.last > _LINKED_SECONDS:
            answers = _Answers(now, now)
            self._answers[shard] = answers
        answers.last = now
        return now - answers.first > _RETURN_SECONDS
