"""HTTP/1.1 client connection for one request at a time."""

import math
import select
from collections import deque
from collections.abc import Iterator

import httptools
from bendlead_store import clock
from msgspec import Struct, field

from bendlead_gateway._http.framing import Framing, find_framing
from bendlead_gateway._http.limits import (
    MAX_BODY_BYTES,
    MAX_HEAD_BYTES,
    MAX_OVERHEAD_BYTES,
    MAX_OVERHEAD_SECONDS,
)
from bendlead_gateway._http.sockets import connect, is_ready, receive
from bendlead_gateway.types import Headers

_READ_BYTES = 65_536
#: Statuses of the protocol; what has another one is no answer.
_MIN_STATUS = 100
_MIN_FINAL_STATUS = 200
_MAX_STATUS = 599
#: A socket timeout of 0 would make the socket non-blocking.
_MIN_TIMEOUT_SECONDS = 0.001


class ResponseError(OSError):
    """The peer's response ended early or is not valid HTTP.

    ``errno`` is that of the connection's failure, if any.
    """


class ResponseTimeoutError(ResponseError):
    """The peer sent nothing, or no end, within the timeout."""


class ResponseTooLargeError(ResponseError):
    """The peer sent more bytes than a limit allows."""


class CloseDelimitedError(ResponseError):
    """The peer closed the connection of a response with no other end.

    The response has neither a length nor chunks, so it may be complete or
    truncated. All of its body has been returned.
    """


class ResponseHead(Struct, frozen=True):
    """Status line and headers of a response."""

    status: int
    reason: str
    headers: Headers
    #: Whether it answers a HEAD request.
    answers_head: bool = False

    @property
    def framing(self) -> Framing:
        """What marks the end of the response."""
        if self.answers_head:
            return Framing.NO_BODY
        return find_framing(self.status, self.headers)

    def find(self, name: str) -> str | None:
        """Return the value of a header by its lower-case name, or None."""
        for header, text in self.headers:
            if header.lower() == name:
                return text
        return None


class Response(Struct, frozen=True):
    """Complete response."""

    head: ResponseHead
    body: bytes


class _PartialResponse(Struct):
    """Response while it is parsed."""

    reason: str = ''
    headers: list[tuple[str, str]] = field(default_factory=list)
    head: ResponseHead | None = None
    body: list[bytes] = field(default_factory=list)
    complete: bool = False


class _ResponseParser:
    """Parser for the responses that arrive after one request.

    There can be several: an engine may first send a late response to an
    earlier request.
    """

    def __init__(self, method: str = '') -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._answers_head = method == 'HEAD'
        self._responses: deque[_PartialResponse] = deque()

    @property
    def current(self) -> _PartialResponse:
        """Response that is being read."""
        if not self._responses:
            self._responses.append(_PartialResponse())
        return self._responses[0]

    @property
    def finished(self) -> bool:
        """Whether the current response is complete and nothing follows it."""
        return len(self._responses) == 1 and self._responses[0].complete

    @property
    def has_final(self) -> bool:
        """Whether the current response is complete and no 1xx response."""
        latest = self.current
        if latest.head is None or not latest.complete:
            return False
        return latest.head.status >= _MIN_FINAL_STATUS

    def feed(self, received: bytes) -> None:
        """Parse received bytes; raise HttpParserError if they are invalid."""
        try:
            self._parser.feed_data(received)
        except httptools.HttpParserUpgrade as upgrade:
            raise httptools.HttpParserError(
                'peer switched the protocol'
            ) from upgrade

    def drop_current(self) -> None:
        """Drop the current response and continue with the next."""
        self._responses.popleft()

    def on_message_begin(self) -> None:
        """Start a response unless an incomplete one exists."""
        if not self._responses or self._responses[-1].complete:
            self._responses.append(_PartialResponse())

    def on_status(self, status: bytes) -> None:
        """Append to the reason phrase."""
        self._responses[-1].reason += status.decode('latin-1')

    def on_header(self, name: bytes, text: bytes) -> None:
        """Store one header; a trailer is dropped."""
        latest = self._responses[-1]
        if latest.head is None:
            decoded = (name.decode('latin-1'), text.decode('latin-1'))
            latest.headers.append(decoded)

    def on_headers_complete(self) -> None:
        """Store the status line and the headers."""
        latest = self._responses[-1]
        status = self._parser.get_status_code()
        latest.head = ResponseHead(
            status, latest.reason, latest.headers, self._answers_head
        )

    def on_body(self, body: bytes) -> None:
        """Store a part of the body."""
        self._responses[-1].body.append(body)

    def on_message_complete(self) -> None:
        """Mark the response as complete."""
        self._responses[-1].complete = True


class _Overhead:
    """Bytes that are no part of a body, and how long they take."""

    def __init__(self, name: str, limit: int, until: float) -> None:
        self._name = name
        self._limit = limit
        self._bytes = 0
        #: End of the time for the first byte (uptime, s).
        self.until = until
        self.began_at = math.inf

    def add(self, received: int) -> None:
        """Count received bytes."""
        self._bytes += received
        self.began_at = min(self.began_at, clock.uptime())

    def check(self) -> None:
        """Raise ``ResponseError`` if the bytes so far are too many or too late.

        Called before further ones are read: a silent peer may end in time.
        """
        if self._bytes > self._limit:
            raise ResponseTooLargeError(
                f'{self._name} of more than {self._limit} bytes'
            )
        if not self._bytes:
            return
        until = min(self.until, self.began_at + MAX_OVERHEAD_SECONDS)
        if clock.uptime() > until:
            raise ResponseTimeoutError(f'no end of {self._name} in time')


class HttpConnection:
    """Client connection to one peer.

    All methods raise OSError if the connection fails.
    """

    def __init__(self, address: str, timeout: float) -> None:
        self.address = address
        self._sock = connect(address, timeout)
        self._response_parser = _ResponseParser()
        self._reusable = True
        self._request_count = 0
        #: Whether an answer has named the request that it belongs to.
        self.names_requests = False

    @property
    def used(self) -> bool:
        """Whether a request has been sent on this connection."""
        return self._request_count > 0

    @property
    def reusable(self) -> bool:
        """Whether another request may be sent on this connection."""
        return self._reusable and self._response_parser.finished

    @property
    def is_idle(self) -> bool:
        """Whether the connection is open and has no unread bytes."""
        return self._sock.fileno() >= 0 and not self.has_unread_bytes

    @property
    def has_unread_bytes(self) -> bool:
        """Whether bytes, or the peer's end, have arrived and are not read."""
        return is_ready(self._sock, select.POLLIN)

    def close(self) -> None:
        """Close the connection; the peer cancels a request that runs on it."""
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
        """Send one request with its body."""
        self._response_parser = _ResponseParser(method)
        self._request_count += 1
        lines = [f'{method} {target} HTTP/1.1']
        lines.extend(f'{name}: {text}' for name, text in headers)
        if body or method not in {'GET', 'DELETE'}:
            lines.append(f'Content-Length: {len(body)}')
        if any('\r' in line or '\n' in line for line in lines):
            # The rest of the line would be read as another request.
            raise ValueError('line end inside a line of the head')
        head = '\r\n'.join([*lines, '', '']).encode('latin-1')
        self._sock.settimeout(timeout)
        self._sock.sendall(head + body)

    def read_head(self, timeout: float) -> ResponseHead:
        """Read the head of the next final response; skip 1xx responses.

        The timeout is for all of it, in seconds.
        """
        overhead = _Overhead('head', MAX_HEAD_BYTES, clock.uptime() + timeout)
        while True:
            head = self._response_parser.current.head
            if head is None:
                self._receive_head(overhead)
            elif _MIN_FINAL_STATUS <= head.status <= _MAX_STATUS:
                return head
            elif _MIN_STATUS <= head.status < _MIN_FINAL_STATUS:
                self._response_parser.drop_current()
                overhead.began_at = clock.uptime()
            else:
                self._reusable = False
                raise ResponseError(f'invalid status {head.status:03}')

    def read_parts(
        self, head: ResponseHead, timeout: float, within: float = math.inf
    ) -> Iterator[bytes]:
        """Yield the body as it arrives.

        The timeout (s) is for each part; ``within`` is for all of them (s).
        Ends normally where the body is complete by its framing. Raises
        ``CloseDelimitedError`` where it can't be told whether it is.
        """
        response = self._response_parser.current
        if head.framing is Framing.NO_BODY:
            # The parser would wait for the body of an answer to HEAD.
            response.complete = True
        end = clock.uptime() + within
        while True:
            if response.body:
                part = b''.join(response.body)
                response.body.clear()
                yield part
            if response.complete:
                return
            until = min(end, clock.uptime() + timeout)
            if not self._receive_part(response, until):
                self._handle_end_of_stream(head)
                return
            if clock.uptime() > end and not response.complete:
                self._reusable = False
                raise ResponseTimeoutError(f'no end of body in {within:.3f} s')

    def skip_response(self, head: ResponseHead, timeout: float) -> None:
        """Discard a response that belongs to an earlier request."""
        deque(self.read_parts(head, timeout, timeout), maxlen=0)
        self._response_parser.drop_current()

    def read_body(
        self, head: ResponseHead, timeout: float, limit: int = MAX_BODY_BYTES
    ) -> bytes:
        """Read the remaining body of a response.

        The timeout (s) and the limit (bytes) are for all of it.
        """
        parts = []
        size = 0
        for part in self.read_parts(head, timeout, timeout):
            size += len(part)
            if size > limit:
                self._reusable = False
                raise ResponseTooLargeError(f'body of more than {limit} bytes')
            parts.append(part)
        return b''.join(parts)

    def request(
        self,
        method: str,
        target: str,
        headers: Headers = (),
        body: bytes = b'',
        timeout: float = 5,
    ) -> Response:
        """Send a request and return the complete response."""
        self.send(method, target, headers, body, timeout)
        head = self.read_head(timeout)
        response_body = self.read_body(head, timeout)
        if (head.find('connection') or '').lower() == 'close':
            self._reusable = False
        return Response(head, response_body)

    def disable_reuse(self) -> None:
        """Exclude the connection from use for further requests."""
        self._reusable = False

    def _handle_end_of_stream(self, head: ResponseHead) -> None:
        if head.framing is Framing.CONNECTION:
            raise CloseDelimitedError(
                'peer closed the connection of a response without length or '
                + 'chunks, so that it may be truncated'
            )
        raise ResponseError(
            'peer closed the connection before the response was complete'
        )

    def _receive_head(self, overhead: _Overhead) -> None:
        if not self._receive_overhead(overhead):
            raise ResponseError(
                'peer closed the connection before sending a response'
            )

    def _receive_part(self, response: _PartialResponse, until: float) -> bool:
        """Receive until there is a part of the body, or its end.

        Return False if the peer closed the connection.
        """
        overhead = _Overhead('chunk', MAX_OVERHEAD_BYTES, until)
        while not response.body and not response.complete:
            if not self._receive_overhead(overhead):
                return False
        return True

    def _receive_overhead(self, overhead: _Overhead) -> bool:
        try:
            overhead.check()
        except ResponseError:
            self._reusable = False
            raise
        received = self._receive(overhead.until - clock.uptime())
        overhead.add(received)
        return received > 0

    def _receive(self, timeout: float) -> int:
        """Receive and parse bytes; return their number, 0 at the end."""
        self._sock.settimeout(max(timeout, _MIN_TIMEOUT_SECONDS))
        try:
            received = receive(self._sock, _READ_BYTES)
        except TimeoutError as timed_out:
            self._reusable = False
            raise ResponseTimeoutError(
                f'no data received for {timeout:.3f} s'
            ) from timed_out
        except OSError as error:
            self._reusable = False
            raise ResponseError(
                error.errno, f'connection failed: {error.strerror}'
            ) from error
        if not received:
            self._reusable = False
            return 0
        try:
            self._response_parser.feed(received)
        except httptools.HttpParserError as error:
            self._reusable = False
            if not self._response_parser.has_final:
                raise ResponseError(
                    f'invalid HTTP response: {error}'
                ) from error
        return len(received)
