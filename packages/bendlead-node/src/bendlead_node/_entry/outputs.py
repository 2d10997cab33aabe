"""Read the results of jobs as output and error files."""

from collections.abc import Iterable, Iterator
from http import HTTPStatus

import msgspec
from bendlead_gateway.json_values import DECODE_ERRORS
from bendlead_ledger import (
    ChunkReader,
    decode,
    decompress,
    shard_of,
    unique_id,
)
from bendlead_schema.messages import FetchOutput, JobView, OutputView
from bendlead_schema.objects import Team
from bendlead_schema.records import PackRef, ResultLine, ResultPack
from bendlead_store import ObjectStore
from result import Err

from bendlead_node._common.web import CallError
from bendlead_node._entry.ownership import ShardTable

_OUTPUT = 'file-out-'
_ERRORS = 'file-err-'
_PACKS_KEPT = 16


class _Named(msgspec.Struct):
    custom_id: str = ''


class _Response(msgspec.Struct):
    status_code: int
    request_id: str
    body: msgspec.Raw


class _OutputLine(msgspec.Struct):
    id: str
    custom_id: str
    response: _Response | None
    error: msgspec.Raw | None = None


def output_file(job: str) -> str:
    """Name the output file of a job."""
    return _OUTPUT + job


def error_file(job: str) -> str:
    """Name the error file of a job."""
    return _ERRORS + job


class OutputReader:
    """Put the packed results of a job back into input order."""

    def __init__(self, store: ObjectStore, shards: ShardTable) -> None:
        self._store = store
        self._shards = shards
        self._packs: dict[str, dict[tuple[str, int], ResultLine]] = {}

    def find(self, team: Team, file_id: str) -> OutputView | None:
        """Find the job behind an output or error file of a team."""
        if not file_id.startswith((_OUTPUT, _ERRORS)):
            return None
        job = file_id.removeprefix(_OUTPUT).removeprefix(_ERRORS)
        shard = shard_of(job, self._shards.count)
        if shard is None:
            return None
        command = FetchOutput(job=job, team=team.name)
        reply = self._shards.call(shard, command)
        if isinstance(reply, Err):
            raise CallError(
                HTTPStatus.SERVICE_UNAVAILABLE,
                'unavailable',
                str(reply.err_value),
                retry_after=1,
            )
        found = reply.ok_value
        return found if isinstance(found, OutputView) else None

    def lines(self, team: Team, file_id: str) -> Iterator[bytes] | None:
        """Read an output or error file, or nothing where it is neither."""
        output = self.find(team, file_id)
        if output is None:
            return None
        wants_errors = file_id.startswith(_ERRORS)
        return self._ordered(output, wants_errors=wants_errors)

    def _ordered(
        self,
        output: OutputView,
        *,
        wants_errors: bool,
    ) -> Iterator[bytes]:
        place = _places(output.packs)
        failed = frozenset(output.failed)
        reader = ChunkReader(self._store)
        for chunk in output.chunks:
            lines = reader.lines(chunk.key).expect('input chunk')
            for offset, line in enumerate(lines):
                position = chunk.first + offset
                if (position in failed) is not wants_errors:
                    continue
                if position in place:
                    yield self._line(output.job, place, position, line)
                elif position in failed:
                    yield _rejected(position, line)

    def _line(
        self,
        job: JobView,
        place: dict[int, str],
        position: int,
        line: bytes,
    ) -> bytes:
        pack = self._pack(place[position])
        found = pack[job.job, position]
        name = msgspec.json.decode(line, type=_Named).custom_id
        response = _Response(
            found.status,
            f'{job.job}-{position}',
            msgspec.Raw(found.body.encode()),
        )
        shown = _OutputLine(f'{job.job}-{position}', name, response)
        return msgspec.json.encode(shown) + b'\n'

    def _pack(self, key: str) -> dict[tuple[str, int], ResultLine]:
        known = self._packs.get(key)
        if known is not None:
            return known
        found = self._store.fetch(key).expect('object service')
        if found is None:
            raise LookupError(f'result pack {key} is missing')
        pack = decode(decompress(found.body), ResultPack, key)
        by_position: dict[tuple[str, int], ResultLine] = {}
        for line in pack.lines:
            by_position.setdefault((line.job, line.position), line)
        if len(self._packs) >= _PACKS_KEPT:
            self._packs.pop(next(iter(self._packs)))
        self._packs[key] = by_position
        return by_position


def _places(packs: Iterable[PackRef]) -> dict[int, str]:
    return {position: pack.key for pack in packs for position in pack.positions}


def _rejected(position: int, line: bytes) -> bytes:
    try:
        name = msgspec.json.decode(line, type=_Named).custom_id
    except DECODE_ERRORS:
        name = ''
    detail = msgspec.json.encode(
        {
            'code': 'line_rejected',
            'message': f'line {position + 1} cannot be run; see the errors',
        }
    )
    shown = _OutputLine(unique_id(), name, None, msgspec.Raw(detail))
    return msgspec.json.encode(shown) + b'\n'
