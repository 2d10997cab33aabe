"""Memory limit for buffered request bodies, over all connections.

Guards against many large bodies, each within its own size limit, that together
exhaust the memory of the process.
"""

from msgspec import Struct


class BodyBudget(Struct):
    """Count of buffered body bytes and their limit."""

    #: Limit in bytes; 0 means no limit.
    max_bytes: int = 0
    used_bytes: int = 0

    @property
    def exceeded(self) -> bool:
        """Whether the limit is exceeded."""
        return 0 < self.max_bytes < self.used_bytes

    @property
    def utilization(self) -> float:
        """Used share of the limit."""
        return self.used_bytes / self.max_bytes if self.max_bytes else 0
