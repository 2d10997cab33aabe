"""One HTTP/1.1 connection to a peer, used for one request at a time."""

import select
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass

import httptools

from bendlead_gateway._http.sockets import connect
from bendlead_gateway.types import Headers

_READ_BYTES = 65_536
_NO_BODY = frozenset((204, 304))


class BrokenAnswerError(OSError):
    """The peer's answer ended early or is no HTTP."""


class SilentPeerError(BrokenAnswerError):
    """The peer sent nothing within the time it was given."""


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Hold the status line and the headers of an answer."""

    status: int
    reason: str
    headers: Headers

    def find(self, name: str) -> str | None:
        """Find a header by its lower-case name."""
        for found, text in self.headers:
            if found.lower() == name:
                return text
        return None


@dataclass(frozen=True, slots=True)
class Response:
    """Hold a whole answer."""

    head: ResponseHead
    body: bytes


class _Incoming:
    """Gather what the parser finds, one message at a time."""

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.heads: deque[ResponseHead] = deque()
        self.body: list[bytes] = []
        self.complete = False
        self.surplus = False
        self._reason = ''
        self._headers: list[tuple[str, str]] = []

    def on_message_begin(self) -> None:
        """Note bytes that follow a whole answer."""
        if self.complete:
            self.surplus = True
        self._headers = []
        self._reason = ''

    def on_status(self, status: bytes) -> None:
        """Keep the reason."""
        self._reason += status.decode('latin-1')

    def on_header(self, name: bytes, text: bytes) -> None:
        """Keep one header."""
        self._headers.append((name.decode('latin-1'), text.decode('latin-1')))

    def on_headers_complete(self) -> None:
        """Keep the head."""
        status = self.parser.get_status_code()
        self.heads.append(ResponseHead(status, self._reason, self._headers))

    def on_body(self, body: bytes) -> None:
        """Keep a part of the body."""
        if not self.complete:
            self.body.append(body)

    def on_message_complete(self) -> None:
        """Mark the end of the answer."""
        self.complete = True


class HttpConnection:
    """Send requests to one peer and read its answers.

    Everything raises OSError where the connection fails.
    """

    def __init__(self, address: str, timeout: float) -> None:
        self.address = address
        self.used = False
        #: Whether a byte of an answer to the latest request has come.
        self.answered = False
        self._sock = connect(address, timeout)
        self._incoming = _Incoming()
        self._reusable = True

    @property
    def reusable(self) -> bool:
        """Tell whether another request may go out on this connection."""
        incoming = self._incoming
        return self._reusable and incoming.complete and not incoming.surplus

    @property
    def quiet(self) -> bool:
        """Tell whether an idle connection is open and holds no bytes."""
        poll = select.poll()
        poll.register(self._sock.fileno(), select.POLLIN)
        return not poll.poll(0)

    def close(self) -> None:
        """Close the connection; the peer stops what runs on it."""
        self._reusable = False
        self._sock.close()

    def send(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        timeout: float,
    ) -> None:
        """Send one whole request."""
        self.used = True
        self.answered = False
        self._incoming = _Incoming()
        lines = [f'{method} {target} HTTP/1.1']
        lines.extend(f'{name}: {text}' for name, text in headers)
        if body or method not in {'GET', 'DELETE'}:
            lines.append(f'Content-Length: {len(body)}')
        head = '\r\n'.join([*lines, '', '']).encode('latin-1')
        self._sock.settimeout(timeout)
        self._sock.sendall(head + body)

    def read_head(self, timeout: float) -> ResponseHead:
        """Wait for the head of the next answer."""
        incoming = self._incoming
        while not incoming.heads:
            if not self._fill(timeout):
                raise BrokenAnswerError('closed before an answer')
        head = incoming.heads.popleft()
        if head.status < 200:
            return self.read_head(timeout)
        return head

    def read_parts(self, head: ResponseHead, timeout: float) -> Iterator[bytes]:
        """Yield the body as it comes; timeout is for each part."""
        incoming = self._incoming
        while True:
            if incoming.body:
                part = b''.join(incoming.body)
                incoming.body.clear()
                yield part
            if incoming.complete:
                return
            if not self._fill(timeout):
                self._end_of_stream(head)
                return

    def skip_answer(self, head: ResponseHead, timeout: float) -> None:
        """Read past an answer that belongs to an earlier request."""
        for _part in self.read_parts(head, timeout):
            continue
        incoming = self._incoming
        if not incoming.heads:
            incoming.complete = False
            incoming.surplus = False

    def request(
        self,
        method: str,
        target: str,
        headers: Headers = (),
        body: bytes = b'',
        timeout: float = 5,
    ) -> Response:
        """Send a request and read the whole answer."""
        self.send(method, target, headers, body, timeout)
        head = self.read_head(timeout)
        whole = b''.join(self.read_parts(head, timeout))
        if (head.find('connection') or '').lower() == 'close':
            self._reusable = False
        return Response(head, whole)

    def keep_no_longer(self) -> None:
        """Use the connection for no further request."""
        self._reusable = False

    def _end_of_stream(self, head: ResponseHead) -> None:
        self._reusable = False
        framed = head.find('content-length') or head.find('transfer-encoding')
        if framed and head.status not in _NO_BODY:
            raise BrokenAnswerError('closed within an answer')
        self._incoming.complete = True

    def _fill(self, timeout: float) -> bool:
        self._sock.settimeout(max(timeout, 0.001))
        try:
            received = self._sock.recv(_READ_BYTES)
        except TimeoutError as silent:
            self._reusable = False
            raise SilentPeerError(f'silent for {timeout:.3f} s') from silent
        if not received:
            self._reusable = False
            return False
        self.answered = True
        incoming = self._incoming
        try:
            incoming.parser.feed_data(received)
        except httptools.HttpParserError as error:
            self._reusable = False
            if not incoming.complete:
                raise BrokenAnswerError(f'no HTTP: {error}') from error
        return True
