"""State of a direct job, whose items and results are stored in the log.

Results keep the order of their records, so that a position always refers to
the same result on every node. Progress of an item is accepted only if it starts
right after the last event that was saved of the same chain of runs, or if it
begins a new chain.
"""

import base64
from collections.abc import Sequence

import msgspec
from bendlead_schema.records import (
    DirectItem,
    DirectJobAccepted,
    DirectJobSnapshot,
    DirectProgress,
    DirectResult,
    ItemFailures,
    RunChain,
)
from msgspec import UNSET, Struct, field

from bendlead_ledger import _codec
from bendlead_ledger._ids import ChainId

#: Items of this compressed size or more are stored in separate objects.
_INLINE_BYTES = 48_000
_ITEMS_DECODER = msgspec.json.Decoder(list[DirectItem])
#: Event number before the first event of an item.
BEFORE_FIRST = -1


class SavedProgress(Struct):
    """Events saved in the log of an item that has no result yet."""

    last_event: int = BEFORE_FIRST
    #: Runs that made the events.
    chain: ChainId = ChainId('')
    #: Version of the engines that made the events, empty if unknown.
    version: str = ''
    #: Total time for which runs of the item have used slots.
    run_seconds: float = 0
    _texts: list[str] = field(default_factory=list)

    @property
    def text(self) -> str:
        """Data of all events, separated by line feeds."""
        return '\n'.join(self._texts)

    def extend(self, progress: DirectProgress) -> bool:
        """Append events that follow the last one; return whether they did.

        The first events of another chain of runs replace those saved.
        """
        if progress.chain is UNSET:
            # Of an earlier release, whose events may be of several chains.
            return False
        chain = ChainId(progress.chain.id)
        if progress.after == BEFORE_FIRST and chain != self.chain:
            self._texts.clear()
            self.chain = chain
            self.version = progress.chain.version
        elif (progress.after, chain) != (self.last_event, self.chain):
            return False
        self.last_event = progress.last_event
        self.run_seconds = progress.spent
        self._texts.append(progress.text)
        return True


class DirectJobState(Struct):
    """Results and progress of one direct job."""

    accepted: DirectJobAccepted
    results: list[DirectResult] = field(default_factory=list)
    ended: bool = False
    saved_progress: dict[str, SavedProgress] = field(default_factory=dict)
    #: Failed runs of each item that has no result yet.
    failures: dict[str, int] = field(default_factory=dict)
    _done: set[str] = field(default_factory=set)

    @property
    def open(self) -> bool:
        """Whether items of the job may still be run."""
        return not self.ended and len(self.results) < self.accepted.total

    @classmethod
    def restored(cls, snapshot: DirectJobSnapshot) -> 'DirectJobState':
        """Return the state that a snapshot holds."""
        job = cls(snapshot.accepted, ended=snapshot.ended)
        job.record(snapshot.results)
        job.add_progress(snapshot.progress)
        job.update_failures(snapshot.failed)
        return job

    def has_result(self, item: str) -> bool:
        """Return whether an item has its result."""
        return item in self._done

    def record(self, results: Sequence[DirectResult]) -> bool:
        """Append the first result of each item; ignore later ones.

        Returns whether the state changed.
        """
        changed = False
        for result in results:
            if result.item not in self._done:
                self._done.add(result.item)
                self.results.append(result)
                self.saved_progress.pop(result.item, None)
                self.failures.pop(result.item, None)
                changed = True
        return changed

    def add_progress(self, progress: Sequence[DirectProgress]) -> bool:
        """Add events of items that may still run; return whether any is new."""
        changed = False
        for update in progress:
            if self.ended or update.item in self._done:
                continue
            saved = self.saved_progress.get(update.item, SavedProgress())
            if saved.extend(update):
                self.saved_progress[update.item] = saved
                changed = True
        return changed

    def update_failures(self, failed: Sequence[ItemFailures]) -> bool:
        """Update failure counts that rose; return whether any did."""
        changed = False
        for update in failed:
            if self.ended or update.item in self._done:
                continue
            if update.failures > self.failures.get(update.item, 0):
                self.failures[update.item] = update.failures
                changed = True
        return changed

    def end(self) -> bool:
        """End the job; return False if it had ended before."""
        if self.ended:
            return False
        self.ended = True
        self.saved_progress.clear()
        self.failures.clear()
        return True

    def snapshot(self) -> DirectJobSnapshot:
        """Return the job as a snapshot record."""
        return DirectJobSnapshot(
            accepted=self.accepted,
            results=list(self.results),
            ended=self.ended,
            progress=[
                DirectProgress(
                    item=item,
                    last_event=saved.last_event,
                    text=saved.text,
                    spent=saved.run_seconds,
                    chain=RunChain(id=saved.chain, version=saved.version),
                )
                for item, saved in self.saved_progress.items()
            ],
            failed=[
                ItemFailures(item=item, failures=count)
                for item, count in self.failures.items()
            ],
        )


def pack_items(items: Sequence[DirectItem]) -> tuple[str, bytes]:
    """Return the items as text for the record, or as bytes for objects.

    The other one is empty.
    """
    packed = _codec.compress(msgspec.json.encode(items))
    if len(packed) < _INLINE_BYTES:
        return base64.b64encode(packed).decode(), b''
    return '', packed


def unpack_items(packed: str, parts: bytes) -> list[DirectItem]:
    """Return the items that ``pack_items`` packed."""
    compressed = base64.b64decode(packed) if packed else parts
    return _ITEMS_DECODER.decode(_codec.decompress(compressed))
