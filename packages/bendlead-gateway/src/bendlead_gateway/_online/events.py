"""Split a stream into its events, which may come in any pieces."""

from collections.abc import Iterator

from msgspec import Struct

_BLANK = b'\n\n'


class StreamEvent(Struct, frozen=True):
    """Hold one whole event as it came, its number and its data."""

    raw: bytes
    number: int | None
    text: str


class EventSplitter:
    """Gather bytes and give out whole events."""

    def __init__(self) -> None:
        self._rest = b''

    @property
    def rest(self) -> bytes:
        """Show the bytes behind the last whole event."""
        return self._rest

    def feed(self, part: bytes) -> Iterator[StreamEvent]:
        """Yield the events that a part completes."""
        gathered = self._rest + part
        if b'\r' in gathered:
            gathered = gathered.replace(b'\r\n', b'\n')
        *whole, self._rest = gathered.split(_BLANK)
        for raw in whole:
            if raw:
                yield _event(raw)


def _event(raw: bytes) -> StreamEvent:
    number = None
    texts = []
    for line in raw.decode('utf-8', 'surrogateescape').split('\n'):
        name, _colon, text = line.partition(':')
        text = text.removeprefix(' ')
        if name == 'id':
            number = int(text) if text.isdigit() else None
        elif name == 'data':
            texts.append(text)
    return StreamEvent(raw + _BLANK, number, '\n'.join(texts))
