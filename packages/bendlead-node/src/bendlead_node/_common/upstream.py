"""HTTP calls to other processes, failures told apart by their effect."""

from collections.abc import Iterator, Mapping
from http import HTTPStatus
from typing import TypeVar

import msgspec
from bendlead_gateway.json_values import DECODE_ERRORS
from bendlead_store import Failure, FailureKind
from bendlead_store.framing import read_framed
from geventhttpclient.response import HTTPSocketPoolResponse
from result import Err, Ok, Result

from bendlead_node._common.limited import (
    AnswerTooLargeError,
    LimitedClient,
    LimitedResponse,
    Report,
    ignore,
)
from bendlead_node._common.limits import MAX_BODY_BYTES, MAX_MESSAGE_BYTES

PEER_HEADER = 'X-Bendlead-Peer'
#: Names a request to an endpoint process, whichever attempt it is.
DIGEST_HEADER = 'X-Bendlead-Digest'
_POOL = 1024
_BLOCK = 16384
_CONNECT_SECONDS = 1.0

ReplyT = TypeVar('ReplyT')


class Clients:
    """Keep one connection pool for each address."""

    def __init__(
        self,
        network_timeout: float,
        report: Report = ignore,
        body_limit: int = MAX_BODY_BYTES,
    ) -> None:
        """Bound the bodies of answers; ``report`` is told of those beyond."""
        self._timeout = network_timeout
        self._report = report
        self._body_limit = body_limit
        self._clients: dict[str, LimitedClient] = {}

    def send(
        self,
        method: str,
        address: str,
        path: str,
        body: bytes,
        headers: Mapping[str, str],
    ) -> Result[LimitedResponse, Failure]:
        """Send a request once and wait for the head of its response."""
        step = f'{method} {path}'
        try:
            response = self._client(address).request(
                method,
                path,
                body,
                dict(headers),
            )
        except ConnectionRefusedError as refused:
            kind = FailureKind.NOT_DONE
            return Err(Failure(kind, step, address, str(refused)))
        except Exception as error:  # the library raises many kinds
            detail = f'{type(error).__name__}: {error}'
            return Err(Failure(FailureKind.UNKNOWN, step, address, detail))
        return Ok(response)

    def _client(self, address: str) -> LimitedClient:
        client = self._clients.get(address)
        if client is None:
            host, port = address.rsplit(':', 1)
            client = LimitedClient(
                host,
                int(port),
                self._body_limit,
                self._report,
                concurrency=_POOL,
                block_size=_BLOCK,
                connection_timeout=_CONNECT_SECONDS,
                network_timeout=self._timeout,
            )
            self._clients[address] = client
        return client


class PeerClient:
    """Exchange typed JSON messages with other processes of the system."""

    def __init__(
        self, key: str, timeout: float, report: Report = ignore
    ) -> None:
        self._headers = {PEER_HEADER: key}
        self._clients = Clients(timeout, report, MAX_MESSAGE_BYTES)

    def ask(
        self,
        address: str,
        path: str,
        message: msgspec.Struct,
        reply: type[ReplyT],
    ) -> Result[ReplyT, Failure]:
        """Send one message and read its reply."""
        body = msgspec.json.encode(message)
        sent = self._clients.send('POST', address, path, body, self._headers)
        if isinstance(sent, Err):
            return sent
        return _read_reply(sent.ok_value, address, path, reply)


def read_body(response: HTTPSocketPoolResponse) -> Result[bytes, Failure]:
    """Read a whole response body."""
    try:
        return Ok(read_framed(response))
    except AnswerTooLargeError as large:
        detail = f'{large.part} beyond {large.limit} bytes'
        kind = FailureKind.UNKNOWN
        return Err(Failure(kind, large.step, large.peer, detail))
    except Exception as error:  # the library raises many kinds
        detail = f'{type(error).__name__}: {error}'
        return Err(Failure(FailureKind.UNKNOWN, 'read body', '', detail))


def events(response: HTTPSocketPoolResponse) -> Iterator[bytes]:
    """Read whole server-sent events; a cut connection raises.

    So does an event beyond the limit; how many there are is not bounded.
    """
    while True:
        event = response.readline(b'\n\n')
        if not event:
            return
        yield bytes(event)


def abandon(response: HTTPSocketPoolResponse) -> None:
    """Close a response that is not read to its end."""
    sock = response._sock  # noqa: SLF001 WPS437
    if sock is not None:
        sock.close()
    response.release()


def _read_reply(
    response: HTTPSocketPoolResponse,
    address: str,
    path: str,
    reply: type[ReplyT],
) -> Result[ReplyT, Failure]:
    body = read_body(response)
    if isinstance(body, Err):
        return body
    if response.status_code != HTTPStatus.OK:
        detail = f'status {response.status_code}'
        return Err(Failure(FailureKind.UNKNOWN, path, address, detail))
    try:
        return Ok(msgspec.json.decode(body.ok_value, type=reply))
    except DECODE_ERRORS as error:
        kind = FailureKind.UNKNOWN
        return Err(Failure(kind, path, address, str(error)))
