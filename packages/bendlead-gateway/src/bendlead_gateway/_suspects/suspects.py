"""Suspects that this process and its peers know of."""

import time
from collections.abc import Callable, Iterable, Mapping, Sequence

import gevent
from bendlead_schema.gateway import SuspectRecord
from bendlead_store import FollowedStore

from bendlead_gateway._log import Log
from bendlead_gateway._metrics import Metrics
from bendlead_gateway._suspects.calm import EngineCalm
from bendlead_gateway._suspects.crash_detector import (
    BrokenResponse,
    CrashDetector,
)
from bendlead_gateway._suspects.crash_history import (
    CRASHES_UNTIL_QUARANTINE,
    CrashHistory,
    is_valid,
)
from bendlead_gateway._suspects.crash_table import CrashTable
from bendlead_gateway._suspects.digest import (
    RequestDigest,
    name_part,
    names_part,
    part_of,
)
from bendlead_gateway._suspects.held_parts import HeldParts
from bendlead_gateway._suspects.item_trials import ItemTrials
from bendlead_gateway._suspects.part_probation import PartTurn, find_turn
from bendlead_gateway._suspects.part_search import PartSearch, TestedPart
from bendlead_gateway._suspects.part_shares import PartShares
from bendlead_gateway._suspects.suspect_store import SuspectStore
from bendlead_gateway._suspects.trial_claims import TrialClaims
from bendlead_gateway._suspects.trial_schedule import (
    PART_RULES,
    REQUEST_RULES,
    TrialSchedule,
    failed_trials,
)
from bendlead_gateway._suspects.trial_turns import TrialTurns
from bendlead_gateway.types import (
    Engine,
    EngineId,
    PromptPart,
    ServiceName,
)

_MS_PER_SECOND = 1000
#: Age up to which changes are sent to peers. A process that starts reads older
#: ones from the object service.
_GOSSIP_SECONDS = 60.0
#: Limit of one report; the next one has the remaining records.
_MAX_REPORTED = 32
#: Pause from news of a crash until parts are searched for, so that the reports
#: of other processes have arrived.
_SEARCH_PAUSE_SECONDS = 0.25


class Suspects:
    """Track requests that were running when engines crashed, also at peers."""

    def __init__(
        self,
        takes_requests: Callable[[Engine], bool],
        count_engines: Callable[[ServiceName], int],
        last_response_at: Callable[[EngineId], float],
        store: FollowedStore,
        prefix: str,
        log: Log,
        metrics: Metrics,
    ) -> None:
        self._count_engines = count_engines
        self._log = log
        self._metrics = metrics
        self._history = CrashHistory()
        self._crashes = CrashTable()
        self._shares = PartShares()
        self._search = PartSearch(self._history, self._crashes, self._shares)
        self._searching: gevent.Greenlet | None = None
        self.calm = EngineCalm()
        self.turns = TrialTurns()
        self._schedule = TrialSchedule(self._crashes, self.calm)
        self._history.on_change = self._record_change
        self.crash_detector = CrashDetector(
            takes_requests, last_response_at, log, metrics
        )
        self.crash_detector.on_crash = self._add_crash
        self.store = SuspectStore(self._history, store, prefix, log)
        self.parts = HeldParts(self._history, self._crashes)
        self.claims = TrialClaims(self._history, self.store, log)
        self.item_trials = ItemTrials(
            self._history, self.claims, self._schedule
        )

    def record_sent(self, parts: Sequence[PromptPart]) -> None:
        """Count the shared parts of a request, on its first send only."""
        self._shares.add(parts)

    def remaining_quarantine(
        self,
        digest_of: Callable[[], RequestDigest],
        parts: Sequence[PromptPart] = (),
    ) -> float:
        """Return the seconds until a request may be sent to an engine.

        The digest is only computed while some suspect is quarantined.
        """
        if not self._history.any_quarantined:
            return 0
        now = time.time()
        suspects = [digest_of(), *map(name_part, parts)]
        return max(
            self._history.remaining_quarantine(suspect, now)
            for suspect in suspects
        )

    def trial_pause(
        self, digest: RequestDigest, parts: Sequence[PromptPart]
    ) -> float:
        """Return the seconds until a quarantined request may be tried.

        Also where only its parts are quarantined; 0 if nothing is.
        """
        pauses = [
            self._schedule.remaining_pause(
                self._history.record(name_part(part)), PART_RULES
            )
            for part in self.parts.quarantined(parts)
        ]
        if self.remaining_quarantine(lambda: digest):
            record = self._history.record(digest)
            pauses.append(self._schedule.remaining_pause(record, REQUEST_RULES))
        return max(pauses, default=0)

    def remaining_pause(
        self,
        item_of: Callable[[], RequestDigest],
        parts: Sequence[PromptPart] = (),
    ) -> float:
        """Return the seconds until a batch item may be sent to an engine.

        Infinite while another item tries one of its parts.
        """
        if not self._history.any_suspects:
            return 0
        pauses = map(
            self.item_trials.remaining_part_pause, self.parts.held(parts)
        )
        return max(self.item_trials.remaining_pause(item_of()), *pauses, 0)

    def part_turn(self, parts: Sequence[PromptPart]) -> PartTurn:
        """Return when a request with suspected parts may be sent."""
        if not self._history.any_suspects:
            return PartTurn()
        suspected = self.parts.suspected(parts)
        suspects = list(map(name_part, suspected))
        return find_turn(
            list(map(self._history.record, suspects)),
            time.time(),
            busy=self.claims.any_claimed(suspects),
        )

    def record_abandoned(self, engine: Engine, broken: BrokenResponse) -> None:
        """Record that the client of a running request disconnected.

        The engine is only probed where the request is a suspect: clients
        disconnect often, and each probe opens a connection.
        """
        if self._history.crash_count(broken.digest):
            self.crash_detector.record_broken(engine, broken)
        else:
            self.crash_detector.record_abandoned(
                engine, broken.digest, broken.suspected_parts
            )

    def await_probe(self, digest: RequestDigest) -> None:
        """Wait for an engine's probe if one more crash means quarantine.

        Otherwise a retry could reach another engine before the crash is known.
        Requests with fewer crashes don't wait.
        """
        if self._history.crash_count(digest) == CRASHES_UNTIL_QUARANTINE - 1:
            self.crash_detector.await_probe(digest)

    def record_success(
        self,
        digest_of: Callable[[], RequestDigest],
        parts: Sequence[PromptPart] = (),
    ) -> None:
        """Clear a request that was answered completely, and its parts."""
        self._shares.record_answer()
        if self._history.any_suspects:
            self._clear([digest_of(), *map(name_part, parts)])

    def record_progress(
        self,
        parts: Sequence[PromptPart],
        item_of: Callable[[], RequestDigest] | None = None,
    ) -> None:
        """Clear the parts of a request, or an item and its own.

        Its answer has gone on for longer than what crashes engines takes.
        """
        if self._history.any_suspects:
            self._clear(map(name_part, parts))
            if item_of is not None:
                self._clear([item_of()])

    def receive(self, records: Iterable[SuspectRecord]) -> None:
        """Merge the records of a peer."""
        now = time.time()
        for record in records:
            if not is_valid(record):
                self._log.event('suspect-unreadable', digest=record.digest)
            elif self._history.merge(record, now):
                suspect = RequestDigest(record.digest)
                _log_suspect(self._log, self._history, suspect, 'a peer')
                self._record_crashes(suspect, record.ends)

    def updates_after(self, after: int) -> tuple[int, list[SuspectRecord]]:
        """Return changes after a revision, and the revision they reach."""
        changes = list(
            self._history.changes_after(after, time.time() - _GOSSIP_SECONDS)
        )
        reported = list(reversed(changes[-_MAX_REPORTED:]))
        if not reported:
            return after, []
        return reported[-1][0], [record for _revision, record in reported]

    def summary(self) -> dict[str, int]:
        """Count the crashes of each suspect, for the state dump."""
        return self._history.summary()

    def _clear(self, suspects: Iterable[RequestDigest]) -> None:
        for suspect in suspects:
            if self._history.clear(suspect, time.time()):
                self._log.event('suspect-cleared', digest=suspect)
                self.store.save(suspect)

    def _add_crash(
        self,
        engine: Engine,
        digest: RequestDigest,
        parts: Sequence[PromptPart],
    ) -> None:
        incarnation = f'{engine.engine}@{engine.born}'
        if parts:
            # Its answer had gone on for no longer than a trial does.
            self._shares.record_interrupted(incarnation)
        now = time.time()
        shares = {digest: 0.0}
        for part in parts:
            shares[name_part(part)] = self._shares.share(part)
        repeat_chance = _repeat_chance(
            self._history.crash_count(digest),
            self._count_engines(engine.service),
        )
        for suspect, share in shares.items():
            if self._history.add_crash(
                suspect, incarnation, now, share, repeat_chance
            ):
                _log_suspect(self._log, self._history, suspect, engine.engine)
                self.store.save(suspect)
            ends = {incarnation: round(now * _MS_PER_SECOND)}
            self._record_crashes(suspect, ends)

    def _record_crashes(
        self, suspect: RequestDigest, ends: Mapping[str, int]
    ) -> None:
        if names_part(suspect):
            self._shares.record_crashes(part_of(suspect), ends)
        else:
            self.calm.record_crashes(ends)
            self._crashes.add(suspect, ends)
        self._search_soon()

    def _record_change(self, record: SuspectRecord) -> None:
        """Use what any source tells of crashes, stored records as well."""
        suspect = RequestDigest(record.digest)
        if not names_part(suspect):
            self.calm.record_crashes(record.ends)
            self._crashes.add(suspect, record.ends)
        for trial in failed_trials(record):
            self._crashes.add_tried(trial.incarnation)

    def _search_soon(self) -> None:
        if self._searching is None or self._searching.dead:
            self._searching = gevent.spawn_later(
                _SEARCH_PAUSE_SECONDS, self._find_parts
            )

    def _find_parts(self) -> None:
        """Quarantine the parts of prompts that crash engines."""
        self._searching = None
        while True:
            now = time.time()
            tested = self._search.strongest(round(now * _MS_PER_SECOND))
            if tested is None:
                return
            self._log.event(
                'part-quarantined' if tested.is_found else 'part-tested',
                **_log_fields(tested),
            )
            if not tested.is_found:
                return
            self._history.record_found(tested.suspect, now)
            self.store.save(tested.suspect)


def _log_suspect(
    log: Log, history: CrashHistory, digest: RequestDigest, source: str
) -> None:
    log.event(
        'request-suspected',
        digest=digest,
        source=source,
        ends=history.crash_count(digest),
        quarantined=history.is_quarantined(digest),
    )


def _repeat_chance(earlier_crashes: int, engines: int) -> float:
    """Return the chance that a repeat is at an engine, 0 if it is none.

    Any engine of the service may have got it.
    """
    return 1 / max(1, engines) if earlier_crashes else 0


def _log_fields(tested: TestedPart) -> dict[str, object]:
    return {
        'digest': tested.suspect,
        'evidence': round(tested.evidence, 1),
        'incidents': tested.incidents,
        'share': round(tested.share, 3),
        'running': tested.running,
    }
