"""What a client asks, and how it is answered."""

from collections.abc import Callable
from http import HTTPStatus

from gevent import socket
from msgspec import Struct

from bendlead_gateway.types import Headers


class ClientGoneError(OSError):
    """The client closed its connection."""


class ServerEndsError(Exception):
    """The process ends before an answer could be finished."""


class Request(Struct):
    """Hold one whole request of a client."""

    method: str
    target: str
    headers: Headers
    body: bytes
    keep_alive: bool
    received: float

    @property
    def path(self) -> str:
        """Give the target without its query."""
        return self.target.partition('?')[0]

    @property
    def host(self) -> str:
        """Give the host that the client named."""
        for name, text in self.headers:
            if name.lower() == 'host':
                return text
        return ''


class Responder:
    """Write one answer to a client."""

    def __init__(
        self, sock: socket.socket, keep_alive: bool, served_before: int = 0
    ) -> None:
        self._sock = sock
        self._keep_alive = keep_alive
        #: Requests that the connection brought before this one.
        self.served_before = served_before
        self._chunked = False
        self.started = False
        self.finished = False

    @property
    def keep_alive(self) -> bool:
        """Tell whether the connection may serve another request."""
        return self._keep_alive and self.finished

    def close_after(self) -> None:
        """Close the connection behind this answer."""
        self._keep_alive = False

    def answer(
        self, status: int, headers: Headers = (), body: bytes = b''
    ) -> None:
        """Send a whole answer of our own."""
        reason = HTTPStatus(status).phrase
        self.started = True
        head = self._head(status, reason, headers)
        head.append(f'Content-Length: {len(body)}')
        self._write_head(head, body)
        self.finished = True

    def start(
        self,
        status: int,
        reason: str,
        headers: Headers,
        length: int | None,
    ) -> None:
        """Start an answer whose body follows in parts."""
        self.started = True
        head = self._head(status, reason, headers)
        self._chunked = length is None
        if length is None:
            head.append('Transfer-Encoding: chunked')
        else:
            head.append(f'Content-Length: {length}')
        self._write_head(head, b'')

    def write(self, part: bytes) -> None:
        """Send a part of the body."""
        if not part:
            return
        if self._chunked:
            part = b'%x\r\n%b\r\n' % (len(part), part)
        self._send(part)

    def finish(self) -> None:
        """End the body; only now does the answer look complete."""
        if self._chunked:
            self._send(b'0\r\n\r\n')
        self.finished = True

    def abort(self) -> None:
        """Leave the answer incomplete."""
        self._keep_alive = False
        self.finished = False

    def _head(self, status: int, reason: str, headers: Headers) -> list[str]:
        lines = [f'HTTP/1.1 {status} {reason}']
        lines.extend(f'{name}: {text}' for name, text in headers)
        if not self._keep_alive:
            lines.append('Connection: close')
        return lines

    def _write_head(self, lines: list[str], body: bytes) -> None:
        head = '\r\n'.join([*lines, '', '']).encode('latin-1')
        self._send(head + body)

    def _send(self, sent: bytes) -> None:
        try:
            rest = memoryview(sent)
            while rest:
                # The time-out holds for each piece that the client takes.
                rest = rest[self._sock.send(rest) :]
        except OSError as error:
            raise ClientGoneError(str(error)) from error


Handler = Callable[[Request, Responder], None]
