"""The immutable objects of a shard: written once, read side by side."""

import random
from collections.abc import Iterator, Sequence
from functools import partial

import gevent
from bendlead_store import ABSENT, Failure, FailureKind, ValueStore, Version
from gevent.pool import Pool
from result import Err, Ok, Result

from bendlead_ledger._ids import ShardId, unique

#: Bytes of one object: a value holds a megabyte, and base64 takes a third.
_PART_BYTES = 700_000
FIRST_BACKOFF = 0.05
#: Longest pause between tries (s): what waits is refused until one is through.
LAST_BACKOFF = 0.4
#: Objects read side by side at a takeover: one is a way to another data hall,
#: and a process keeps this many connections to the object service.
_READS_AT_ONCE = 4


def write_once(
    store: ValueStore,
    key: str,
    body: bytes,
) -> Result[Version, Failure]:
    """Write an immutable object under a unique name until it is there.

    Its version is not known where an answer was lost.
    """
    backoff = FIRST_BACKOFF
    while True:
        written = store.put(key, body, ABSENT)
        if isinstance(written, Ok):
            return written
        if written.err_value.kind is FailureKind.CONFLICT:
            # The name is unique: what is there is our own earlier attempt.
            return Ok(ABSENT)
        if written.err_value.kind is FailureKind.REFUSED:
            return written
        gevent.sleep(written.err_value.retry_after + backoff * random.random())
        backoff = min(LAST_BACKOFF, backoff * 2)


def write_parts(
    store: ValueStore,
    shard: ShardId,
    packed: bytes,
) -> Result[list[str], Failure]:
    """Write bulk bytes into immutable objects and name them."""
    parts = []
    for start in range(0, len(packed), _PART_BYTES):
        key = f'ledger/{shard:04x}/part/{unique()}'
        part = packed[start : start + _PART_BYTES]
        written = write_once(store, key, part)
        if isinstance(written, Err):
            return written
        parts.append(key)
    return Ok(parts)


def read_parts(
    store: ValueStore, keys: Sequence[str]
) -> Result[bytes, Failure]:
    """Read bulk bytes back from the objects that hold them."""
    bodies = []
    for read in read_each(store, keys):
        if isinstance(read, Err):
            return read
        bodies.append(read.ok_value)
    return Ok(b''.join(bodies))


def read_each(
    store: ValueStore, keys: Sequence[str]
) -> Iterator[Result[bytes, Failure]]:
    """Read objects side by side; yield them in the order of their keys."""
    yield from Pool(_READS_AT_ONCE).imap(partial(_read_one, store), keys)


def _read_one(store: ValueStore, key: str) -> Result[bytes, Failure]:
    found = store.fetch(key)
    if isinstance(found, Err):
        return found
    if found.ok_value is None:
        return Err(Failure(FailureKind.NOT_DONE, 'replay', key, 'missing'))
    return Ok(found.ok_value.body)
