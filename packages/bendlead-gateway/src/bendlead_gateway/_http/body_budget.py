"""Memory limit for buffered request bodies, over all connections.

Guards against many large bodies, each within its own size limit, that together
exhaust the memory of the process.
"""

from msgspec import Struct


class BodyBudget(Struct):
    """Count of buffered body bytes and their limit."""

    #: Limit in bytes; 0 means no limit.
    most: int = 0
    held: int = 0

    @property
    def over(self) -> bool:
        """Whether the limit is exceeded."""
        return 0 < self.most < self.held

    @property
    def used(self) -> float:
        """Used share of the limit."""
        return self.held / self.most if self.most else 0
