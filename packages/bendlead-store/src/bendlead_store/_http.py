"""Client of the object service over HTTP."""

from collections.abc import Callable, Mapping, Sequence
from http import HTTPStatus
from typing import TypeVar
from urllib.parse import quote, urlencode

import msgspec
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
from bendlead_store.framing import read_framed
from bendlead_store.sending import BoundedClient

VERSION_HEADER = 'X-Version'
_POOL_SIZE = 64
_DEFAULT_RETRY_AFTER_SECONDS = 0.2
#: The last one is raised for values that are nested too deeply.
_DECODE_ERRORS = (msgspec.DecodeError, RecursionError)

DecodedT = TypeVar('DecodedT')


class WireEntry(msgspec.Struct):
    """JSON form of an entry or a change."""

    key: str
    version: int
    deleted: bool = False
    body: bytes = b''


class WireMachine(msgspec.Struct):
    """JSON form of a VM on the platform's list."""

    address: str
    leaving: bool = False


class _Response(msgspec.Struct):
    status: int
    headers: dict[str, str]
    body: bytes


class HttpStore:
    """Client of the object service at an IP address and port.

    ``timeout`` is in seconds and applies to connecting and to each read.
    """

    def __init__(self, address: str, timeout: float) -> None:
        self._address = address
        self._writer = self._connect(timeout)
        self._reader = self._connect(timeout, resends=1)
        self._watcher = self._connect(timeout, resends=1, longest_wait=60)

    def fetch(self, key: str) -> Result[Entry | None, Failure]:
        """Return the entry of a key, or None if it does not exist."""
        called = self._call('GET', _object_path(key))
        if isinstance(called, Err):
            return called
        response = called.ok_value
        if response.status == HTTPStatus.NOT_FOUND:
            return Ok(None)
        return Ok(Entry(key, _version(response), response.body))

    def put(
        self,
        key: str,
        body: bytes,
        expected: Version,
    ) -> Result[Version, Failure]:
        """Write a value if the key is still at the expected version."""
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
        """Return up to ``limit`` entries after a key, without bodies."""
        query = _query(prefix=prefix, after=after, limit=str(limit))
        answer = self._call('GET', f'/objects?{query}')
        return self._decoded(answer, _entries)

    def watch(
        self,
        prefix: str,
        after: Version,
        timeout: float,
    ) -> Result[Sequence[Change], Failure]:
        """Wait up to ``timeout`` seconds for changes after a revision."""
        query = _query(prefix=prefix, after=str(after), timeout=str(timeout))
        answer = self._call('GET', f'/watch?{query}', client=self._watcher)
        return self._decoded(answer, _changes)

    def machines(self) -> Result[Sequence[VirtualMachine], Failure]:
        """Return the platform's list of VMs, which may be out of date."""
        return self._decoded(self._call('GET', '/machines'), _machines)

    def _connect(
        self, timeout: float, resends: int = 0, longest_wait: float = 0
    ) -> BoundedClient:
        host, port = self._address.rsplit(':', 1)
        return BoundedClient(
            host,
            int(port),
            resends,
            concurrency=_POOL_SIZE,
            connection_timeout=timeout,
            network_timeout=timeout + longest_wait,
        )

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
        # A second write would fail with a conflict where the first was done.
        answer = self._call(
            method, _object_path(key), body, condition, self._writer
        )
        return answer.map(_version)

    def _call(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        headers: Mapping[str, str] | None = None,
        client: BoundedClient | None = None,
    ) -> Result[_Response, Failure]:
        step = f'{method} {path}'
        started = clock.uptime()
        try:
            received = (client or self._reader).request(
                method,
                path,
                body,
                dict(headers or {}),
            )
            response = _read_response(received)
        except ConnectionRefusedError as refused:
            return self._failed(FailureKind.NOT_DONE, step, str(refused))
        except Exception as error:  # the HTTP library raises many types
            elapsed = clock.uptime() - started
            detail = f'{type(error).__name__} after {elapsed:.3f} s: {error}'
            return self._failed(FailureKind.UNKNOWN, step, detail)
        return self._check_status(step, response)

    def _decoded(
        self,
        answer: Result[_Response, Failure],
        decode: Callable[[_Response], DecodedT],
    ) -> Result[DecodedT, Failure]:
        """Decode an answer; it fails where that is not possible."""
        if isinstance(answer, Err):
            return answer
        try:
            return Ok(decode(answer.ok_value))
        except _DECODE_ERRORS as error:
            return self._failed(FailureKind.UNKNOWN, 'decode', str(error))

    def _check_status(
        self, step: str, response: _Response
    ) -> Result[_Response, Failure]:
        if response.status in {HTTPStatus.OK, HTTPStatus.NOT_FOUND}:
            return Ok(response)
        if response.status == HTTPStatus.PRECONDITION_FAILED:
            return self._failed(
                FailureKind.CONFLICT, step, 'the key is at another version'
            )
        retry_after = float(
            response.headers.get('retry-after', _DEFAULT_RETRY_AFTER_SECONDS),
        )
        if response.status == HTTPStatus.TOO_MANY_REQUESTS:
            return self._failed(
                FailureKind.LIMITED,
                step,
                'rate limit',
                retry_after,
            )
        return self._failed(
            FailureKind.UNKNOWN,
            step,
            f'status {response.status}',
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


def _read_response(response: HTTPSocketPoolResponse) -> _Response:
    body = read_framed(response)
    headers = {name.lower(): text for name, text in response.items()}
    return _Response(response.status_code, headers, body)


def _object_path(key: str) -> str:
    return f'/objects/{quote(key)}'


def _query(**fields: str) -> str:
    return urlencode(fields)


def _version(response: _Response) -> Version:
    return Version(int(response.headers.get(VERSION_HEADER.lower(), 0)))


def _entries(response: _Response) -> list[Entry]:
    wire = msgspec.json.decode(response.body, type=list[WireEntry])
    return [Entry(entry.key, Version(entry.version)) for entry in wire]


def _changes(response: _Response) -> list[Change]:
    wire = msgspec.json.decode(response.body, type=list[WireEntry])
    return [
        Change(change.key, Version(change.version), change.deleted, change.body)
        for change in wire
    ]


def _machines(response: _Response) -> list[VirtualMachine]:
    wire = msgspec.json.decode(response.body, type=list[WireMachine])
    return [
        VirtualMachine(machine.address, machine.leaving) for machine in wire
    ]
