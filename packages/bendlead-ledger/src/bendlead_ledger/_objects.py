"""Immutable objects of a shard: written once, read concurrently."""

import random
from collections.abc import Iterator, Sequence
from functools import partial

import gevent
from bendlead_store import ABSENT, Failure, FailureKind, ValueStore, Version
from gevent.pool import Pool
from result import Err, Ok, Result

from bendlead_ledger._ids import ShardId, unique_id

#: Largest object: the service limits base64-encoded values to 1 MiB.
_PART_BYTES = 700_000
MIN_BACKOFF_SECONDS = 0.05
#: Low, as requests are refused until a write succeeds.
MAX_BACKOFF_SECONDS = 0.4
#: Concurrent reads, limited by the connections to the object service.
_MAX_CONCURRENT_READS = 4


def write_once(
    store: ValueStore,
    key: str,
    body: bytes,
) -> Result[Version, Failure]:
    """Write an immutable object under a unique key; retry until it exists.

    Returns ABSENT as its version if the response to an earlier try was lost.
    A refused write is not retried.
    """
    backoff = MIN_BACKOFF_SECONDS
    while True:
        written = store.put(key, body, ABSENT)
        if isinstance(written, Ok):
            return written
        if written.err_value.kind is FailureKind.CONFLICT:
            # The key is unique, so an earlier try has written the object.
            return Ok(ABSENT)
        if written.err_value.kind is FailureKind.REFUSED:
            return written
        gevent.sleep(written.err_value.retry_after + backoff * random.random())
        backoff = min(MAX_BACKOFF_SECONDS, backoff * 2)


def write_parts(
    store: ValueStore,
    shard: ShardId,
    packed: bytes,
) -> Result[list[str], Failure]:
    """Split bytes into immutable objects; return their keys in order."""
    parts = []
    for start in range(0, len(packed), _PART_BYTES):
        key = f'ledger/{shard:04x}/part/{unique_id()}'
        part = packed[start : start + _PART_BYTES]
        written = write_once(store, key, part)
        if isinstance(written, Err):
            return written
        parts.append(key)
    return Ok(parts)


def read_parts(
    store: ValueStore, keys: Sequence[str]
) -> Result[bytes, Failure]:
    """Return the concatenated bytes of the given objects."""
    bodies = []
    for read in read_each(store, keys):
        if isinstance(read, Err):
            return read
        bodies.append(read.ok_value)
    return Ok(b''.join(bodies))


def read_each(
    store: ValueStore, keys: Sequence[str]
) -> Iterator[Result[bytes, Failure]]:
    """Read objects concurrently; yield them in the order of the keys."""
    yield from Pool(_MAX_CONCURRENT_READS).imap(partial(_read_one, store), keys)


def _read_one(store: ValueStore, key: str) -> Result[bytes, Failure]:
    found = store.fetch(key)
    if isinstance(found, Err):
        return found
    if found.ok_value is None:
        return Err(Failure(FailureKind.NOT_DONE, 'replay', key, 'missing'))
    return Ok(found.ok_value.body)
