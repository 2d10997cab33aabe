"""All testimonies of lives of engines under suspicion, from all processes.

Load pattern: engines that fail at once look idle and draw many requests within
the 0.1 s that news take; each process alone would lose some to each of them.

A case on a life is opened by its first failure. From then on good answers are
counted too: before, they are too many to be told.
"""

from collections.abc import Iterator, Mapping

from msgspec.structs import replace

from bendlead_gateway._health.observation import (
    MAX_FAILURES,
    EngineIncarnation,
    FailureKind,
    Observation,
    decay_factor,
)
from bendlead_gateway.types import NodeName

#: Testimonies kept, at some 0.5 kB each; the oldest go first.
_MOST_KEPT = 4096
#: Good answers behind a cleared case that are told in one (each change of a
#: testimony passes over all links).
_TOLD_TOGETHER = 2
_MS = 1000

_Key = tuple[EngineIncarnation, NodeName]


class EvidenceTable:
    """Keep the newest testimony of each witness on each life.

    Moments are steady seconds of this process, and come in.
    """

    def __init__(self, own: NodeName) -> None:
        self._own = own
        self._cases: dict[EngineIncarnation, dict[NodeName, Observation]] = {}
        self._opened: dict[EngineIncarnation, float] = {}
        #: In the order in which they arrived, by number.
        self._arrivals: dict[_Key, int] = {}
        self._arrived = 0
        self._untold: dict[EngineIncarnation, int] = {}

    @property
    def arrived(self) -> int:
        """Count the changes that are told on."""
        return self._arrived

    @property
    def cases(
        self,
    ) -> Mapping[EngineIncarnation, Mapping[NodeName, Observation]]:
        """Give the testimonies on each life under suspicion."""
        return self._cases

    def failed(
        self,
        life: EngineIncarnation,
        kind: FailureKind,
        now: float,
        stamp: float,
    ) -> None:
        """Note a failure seen here; the stamp is the time of day (s)."""
        known = self._mine(life, now, stamp)
        failures = dict(known.failures)
        counted = sum(failures.values())
        if counted < MAX_FAILURES:
            failures[kind] = failures.get(kind, 0) + 1
        self._put(
            life, replace(known, failures=failures, good=0, failed_at=now)
        )

    def answered(
        self,
        life: EngineIncarnation,
        began: float,
        now: float,
        stamp: float,
        *,
        cleared: bool,
    ) -> None:
        """Note a good answer seen here to a request sent at a moment.

        Those sent before the case was opened say nothing of what came since.
        """
        if began < self._opened.get(life, now):
            return
        known = self._mine(life, now, stamp)
        previous = self._cases[life].get(self._own)
        since = self.failed_at(life)
        good = known.good if previous and previous.at > since else 0
        if began > since:
            good += 1
        untold = self._untold.get(life, 0) + 1
        tell = not cleared or untold >= _TOLD_TOGETHER
        self._untold[life] = 0 if tell else untold
        answers = known.answers + 1
        self._put(life, replace(known, answers=answers, good=good), tell=tell)

    def failed_at(self, life: EngineIncarnation) -> float:
        """Give when anybody saw the latest failure of a life (s)."""
        return max(one.failed_at for one in self._cases[life].values())

    def take(self, life: EngineIncarnation, told: Observation) -> bool:
        """Take a testimony of another process; tell whether it is news."""
        if told.witness == self._own:
            return False
        known = self._cases.get(life, {}).get(told.witness)
        if known is not None and known.version >= told.version:
            return False
        self._put(life, told)
        return True

    def since(
        self, arrival: int
    ) -> Iterator[tuple[int, EngineIncarnation, Observation]]:
        """List what arrived after a number, the earliest first."""
        newer: list[tuple[int, EngineIncarnation, Observation]] = []
        for key, number in reversed(self._arrivals.items()):
            if number <= arrival:
                break
            life, witness = key
            newer.append((number, life, self._cases[life][witness]))
        return reversed(newer)

    def forget(self, life: EngineIncarnation) -> None:
        """Forget a life that is over."""
        for witness in self._cases.pop(life, {}):
            self._arrivals.pop((life, witness), None)
        self._opened.pop(life, None)
        self._untold.pop(life, None)

    def expire(self, now: float) -> None:
        """Drop what has faded, and cases without any failure left."""
        for life, case in list(self._cases.items()):
            for witness, one in list(case.items()):
                if not one.faded(now).tells:
                    self._drop(life, witness)
            # An engine that is busy goes on answering for ever.
            if not any(one.faded(now).accuses for one in case.values()):
                self.forget(life)

    def _mine(
        self, life: EngineIncarnation, now: float, stamp: float
    ) -> Observation:
        """Give our testimony, faded to now and with the next version."""
        known = self._cases.get(life, {}).get(self._own)
        if known is None:
            return Observation(self._own, now, round(stamp * _MS))
        left = decay_factor(now - known.at)
        return replace(
            known,
            at=now,
            # Versions go on rising where the time of day is set back.
            version=max(known.version + 1, round(stamp * _MS)),
            failures={kind: one * left for kind, one in known.failures.items()},
            answers=known.answers * left,
        )

    def _put(
        self, life: EngineIncarnation, one: Observation, *, tell: bool = True
    ) -> None:
        self._opened.setdefault(life, one.at)
        self._cases.setdefault(life, {})[one.witness] = one
        key = (life, one.witness)
        if not tell and key in self._arrivals:
            return
        self._arrivals.pop(key, None)
        self._arrived += 1
        self._arrivals[key] = self._arrived
        if len(self._arrivals) > _MOST_KEPT:
            self._drop(*next(iter(self._arrivals)))

    def _drop(self, life: EngineIncarnation, witness: NodeName) -> None:
        self._arrivals.pop((life, witness), None)
        case = self._cases[life]
        case.pop(witness, None)
        if not case:
            self.forget(life)
