"""HTTP client that keeps a bounded part of each answer."""

from collections.abc import Callable
from contextlib import suppress
from typing import Any

from bendlead_store.sending import BoundedClient
from gevent import socket
from geventhttpclient.connectionpool import ConnectionPool
from geventhttpclient.response import (
    HTTPConnectionClosed,
    HTTPSocketPoolResponse,
)

from bendlead_node._common.limits import MAX_EVENT_BYTES, MAX_OVERHEAD_BYTES

_LINE_END = b'\r\n'
#: Statuses of the protocol; what has another one is no answer.
_MIN_STATUS = 100
_MAX_STATUS = 599


class AnswerTooLargeError(OSError):
    """An answer went beyond a limit; its connection was closed."""

    def __init__(self, step: str, peer: str, part: str, limit: int) -> None:
        """Name the call, and the limit that a part of its answer passed."""
        super().__init__(f'{step} at {peer}: {part} beyond {limit} bytes')
        self.step = step
        self.peer = peer
        self.part = part
        self.limit = limit


Report = Callable[[AnswerTooLargeError], None]


def ignore(_error: AnswerTooLargeError) -> None:
    """Report nothing."""


class InvalidStatusError(OSError):
    """An answer has a status that the protocol does not know."""


class LimitedResponse(HTTPSocketPoolResponse):
    """Response that is given up where a part of it passes its limit."""

    def __init__(
        self,
        sock: socket.socket,
        pool: ConnectionPool,
        give_up: Callable[[str, int], AnswerTooLargeError],
        body_limit: int,
        **options: Any,
    ) -> None:
        """Read the head; ``give_up`` makes the error of a part and limit."""
        self._give_up = give_up
        self._body_limit = body_limit
        self._overhead = 0
        super().__init__(sock, pool, **options)

    def feed(self, received: str | bytes) -> None:
        """Parse received bytes."""
        # The parser calls _on_body, which starts the count again.
        self._overhead += len(received)
        super().feed(received)
        if self._overhead > MAX_OVERHEAD_BYTES:
            raise self.give_up('head or framing', MAX_OVERHEAD_BYTES)

    def give_up(self, part: str, limit: int) -> AnswerTooLargeError:
        """Close the connection and return the error to raise."""
        self.release()
        return self._give_up(part, limit)

    def read(self, length: int | None = None) -> bytes:
        """Return some bytes of the body, or all that are left."""
        if length is not None:
            return super().read(length)
        if not self.message_complete:
            self._check_body(self.content_length or 0)
        parts: list[bytes] = []
        kept = 0
        while part := super().read(self.block_size):
            kept += len(part)
            self._check_body(kept)
            parts.append(part)
        return b''.join(parts)

    def readline(self, sep: bytes = _LINE_END) -> bytes:
        """Return the bytes up to a separator; nothing at the end."""
        searched = 0
        while True:
            end = self._body_buffer.find(sep, searched)
            found = end >= 0
            size = end + len(sep) if found else len(self._body_buffer)
            if size > MAX_EVENT_BYTES:
                raise self.give_up('event', MAX_EVENT_BYTES)
            if found:
                return self.read(size)
            if self.message_complete:
                return b''
            # A separator may have come in part.
            searched = max(0, size - len(sep) + 1)
            self._receive()

    def _check_body(self, size: int) -> None:
        if size > self._body_limit:
            raise self.give_up('body', self._body_limit)

    def _receive(self) -> None:
        if self._sock is None:
            raise HTTPConnectionClosed('connection closed.')
        try:
            self.feed(self._sock.recv(self.block_size))
        except BaseException:
            self.release()
            raise

    def _on_body(self, buf: bytearray) -> None:
        self._overhead = 0
        super()._on_body(buf)


class LimitedClient(BoundedClient):
    """Client whose responses are bounded from their first byte on."""

    def __init__(
        self,
        host: str,
        port: int,
        body_limit: int,
        report: Report,
        **options: Any,
    ) -> None:
        """Set the limit of bodies, and who is told of answers beyond limits."""
        super().__init__(host, port, **options)
        self._body_limit = body_limit
        self._report = report

    def request(
        self, method: str, path: str, body: bytes, headers: dict[str, str]
    ) -> LimitedResponse:
        """Send a request once and read the head of its response.

        The library's own method names the class of its responses.
        """
        head = self._build_request(method, path, body, headers, chunked=False)
        sent = head.encode('latin-1') + body
        sock = self._connection_pool.get_socket()
        try:
            # A server may refuse a request before it has read all of it.
            with suppress(ConnectionResetError, BrokenPipeError):
                sock.sendall(sent)
        except BaseException:
            self._connection_pool.release_socket(sock)
            raise
        return self._response(sock, method, path)

    def _response(
        self, sock: socket.socket, method: str, path: str
    ) -> LimitedResponse:
        def give_up(part: str, limit: int) -> AnswerTooLargeError:  # noqa: WPS430
            peer = f'{self.host}:{self.port}'
            error = AnswerTooLargeError(f'{method} {path}', peer, part, limit)
            self._report(error)
            return error

        response = LimitedResponse(
            sock,
            self._connection_pool,
            give_up,
            self._body_limit,
            block_size=self.block_size,
            method=method,
        )
        if _MIN_STATUS <= response.status_code <= _MAX_STATUS:
            return response
        sock.close()
        response.release()
        raise InvalidStatusError(f'status {response.status_code:03}')
