"""Commands for batch jobs."""

import mimetypes
import pathlib
import shutil
import sys
import time
import uuid
from typing import Any

import msgspec

from bendlead_cli._connection import Connection, Exit, connect, fail
from bendlead_cli._printing import Output, show

_POLL_SECONDS = 0.5
_FINAL_STATUSES = frozenset(('completed', 'cancelled', 'expired'))
_PROGRESS_BAR_CHARACTERS = 40
_COPY_CHUNK_BYTES = 65536


def submit(
    file: str,
    *,
    key: str = '',
    window: str = '24h',
    path: str = '/v1/chat/completions',
    output: Output = Output.TEXT,
) -> None:
    """Upload a file of requests and submit it as a job.

    Without a key one is made from the name of the file and shown, so that
    the same command can be given again after a failure.
    """
    connection = connect()
    stored = _upload(connection, pathlib.Path(file))
    body = {
        'input_file_id': stored['id'],
        'endpoint': path,
        'completion_window': window,
    }
    headers = {'Idempotency_Key': key} if key else {}
    show(connection.send('POST', '/v1/batches', body, **headers), output)


def status(job: str, *, output: Output = Output.TEXT) -> None:
    """Show one job."""
    show(connect().send('GET', f'/v1/batches/{job}'), output)


def listing(*, output: Output = Output.TEXT) -> None:
    """List the jobs of the team."""
    show(connect().send('GET', '/v1/batches')['data'], output)


def watch(job: str, *, output: Output = Output.TEXT) -> None:
    """Follow a job to its end; may be interrupted and repeated."""
    connection = connect()
    job_state = connection.send('GET', f'/v1/batches/{job}')
    while job_state['status'] not in _FINAL_STATUSES:
        _draw_progress(job_state)
        time.sleep(_POLL_SECONDS)
        job_state = connection.send('GET', f'/v1/batches/{job}')
    _draw_progress(job_state)
    sys.stderr.write('\n')
    show(job_state, output)


def cancel(job: str, *, output: Output = Output.TEXT) -> None:
    """Cancel a job; nothing of it is recorded afterwards."""
    show(connect().send('POST', f'/v1/batches/{job}/cancel'), output)


def results(job: str, *, to: str = '-', errors: bool = False) -> None:
    """Write the results or errors of a job to a file or standard output."""
    kind = 'err' if errors else 'out'
    path = f'/v1/files/file-{kind}-{job}/content'
    with connect().open('GET', path) as response:
        if to == '-':
            _copy(response, sys.stdout.buffer)
        else:
            with pathlib.Path(to).open('wb') as target:
                _copy(response, target)


def _copy(source: Any, target: Any) -> None:
    shutil.copyfileobj(source, target, _COPY_CHUNK_BYTES)


def _draw_progress(job_state: dict[str, Any]) -> None:
    counts = job_state['request_counts']
    done = counts['completed'] + counts['failed']
    filled = _PROGRESS_BAR_CHARACTERS * done // max(1, counts['total'])
    progress = '#' * filled + '.' * (_PROGRESS_BAR_CHARACTERS - filled)
    sys.stderr.write(
        f'\r[{progress}] {done}/{counts["total"]} {job_state["status"]} '
    )


def _upload(connection: Connection, file: pathlib.Path) -> Any:
    if not file.is_file():
        fail(Exit.USAGE, f'{file}: no such file')
    boundary = uuid.uuid4().hex
    kind = mimetypes.guess_type(file.name)[0] or 'application/jsonl'
    head = (
        f'--{boundary}\r\nContent-Disposition: form-data; name="purpose"'
        f'\r\n\r\nbatch\r\n--{boundary}\r\nContent-Disposition: form-data; '
        f'name="file"; filename="{file.name}"\r\nContent-Type: {kind}\r\n\r\n'
    )
    body = b'%b%b\r\n--%b--\r\n' % (
        head.encode(),
        file.read_bytes(),
        boundary.encode(),
    )
    content_type = f'multipart/form-data; boundary={boundary}'
    with connection.open(
        'POST',
        '/v1/files',
        body,
        Content_Type=content_type,
    ) as response:
        return msgspec.json.decode(response.read())
