"""An owned job and the progress of its items."""

import math
from collections.abc import Iterator, Sequence

from bendlead_ledger import (
    BEFORE_FIRST,
    ChainId,
    DirectJobState,
    SavedProgress,
    new_chain_id,
)
from bendlead_schema.records import (
    DirectProgress,
    DirectResult,
    ItemFailures,
    RunChain,
)
from bendlead_store import clock
from gevent.event import Event
from msgspec import Struct, field

from bendlead_gateway._jobs.item_states import PAUSES, ItemReason
from bendlead_gateway._suspects.digest import (
    RequestDigest,
    digest_request,
    name_item,
)
from bendlead_gateway.dialect import Dialect
from bendlead_gateway.types import (
    EngineId,
    EngineVersion,
    ItemId,
    ItemOutcome,
    ItemResult,
    JobId,
    JobItem,
    PromptPart,
    TeamName,
)

#: HTTP method of the requests for items.
ITEM_METHOD = 'POST'


class Progress(Struct):
    """The progress of an item over all its runs.

    Events are numbered consecutively. Times are uptimes in seconds.
    """

    item: JobItem
    texts: list[str] = field(default_factory=list)
    last_event: int | None = None
    #: Size of the texts as UTF-8, with a line feed for each.
    text_bytes: int = 0
    #: Version of the engines that made the events, empty if unknown.
    version: EngineVersion = EngineVersion('')
    #: Runs that made the events: each continues the one before.
    chain: ChainId = field(default_factory=new_chain_id)
    failures: int = 0
    finished: bool = False
    not_before: float = 0
    #: Whether it pauses because engines crashed, since the last look.
    paused: bool = False
    #: When that pause ends (uptime, s), though ``not_before`` may be sooner:
    #: what others learn may end it.
    pause_ends: float = 0
    #: When a run last failed for any reason (uptime, s).
    failed_at: float = -math.inf
    #: Why it is in its state, set where that is decided.
    reason: ItemReason = ItemReason.NEW
    #: When it was accepted here, last got output, or finished (uptime, s).
    progressed_at: float = field(default_factory=clock.uptime)
    #: Engine of its latest run.
    engine: EngineId = EngineId('')
    #: Seconds without progress at which the next line is due, 0 for the first.
    owed_line_at: float = 0
    #: Unforeseen errors in a row while it was started or run.
    errors: int = 0
    #: Computed on first use: the scheduler checks waiting items often.
    digest: RequestDigest | None = None
    #: Parts of the prompt that other requests may share, ``None`` if not read.
    shared_parts: tuple[PromptPart, ...] | None = None
    #: Start of the current run.
    _run_started_at: float | None = None
    #: Start of the first run under this owner.
    _first_run_at: float | None = None
    #: Whether a run had started under an earlier owner.
    _restored: bool = False
    #: Total duration of the previous runs.
    _previous_run_seconds: float = 0
    #: End of the previous run (uptime, s).
    _waiting_since: float = field(default_factory=clock.uptime)
    #: Number of texts handed to the log, and the last event in them.
    _saved_texts: int = 0
    _saved_event: int = BEFORE_FIRST
    #: Number of failures handed to the log.
    _saved_failures: int = 0

    @classmethod
    def restored(
        cls, item: JobItem, saved: SavedProgress | None, failures: int = 0
    ) -> 'Progress':
        """Return the progress that an earlier owner saved, if any."""
        if saved is None:
            return cls(item, failures=failures, _saved_failures=failures)
        return cls(
            item,
            [saved.text],
            saved.last_event,
            len(saved.text.encode()),
            EngineVersion(saved.version),
            saved.chain,
            failures,
            _saved_failures=failures,
            _restored=True,
            _previous_run_seconds=saved.run_seconds,
            _saved_texts=1,
            _saved_event=saved.last_event,
        )

    def read_shared_parts(self, dialect: Dialect) -> tuple[PromptPart, ...]:
        """Return the parts of the prompt that other requests may share."""
        if self.shared_parts is None:
            headers = list(self.item.headers.items())
            self.shared_parts = dialect.shared_parts(headers)
        return self.shared_parts

    @property
    def running(self) -> bool:
        """Return whether the item is running."""
        return self._run_started_at is not None

    @property
    def run_seconds(self) -> float:
        """Return the total duration (s) of all runs, with the current one."""
        if self._run_started_at is None:
            return self._previous_run_seconds
        return (
            self._previous_run_seconds + clock.uptime() - self._run_started_at
        )

    @property
    def running_since(self) -> float:
        """Return when the current run began (uptime, s), 0 if there is none."""
        return self._run_started_at or 0

    @property
    def elapsed_seconds(self) -> float | None:
        """Return the seconds since the first run began.

        None if the item has not run, or first ran under an earlier owner.
        """
        if self._first_run_at is None or self._restored:
            return None
        return clock.uptime() - self._first_run_at

    @property
    def unsaved_texts(self) -> int:
        """Count the texts not yet handed to the log."""
        return len(self.texts) - self._saved_texts

    @property
    def has_unsaved_failures(self) -> bool:
        """Return whether a failure has not yet been handed to the log."""
        return self.failures > self._saved_failures

    def take_failures(self) -> ItemFailures:
        """Return the record of the failures and mark them as saved."""
        self._saved_failures = self.failures
        return ItemFailures(item=self.item.item, failures=self.failures)

    @property
    def waiting_seconds(self) -> float:
        """Return the seconds for which the item could have run again."""
        since = max(self._waiting_since, self.not_before)
        return max(0, clock.uptime() - since)

    def begin_run(self, version: EngineVersion) -> None:
        """Start timing a run, from the start if the version is another."""
        if self.texts and (not version or version != self.version):
            # Events of two versions do not fit together.
            self.start_over()
        self.version = version
        self.reason = ItemReason.OWNERSHIP
        self._run_started_at = clock.uptime()
        if self._first_run_at is None:
            self._first_run_at = self._run_started_at

    def end_run(self) -> None:
        """Stop timing the current run."""
        self._previous_run_seconds = self.run_seconds
        self._run_started_at = None
        self._waiting_since = clock.uptime()
        if self.reason not in PAUSES:
            self.reason = ItemReason.RUN_ENDED

    def take_events(self, max_characters: int) -> DirectProgress:
        """Return the record of the next unsaved events and mark them as saved.

        It has at least one event, even if that exceeds ``max_characters``.
        """
        end = self._saved_texts + 1
        size = len(self.texts[self._saved_texts])
        while end < len(self.texts):
            size += len(self.texts[end]) + 1
            if size > max_characters:
                break
            end += 1
        record = DirectProgress(
            item=self.item.item,
            after=self._saved_event,
            # Event numbers are consecutive.
            last_event=self.last_event - len(self.texts) + end,
            text='\n'.join(self.texts[self._saved_texts : end]),
            spent=self.run_seconds,
            chain=RunChain(id=self.chain, version=self.version),
        )
        # Replace the texts by the joined one, which the shard state shares.
        saved = self.texts[: self._saved_texts]
        self.texts = [*saved, record.text, *self.texts[end:]]
        self._saved_texts += 1
        self._saved_event = record.last_event
        return record

    def start_over(self) -> None:
        """Drop the events, those of earlier runs too."""
        self.chain = new_chain_id()
        self.texts = []
        self.text_bytes = 0
        self.last_event = None
        self._saved_texts = 0
        self._saved_event = BEFORE_FIRST
        self._previous_run_seconds = 0


class OwnedJob:
    """A job: its durable state and the progress of its items.

    ``changed`` is set and replaced whenever results are published.
    """

    def __init__(self, state: DirectJobState, items: Sequence[JobItem]) -> None:
        self.state = state
        self.changed = Event()
        self.progress = {
            item.item: Progress.restored(
                item,
                state.saved_progress.get(item.item),
                state.failures.get(item.item, 0),
            )
            for item in items
            if not state.has_result(item.item)
        }

    @property
    def job(self) -> JobId:
        """Return the job id."""
        return JobId(self.state.accepted.job)

    @property
    def host(self) -> str:
        """Return the host whose routes apply to the items."""
        return self.state.accepted.host

    @property
    def team(self) -> TeamName:
        """Return the team that submitted the job."""
        return TeamName(self.state.accepted.team)

    @property
    def waiting_tokens(self) -> int:
        """Count the tokens of the unfinished items."""
        return sum(progress.item.tokens for progress in self.unfinished)

    @property
    def unfinished(self) -> Iterator[Progress]:
        """Yield the unfinished items, none once the job has ended."""
        if self.state.ended:
            return
        for progress in self.progress.values():
            if not progress.finished:
                yield progress

    @property
    def started_items(self) -> int:
        """Count the items that have events."""
        return sum(bool(progress.texts) for progress in self.progress.values())

    def ready_items(self, now: float) -> Iterator[Progress]:
        """Yield the items that are ready to start at an uptime."""
        for progress in self.unfinished:
            if not progress.running and progress.not_before <= now:
                yield progress

    def digest(self, progress: Progress) -> RequestDigest:
        """Return the name of the item as a suspect."""
        if progress.digest is None:
            item = progress.item
            digest = digest_request(
                self.team, ITEM_METHOD, self.host, item.path, item.body
            )
            progress.digest = name_item(digest)
        return progress.digest

    def body(self, item: ItemId) -> bytes | None:
        """Return the body of an item, None if it is unknown or has a result."""
        progress = self.progress.get(item)
        return progress.item.body if progress else None

    def publish_results(self) -> None:
        """Wake the readers and drop the progress of items with a result."""
        for item in list(self.progress):
            if self.state.has_result(item):
                self.progress.pop(item)
        self.changed.set()
        self.changed = Event()

    def results(self, after: int, max_characters: int) -> list[ItemResult]:
        """Return the results from position ``after`` on.

        Return at least one if there is one, even if its text exceeds
        ``max_characters``.
        """
        results: list[ItemResult] = []
        size = 0
        for stored in self.state.results[after:]:
            size += len(stored.text)
            if results and size > max_characters:
                break
            results.append(_decode_result(stored))
        return results


def _decode_result(stored: DirectResult) -> ItemResult:
    outcome = ItemOutcome.GIVEN_UP
    if stored.completed:
        outcome = ItemOutcome.COMPLETED
    return ItemResult(ItemId(stored.item), outcome, stored.text)
