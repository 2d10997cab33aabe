"""Search for parts of prompts that crash engines.

A sequential test of each part: did more crashes happen while a request with it
was running, and fewer complete answers to such requests come, than its share of
the requests explains? A part is only tested on crashes since the last complete
answer to a request with it, so that there are none of these, and not on crashes
that a part found before explains.
"""

import heapq
import math
from collections.abc import (
    Callable,
    Container,
    Iterable,
    Iterator,
    Mapping,
    Sequence,
    Set,
)

from bendlead_schema.gateway import SuspectRecord
from msgspec import Struct
from msgspec.structs import replace

from bendlead_gateway._suspects.crash_history import CrashHistory
from bendlead_gateway._suspects.crash_table import CrashTable, Incident
from bendlead_gateway._suspects.digest import (
    RequestDigest,
    names_part,
    part_of,
)
from bendlead_gateway._suspects.part_probation import crashes_in_trials
from bendlead_gateway._suspects.part_shares import PartAtCrash, PartShares

#: Share of crashes that a part causes which crashes engines; others happen
#: meanwhile.
_CAUSED_SHARE = 0.7
#: Logarithm of the likelihood ratio from which on a part is found once an
#: engine has crashed in a trial of it. A sound part reaches it from a given
#: crash with a probability below exp(-9), 1 in 8,100.
_FOUND_EVIDENCE = 9.0
#: The same without such a trial: hundreds of sound parts are at some crash.
_FOUND_UNTRIED_EVIDENCE = 14.0
_MIN_INCIDENTS = 3
#: Chance that the engine of a trial crashes for another cause before the answer
#: clears the part, for each other engine that crashed in the time before.
_TRIAL_CRASH_CHANCE = 0.01
_OTHER_CRASHES_MS = 10_000
#: Share of other requests that meet crashes from which on a trial does so too:
#: few engines are up.
_LEAST_INTERRUPTED_SHARE = 0.3
#: Bound of the time that a search takes.
_MAX_CANDIDATES = 32
#: Time for all processes to report the requests that were running at a crash.
_REPORT_MS = 200
_MS_PER_SECOND = 1000


class TestedPart(Struct, frozen=True):
    """A part of prompts, and the evidence that it crashes engines.

    ``share`` and ``running`` are what its presence at the latest incident was
    judged by.
    """

    suspect: RequestDigest
    evidence: float
    incidents: int
    share: float = 0
    running: int = 0
    #: Whether an engine has crashed in a trial of the part.
    tried: bool = False

    @property
    def is_found(self) -> bool:
        """Return whether the evidence is enough."""
        enough = _FOUND_EVIDENCE if self.tried else _FOUND_UNTRIED_EVIDENCE
        return self.evidence >= enough


class _OtherCrashes:
    """Crashes that a part may not have caused.

    Those without it, and of those with it as many as chance explains: a sound
    part of all requests is at every crash.

    ``interrupted_at`` counts the requests of this process at a crash.
    """

    def __init__(self, interrupted_at: Callable[[str], int]) -> None:
        self._interrupted_at = interrupted_at
        self._counts: list[tuple[int, float]] = []
        #: Answers until the part's first crash, None before.
        self._answers: int | None = None
        #: Requests at crashes without the part since, None without a crash.
        self._interrupted: int | None = None

    def add(self, at_ms: int, count: float) -> None:
        """Add the expected number of such crashes in an incident."""
        self._counts.append((at_ms, count))

    def add_presence(self, answers: int) -> None:
        """Note a crash with the part, and the answers until then."""
        if self._answers is None:
            self._answers = answers

    def add_absence(self, incident: Incident) -> None:
        """Add an incident without the part."""
        self.add(incident.at_ms, len(incident.incarnations))
        if self._answers is not None:
            interrupted = map(self._interrupted_at, incident.incarnations)
            self._interrupted = (self._interrupted or 0) + sum(interrupted)

    def chance_in_trial(self, at_ms: int, answers: int) -> float:
        """Return the chance that the engine of a trial crashes by chance.

        Only one request with the part was sent, so that the requests beside it
        say nothing. ``answers`` counts those until then.
        """
        recent = sum(
            count
            for added_ms, count in self._counts
            if added_ms > at_ms - _OTHER_CRASHES_MS
        )
        by_crashes = min(1, _TRIAL_CRASH_CHANCE * (1 + recent))
        return max(by_crashes, self._interrupted_share(answers))

    def _interrupted_share(self, answers: int) -> float:
        """Return the share of requests without the part that met a crash.

        It is 0 if it is small: crashes tell more then. A process that has
        counted none can't tell.
        """
        if self._interrupted is None:
            return 0
        ended = self._interrupted + answers - (self._answers or 0)
        share = self._interrupted / ended if ended else 1
        return share if share >= _LEAST_INTERRUPTED_SHARE else 0


class PartSearch:
    """Find parts in the history of crashes."""

    def __init__(
        self, history: CrashHistory, crashes: CrashTable, shares: PartShares
    ) -> None:
        self._history = history
        self._crashes = crashes
        self._shares = shares

    def find(self, now_ms: int) -> TestedPart | None:
        """Return the part with the most evidence, if that is enough."""
        tested = self.strongest(now_ms)
        return tested if tested and tested.is_found else None

    def strongest(self, now_ms: int) -> TestedPart | None:
        """Return the part with the most evidence, however much that is.

        Among equals it is the one recorded last: it comes later in prompts,
        so fewer requests share it. The caller records it, so that its crashes
        speak for no other part.
        """
        refused = set(self._history.quarantined_parts(now_ms / _MS_PER_SECOND))
        incidents = list(
            self._crashes.incidents(
                now_ms - _REPORT_MS, self._explained_by(refused)
            )
        )
        tested = [
            self._test(part, incidents) for part in self._candidates(refused)
        ]
        tested.reverse()
        best = max(tested, key=_evidence_of, default=None)
        if best is None or not best.is_found:
            return best
        cause = min(self._rivals(best, tested), key=_share_of)
        return replace(cause, evidence=best.evidence, tried=best.tried)

    def _rivals(
        self, best: TestedPart, tested: Iterable[TestedPart]
    ) -> Iterator[TestedPart]:
        """Yield the parts that were running at all crashes of the best one.

        They explain as much as it does, and the rarest of them is the cause.
        """
        crashes = self._history.record(best.suspect).ends.keys()
        for part in tested:
            if part.incidents >= best.incidents:
                if crashes <= self._history.record(part.suspect).ends.keys():
                    yield part

    def _candidates(
        self, refused: Container[RequestDigest]
    ) -> Sequence[RequestDigest]:
        """Return the parts that were running at most crashes.

        Those with equally many stand in the order in which they were recorded.
        """
        counts = {
            suspect: crashes
            for suspect, crashes in self._history.summary().items()
            if names_part(suspect)
            and crashes >= _MIN_INCIDENTS
            and suspect not in refused
        }
        return heapq.nlargest(_MAX_CANDIDATES, counts, key=counts.__getitem__)

    def _test(
        self, suspect: RequestDigest, incidents: Sequence[Incident]
    ) -> TestedPart:
        record = self._history.record(suspect)
        at_crashes = {
            incarnation: self._at_crash(record, incarnation)
            for incarnation in record.ends
        }
        tried = frozenset(crashes_in_trials(record))
        weighed = _weigh(
            incidents,
            at_crashes,
            record.repeats,
            tried,
            _OtherCrashes(self._shares.interrupted),
        )
        evidence = weighed.evidence
        if weighed.incidents < _MIN_INCIDENTS:
            evidence = 0
        return replace(
            weighed, suspect=suspect, evidence=evidence, tried=bool(tried)
        )

    def _at_crash(self, record: SuspectRecord, incarnation: str) -> PartAtCrash:
        """Return a part's share at a crash, as the process that sent it knows.

        This process may send no request with the part, but many others do.
        """
        part = part_of(RequestDigest(record.digest))
        own = self._shares.at_crash(part, incarnation)
        # A part of all requests: its presence at a crash is no evidence.
        unknown = 0 if own.sent else 1
        told = record.shares.get(incarnation, unknown)
        return replace(own, share=max(own.share, told))

    def _explained_by(self, found: Iterable[RequestDigest]) -> Iterator[str]:
        for suspect in found:
            yield from self._history.record(suspect).ends


def _weigh(
    incidents: Sequence[Incident],
    at_crashes: Mapping[str, PartAtCrash],
    repeats: Mapping[str, float],
    tried: Set[str],
    other_crashes: _OtherCrashes,
) -> TestedPart:
    """Return the evidence, and the incidents at which a part was running.

    ``at_crashes`` tells its share at the crashes at which it was, ``repeats``
    the chance of a repeat at those that it was at by repeats alone, ``tried``
    are the engines that crashed in a trial of the part.
    """
    evidence = 0.0
    count = 0
    answers = 0
    latest = TestedPart(RequestDigest(''), 0, 0)
    for incident in incidents:
        present = incident.incarnations.intersection(at_crashes)
        others = len(incident.incarnations) - len(present)
        if present:
            part = max(map(at_crashes.__getitem__, present), key=_share_of)
            other_crashes.add_presence(part.answers)
            if count and part.sent:
                # Complete answers without the part.
                evidence -= (part.answers - answers) * math.log1p(-part.share)
            by_chance = max(
                _chance_of_presence(part.share, incident.running),
                _chance_of_repeats(present, incident, repeats),
            )
            if tried.intersection(present):
                other_crashes.add(incident.at_ms, others)
                by_chance = other_crashes.chance_in_trial(
                    incident.at_ms, part.answers
                )
            else:
                other_crashes.add(incident.at_ms, others + by_chance)
            evidence += _evidence_of_presence(by_chance)
            answers = part.answers
            count += 1
            latest = replace(latest, share=part.share, running=incident.running)
        else:
            other_crashes.add_absence(incident)
            evidence += math.log(1 - _CAUSED_SHARE)
        if evidence <= 0:
            evidence, count = 0.0, 0
    return replace(latest, evidence=evidence, incidents=count)


def _chance_of_presence(share: float, running: int) -> float:
    return 1 - (1 - share) ** max(1, running)


def _chance_of_repeats(
    present: Iterable[str], incident: Incident, repeats: Mapping[str, float]
) -> float:
    """Return the chance that a repeat met the incident, 0 if others did.

    A repeat is sent at once, so where engines crash in a dense series it is
    often present again.
    """
    chances = [repeats.get(incarnation, 0) for incarnation in present]
    if not all(chances):
        return 0
    return min(1, max(chances) * len(incident.incarnations))


def _evidence_of_presence(by_chance: float) -> float:
    explained = _CAUSED_SHARE + (1 - _CAUSED_SHARE) * by_chance
    return math.log(explained / by_chance)


def _share_of(part: PartAtCrash | TestedPart) -> float:
    return part.share


def _evidence_of(tested: TestedPart) -> float:
    return tested.evidence
