"""Shares of parts of prompts among the requests sent to engines."""

from collections import Counter, deque
from collections.abc import Iterable, Sequence

from bendlead_gateway.types import PromptPart

_MAX_REQUESTS = 512
_MAX_CRASH_SHARES = 4096


class PartShares:
    """Count parts in the latest requests of this process."""

    def __init__(self) -> None:
        self._requests: deque[Sequence[PromptPart]] = deque()
        self._counts: Counter[PromptPart] = Counter()
        self._at_crashes: dict[tuple[PromptPart, str], float] = {}

    def add(self, parts: Sequence[PromptPart]) -> None:
        """Count a request."""
        self._requests.append(parts)
        self._counts.update(parts)
        if len(self._requests) > _MAX_REQUESTS:
            oldest = self._requests.popleft()
            self._counts.subtract(oldest)
            for part in oldest:
                if not self._counts[part]:
                    self._counts.pop(part)

    def share(self, part: PromptPart) -> float:
        """Estimate the share of requests with a part, above 0."""
        return (self._counts[part] + 0.5) / (len(self._requests) + 1)

    def record_crashes(
        self, part: PromptPart, incarnations: Iterable[str]
    ) -> None:
        """Keep a part's share as of its crashes; later ones don't matter."""
        for incarnation in incarnations:
            known = (part, incarnation) in self._at_crashes
            if not known:
                self._at_crashes[part, incarnation] = self.share(part)
        while len(self._at_crashes) > _MAX_CRASH_SHARES:
            self._at_crashes.pop(next(iter(self._at_crashes)))

    def share_at(self, part: PromptPart, incarnation: str) -> float:
        """Return a part's share as of a crash."""
        return self._at_crashes.get((part, incarnation)) or self.share(part)
