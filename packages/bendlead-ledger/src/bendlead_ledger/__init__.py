"""The sharded, fenced ledger of jobs and recorded requests."""

from bendlead_ledger._codec import (
    UnknownFormatError,
    decode,
    decompress,
    encode,
)
from bendlead_ledger._grants import GrantOrder, TeamPolicy
from bendlead_ledger._ids import (
    JobId,
    RequestId,
    ShardId,
    digest,
    job_id,
    request_id,
    shard_of,
    unique,
)
from bendlead_ledger._input import ChunkReader, FileWriter, file_lines
from bendlead_ledger._jobs import NOT_OWNER
from bendlead_ledger._log import Owner, ShardLog, head_key, write_once
from bendlead_ledger._shard import Shard, open_shard

__all__ = (
    'NOT_OWNER',
    'ChunkReader',
    'FileWriter',
    'GrantOrder',
    'JobId',
    'Owner',
    'RequestId',
    'Shard',
    'ShardId',
    'ShardLog',
    'TeamPolicy',
    'UnknownFormatError',
    'decode',
    'decompress',
    'digest',
    'encode',
    'file_lines',
    'head_key',
    'job_id',
    'open_shard',
    'request_id',
    'shard_of',
    'unique',
    'write_once',
)
