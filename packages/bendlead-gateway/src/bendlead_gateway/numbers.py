"""Parsing of numbers in untrusted headers."""

import math


def read_number(text: str | None) -> float | None:
    """Return a finite number, or None if the text is not one."""
    try:
        number = float(text or '')
    except ValueError:
        return None
    return number if math.isfinite(number) else None


def read_seconds(text: str | None, default: float, longest: float) -> float:
    """Return a duration up to ``longest``; the default if it is invalid."""
    seconds = read_number(text)
    if seconds is None or seconds < 0:
        return default
    return min(seconds, longest)
