"""Ids that carry the shard that keeps what they name."""

import uuid
from typing import NewType

import xxhash

JobId = NewType('JobId', str)
RequestId = NewType('RequestId', str)
RunId = NewType('RunId', str)
ShardId = NewType('ShardId', int)

JOB_PREFIX = 'batch_'
REQUEST_PREFIX = 'chatcmpl-'
_SHARD_DIGITS = 4
_HEX = 16


def unique() -> str:
    """Make a name that no other process makes."""
    return uuid.uuid4().hex


def digest(*parts: str) -> str:
    """Hash texts into a fixed-size name."""
    return xxhash.xxh3_128_hexdigest('\0'.join(parts).encode())


def job_id(team: str, key: str, shards: int) -> JobId:
    """Make the id of a job, always the same for a team and a key."""
    return JobId(JOB_PREFIX + _sharded(team, key, shards))


def request_id(team: str, key: str, shards: int) -> RequestId:
    """Make the id of a request, always the same for a team and a key."""
    return RequestId(REQUEST_PREFIX + _sharded(team, key, shards))


def shard_of(sharded_id: str, shards: int) -> ShardId | None:
    """Read the shard out of an id, or nothing where it is not ours."""
    name = sharded_id.removeprefix(JOB_PREFIX).removeprefix(REQUEST_PREFIX)
    try:
        shard = int(name[:_SHARD_DIGITS], _HEX)
    except ValueError:
        return None
    return ShardId(shard) if shard < shards else None


def _sharded(team: str, key: str, shards: int) -> str:
    name = digest(team, key or unique())
    shard = int(name, _HEX) % shards
    return f'{shard:0{_SHARD_DIGITS}x}{name}'
