"""Recent engine crashes and the requests that were running at each."""

from collections.abc import Container, Iterable, Iterator, Mapping, Set

from msgspec import Struct, field

from bendlead_gateway._suspects.digest import RequestDigest

#: Crashes nearer to the first of them than this may have one cause.
_SAME_CAUSE_MS = 100
_MAX_CRASHES = 128


class _Crash(Struct):
    at_ms: int
    requests: set[RequestDigest] = field(default_factory=set)


class Incident(Struct):
    """Crashes that may have one cause.

    ``running`` counts the requests that are known to have been running.
    """

    at_ms: int
    running: int
    incarnations: set[str]


class CrashTable:
    """Crashes by engine incarnation, the latest of them.

    Unlike the records of requests it keeps those that were answered since.
    """

    def __init__(self) -> None:
        self._crashes: dict[str, _Crash] = {}
        #: Engine incarnations that crashed in trials of suspects.
        self._tried: set[str] = set()

    @property
    def tried(self) -> Set[str]:
        """Engine incarnations that crashed in the trial of a suspect."""
        return self._tried

    def add_tried(self, incarnation: str) -> None:
        """Add a crash that a trial explains."""
        if incarnation in self._crashes:
            self._tried.add(incarnation)

    def add(self, digest: RequestDigest, ends: Mapping[str, int]) -> None:
        """Add the crashes at which a request was running."""
        for incarnation, at_ms in ends.items():
            crash = self._crashes.setdefault(incarnation, _Crash(at_ms))
            crash.at_ms = min(crash.at_ms, at_ms)
            crash.requests.add(digest)
        while len(self._crashes) > _MAX_CRASHES:
            dropped = min(self._crashes, key=self._time_of)
            self._crashes.pop(dropped)
            self._tried.discard(dropped)

    def covers(self, since_ms: int) -> bool:
        """Return whether no crash since a time has been dropped."""
        if len(self._crashes) < _MAX_CRASHES:
            return True
        return min(crash.at_ms for crash in self._crashes.values()) <= since_ms

    def count(
        self, since_ms: int, until_ms: int, explained: Container[str]
    ) -> int:
        """Count the crashes of a span of time, without explained ones."""
        return sum(
            since_ms <= crash.at_ms <= until_ms and incarnation not in explained
            for incarnation, crash in self._crashes.items()
        )

    def incidents(
        self, until_ms: int, explained: Iterable[str]
    ) -> Iterator[Incident]:
        """Yield the incidents up to a time, without explained crashes."""
        skipped = frozenset(explained)
        times = sorted(
            (crash.at_ms, incarnation)
            for incarnation, crash in self._crashes.items()
            if crash.at_ms <= until_ms and incarnation not in skipped
        )
        incident: Incident | None = None
        for at_ms, incarnation in times:
            if incident and at_ms - incident.at_ms > _SAME_CAUSE_MS:
                yield incident
                incident = None
            if incident is None:
                incident = Incident(at_ms, 0, set())
            incident.running += len(self._crashes[incarnation].requests)
            incident.incarnations.add(incarnation)
        if incident:
            yield incident

    def _time_of(self, incarnation: str) -> int:
        return self._crashes[incarnation].at_ms
