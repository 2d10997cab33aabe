"""Durable, sharded and fenced log of batch jobs and recorded requests."""

from bendlead_ledger._codec import (
    UnknownFormatError,
    decode,
    decompress,
    encode,
)
from bendlead_ledger._committer import Committer
from bendlead_ledger._direct import (
    BEFORE_FIRST,
    DirectJobState,
    SavedProgress,
    pack_items,
    unpack_items,
)
from bendlead_ledger._grants import GrantOrder, TeamPolicy
from bendlead_ledger._ids import (
    ChainId,
    JobId,
    RequestId,
    ShardId,
    digest,
    job_id,
    new_chain_id,
    request_id,
    shard_of,
    unique_id,
)
from bendlead_ledger._input import ChunkReader, FileWriter, file_lines
from bendlead_ledger._jobs import NOT_OWNER
from bendlead_ledger._log import (
    Owner,
    ShardLog,
    head_key,
    read_owner,
)
from bendlead_ledger._objects import read_parts, write_once, write_parts
from bendlead_ledger._shard import Shard, open_shard
from bendlead_ledger._state import ShardState

__all__ = (
    'BEFORE_FIRST',
    'NOT_OWNER',
    'ChainId',
    'ChunkReader',
    'Committer',
    'DirectJobState',
    'FileWriter',
    'GrantOrder',
    'JobId',
    'SavedProgress',
    'Owner',
    'RequestId',
    'Shard',
    'ShardId',
    'ShardLog',
    'ShardState',
    'TeamPolicy',
    'UnknownFormatError',
    'decode',
    'decompress',
    'digest',
    'encode',
    'file_lines',
    'head_key',
    'job_id',
    'new_chain_id',
    'open_shard',
    'pack_items',
    'read_owner',
    'read_parts',
    'request_id',
    'shard_of',
    'unique_id',
    'unpack_items',
    'write_once',
    'write_parts',
)
