"""How the end of a response is marked (RFC 9112, section 6.3)."""

import enum
from collections.abc import Iterable
from http import HTTPStatus

_STATUSES_WITHOUT_BODY = frozenset(
    (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED)
)


class Framing(enum.Enum):
    """What marks the end of a response, as logged."""

    LENGTH = 'length'
    CHUNKS = 'chunks'
    #: The response ends with its connection, and so does a truncated one.
    CONNECTION = 'connection'
    NO_BODY = 'no_body'


def find_framing(status: int, headers: Iterable[tuple[str, str]]) -> Framing:
    """Return what marks the end of a response."""
    if status in _STATUSES_WITHOUT_BODY:
        return Framing.NO_BODY
    named = {name.lower(): text for name, text in headers}
    codings = named.get('transfer-encoding')
    if codings is not None:
        chunked = codings.strip().lower().endswith('chunked')
        return Framing.CHUNKS if chunked else Framing.CONNECTION
    return Framing.LENGTH if 'content-length' in named else Framing.CONNECTION
