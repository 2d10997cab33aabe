"""What the engines' stand-ins answer, for those who check it."""

import hashlib
import re

_VERSION = re.compile(r'@(v\d+)$', re.MULTILINE)

#: Ends the ids of requests under which engines end.
DEADLY = '-deadly'
#: The part of prompts on which engines end, and what ends the ids of requests
#: with it; no two of these are alike.
DEADLY_PART = 'dead'
DEADLY_PART_MARK = '-part'


def text_of(request: str, number: int) -> str:
    """Give the right data of one event of a request."""
    return f'{request}/{number}'


def marked_text(request: str, number: int, version: str) -> str:
    """Give the data that an engine of a version sends for one event."""
    return f'{text_of(request, number)}@{version}'


def without_versions(text: str) -> str:
    """Give the right data of events, without the versions of engines."""
    return _VERSION.sub('', text)


def versions_in(text: str) -> set[str]:
    """Give the versions of the engines that sent these events."""
    return set(_VERSION.findall(text))


def seal_of(request: str) -> str:
    """Give the right seal of a request."""
    return hashlib.sha256(request.encode()).hexdigest()[:12]
