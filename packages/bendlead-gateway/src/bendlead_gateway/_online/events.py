"""Incremental parser for server-sent events."""

from collections.abc import Iterator

from msgspec import Struct

_EVENT_END = b'\n\n'
#: Longest end of an event, with CRLF line ends.
_MAX_END_BYTES = 4


class StreamEvent(Struct, frozen=True):
    """Complete event: its bytes, its numeric id if any, and its data."""

    raw: bytes
    number: int | None
    text: str


class EventSplitter:
    """Buffer received bytes and split them into complete events."""

    def __init__(self) -> None:
        self._remainder = b''

    @property
    def inside_event(self) -> bool:
        """Return whether the bytes received stop inside an event."""
        return bool(self._remainder.strip())

    def feed(self, part: bytes) -> Iterator[StreamEvent]:
        """Add received bytes and yield the events that they complete."""
        buffered = self._remainder + part
        if b'\r' in buffered:
            buffered = buffered.replace(b'\r\n', b'\n')
        *complete, self._remainder = buffered.split(_EVENT_END)
        for raw in complete:
            if raw:
                yield _parse_event(raw)


class EventBoundary:
    """Tell whether a stream that is passed on as bytes is between events."""

    def __init__(self) -> None:
        self._tail = b''

    @property
    def inside_event(self) -> bool:
        """Return whether the bytes received stop inside an event."""
        if not self._tail:
            return False
        tail = self._tail.replace(b'\r\n', b'\n')
        return not tail.endswith((_EVENT_END, b'\r\r'))

    def feed(self, part: bytes) -> None:
        """Add received bytes."""
        tail = self._tail + part[-_MAX_END_BYTES:]
        self._tail = tail[-_MAX_END_BYTES:]


def _parse_event(raw: bytes) -> StreamEvent:
    number = None
    texts = []
    for line in raw.decode('utf-8', 'surrogateescape').split('\n'):
        name, _colon, text = line.partition(':')
        text = text.removeprefix(' ')
        if name == 'id':
            number = int(text) if text.isdigit() else None
        elif name == 'data':
            texts.append(text)
    return StreamEvent(raw + _EVENT_END, number, '\n'.join(texts))
