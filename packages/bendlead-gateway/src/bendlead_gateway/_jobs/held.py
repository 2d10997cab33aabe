"""One job that is held here, and how far its items have come."""

from collections.abc import Iterator, Sequence

from bendlead_ledger import BEFORE_FIRST, DirectJobState, KeptProgress
from bendlead_schema.records import (
    DirectProgress,
    DirectResult,
    ItemFailures,
)
from bendlead_store import clock
from gevent.event import Event
from msgspec import Struct, field

from bendlead_gateway._suspects.digest import RequestDigest, digest_request
from bendlead_gateway.types import (
    ItemId,
    ItemOutcome,
    ItemResult,
    JobId,
    JobItem,
    TeamName,
)

#: The method of the requests that items make.
ITEM_METHOD = 'POST'


class Progress(Struct):
    """Keep how far an item has come; events are kept over its runs."""

    item: JobItem
    texts: list[str] = field(default_factory=list)
    last_event: int | None = None
    failures: int = 0
    finished: bool = False
    not_before: float = 0
    #: Made when it is first asked for: waiting items are looked at every 25 ms,
    #: and to digest 15 kB takes 0.02 ms.
    digest: RequestDigest | None = None
    #: When the run under way began, on the steady clock (s).
    _since: float | None = None
    #: When its first run here began, on the steady clock (s).
    _begun: float | None = None
    #: Whether an earlier owner began it.
    _restored: bool = False
    #: Seconds for which earlier runs of the item have held places.
    _spent: float = 0
    #: How many texts, up to which event, have been handed to the log.
    _kept_texts: int = 0
    _kept_event: int = BEFORE_FIRST
    #: How many failures have been handed to the log.
    _kept_failures: int = 0

    @classmethod
    def restored(
        cls, item: JobItem, kept: KeptProgress | None, failures: int = 0
    ) -> 'Progress':
        """Go on behind what an earlier owner has kept, if it has."""
        if kept is None:
            return cls(item, failures=failures, _kept_failures=failures)
        return cls(
            item,
            [kept.text],
            kept.last_event,
            failures,
            _kept_failures=failures,
            _restored=True,
            _spent=kept.spent,
            _kept_texts=1,
            _kept_event=kept.last_event,
        )

    @property
    def running(self) -> bool:
        """Tell whether a run is under way."""
        return self._since is not None

    @property
    def spent(self) -> float:
        """Give the seconds for which runs have held places so far."""
        if self._since is None:
            return self._spent
        return self._spent + clock.uptime() - self._since

    @property
    def took(self) -> float | None:
        """Give the seconds since its first run began, if that was here."""
        if self._begun is None or self._restored:
            return None
        return clock.uptime() - self._begun

    @property
    def not_kept(self) -> int:
        """Count the events that have not been handed to the log."""
        return len(self.texts) - self._kept_texts

    @property
    def failed_since(self) -> bool:
        """Tell whether a failure has not been handed to the log."""
        return self.failures > self._kept_failures

    def take_failures(self) -> ItemFailures:
        """Hand over how often the item has failed."""
        self._kept_failures = self.failures
        return ItemFailures(item=self.item.item, failures=self.failures)

    def begin(self) -> None:
        """Note that a run holds a place from now on."""
        self._since = clock.uptime()
        if self._begun is None:
            self._begun = self._since

    def pause(self) -> None:
        """Note that the run no longer holds its place."""
        self._spent = self.spent
        self._since = None

    def take(self, most: int) -> DirectProgress:
        """Hand over the next events, one at least, of so many characters."""
        until = self._kept_texts + 1
        size = len(self.texts[self._kept_texts])
        while until < len(self.texts):
            size += len(self.texts[until]) + 1
            if size > most:
                break
            until += 1
        made = DirectProgress(
            item=self.item.item,
            after=self._kept_event,
            # Numbers of events rise by one.
            last_event=self.last_event - len(self.texts) + until,
            text='\n'.join(self.texts[self._kept_texts : until]),
            spent=self.spent,
        )
        # One text in place of many, shared with the state of the shard.
        kept = self.texts[: self._kept_texts]
        self.texts = [*kept, made.text, *self.texts[until:]]
        self._kept_texts += 1
        self._kept_event = made.last_event
        return made


class HeldJob:
    """Hold one job: its durable state and how far its items have come."""

    def __init__(self, state: DirectJobState, items: Sequence[JobItem]) -> None:
        self.state = state
        self.changed = Event()
        self.progress = {
            one.item: Progress.restored(
                one, state.kept.get(one.item), state.failures.get(one.item, 0)
            )
            for one in items
            if not state.listed(one.item)
        }

    @property
    def job(self) -> JobId:
        """Give the id."""
        return JobId(self.state.accepted.job)

    @property
    def host(self) -> str:
        """Give the host whose routes the items take."""
        return self.state.accepted.host

    @property
    def team(self) -> TeamName:
        """Give the team that handed the job in."""
        return TeamName(self.state.accepted.team)

    @property
    def waiting_tokens(self) -> int:
        """Count the tokens of the items that no engine has finished."""
        return sum(one.item.tokens for one in self.unfinished)

    @property
    def unfinished(self) -> Iterator[Progress]:
        """List the items that are still to be done."""
        if self.state.ended:
            return
        for one in self.progress.values():
            if not one.finished:
                yield one

    @property
    def items_begun(self) -> int:
        """Count the items of which some events are here."""
        return sum(bool(one.texts) for one in self.progress.values())

    def waiting(self, now: float) -> Iterator[Progress]:
        """List the items that could start now."""
        for one in self.unfinished:
            if not one.running and one.not_before <= now:
                yield one

    def digest(self, progress: Progress) -> RequestDigest:
        """Name the request that an item makes at an engine."""
        if progress.digest is None:
            item = progress.item
            progress.digest = digest_request(
                self.team, ITEM_METHOD, self.host, item.path, item.body
            )
        return progress.digest

    def body(self, item: ItemId) -> bytes | None:
        """Give the body of an item without result, unless it is unknown."""
        found = self.progress.get(item)
        return found.item.body if found else None

    def announce(self) -> None:
        """Wake the readers and forget what is listed."""
        for item in list(self.progress):
            if self.state.listed(item):
                self.progress.pop(item)
        self.changed.set()
        self.changed = Event()

    def results(self, after: int, most_bytes: int) -> list[ItemResult]:
        """Give results from a position on, one at least if there is one."""
        given: list[ItemResult] = []
        size = 0
        for one in self.state.results[after:]:
            size += len(one.text)
            if given and size > most_bytes:
                break
            given.append(_shown(one))
        return given


def _shown(stored: DirectResult) -> ItemResult:
    outcome = ItemOutcome.GIVEN_UP
    if stored.completed:
        outcome = ItemOutcome.COMPLETED
    return ItemResult(ItemId(stored.item), outcome, stored.text)
