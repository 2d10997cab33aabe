"""Store uploaded batch files as packed lines, and read them back."""

from collections.abc import Iterator, Sequence

import gevent
import msgspec
import xxhash
from bendlead_schema.records import ChunkRef, FileManifest, LineError
from bendlead_store import Failure, FailureKind, ValueStore
from result import Err, Ok, Result

from bendlead_ledger import _codec
from bendlead_ledger._objects import write_once

_CHUNK_BYTES = 1_000_000
_MAX_ERRORS = 1000


class BatchLine(msgspec.Struct):
    """Read what matters of one line of a batch file."""

    custom_id: str
    url: str
    body: msgspec.Raw
    method: str = 'POST'


class _BodyModel(msgspec.Struct):
    model: str


_LINE = msgspec.json.Decoder(BatchLine)
_MODEL = msgspec.json.Decoder(_BodyModel)


class TooManyErrorsError(Exception):
    """A file has more unreadable lines than are worth keeping."""


class FileWriter:
    """Check and store a file of any length in bounded memory."""

    def __init__(
        self,
        store: ValueStore,
        file_id: str,
        models: frozenset[str],
        line_bytes: int,
    ) -> None:
        self._store = store
        self._file = file_id
        self._models = models
        self._line_bytes = line_bytes
        self._rest = b''
        self._lines: list[bytes] = []
        self._gathered = 0
        self._seen: set[int] = set()
        self.chunks: list[ChunkRef] = []
        self.errors: list[LineError] = []
        self.item_count = 0
        self.size = 0

    def feed(self, block: bytes) -> Result[None, Failure]:
        """Take the next block of the file."""
        self.size += len(block)
        lines = (self._rest + block).split(b'\n')
        self._rest = lines.pop()
        if len(self._rest) > self._line_bytes:
            return self._refused('a line is longer than allowed')
        for line in lines:
            self._add(line)
        if len(self.errors) > _MAX_ERRORS:
            return self._refused(f'over {_MAX_ERRORS} lines cannot be run')
        if self._gathered >= _CHUNK_BYTES:
            return self._store_chunk()
        return Ok(None)

    def finish(self) -> Result[None, Failure]:
        """Store what is left."""
        self._add(self._rest)
        self._rest = b''
        if self._lines:
            return self._store_chunk()
        return Ok(None)

    def manifest(self, team: str, name: str, created_at: int) -> FileManifest:
        """Describe the stored file."""
        return FileManifest(
            format=_codec.FORMAT,
            file=self._file,
            team=team,
            name=name,
            purpose='batch',
            size=self.size,
            created_at=created_at,
            chunks=self.chunks,
            item_count=self.item_count,
            errors=self.errors,
        )

    def _add(self, line: bytes) -> None:
        if not line.strip():
            return
        self.item_count += 1
        problem = self._problem(line)
        if problem:
            code, message = problem
            self.errors.append(
                LineError(line=self.item_count, code=code, message=message),
            )
        self._lines.append(line)
        self._gathered += len(line)

    def _problem(self, line: bytes) -> tuple[str, str] | None:
        if len(line) > self._line_bytes:
            return 'line_too_long', f'over {self._line_bytes} bytes'
        try:
            parsed = _LINE.decode(line)
            model = _MODEL.decode(parsed.body).model
        except msgspec.DecodeError as error:
            return 'invalid_line', str(error)
        if model not in self._models:
            return 'model_not_found', f'no service offers model {model!r}'
        name = xxhash.xxh3_64_intdigest(parsed.custom_id.encode())
        if name in self._seen:
            return 'duplicate_custom_id', parsed.custom_id
        self._seen.add(name)
        return None

    def _store_chunk(self) -> Result[None, Failure]:
        lines, self._lines = self._lines, []
        self._gathered = 0
        first = self.item_count - len(lines)
        key = f'files/{self._file}/chunk/{first:08d}'
        body = gevent.get_hub().threadpool.apply(
            _codec.compress,
            (b'\n'.join(lines),),
        )
        self.chunks.append(ChunkRef(key=key, first=first, count=len(lines)))
        return write_once(self._store, key, body)

    def _refused(self, detail: str) -> Err[Failure]:
        return Err(Failure(FailureKind.REFUSED, 'upload', self._file, detail))


class ChunkReader:
    """Read lines of stored files, keeping the latest chunks decoded."""

    def __init__(self, store: ValueStore, keep: int = 8) -> None:
        self._store = store
        self._keep = keep
        self._chunks: dict[str, Sequence[bytes]] = {}

    def lines(self, key: str) -> Result[Sequence[bytes], Failure]:
        """Read one chunk."""
        known = self._chunks.get(key)
        if known is not None:
            return Ok(known)
        found = self._store.fetch(key)
        if isinstance(found, Err):
            return found
        if found.ok_value is None:
            return Err(Failure(FailureKind.NOT_DONE, 'read', key, 'missing'))
        lines = _codec.decompress(found.ok_value.body).split(b'\n')
        if len(self._chunks) >= self._keep:
            self._chunks.pop(next(iter(self._chunks)))
        self._chunks[key] = lines
        return Ok(lines)

    def positions(
        self,
        chunks: Sequence[ChunkRef],
        wanted: Sequence[int],
    ) -> Result[dict[int, BatchLine], Failure]:
        """Read the lines at the wanted positions."""
        found = {}
        for position in wanted:
            chunk = chunk_at(chunks, position)
            lines = self.lines(chunk.key)
            if isinstance(lines, Err):
                return lines
            line = lines.ok_value[position - chunk.first]
            found[position] = _LINE.decode(line)
        return Ok(found)


def chunk_at(chunks: Sequence[ChunkRef], position: int) -> ChunkRef:
    """Find the chunk that holds a position."""
    low, high = 0, len(chunks)
    while high - low > 1:
        middle = (low + high) // 2
        if chunks[middle].first <= position:
            low = middle
        else:
            high = middle
    return chunks[low]


def file_lines(
    reader: ChunkReader,
    chunks: Sequence[ChunkRef],
) -> Iterator[Result[Sequence[bytes], Failure]]:
    """Read a stored file chunk by chunk."""
    for chunk in chunks:
        yield reader.lines(chunk.key)
