"""Parser for client requests, with size limits."""

from collections import deque
from collections.abc import Callable
from http import HTTPStatus

import httptools
from msgspec import Struct, field

from bendlead_gateway._http.messages import Request
from bendlead_gateway.types import ClientLimits

#: Bytes of a head that the limit of headers does not count, as its first line.
_SLACK_BYTES = 1024


class InvalidRequestError(Exception):
    """A client sent an invalid request or exceeded a size limit.

    ``status`` is the HTTP status to respond with.
    """

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status


class _PartialRequest(Struct):
    """Request while it is parsed."""

    target: bytes = b''
    headers: list[tuple[str, str]] = field(default_factory=list)
    header_bytes: int = 0
    body: list[bytes] = field(default_factory=list)
    body_bytes: int = 0


class RequestParser:
    """Parser for the requests of one connection."""

    def __init__(
        self,
        limits: Callable[[], ClientLimits],
        now: Callable[[], float],
    ) -> None:
        """Make a parser that asks for the limits at the start of a request."""
        self._find_limits = limits
        self._limits = limits()
        self._now = now
        self._parser = httptools.HttpRequestParser(self)
        self._partial = _PartialRequest()
        #: Bytes since the last part of a body or end of a request.
        self._overhead_bytes = 0
        self._has_progress = False
        #: Arrival time of the first byte of an incomplete request, or 0.
        self.started_at = 0.0
        self.complete_requests: deque[Request] = deque()

    @property
    def body_bytes(self) -> int:
        """Number of body bytes buffered by this parser."""
        return self._partial.body_bytes + sum(
            len(request.body) for request in self.complete_requests
        )

    def feed(self, received: bytes) -> None:
        """Parse received bytes, or raise InvalidRequestError."""
        if not self.started_at:
            self.started_at = self._now()
        self._has_progress = False
        self._parse(received)
        self._overhead_bytes += len(received)
        if self._has_progress:
            self._overhead_bytes = 0
        if self._overhead_bytes > self._limits.header_bytes + _SLACK_BYTES:
            raise InvalidRequestError(
                HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            )

    def on_message_begin(self) -> None:
        """Start a new request."""
        self._limits = self._find_limits()
        self._partial = _PartialRequest()

    def on_url(self, part: bytes) -> None:
        """Append a part of the target."""
        self._partial.target += part
        self._count_header(len(part))

    def on_header(self, name: bytes, text: bytes) -> None:
        """Store one header."""
        decoded = (name.decode('latin-1'), text.decode('latin-1'))
        self._partial.headers.append(decoded)
        self._count_header(len(name) + len(text) + 4)

    def on_body(self, part: bytes) -> None:
        """Store a part of the body; raise if it exceeds the size limit."""
        self._has_progress = True
        self._partial.body_bytes += len(part)
        if self._partial.body_bytes > self._limits.body_bytes:
            raise InvalidRequestError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        self._partial.body.append(part)

    def on_message_complete(self) -> None:
        """Append the complete request to the queue."""
        self._has_progress = True
        partial = self._partial
        self._partial = _PartialRequest()
        self.started_at = 0
        request = Request(
            self._parser.get_method().decode('latin-1'),
            partial.target.decode('latin-1'),
            partial.headers,
            b''.join(partial.body),
            self._parser.should_keep_alive(),
            self._now(),
        )
        self.complete_requests.append(request)

    def _parse(self, received: bytes) -> None:
        try:
            self._parser.feed_data(received)
        except httptools.HttpParserUpgrade as error:
            raise InvalidRequestError(HTTPStatus.BAD_REQUEST) from error
        except httptools.HttpParserError as error:
            # httptools replaces an exception of a callback by its own.
            cause = error.__context__
            if isinstance(cause, InvalidRequestError):
                raise cause from error
            raise InvalidRequestError(HTTPStatus.BAD_REQUEST) from error

    def _count_header(self, size: int) -> None:
        self._partial.header_bytes += size
        if self._partial.header_bytes > self._limits.header_bytes:
            raise InvalidRequestError(
                HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            )
