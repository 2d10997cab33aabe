"""Callers' files: uploads of any length in constant memory."""

import time
from collections.abc import Iterator
from http import HTTPStatus
from typing import TypeVar

import gevent
import msgspec
from bendlead_ledger import (
    ChunkReader,
    FileWriter,
    decode,
    encode,
    file_lines,
    unique_id,
    write_once,
)
from bendlead_schema.objects import Team
from bendlead_schema.records import FileManifest
from bendlead_schema.settings import LimitSettings
from bendlead_store import Failure, FailureKind, ObjectStore
from result import Err, Result
from werkzeug.http import parse_options_header
from werkzeug.sansio.multipart import (
    Data,
    Epilogue,
    Event,
    Field,
    File,
    MultipartDecoder,
    NeedData,
)

from bendlead_node._common.config import ConfigTable
from bendlead_node._common.web import (
    Answer,
    Call,
    CallError,
    Route,
    json_answer,
)
from bendlead_node._entry.gate import Gate
from bendlead_node._entry.outputs import OutputReader

_BLOCK = 65536
_PAGE = 1000
_JSONL = 'application/jsonl'

ResultT = TypeVar('ResultT')


class FileObject(msgspec.Struct):
    """Show a file in the shape OpenAI clients read."""

    id: str
    bytes: int
    created_at: int
    filename: str
    purpose: str
    object: str = 'file'
    status: str = 'processed'


class FileApi:
    """Store and show the files of teams."""

    def __init__(
        self,
        store: ObjectStore,
        config: ConfigTable,
        gate: Gate,
        reader: ChunkReader,
        outputs: OutputReader,
        limits: LimitSettings,
    ) -> None:
        self._store = store
        self._config = config
        self._gate = gate
        self._reader = reader
        self._outputs = outputs
        self._limits = limits

    def routes(self) -> list[Route]:
        """List the paths that callers use."""
        return [
            Route('POST', '/v1/files', self.upload),
            Route('GET', '/v1/files', self.list_files),
            Route('GET', '/v1/files/<file>', self.show),
            Route('DELETE', '/v1/files/<file>', self.delete),
            Route('GET', '/v1/files/<file>/content', self.read),
        ]

    def manifest(self, team: Team, file_id: str) -> FileManifest:
        """Find a file of a team."""
        key = _manifest_key(team.name, file_id)
        found = done(self._store.fetch(key))
        if found is None:
            raise CallError(
                HTTPStatus.NOT_FOUND,
                'file_not_found',
                f'no file {file_id}',
            )
        return decode(found.body, FileManifest, key)

    def upload(self, call: Call) -> Answer:
        """Store an uploaded batch file."""
        team = self._gate.team(call)
        file_id = f'file-{unique_id()}'
        writer = FileWriter(
            self._store,
            file_id,
            self._models(),
            self._limits.line_bytes,
        )
        name = self._receive(call, writer)
        done(writer.finish())
        manifest = writer.manifest(team.name, name, int(time.time()))
        key = _manifest_key(team.name, file_id)
        done(write_once(self._store, key, encode(manifest)))
        return json_answer(_shown(manifest))

    def list_files(self, call: Call) -> Answer:
        """List the files of a team."""
        team = self._gate.team(call)
        keys = done(
            self._store.list_keys(_manifest_key(team.name, ''), '', _PAGE),
        )
        shown = [
            _shown(self.manifest(team, entry.key.rsplit('/', 1)[1]))
            for entry in keys
        ]
        return json_answer(
            {
                'object': 'list',
                'data': shown,
                'has_more': False,
            }
        )

    def show(self, call: Call) -> Answer:
        """Show one file."""
        team = self._gate.team(call)
        output = self._outputs.find(team, call.fields['file'])
        if output is not None:
            return json_answer(
                FileObject(
                    id=call.fields['file'],
                    bytes=0,
                    created_at=int(output.job.accepted_at),
                    filename=f'{call.fields["file"]}.jsonl',
                    purpose='batch_output',
                ),
            )
        return json_answer(_shown(self.manifest(team, call.fields['file'])))

    def read(self, call: Call) -> Answer:
        """Read the content of a file."""
        team = self._gate.team(call)
        headers = {'Content-Type': _JSONL}
        output = self._outputs.lines(team, call.fields['file'])
        if output is not None:
            return Answer(HTTPStatus.OK, output, headers)
        manifest = self.manifest(team, call.fields['file'])
        return Answer(HTTPStatus.OK, self._lines(manifest), headers)

    def delete(self, call: Call) -> Answer:
        """Delete the name of a file; running jobs keep its lines."""
        team = self._gate.team(call)
        file_id = call.fields['file']
        key = _manifest_key(team.name, file_id)
        found = done(self._store.fetch(key))
        if found is not None:
            done(self._store.delete(key, found.version))
        return json_answer(
            {
                'id': file_id,
                'object': 'file',
                'deleted': found is not None,
            }
        )

    def _lines(self, manifest: FileManifest) -> Iterator[bytes]:
        for lines in file_lines(self._reader, manifest.chunks):
            yield b'\n'.join(done(lines)) + b'\n'

    def _models(self) -> frozenset[str]:
        services = self._config.services().values()
        return frozenset(
            model for service in services for model in service.models
        )

    def _receive(self, call: Call, writer: FileWriter) -> str:
        _kind, options = parse_options_header(call.header('Content-Type'))
        if 'boundary' not in options:
            raise CallError(
                HTTPStatus.BAD_REQUEST,
                'invalid_upload',
                'an upload is multipart/form-data',
            )
        decoder = MultipartDecoder(options['boundary'].encode())
        upload = _Upload(writer, self._limits.file_bytes)
        while not upload.ended:
            decoder.receive_data(call.block(_BLOCK) or None)
            event = decoder.next_event()
            while not isinstance(event, NeedData):
                upload.take(event)
                if upload.ended:
                    break
                event = decoder.next_event()
            # Chats on this entry go first: give way after each block.
            gevent.sleep(0)
        return upload.name


class _Upload:
    """Follow the parts of one multipart upload."""

    def __init__(self, writer: FileWriter, limit: int) -> None:
        self._writer = writer
        self._limit = limit
        self._in_file = False
        self._purpose = b''
        self.name = ''
        self.ended = False

    def take(self, event: Event) -> None:
        """Take the next event of the decoder."""
        if isinstance(event, Epilogue):
            self._finish()
        elif isinstance(event, File):
            self._in_file = True
            self.name = event.filename or ''
        elif isinstance(event, Field):
            self._in_file = False
        elif isinstance(event, Data):
            self._take_data(bytes(event.data))

    def _take_data(self, block: bytes) -> None:
        if not self._in_file:
            self._purpose += block
            return
        done(self._writer.feed(block))
        if self._writer.size > self._limit:
            raise CallError(
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                'file_too_large',
                f'a file may have at most {self._limit} bytes',
            )

    def _finish(self) -> None:
        self.ended = True
        if b'batch' not in self._purpose or not self.name:
            raise CallError(
                HTTPStatus.BAD_REQUEST,
                'invalid_upload',
                'an upload needs a file and the purpose batch',
            )


def done(outcome: Result[ResultT, Failure]) -> ResultT:
    """Unwrap a store result, or end the call as the failure says."""
    if isinstance(outcome, Err):
        raise store_error(outcome.err_value)
    return outcome.ok_value


def store_error(failure: Failure) -> CallError:
    """Tell a caller about a failed store call."""
    if failure.kind is FailureKind.REFUSED:
        return CallError(HTTPStatus.BAD_REQUEST, 'refused', failure.detail)
    return CallError(
        HTTPStatus.SERVICE_UNAVAILABLE,
        'store_unavailable',
        str(failure),
        retry_after=max(1, failure.retry_after),
    )


def _manifest_key(team: str, file_id: str) -> str:
    return f'manifests/{team}/{file_id}'


def _shown(manifest: FileManifest) -> FileObject:
    return FileObject(
        id=manifest.file,
        bytes=manifest.size,
        created_at=manifest.created_at,
        filename=manifest.name,
        purpose=manifest.purpose,
    )
