"""The fenced log of one shard in the object service.

The head is the only object that changes, and only by conditional update: its
version is the fence. Everything else is immutable under a unique name and
becomes part of the log when a head refers to it.
"""

import random
from collections.abc import Iterator, Sequence

import gevent
import msgspec
from bendlead_schema.records import (
    Head,
    Record,
    SegmentRef,
    Snapshot,
    SnapshotRef,
)
from bendlead_schema.settings import LedgerSettings
from bendlead_store import (
    ABSENT,
    Entry,
    Failure,
    FailureKind,
    ValueStore,
    Version,
    clock,
)
from msgspec import Struct
from result import Err, Ok, Result

from bendlead_ledger import _codec
from bendlead_ledger._ids import ShardId, unique
from bendlead_ledger._objects import (
    FIRST_BACKOFF,
    LAST_BACKOFF,
    read_each,
    read_parts,
    write_once,
    write_parts,
)
from bendlead_ledger._state import ShardState

_SEGMENT = msgspec.json.Decoder(list[Record])
#: Records of one segment (bytes before they are compressed).
_SEGMENT_BYTES = 600_000


class Owner(Struct, frozen=True):
    """Name the process that writes a shard and where to reach it."""

    node: str
    address: str


class ShardLog:
    """Append records to a shard as long as no other owner has fenced us."""

    def __init__(
        self,
        store: ValueStore,
        shard: ShardId,
        owner: Owner,
        settings: LedgerSettings,
    ) -> None:
        self._store = store
        self._shard = shard
        self._owner = owner
        self._settings = settings
        self._head: Head | None = None
        self._version = ABSENT
        self._fenced = False
        self._confirmed_at = 0.0
        #: Versions of the segments that were written here.
        self._versions: dict[str, Version] = {}

    @property
    def confirmed_at(self) -> float:
        """Tell when ownership was last proved, on the steady clock (s)."""
        return self._confirmed_at

    @property
    def fenced(self) -> bool:
        """Tell whether another owner has been seen at a higher epoch."""
        return self._fenced

    @property
    def epoch(self) -> int:
        """Tell the epoch at which this process owns the shard."""
        return self._head.epoch if self._head else 0

    @property
    def sequence(self) -> int:
        """Tell how many records are committed."""
        return self._head.sequence if self._head else 0

    def take_over(self) -> Result[ShardState, Failure]:
        """Fence every earlier owner, then replay what it committed."""
        found = self._read_head()
        if isinstance(found, Err):
            return found
        entry = found.ok_value
        head = self._claimed(entry)
        version = entry.version if entry else ABSENT
        written = self._write_head(head, version)
        if isinstance(written, Err):
            return written
        return load_state(self._store, head)

    def commit(self, records: Sequence[Record]) -> Result[None, Failure]:
        """Make records durable; a conflict means the shard is lost."""
        head = self._owned_head()
        following = msgspec.structs.replace(
            head,
            commit=unique(),
            sequence=head.sequence + len(records),
            tail=[*head.tail, *records],
        )
        sealed = self._sealed(following)
        if isinstance(sealed, Err):
            return sealed
        return self._write_head(sealed.ok_value, self._version)

    def confirm(self) -> Result[None, Failure]:
        """Prove by a read that no other owner has taken the shard."""
        asked = clock.uptime()
        found = self._read_head()
        if isinstance(found, Err):
            return found
        entry = found.ok_value
        head = _codec.decode(entry.body, Head, entry.key) if entry else None
        if head is None or head.epoch != self.epoch:
            self._fenced = True
            peer = f'{head.owner} at {head.address}' if head else 'nobody'
            failure = Failure(FailureKind.CONFLICT, 'confirm', peer, 'fenced')
            return Err(failure)
        self._confirmed_at = max(self._confirmed_at, asked)
        return Ok(None)

    def needs_snapshot(self) -> bool:
        """Tell whether enough segments have gathered to fold them."""
        return len(self._owned_head().segments) >= self._settings.segments

    def fold(self, state: ShardState) -> Result[None, Failure]:
        """Replace all records by a snapshot of the state they led to."""
        head = self._owned_head()
        snapshot = _codec.encode(state.snapshot())
        parts = write_parts(self._store, self._shard, _codec.compress(snapshot))
        if isinstance(parts, Err):
            return parts
        folded = msgspec.structs.replace(
            head,
            commit=unique(),
            tail=[],
            segments=[],
            snapshot=SnapshotRef(
                parts=parts.ok_value,
                records=head.sequence,
            ),
        )
        written = self._write_head(folded, self._version)
        if isinstance(written, Ok):
            # Commits go on meanwhile: it takes a call or two for each object.
            gevent.spawn(self._delete, _replaced(head))
        return written

    def _owned_head(self) -> Head:
        if self._head is None:
            raise RuntimeError(f'shard {self._shard} was not taken over')
        return self._head

    def _read_head(self) -> Result[Entry | None, Failure]:
        return self._store.fetch(head_key(self._shard))

    def _claimed(self, entry: Entry | None) -> Head:
        claim = {
            'owner': self._owner.node,
            'address': self._owner.address,
            'commit': unique(),
        }
        if entry is None:
            return Head(
                format=_codec.FORMAT,
                shard=self._shard,
                epoch=1,
                sequence=0,
                tail=[],
                segments=[],
                **claim,
            )
        head = _codec.decode(entry.body, Head, entry.key)
        return msgspec.structs.replace(
            head,
            epoch=head.epoch + 1,
            fenced=head.commit,
            **claim,
        )

    def _write_head(
        self,
        head: Head,
        expected: Version,
    ) -> Result[None, Failure]:
        # The same bytes go out until the outcome is known, so a write that
        # lands late is either this commit or is refused by its version.
        body = _codec.encode(head)
        backoff = FIRST_BACKOFF
        uncertain = False
        while True:
            asked = clock.uptime()
            written = self._store.put(head_key(self._shard), body, expected)
            if isinstance(written, Ok):
                self._confirmed_at = asked
                return self._adopt(head, written.ok_value)
            if written.err_value.kind is FailureKind.CONFLICT:
                settled = self._settle(head, uncertain=uncertain)
                if settled is not None:
                    return settled
            if written.err_value.kind is FailureKind.UNKNOWN:
                uncertain = True
            gevent.sleep(
                written.err_value.retry_after + backoff * random.random(),
            )
            backoff = min(LAST_BACKOFF, backoff * 2)

    def _settle(
        self,
        head: Head,
        *,
        uncertain: bool,
    ) -> Result[None, Failure] | None:
        """Look for our own commit id; nothing where the store is away."""
        found = self._read_head()
        if isinstance(found, Err) or found.ok_value is None:
            return None
        entry = found.ok_value
        present = _codec.decode(entry.body, Head, entry.key)
        if present.commit == head.commit:
            return self._adopt(head, entry.version)
        self._fenced = True
        if present.fenced == head.commit:
            return Ok(None)
        kind = FailureKind.UNKNOWN if uncertain else FailureKind.CONFLICT
        peer = f'{present.owner} at {present.address}'
        detail = f'epoch {present.epoch} is above {head.epoch}'
        return Err(Failure(kind, 'commit', peer, detail))

    def _adopt(self, head: Head, version: Version) -> Result[None, Failure]:
        self._head = head
        self._version = version
        return Ok(None)

    def _sealed(self, head: Head) -> Result[Head, Failure]:
        """Move a long tail into segments, each small enough for a value."""
        sizes = [len(msgspec.json.encode(record)) for record in head.tail]
        if sum(sizes) < self._settings.tail_bytes:
            return Ok(head)
        first = head.sequence - len(head.tail)
        segments = list(head.segments)
        for count in _runs_of(sizes):
            start = first - head.sequence + len(head.tail)
            records = head.tail[start : start + count]
            written = self._write_segment(records, first)
            if isinstance(written, Err):
                return written
            segments.append(written.ok_value)
            first += count
        return Ok(msgspec.structs.replace(head, tail=[], segments=segments))

    def _write_segment(
        self, records: Sequence[Record], first: int
    ) -> Result[SegmentRef, Failure]:
        key = f'ledger/{self._shard:04x}/segment/{unique()}'
        body = _codec.compress(msgspec.json.encode(records))
        written = write_once(self._store, key, body)
        if isinstance(written, Err):
            return written
        self._versions[key] = written.ok_value
        return Ok(SegmentRef(key=key, first=first, count=len(records)))

    def _delete(self, replaced: Sequence[str]) -> None:
        """Delete objects to which no head refers any more."""
        for key in replaced:
            known = self._versions.pop(key, ABSENT)
            version = known or _read_version(self._store, key)
            if version:
                self._store.delete(key, version)


def _read_version(store: ValueStore, key: str) -> Version:
    """Read the version of a key; none if that can't be had."""
    found = store.fetch(key)
    if isinstance(found, Err) or found.ok_value is None:
        return ABSENT
    return found.ok_value.version


def _replaced(head: Head) -> list[str]:
    """Name the objects that a snapshot replaces."""
    keys = [segment.key for segment in head.segments]
    if head.snapshot:
        keys.extend(head.snapshot.parts)
    return keys


def _runs_of(sizes: Sequence[int]) -> Iterator[int]:
    """Cut records into runs that fit a value each; yield their lengths."""
    count = 0
    total = 0
    for size in sizes:
        if count and total + size > _SEGMENT_BYTES:
            yield count
            count = 0
            total = 0
        count += 1
        total += size
    yield count


def head_key(shard: ShardId) -> str:
    """Name the head object of a shard."""
    return f'ledger/{shard:04x}/head'


def read_holder(store: ValueStore, shard: ShardId) -> Result[str, Failure]:
    """Name the node that took a shard last; nothing if nobody has."""
    found = store.fetch(head_key(shard))
    if isinstance(found, Err):
        return found
    entry = found.ok_value
    if entry is None:
        return Ok('')
    return Ok(_codec.decode(entry.body, Head, entry.key).owner)


def load_state(store: ValueStore, head: Head) -> Result[ShardState, Failure]:
    """Rebuild the state that a head refers to."""
    state = ShardState()
    if head.snapshot:
        body = read_parts(store, head.snapshot.parts)
        if isinstance(body, Err):
            return body
        plain = _codec.decompress(body.ok_value)
        key = head_key(ShardId(head.shard))
        state.restore(_codec.decode(plain, Snapshot, key))
    keys = [segment.key for segment in head.segments]
    for read in read_each(store, keys):
        if isinstance(read, Err):
            return read
        state.replay(_SEGMENT.decode(_codec.decompress(read.ok_value)))
        # Decoding one segment takes about a millisecond.
        gevent.sleep(0)
    state.replay(head.tail)
    return Ok(state)
