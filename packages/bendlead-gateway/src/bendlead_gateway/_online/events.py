"""Incremental parser for server-sent events."""

from collections.abc import Iterator

from msgspec import Struct

_EVENT_END = b'\n\n'


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
    def remainder(self) -> bytes:
        """Return the bytes received after the last complete event."""
        return self._remainder

    def feed(self, part: bytes) -> Iterator[StreamEvent]:
        """Add received bytes and yield the events that they complete."""
        buffered = self._remainder + part
        if b'\r' in buffered:
            buffered = buffered.replace(b'\r\n', b'\n')
        *complete, self._remainder = buffered.split(_EVENT_END)
        for raw in complete:
            if raw:
                yield _parse_event(raw)


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
