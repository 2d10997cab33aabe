"""Client requests and the writing of their responses."""

import enum
from collections.abc import Callable
from http import HTTPStatus

from gevent import socket
from msgspec import Struct

from bendlead_gateway._http.connection_end import ConnectionEnd, EndReason
from bendlead_gateway._http.full_window import FullWindow
from bendlead_gateway.types import Headers


class ClientDisconnectedError(OSError):
    """The client closed its connection."""


class ServerShutdownError(Exception):
    """The process shuts down before the response is complete."""


class Certainty(enum.Enum):
    """What is known about a request whose handler fails."""

    NOT_RUN = 'not run'
    UNKNOWN = 'unknown'


class Request(Struct):
    """Complete request of a client.

    ``received_at`` is the arrival time of its last byte, in seconds.
    """

    method: str
    target: str
    headers: Headers
    body: bytes
    keep_alive: bool
    received_at: float

    @property
    def path(self) -> str:
        """Request target without its query."""
        return self.target.partition('?')[0]

    @property
    def host(self) -> str:
        """Value of the Host header, or an empty string."""
        for name, text in self.headers:
            if name.lower() == 'host':
                return text
        return ''


class UnansweredRequest(Struct, frozen=True):
    """Complete request whose client gets no complete response."""

    request: Request
    end: ConnectionEnd
    #: Number of bytes of the response that were sent.
    sent_bytes: int = 0


class Responder:
    """Writer for one response to a client."""

    def __init__(
        self,
        sock: socket.socket,
        write_timeout: float,
        *,
        keep_alive: bool,
        earlier_requests: int = 0,
        window: FullWindow | None = None,
    ) -> None:
        self._sock = sock
        self._window = window
        self._write_timeout = write_timeout
        self._keep_alive = keep_alive
        #: Number of earlier requests on the same connection.
        self.earlier_requests = earlier_requests
        self._chunked = False
        self.started = False
        self.finished = False
        #: Why the response ends incomplete, ``None`` if it does not.
        self.end: ConnectionEnd | None = None
        #: Kept up to date by handlers that pass requests on.
        self.certainty = Certainty.UNKNOWN
        #: Number of bytes written to the socket.
        self.sent_bytes = 0

    @property
    def keep_alive(self) -> bool:
        """Whether the connection may be used for another request."""
        return self._keep_alive and self.finished

    def close_after(self) -> None:
        """Close the connection after this response."""
        self._keep_alive = False

    def answer(
        self, status: int, headers: Headers = (), body: bytes = b''
    ) -> None:
        """Send a complete response."""
        reason = HTTPStatus(status).phrase
        self.started = True
        head = self._head(status, reason, headers)
        head.append(f'Content-Length: {len(body)}')
        self._write_head(head, body)
        self.finished = True

    def answer_without_body(
        self, status: int, reason: str, headers: Headers
    ) -> None:
        """Send a response that has no body, by its status or to HEAD.

        A length in the headers is that of the body left out.
        """
        self.started = True
        self._write_head(self._head(status, reason, headers), b'')
        self.finished = True

    def start(
        self,
        status: int,
        reason: str,
        headers: Headers,
        length: int | None,
    ) -> None:
        """Send the head of a response whose body follows in parts.

        The body is chunked if ``length`` is None.
        """
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
        """Mark the end of the body, so that the response is complete."""
        if self._chunked:
            self._send(b'0\r\n\r\n')
        self.finished = True

    def abort(
        self, detail: str = '', reason: EndReason = EndReason.ABORTED
    ) -> None:
        """End the response incomplete and close the connection."""
        self._keep_alive = False
        self.finished = False
        if self.end is None:
            self.end = ConnectionEnd(reason, detail)

    def _head(self, status: int, reason: str, headers: Headers) -> list[str]:
        lines = [f'HTTP/1.1 {status} {reason}']
        lines.extend(f'{name}: {text}' for name, text in headers)
        if not self._keep_alive:
            lines.append('Connection: close')
        return lines

    def _write_head(self, lines: list[str], body: bytes) -> None:
        head = '\r\n'.join([*lines, '', '']).encode('latin-1')
        self._send(head + body)

    def _send(self, payload: bytes) -> None:
        try:
            remaining = memoryview(payload)
            while remaining:
                # The timeout applies to each send, not to the whole payload.
                # The reader of the connection sets its own timeout.
                self._sock.settimeout(self._write_timeout)
                sent = self._sock.send(remaining)
                self.sent_bytes += sent
                remaining = remaining[sent:]
                if self._window is not None:
                    self._window.check()
        except OSError as error:
            self.abort(str(error), EndReason.WRITE_FAILED)
            raise ClientDisconnectedError(str(error)) from error


Handler = Callable[[Request, Responder], None]
