"""The object service over HTTP."""

from collections.abc import Mapping, Sequence
from http import HTTPStatus
from urllib.parse import quote, urlencode

import msgspec
from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPSocketPoolResponse
from result import Err, Ok, Result

from bendlead_store import clock
from bendlead_store._failure import Failure, FailureKind
from bendlead_store._protocol import (
    ABSENT,
    Change,
    Entry,
    Version,
    VirtualMachine,
)

VERSION_HEADER = 'X-Version'
_POOL = 64
_DEFAULT_RETRY_AFTER = 0.2


class WireEntry(msgspec.Struct):
    """Carry one entry or change in JSON."""

    key: str
    version: int
    deleted: bool = False
    body: bytes = b''


class WireMachine(msgspec.Struct):
    """Carry one VM of the platform's list in JSON."""

    address: str
    leaving: bool = False


class _Answer(msgspec.Struct):
    status: int
    headers: dict[str, str]
    body: bytes


class HttpStore:
    """Speak to the platform's object service at an IP address and port."""

    def __init__(self, address: str, timeout: float) -> None:
        self._address = address
        host, port = address.rsplit(':', 1)
        self._client = HTTPClient(
            host,
            int(port),
            concurrency=_POOL,
            connection_timeout=timeout,
            network_timeout=timeout,
        )
        self._watcher = HTTPClient(
            host,
            int(port),
            concurrency=_POOL,
            connection_timeout=timeout,
            network_timeout=timeout + 60,
        )

    def fetch(self, key: str) -> Result[Entry | None, Failure]:
        """Read one value, or nothing where the key is absent."""
        answer = self._call('GET', _object_path(key))
        if isinstance(answer, Err):
            return answer
        reply = answer.ok_value
        if reply.status == HTTPStatus.NOT_FOUND:
            return Ok(None)
        return Ok(Entry(key, _version(reply), reply.body))

    def put(
        self,
        key: str,
        body: bytes,
        expected: Version,
    ) -> Result[Version, Failure]:
        """Write a value if the key is still at the expected version."""
        # POST, for the library resends a PUT whose reply was lost and would
        # show the effect of the first as a conflict of the second.
        return self._write('POST', key, expected, body)

    def delete(self, key: str, expected: Version) -> Result[Version, Failure]:
        """Delete a key if it is still at the expected version."""
        return self._write('DELETE', key, expected, b'')

    def list_keys(
        self,
        prefix: str,
        after: str,
        limit: int,
    ) -> Result[Sequence[Entry], Failure]:
        """List a page of keys, without bodies, after the given key."""
        query = _query(prefix=prefix, after=after, limit=str(limit))
        answer = self._call('GET', f'/objects?{query}')
        return answer.map(_entries)

    def watch(
        self,
        prefix: str,
        after: Version,
        timeout: float,
    ) -> Result[Sequence[Change], Failure]:
        """Wait up to timeout seconds for changes after a revision."""
        query = _query(prefix=prefix, after=str(after), timeout=str(timeout))
        answer = self._call('GET', f'/watch?{query}', client=self._watcher)
        return answer.map(_changes)

    def machines(self) -> Result[Sequence[VirtualMachine], Failure]:
        """Read the platform's lagging list of live and leaving VMs."""
        return self._call('GET', '/machines').map(_machines)

    def _write(
        self,
        method: str,
        key: str,
        expected: Version,
        body: bytes,
    ) -> Result[Version, Failure]:
        condition = {'If-Match': str(expected)}
        if expected == ABSENT:
            condition = {'If-None-Match': '*'}
        answer = self._call(method, _object_path(key), body, condition)
        return answer.map(_version)

    def _call(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        headers: Mapping[str, str] | None = None,
        client: HTTPClient | None = None,
    ) -> Result[_Answer, Failure]:
        step = f'{method} {path}'
        started = clock.uptime()
        try:
            response = (client or self._client).request(
                method,
                path,
                body,
                dict(headers or {}),
            )
            answer = _read(response)
        except ConnectionRefusedError as refused:
            return self._failed(FailureKind.NOT_DONE, step, str(refused))
        except Exception as error:  # the library raises many kinds
            waited = clock.uptime() - started
            detail = f'{type(error).__name__} after {waited:.3f} s: {error}'
            return self._failed(FailureKind.UNKNOWN, step, detail)
        return self._judge(step, answer)

    def _judge(self, step: str, answer: _Answer) -> Result[_Answer, Failure]:
        if answer.status in {HTTPStatus.OK, HTTPStatus.NOT_FOUND}:
            return Ok(answer)
        if answer.status == HTTPStatus.PRECONDITION_FAILED:
            return self._failed(FailureKind.CONFLICT, step, 'version moved on')
        retry_after = float(
            answer.headers.get('retry-after', _DEFAULT_RETRY_AFTER),
        )
        if answer.status == HTTPStatus.TOO_MANY_REQUESTS:
            return self._failed(
                FailureKind.LIMITED,
                step,
                'rate limit',
                retry_after,
            )
        return self._failed(
            FailureKind.UNKNOWN,
            step,
            f'status {answer.status}',
            retry_after,
        )

    def _failed(
        self,
        kind: FailureKind,
        step: str,
        detail: str,
        retry_after: float = 0,
    ) -> Err[Failure]:
        return Err(Failure(kind, step, self._address, detail, retry_after))


def _read(response: HTTPSocketPoolResponse) -> _Answer:
    body = bytes(response.read())
    headers = {name.lower(): text for name, text in response.items()}
    return _Answer(response.status_code, headers, body)


def _object_path(key: str) -> str:
    return f'/objects/{quote(key)}'


def _query(**fields: str) -> str:
    return urlencode(fields)


def _version(answer: _Answer) -> Version:
    return Version(int(answer.headers.get(VERSION_HEADER.lower(), 0)))


def _entries(answer: _Answer) -> list[Entry]:
    wire = msgspec.json.decode(answer.body, type=list[WireEntry])
    return [Entry(one.key, Version(one.version)) for one in wire]


def _changes(answer: _Answer) -> list[Change]:
    wire = msgspec.json.decode(answer.body, type=list[WireEntry])
    return [
        Change(one.key, Version(one.version), one.deleted, one.body)
        for one in wire
    ]


def _machines(answer: _Answer) -> list[VirtualMachine]:
    wire = msgspec.json.decode(answer.body, type=list[WireMachine])
    return [VirtualMachine(one.address, one.leaving) for one in wire]
