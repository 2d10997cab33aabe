"""A job whose items and results live in the log itself.

The order of results is the order of their records, so that a position, once
read, holds the same result for ever and on every node.
"""

import base64
from collections.abc import Sequence
from dataclasses import dataclass, field

import msgspec
from bendlead_schema.records import (
    DirectItem,
    DirectJobAccepted,
    DirectJobSnapshot,
    DirectResult,
)

from bendlead_ledger import _codec

#: Items of this many compressed bytes and more get objects of their own.
_INLINE_BYTES = 48_000
_ITEMS = msgspec.json.Decoder(list[DirectItem])


@dataclass(slots=True)
class DirectJobState:
    """Keep the results of one job in their order."""

    accepted: DirectJobAccepted
    results: list[DirectResult] = field(default_factory=list)
    ended: bool = False
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
                fresh = True
        return fresh

    def snapshot(self) -> DirectJobSnapshot:
        """Write the job down."""
        return DirectJobSnapshot(
            accepted=self.accepted,
            results=list(self.results),
            ended=self.ended,
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
