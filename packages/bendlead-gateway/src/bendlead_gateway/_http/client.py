"""One HTTP/1.1 connection to a peer, used for one request at a time."""

import select
from collections import deque
from collections.abc import Iterator

import httptools
from msgspec import Struct, field

from bendlead_gateway._http.sockets import connect
from bendlead_gateway.types import Headers

_READ_BYTES = 65_536
_NO_BODY = frozenset((204, 304))
_FINAL_STATUS = 200
#: A wait of nothing would mean a wait without end to the socket (s).
_SHORTEST_WAIT = 0.001


class BrokenAnswerError(OSError):
    """The peer's answer ended early or is no HTTP."""


class SilentPeerError(BrokenAnswerError):
    """The peer sent nothing within the time it was given."""


class ResponseHead(Struct, frozen=True):
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


class Response(Struct, frozen=True):
    """Hold a whole answer."""

    head: ResponseHead
    body: bytes


class _Message(Struct):
    """Gather one answer."""

    reason: str = ''
    headers: list[tuple[str, str]] = field(default_factory=list)
    head: ResponseHead | None = None
    body: list[bytes] = field(default_factory=list)
    complete: bool = False


class _Incoming:
    """Gather the answers that arrive after one request, each by itself.

    There may be more than one: an engine may answer an earlier request again.
    """

    def __init__(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._messages: deque[_Message] = deque()

    @property
    def first(self) -> _Message:
        """Give the answer that is read now."""
        if not self._messages:
            self._messages.append(_Message())
        return self._messages[0]

    @property
    def ended(self) -> bool:
        """Tell whether the first answer is whole and nothing follows it."""
        return len(self._messages) == 1 and self._messages[0].complete

    def feed(self, received: bytes) -> None:
        """Parse bytes; raise HttpParserError where they are no answer."""
        self._parser.feed_data(received)

    def drop_first(self) -> None:
        """Go on to the next answer."""
        self._messages.popleft()

    def on_message_begin(self) -> None:
        """Begin an answer."""
        if not self._messages or self._messages[-1].complete:
            self._messages.append(_Message())

    def on_status(self, status: bytes) -> None:
        """Keep the reason."""
        self._messages[-1].reason += status.decode('latin-1')

    def on_header(self, name: bytes, text: bytes) -> None:
        """Keep one header."""
        decoded = (name.decode('latin-1'), text.decode('latin-1'))
        self._messages[-1].headers.append(decoded)

    def on_headers_complete(self) -> None:
        """Keep the head."""
        latest = self._messages[-1]
        status = self._parser.get_status_code()
        latest.head = ResponseHead(status, latest.reason, latest.headers)

    def on_body(self, body: bytes) -> None:
        """Keep a part of the body."""
        self._messages[-1].body.append(body)

    def on_message_complete(self) -> None:
        """Mark the end of the answer."""
        self._messages[-1].complete = True


class HttpConnection:
    """Send requests to one peer and read its answers.

    Everything raises OSError where the connection fails.
    """

    def __init__(self, address: str, timeout: float) -> None:
        self.address = address
        self._sock = connect(address, timeout)
        self._incoming = _Incoming()
        self._reusable = True
        self._sent = 0

    @property
    def used(self) -> bool:
        """Tell whether an earlier request went out on this connection."""
        return self._sent > 0

    @property
    def reusable(self) -> bool:
        """Tell whether another request may go out on this connection."""
        return self._reusable and self._incoming.ended

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
        self._incoming = _Incoming()
        self._sent += 1
        lines = [f'{method} {target} HTTP/1.1']
        lines.extend(f'{name}: {text}' for name, text in headers)
        if body or method not in {'GET', 'DELETE'}:
            lines.append(f'Content-Length: {len(body)}')
        head = '\r\n'.join([*lines, '', '']).encode('latin-1')
        self._sock.settimeout(timeout)
        self._sock.sendall(head + body)

    def read_head(self, timeout: float) -> ResponseHead:
        """Wait for the head of the next answer."""
        answer = self._incoming.first
        while answer.head is None:
            if not self._fill(timeout):
                raise BrokenAnswerError('closed before an answer')
        if answer.head.status < _FINAL_STATUS:
            self._incoming.drop_first()
            return self.read_head(timeout)
        return answer.head

    def read_parts(self, head: ResponseHead, timeout: float) -> Iterator[bytes]:
        """Yield the body as it comes; timeout is for each part."""
        answer = self._incoming.first
        while True:
            if answer.body:
                part = b''.join(answer.body)
                answer.body.clear()
                yield part
            if answer.complete:
                return
            if not self._fill(timeout):
                self._end_with_connection(head)
                return

    def skip_answer(self, head: ResponseHead, timeout: float) -> None:
        """Read past an answer that belongs to an earlier request."""
        self.read_rest(head, timeout)
        self._incoming.drop_first()

    def read_rest(self, head: ResponseHead, timeout: float) -> bytes:
        """Read the rest of an answer."""
        return b''.join(self.read_parts(head, timeout))

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
        whole = self.read_rest(head, timeout)
        if (head.find('connection') or '').lower() == 'close':
            self._reusable = False
        return Response(head, whole)

    def keep_no_longer(self) -> None:
        """Use the connection for no further request."""
        self._reusable = False

    def _end_with_connection(self, head: ResponseHead) -> None:
        framed = head.find('content-length') or head.find('transfer-encoding')
        if framed and head.status not in _NO_BODY:
            raise BrokenAnswerError('closed within an answer')
        self._incoming.first.complete = True

    def _fill(self, timeout: float) -> bool:
        self._sock.settimeout(max(timeout, _SHORTEST_WAIT))
        try:
            received = self._sock.recv(_READ_BYTES)
        except TimeoutError as silent:
            self._reusable = False
            raise SilentPeerError(f'silent for {timeout:.3f} s') from silent
        if not received:
            self._reusable = False
            return False
        try:
            self._incoming.feed(received)
        except httptools.HttpParserError as error:
            self._reusable = False
            if not self._incoming.first.complete:
                raise BrokenAnswerError(f'no HTTP: {error}') from error
        return True
