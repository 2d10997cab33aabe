"""What complete responses have cleared, told by name.

Processes stamp crashes, trials and clears by clocks that differ, so that times
do not tell which of them came first. A clear names what it knows of and removes
that alone.
"""

from collections.abc import Iterator, Mapping
from operator import itemgetter

from bendlead_schema.gateway import SuspectRecord
from msgspec import Struct

#: Bound of a record. The oldest names give way to a time, which removes what
#: clocks that are behind stamp later.
_MAX_NAMED = 32
#: The same for names of suspects that are cleared often: clocks that differ by
#: less are taken for right.
_MAX_NAMED_MS = 600_000


class Clears(Struct, frozen=True):
    """What was cleared: by name until a time (Unix ms), and all until one."""

    named: dict[str, int]
    all_until: int

    def include(self, name: str, at_ms: int) -> bool:
        """Return whether a crash or a trial was cleared."""
        return at_ms <= max(self.all_until, self.named.get(name, 0))

    def remaining_crashes(
        self, crashes: Mapping[str, int]
    ) -> Iterator[tuple[str, int]]:
        """Yield the crashes that were not cleared."""
        for incarnation, crashed_ms in crashes.items():
            if not self.include(incarnation, crashed_ms):
                yield incarnation, crashed_ms

    def remaining_finding(self, found_ms: int) -> int:
        """Return when a part was found, 0 if that was cleared."""
        cleared = self.include(_name_finding(found_ms), found_ms)
        return 0 if cleared else found_ms


def name_all(record: SuspectRecord, cleared_ms: int) -> dict[str, int]:
    """Name what a record tells, each with the time until which it is cleared.

    Other processes may have noticed the same crashes later.
    """
    named = dict.fromkeys(record.ends, cleared_ms)
    named |= {began: int(began) for began in record.trials}
    if record.found_ms:
        named[_name_finding(record.found_ms)] = record.found_ms
    return named


def merge_clears(known: SuspectRecord, received: SuspectRecord) -> Clears:
    """Merge what two records tell."""
    named = dict(known.cleared)
    for name, cleared_ms in received.cleared.items():
        named[name] = max(cleared_ms, named.get(name, cleared_ms))
    ordered = sorted(named.items(), key=itemgetter(1, 0))
    since = max(named.values(), default=0) - _MAX_NAMED_MS
    kept = {
        name: cleared_ms
        for name, cleared_ms in ordered[-_MAX_NAMED:]
        if cleared_ms > since
    }
    dropped = dict(ordered[: len(ordered) - len(kept)])
    return Clears(
        kept, max(_all_until(known), _all_until(received), *dropped.values())
    )


def _all_until(record: SuspectRecord) -> int:
    """Return the time until which all is cleared.

    Earlier versions clear by time alone and name nothing.
    """
    return record.all_cleared_ms if record.cleared else record.cleared_ms


def _name_finding(found_ms: int) -> str:
    return f'found-{found_ms}'
