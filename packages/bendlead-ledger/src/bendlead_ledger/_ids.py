"""Ids of jobs and requests; they contain the number of their shard."""

import uuid
from typing import NewType

import xxhash

JobId = NewType('JobId', str)
RequestId = NewType('RequestId', str)
RunId = NewType('RunId', str)
#: Runs of an item that each continue the one before.
ChainId = NewType('ChainId', str)
ShardId = NewType('ShardId', int)

JOB_PREFIX = 'batch_'
REQUEST_PREFIX = 'chatcmpl-'
_SHARD_DIGITS = 4
_HEXADECIMAL = 16
_CHAIN_DIGITS = 16


def unique_id() -> str:
    """Return a random id of 32 hexadecimal digits."""
    return uuid.uuid4().hex


def new_chain_id() -> ChainId:
    """Return a random id for the next chain of runs of an item."""
    return ChainId(unique_id()[:_CHAIN_DIGITS])


def digest(*parts: str) -> str:
    """Return a 128-bit hash of the texts as hexadecimal digits."""
    return xxhash.xxh3_128_hexdigest('\0'.join(parts).encode())


def job_id(team: str, key: str, shards: int) -> JobId:
    """Return the id of a job: random for an empty key, else derived from it."""
    return JobId(JOB_PREFIX + _sharded(team, key, shards))


def request_id(team: str, key: str, shards: int) -> RequestId:
    """Return the id of a request: random for an empty key, else derived."""
    return RequestId(REQUEST_PREFIX + _sharded(team, key, shards))


def shard_of(sharded_id: str, shards: int) -> ShardId | None:
    """Return the shard of an id, or None if the id is not valid."""
    name = sharded_id.removeprefix(JOB_PREFIX).removeprefix(REQUEST_PREFIX)
    try:
        shard = int(name[:_SHARD_DIGITS], _HEXADECIMAL)
    except ValueError:
        return None
    return ShardId(shard) if shard < shards else None


def _sharded(team: str, key: str, shards: int) -> str:
    name = digest(team, key or unique_id())
    shard = int(name, _HEXADECIMAL) % shards
    return f'{shard:0{_SHARD_DIGITS}x}{name}'
