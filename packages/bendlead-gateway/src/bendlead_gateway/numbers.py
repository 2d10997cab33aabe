"""Parsing of numbers in untrusted headers."""

import math


def parse_number(text: str | None) -> float | None:
    """Return a finite number, or None if the text is not one."""
    try:
        number = float(text or '')
    except ValueError:
        return None
    return number if math.isfinite(number) else None


def parse_seconds(text: str | None, default: float, maximum: float) -> float:
    """Return a duration up to ``maximum``; the default if it is invalid."""
    seconds = parse_number(text)
    if seconds is None or seconds < 0:
        return default
    return min(seconds, maximum)
