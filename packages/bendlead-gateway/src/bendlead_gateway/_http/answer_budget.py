"""Memory limits for answers that are kept, over all of them.

Guard against many large answers, each within its own size limit, that together
exhaust the memory of the process. Above a limit those that hold more than the
mean are given up, so that small ones are served on.
"""

from collections.abc import Callable, Iterable

from msgspec import Struct

#: Share of the limit that may be received between two counts.
_COUNT_SHARE = 0.05


class HeldBytes(Struct):
    """Bytes that are kept, and by how many answers."""

    total: int = 0
    holders: int = 0

    def is_over(self, limit: int, size: int) -> bool:
        """Return whether an answer of a size is to be given up.

        A limit of 0 means none.
        """
        return 0 < limit < self.total and size * self.holders >= self.total


class AnswerBudget:
    """Limit of the bytes of plain answers that have not been passed on."""

    def __init__(self) -> None:
        self.max_bytes = 0
        self.held = HeldBytes()


class HeldAnswer:
    """One answer, counted from its beginning until it has been passed on."""

    def __init__(self, budget: AnswerBudget) -> None:
        self.size = 0
        self._budget = budget
        self._budget.held.holders += 1

    @property
    def is_over(self) -> bool:
        """Whether this answer has to be given up."""
        return self._budget.held.is_over(self._budget.max_bytes, self.size)

    def add(self, received: int) -> None:
        """Count received bytes."""
        self.size += received
        self._budget.held.total += received

    def release(self) -> None:
        """Count the bytes so far no more, as they have been passed on."""
        self._budget.held.total -= self.size
        self.size = 0

    def end(self) -> None:
        """Count it no more."""
        self.release()
        self._budget.held.holders -= 1


class TextBudget:
    """Limit of the texts of all items that have no result yet.

    Counting takes a look at each item, so it is done now and then: texts may
    exceed the limit by a small share.
    """

    def __init__(self, sizes: Callable[[], Iterable[int]]) -> None:
        """Count with a function that returns the size of each text."""
        self.max_bytes = 0
        self._sizes = sizes
        self._received = 0
        self._held = HeldBytes()

    def is_over(self, size: int, received: int) -> bool:
        """Return whether a text that has grown to a size is to be given up."""
        if not self.max_bytes:
            return False
        self._received += received
        if self._received > self.max_bytes * _COUNT_SHARE:
            self._received = 0
            sizes = list(self._sizes())
            self._held = HeldBytes(sum(sizes), len(sizes))
        return self._held.is_over(self.max_bytes, size)
