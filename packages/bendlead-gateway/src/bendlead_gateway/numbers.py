"""Bounds of untrusted numbers, and their parsing from headers."""

import math
from typing import Annotated

from msgspec import Meta

#: The largest integer that every encoder of JSON keeps exactly.
MAX_INTEGER = 9_007_199_254_740_991
_MAX_SECONDS = 31_536_000
_MAX_RATE = 1_000_000_000
#: Digits of integers that are certainly below the largest one.
_MAX_DIGITS = 15

Integer = Annotated[int, Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]
#: Number of things, a version, a revision, or a time in Unix milliseconds.
Natural = Annotated[int, Meta(ge=0, le=MAX_INTEGER)]
#: Durations up to a year.
Seconds = Annotated[float, Meta(ge=0, le=_MAX_SECONDS)]
Milliseconds = Annotated[float, Meta(ge=0, le=_MAX_SECONDS * 1000)]
#: Things per second, or their number.
Rate = Annotated[float, Meta(ge=0, le=_MAX_RATE)]


def parse_number(text: str | None) -> float | None:
    """Return a finite number, or None if the text is not one."""
    try:
        number = float(text or '')
    except ValueError:
        return None
    return number if math.isfinite(number) else None


def parse_position(text: str | None) -> int | None:
    """Return a position from 0 on, or None if the text is not one."""
    number = parse_number(text)
    if number is None or not 0 <= number <= MAX_INTEGER:
        return None
    return int(number)


def parse_digits(text: str) -> int | None:
    """Return an integer written in digits, or None if it is too large."""
    if len(text) > _MAX_DIGITS or not (text.isascii() and text.isdigit()):
        return None
    return int(text)


def parse_seconds(text: str | None, default: float, maximum: float) -> float:
    """Return a duration up to ``maximum``; the default if it is invalid."""
    seconds = parse_number(text)
    if seconds is None or seconds < 0:
        return default
    return min(seconds, maximum)
