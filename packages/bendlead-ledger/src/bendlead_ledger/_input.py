"""Uploaded batch files, stored as compressed chunks of lines."""

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
    """Fields of one line of a batch file."""

    custom_id: str
    url: str
    body: msgspec.Raw
    method: str = 'POST'


class _BodyModel(msgspec.Struct):
    model: str


#: The last one is raised for values that are nested too deeply.
_LINE_ERRORS = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)
_LINE_DECODER = msgspec.json.Decoder(BatchLine)
_MODEL_DECODER = msgspec.json.Decoder(_BodyModel)


class TooManyErrorsError(Exception):
    """A batch file has too many invalid lines."""


class FileWriter:
    """Validate and store a file in chunks, so that memory use is bounded."""

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
        self._partial_line = b''
        self._lines: list[bytes] = []
        self._queued_bytes = 0
        self._custom_ids: set[int] = set()
        self.chunks: list[ChunkRef] = []
        self.errors: list[LineError] = []
        self.item_count = 0
        self.size = 0

    def feed(self, block: bytes) -> Result[None, Failure]:
        """Add the next block of the file."""
        self.size += len(block)
        lines = (self._partial_line + block).split(b'\n')
        self._partial_line = lines.pop()
        if len(self._partial_line) > self._line_bytes:
            return self._rejected('a line is longer than allowed')
        for line in lines:
            self._add(line)
        if len(self.errors) > _MAX_ERRORS:
            return self._rejected(f'over {_MAX_ERRORS} lines cannot be run')
        if self._queued_bytes >= _CHUNK_BYTES:
            return self._store_chunk()
        return Ok(None)

    def finish(self) -> Result[None, Failure]:
        """Store the remaining lines."""
        self._add(self._partial_line)
        self._partial_line = b''
        if self._lines:
            return self._store_chunk()
        return Ok(None)

    def manifest(self, team: str, name: str, created_at: int) -> FileManifest:
        """Return the manifest of the stored file."""
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
        self._queued_bytes += len(line)

    def _problem(self, line: bytes) -> tuple[str, str] | None:
        if len(line) > self._line_bytes:
            return 'line_too_long', f'over {self._line_bytes} bytes'
        try:
            parsed, model = _parsed(line)
        except _LINE_ERRORS as error:
            return 'invalid_line', str(error)
        if model not in self._models:
            return 'model_not_found', f'no service offers model {model!r}'
        name = xxhash.xxh3_64_intdigest(parsed.custom_id.encode())
        if name in self._custom_ids:
            return 'duplicate_custom_id', parsed.custom_id
        self._custom_ids.add(name)
        return None

    def _store_chunk(self) -> Result[None, Failure]:
        lines, self._lines = self._lines, []
        self._queued_bytes = 0
        first = self.item_count - len(lines)
        key = f'files/{self._file}/chunk/{first:08d}'
        body = gevent.get_hub().threadpool.apply(
            _codec.compress,
            (b'\n'.join(lines),),
        )
        self.chunks.append(ChunkRef(key=key, first=first, count=len(lines)))
        return write_once(self._store, key, body)

    def _rejected(self, detail: str) -> Err[Failure]:
        return Err(Failure(FailureKind.REFUSED, 'upload', self._file, detail))


def _parsed(line: bytes) -> tuple[BatchLine, str]:
    """Return a line and its model; raise if it cannot be run."""
    # The decoder skips the text of other fields of the body than the model.
    line.decode()
    parsed = _LINE_DECODER.decode(line)
    return parsed, _MODEL_DECODER.decode(parsed.body).model


class ChunkReader:
    """Reader of stored files with a cache of decompressed chunks."""

    def __init__(self, store: ValueStore, keep: int = 8) -> None:
        self._store = store
        self._keep = keep
        self._chunks: dict[str, Sequence[bytes]] = {}

    def lines(self, key: str) -> Result[Sequence[bytes], Failure]:
        """Return the lines of one chunk."""
        cached = self._chunks.get(key)
        if cached is not None:
            return Ok(cached)
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
        """Return the lines at the given positions of a file."""
        found = {}
        for position in wanted:
            chunk = chunk_at(chunks, position)
            lines = self.lines(chunk.key)
            if isinstance(lines, Err):
                return lines
            line = lines.ok_value[position - chunk.first]
            found[position] = _LINE_DECODER.decode(line)
        return Ok(found)


def chunk_at(chunks: Sequence[ChunkRef], position: int) -> ChunkRef:
    """Return the chunk that contains a position, by binary search."""
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
    """Yield the lines of each chunk of a file."""
    for chunk in chunks:
        yield reader.lines(chunk.key)
