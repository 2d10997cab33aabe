"""A job whose items and results live in the log itself.

The order of results is the order of their records, so that a position, once
read, holds the same result for ever and on every node. Progress of an item
goes on behind the event that the log holds last, or it changes nothing.
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
)
from msgspec import Struct, field

from bendlead_ledger import _codec

#: Items of this many compressed bytes and more get objects of their own.
_INLINE_BYTES = 48_000
_ITEMS = msgspec.json.Decoder(list[DirectItem])
#: Names the event before an item's first one.
BEFORE_FIRST = -1


class KeptProgress(Struct):
    """Keep the events that the log holds of an item without result."""

    last_event: int = BEFORE_FIRST
    #: Seconds for which runs of the item have held places.
    spent: float = 0
    _texts: list[str] = field(default_factory=list)

    @property
    def text(self) -> str:
        """Give the data of all events, parted by line feeds."""
        return '\n'.join(self._texts)

    def extend(self, progress: DirectProgress) -> bool:
        """Take the events behind the last one; others change nothing."""
        if progress.after != self.last_event:
            return False
        self.last_event = progress.last_event
        self.spent = progress.spent
        self._texts.append(progress.text)
        return True


class DirectJobState(Struct):
    """Keep the results of one job in their order."""

    accepted: DirectJobAccepted
    results: list[DirectResult] = field(default_factory=list)
    ended: bool = False
    kept: dict[str, KeptProgress] = field(default_factory=dict)
    #: Runs of items without result that their engines failed.
    failures: dict[str, int] = field(default_factory=dict)
    _done: set[str] = field(default_factory=set)

    @property
    def open(self) -> bool:
        """Tell whether items of the job may still be run."""
        return not self.ended and len(self.results) < self.accepted.total

    @classmethod
    def restored(cls, snapshot: DirectJobSnapshot) -> 'DirectJobState':
        """Take over what a snapshot holds."""
        job = cls(snapshot.accepted, ended=snapshot.ended)
        job.record(snapshot.results)
        job.keep(snapshot.progress)
        job.count(snapshot.failed)
        return job

    def listed(self, item: str) -> bool:
        """Tell whether an item has its result."""
        return item in self._done

    def record(self, results: Sequence[DirectResult]) -> bool:
        """Append the first result of each item; later ones change nothing."""
        fresh = False
        for one in results:
            if one.item not in self._done:
                self._done.add(one.item)
                self.results.append(one)
                self.kept.pop(one.item, None)
                self.failures.pop(one.item, None)
                fresh = True
        return fresh

    def keep(self, progress: Sequence[DirectProgress]) -> bool:
        """Keep the events of items that may still be run."""
        fresh = False
        for one in progress:
            if self.ended or one.item in self._done:
                continue
            kept = self.kept.get(one.item, KeptProgress())
            if kept.extend(one):
                self.kept[one.item] = kept
                fresh = True
        return fresh

    def count(self, failed: Sequence[ItemFailures]) -> bool:
        """Take how often items have failed; a lower count changes nothing."""
        fresh = False
        for one in failed:
            if self.ended or one.item in self._done:
                continue
            if one.failures > self.failures.get(one.item, 0):
                self.failures[one.item] = one.failures
                fresh = True
        return fresh

    def end(self) -> bool:
        """End the job, once."""
        if self.ended:
            return False
        self.ended = True
        self.kept.clear()
        self.failures.clear()
        return True

    def snapshot(self) -> DirectJobSnapshot:
        """Write the job down."""
        return DirectJobSnapshot(
            accepted=self.accepted,
            results=list(self.results),
            ended=self.ended,
            progress=[
                DirectProgress(
                    item=item,
                    last_event=one.last_event,
                    text=one.text,
                    spent=one.spent,
                )
                for item, one in self.kept.items()
            ],
            failed=[
                ItemFailures(item=item, failures=count)
                for item, count in self.failures.items()
            ],
        )


def pack_items(items: Sequence[DirectItem]) -> tuple[str, bytes]:
    """Give the items as text for the record, or as bytes for objects."""
    packed = _codec.compress(msgspec.json.encode(items))
    if len(packed) < _INLINE_BYTES:
        return base64.b64encode(packed).decode(), b''
    return '', packed


def unpack_items(packed: str, parts: bytes) -> list[DirectItem]:
    """Undo pack_items."""
    compressed = base64.b64decode(packed) if packed else parts
    return _ITEMS.decode(_codec.decompress(compressed))
