"""Incremental parser for server-sent events."""

from collections.abc import Iterator

from bendlead_store import clock
from msgspec import Struct

from bendlead_gateway._http.client import ResponseTooLargeError
from bendlead_gateway._http.limits import MAX_EVENT_BYTES, MAX_EVENT_SECONDS
from bendlead_gateway.numbers import parse_digits

_EVENT_END = b'\n\n'
_EVENT_ENDS = (_EVENT_END, b'\n\r\n', b'\r\r')
#: Longest end of an event, with CRLF line ends.
_MAX_END_BYTES = 4


class StreamEvent(Struct, frozen=True):
    """Complete event: its bytes, its numeric id if any, and its data."""

    raw: bytes
    number: int | None
    text: str


class EventLimit:
    """Limit of the bytes and the time that one event takes."""

    def __init__(self) -> None:
        self._bytes = 0
        self._started_at = 0.0

    def check(self, remainder: int, *, ended: bool) -> None:
        """Check the event that is not complete, or raise ``ResponseError``.

        ``remainder`` are its bytes in the latest part, ``ended`` is whether an
        event has ended there.
        """
        now = clock.uptime()
        if ended or not self._bytes:
            self._bytes = 0
            self._started_at = now
        self._bytes += remainder
        if self._bytes > MAX_EVENT_BYTES:
            raise ResponseTooLargeError(
                f'event of more than {MAX_EVENT_BYTES} bytes'
            )
        if self._bytes and now - self._started_at > MAX_EVENT_SECONDS:
            raise ResponseTooLargeError(
                f'event of more than {MAX_EVENT_SECONDS} s'
            )


class EventSplitter:
    """Buffer received bytes and split them into complete events."""

    def __init__(self) -> None:
        self._remainder = b''
        self._limit = EventLimit()

    @property
    def inside_event(self) -> bool:
        """Return whether the bytes received stop inside an event."""
        return bool(self._remainder.strip())

    def feed(self, part: bytes) -> Iterator[StreamEvent]:
        """Add received bytes and yield the events that they complete.

        Raises ``ResponseError`` if an event has no end.
        """
        buffered = self._remainder + part
        if b'\r' in buffered:
            buffered = buffered.replace(b'\r\n', b'\n')
        *complete, self._remainder = buffered.split(_EVENT_END)
        remainder = min(len(part), len(self._remainder))
        self._limit.check(remainder, ended=bool(complete))
        for raw in complete:
            if raw:
                yield _parse_event(raw)


class EventBoundary:
    """Tell whether a stream that is passed on as bytes is between events."""

    def __init__(self) -> None:
        self._tail = b''
        self._limit = EventLimit()

    @property
    def inside_event(self) -> bool:
        """Return whether the bytes received stop inside an event."""
        if not self._tail:
            return False
        tail = self._tail.replace(b'\r\n', b'\n')
        return not tail.endswith((_EVENT_END, b'\r\r'))

    def feed(self, part: bytes) -> None:
        """Add received bytes; raise ``ResponseError`` without an end."""
        received = self._tail + part
        end = _find_last_end(received)
        remainder = len(received) - end if end else len(part)
        self._tail = received[-_MAX_END_BYTES:]
        self._limit.check(remainder, ended=bool(end))


def _find_last_end(received: bytes) -> int:
    """Return where the last complete event ends, 0 if none does."""
    ends = [
        received.rfind(mark) + len(mark)
        for mark in _EVENT_ENDS
        if mark in received
    ]
    return max(ends, default=0)


def _parse_event(raw: bytes) -> StreamEvent:
    number = None
    texts = []
    for line in raw.decode('utf-8', 'surrogateescape').split('\n'):
        name, _colon, text = line.partition(':')
        text = text.removeprefix(' ')
        if name == 'id':
            number = parse_digits(text)
        elif name == 'data':
            texts.append(text)
    return StreamEvent(raw + _EVENT_END, number, '\n'.join(texts))
