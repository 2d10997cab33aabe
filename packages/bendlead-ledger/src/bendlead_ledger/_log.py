"""Fenced log of one shard in the object service.

The head is the only object that is updated, always conditionally on its
version, which fences former owners. All other objects are immutable, have a
unique name and belong to the log once a head refers to them.
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
from bendlead_ledger._ids import ShardId, unique_id
from bendlead_ledger._objects import (
    MAX_BACKOFF_SECONDS,
    MIN_BACKOFF_SECONDS,
    read_each,
    read_parts,
    write_once,
    write_parts,
)
from bendlead_ledger._state import ShardState

_SEGMENT_DECODER = msgspec.json.Decoder(list[Record])
#: Largest size of the records of one segment before compression.
_SEGMENT_BYTES = 600_000


class Owner(Struct, frozen=True):
    """Name and address of the process that writes a shard."""

    node: str
    address: str


class ShardLog:
    """Log of one shard, writable until another owner takes the shard over."""

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
        #: Versions of the segments that this process has written.
        self._versions: dict[str, Version] = {}

    @property
    def confirmed_at(self) -> float:
        """Time when ownership was last confirmed, by ``clock.uptime``."""
        return self._confirmed_at

    @property
    def fenced(self) -> bool:
        """Whether another owner has taken the shard over."""
        return self._fenced

    @property
    def epoch(self) -> int:
        """Epoch at which this process owns the shard; 0 before the takeover."""
        return self._head.epoch if self._head else 0

    @property
    def sequence(self) -> int:
        """Number of committed records."""
        return self._head.sequence if self._head else 0

    def take_over(self) -> Result[ShardState, Failure]:
        """Fence earlier owners, then return the state they committed."""
        found = self._read_head()
        if isinstance(found, Err):
            return found
        entry = found.ok_value
        head = self._next_epoch_head(entry)
        version = entry.version if entry else ABSENT
        written = self._write_head(head, version)
        if isinstance(written, Err):
            return written
        return load_state(self._store, head)

    def commit(self, records: Sequence[Record]) -> Result[None, Failure]:
        """Write records durably; a CONFLICT means that the shard is lost."""
        head = self._owned_head()
        extended = msgspec.structs.replace(
            head,
            commit=unique_id(),
            sequence=head.sequence + len(records),
            tail=[*head.tail, *records],
        )
        sealed = self._move_tail(extended)
        if isinstance(sealed, Err):
            return sealed
        return self._write_head(sealed.ok_value, self._version)

    def confirm(self) -> Result[None, Failure]:
        """Check by a read that no other owner has taken the shard over."""
        started = clock.uptime()
        found = self._read_head()
        if isinstance(found, Err):
            return found
        entry = found.ok_value
        head = _codec.decode(entry.body, Head, entry.key) if entry else None
        if head is None:
            # Nobody took the shard over: a later owner would begin without its
            # jobs.
            return Err(
                Failure(FailureKind.CONFLICT, 'confirm', 'nobody', 'no head')
            )
        if head.epoch != self.epoch:
            self._fenced = True
            peer = f'{head.owner} at {head.address}'
            failure = Failure(FailureKind.CONFLICT, 'confirm', peer, 'fenced')
            return Err(failure)
        self._confirmed_at = max(self._confirmed_at, started)
        return Ok(None)

    def needs_snapshot(self) -> bool:
        """Return whether there are enough segments for a snapshot."""
        return len(self._owned_head().segments) >= self._settings.segments

    def write_snapshot(self, state: ShardState) -> Result[None, Failure]:
        """Replace all records by a snapshot of the state they produced."""
        head = self._owned_head()
        snapshot = _codec.encode(state.snapshot())
        parts = write_parts(self._store, self._shard, _codec.compress(snapshot))
        if isinstance(parts, Err):
            return parts
        compacted = msgspec.structs.replace(
            head,
            commit=unique_id(),
            tail=[],
            segments=[],
            snapshot=SnapshotRef(
                parts=parts.ok_value,
                records=head.sequence,
            ),
        )
        written = self._write_head(compacted, self._version)
        if isinstance(written, Ok):
            # In the background, as each object takes one or two calls.
            gevent.spawn(self._delete, _replaced_keys(head))
        return written

    def _owned_head(self) -> Head:
        if self._head is None:
            raise RuntimeError(
                f'shard {self._shard} has no head: call take_over() first'
            )
        return self._head

    def _read_head(self) -> Result[Entry | None, Failure]:
        return self._store.fetch(head_key(self._shard))

    def _next_epoch_head(self, entry: Entry | None) -> Head:
        claim = {
            'owner': self._owner.node,
            'address': self._owner.address,
            'commit': unique_id(),
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
        # Every retry sends the same bytes, so a write that arrives late is
        # either this commit or fails on its expected version.
        body = _codec.encode(head)
        backoff = MIN_BACKOFF_SECONDS
        uncertain = False
        while True:
            started = clock.uptime()
            written = self._store.put(head_key(self._shard), body, expected)
            if isinstance(written, Ok):
                self._confirmed_at = started
                return self._set_head(head, written.ok_value)
            if written.err_value.kind is FailureKind.CONFLICT:
                outcome = self._resolve_conflict(head, uncertain=uncertain)
                if outcome is not None:
                    return outcome
            if written.err_value.kind is FailureKind.UNKNOWN:
                uncertain = True
            gevent.sleep(
                written.err_value.retry_after + backoff * random.random(),
            )
            backoff = min(MAX_BACKOFF_SECONDS, backoff * 2)

    def _resolve_conflict(
        self,
        head: Head,
        *,
        uncertain: bool,
    ) -> Result[None, Failure] | None:
        """Read the head to find out whether it holds this commit.

        Returns None if the head could not be read.
        """
        found = self._read_head()
        if isinstance(found, Err) or found.ok_value is None:
            return None
        entry = found.ok_value
        current = _codec.decode(entry.body, Head, entry.key)
        if current.commit == head.commit:
            return self._set_head(head, entry.version)
        self._fenced = True
        if current.fenced == head.commit:
            return Ok(None)
        kind = FailureKind.UNKNOWN if uncertain else FailureKind.CONFLICT
        peer = f'{current.owner} at {current.address}'
        detail = f'epoch {current.epoch} is above {head.epoch}'
        return Err(Failure(kind, 'commit', peer, detail))

    def _set_head(self, head: Head, version: Version) -> Result[None, Failure]:
        self._head = head
        self._version = version
        return Ok(None)

    def _move_tail(self, head: Head) -> Result[Head, Failure]:
        """Move a tail above the size limit into segments."""
        sizes = [len(msgspec.json.encode(record)) for record in head.tail]
        if sum(sizes) < self._settings.tail_bytes:
            return Ok(head)
        first = head.sequence - len(head.tail)
        segments = list(head.segments)
        for count in _segment_lengths(sizes):
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
        key = f'ledger/{self._shard:04x}/segment/{unique_id()}'
        body = _codec.compress(msgspec.json.encode(records))
        written = write_once(self._store, key, body)
        if isinstance(written, Err):
            return written
        self._versions[key] = written.ok_value
        return Ok(SegmentRef(key=key, first=first, count=len(records)))

    def _delete(self, keys: Sequence[str]) -> None:
        """Delete objects to which the head no longer refers."""
        for key in keys:
            written_version = self._versions.pop(key, ABSENT)
            version = written_version or _read_version(self._store, key)
            if version:
                self._store.delete(key, version)


def _read_version(store: ValueStore, key: str) -> Version:
    """Return the version of a key; ABSENT if it could not be read."""
    found = store.fetch(key)
    if isinstance(found, Err) or found.ok_value is None:
        return ABSENT
    return found.ok_value.version


def _replaced_keys(head: Head) -> list[str]:
    """Return the keys of the objects that a snapshot replaces."""
    keys = [segment.key for segment in head.segments]
    if head.snapshot:
        keys.extend(head.snapshot.parts)
    return keys


def _segment_lengths(sizes: Sequence[int]) -> Iterator[int]:
    """Yield how many of the extended records fit each segment."""
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
    """Return the key of the head object of a shard."""
    return f'ledger/{shard:04x}/head'


def read_owner(store: ValueStore, shard: ShardId) -> Result[str, Failure]:
    """Return the name of a shard's last owner; empty if it had none."""
    found = store.fetch(head_key(shard))
    if isinstance(found, Err):
        return found
    entry = found.ok_value
    if entry is None:
        return Ok('')
    return Ok(_codec.decode(entry.body, Head, entry.key).owner)


def load_state(store: ValueStore, head: Head) -> Result[ShardState, Failure]:
    """Return the state from the snapshot and the records of a head."""
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
        state.replay(_SEGMENT_DECODER.decode(_codec.decompress(read.ok_value)))
        # Decoding a segment blocks the event loop; let other tasks run.
        gevent.sleep(0)
    state.replay(head.tail)
    return Ok(state)
