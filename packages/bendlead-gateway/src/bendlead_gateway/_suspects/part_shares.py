"""What this process counts of the requests that it sends to engines."""

from collections import Counter, deque
from collections.abc import Iterable, Sequence

from msgspec import Struct

from bendlead_gateway.types import PromptPart

_MAX_REQUESTS = 512
_MAX_CRASH_SHARES = 4096
_MAX_CRASHES = 256


class PartAtCrash(Struct, frozen=True):
    """A part's share of the requests of this process as of a crash.

    ``share`` is above 0 also where the process has sent no request with it;
    ``sent`` is whether it has. ``answers`` counts its complete answers until
    then.
    """

    share: float
    sent: bool
    answers: int


class PartShares:
    """Count parts in the latest requests of this process, and their ends."""

    def __init__(self) -> None:
        self._requests: deque[Sequence[PromptPart]] = deque()
        self._counts: Counter[PromptPart] = Counter()
        self._answers = 0
        self._interrupted: Counter[str] = Counter()
        self._at_crashes: dict[tuple[PromptPart, str], PartAtCrash] = {}

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

    def record_answer(self) -> None:
        """Count a complete answer."""
        self._answers += 1

    def record_interrupted(self, incarnation: str) -> None:
        """Count a request that ran for no longer than a trial."""
        self._interrupted[incarnation] += 1
        if len(self._interrupted) > _MAX_CRASHES:
            self._interrupted.pop(next(iter(self._interrupted)))

    def interrupted(self, incarnation: str) -> int:
        """Return how many requests of this process are counted at a crash."""
        return self._interrupted[incarnation]

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
                self._at_crashes[part, incarnation] = self._now(part)
        while len(self._at_crashes) > _MAX_CRASH_SHARES:
            self._at_crashes.pop(next(iter(self._at_crashes)))

    def at_crash(self, part: PromptPart, incarnation: str) -> PartAtCrash:
        """Return a part's share as of a crash, the present one if unknown."""
        found = self._at_crashes.get((part, incarnation))
        return found or self._now(part)

    def _now(self, part: PromptPart) -> PartAtCrash:
        sent = self._counts[part] > 0
        return PartAtCrash(self.share(part), sent, self._answers)
