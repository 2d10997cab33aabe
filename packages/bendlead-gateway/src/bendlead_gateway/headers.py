"""Look-up in headers of requests and responses."""

import re
from collections.abc import Sequence

from bendlead_gateway.types import Headers, PromptPart

#: A part of a prompt: its id and its tokens.
_PART = re.compile('([0-9a-fA-F]{1,64}):[0-9]+')
#: Most parts of a prompt that are read.
_MAX_PARTS = 16


def lowercase(headers: Headers) -> dict[str, str]:
    """Return the headers by lower-case name, the last of each name."""
    return {name.lower(): text for name, text in headers}


def find_all(headers: Headers, wanted: str) -> list[str]:
    """Return all values of a header by its lower-case name."""
    return [text for name, text in headers if name.lower() == wanted]


def find_unique(headers: Headers, wanted: str) -> str | None:
    """Return the value of a header, ``None`` if it has none or several."""
    found = set(find_all(headers, wanted))
    found.discard('')
    return found.pop() if len(found) == 1 else None


def parse_shared_parts(listings: Sequence[str]) -> tuple[PromptPart, ...]:
    """Return the parts of a prompt that other requests may share.

    ``listings`` are the values of a header that lists ``ID:TOKENS`` by commas.
    The last part is the request's own. There are no parts unless the header was
    given once and is valid.
    """
    listed: list[str] = []
    if len(listings) == 1:
        listed = listings[0].split(',', _MAX_PARTS)
    parts = [_PART.fullmatch(text.strip()) for text in listed[:-1]]
    if None in parts:
        return ()
    ids = [PromptPart(part[1].lower()) for part in parts if part]
    return tuple(dict.fromkeys(ids))
