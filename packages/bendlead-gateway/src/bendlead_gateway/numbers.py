"""Numbers in headers, which may be anything."""

import math


def read_number(text: str | None) -> float | None:
    """Read a number, or give none where the text is no finite one."""
    try:
        found = float(text or '')
    except ValueError:
        return None
    return found if math.isfinite(found) else None


def read_seconds(text: str | None, default: float, longest: float) -> float:
    """Read a time, at most the longest one; the default where it is none."""
    seconds = read_number(text)
    if seconds is None or seconds < 0:
        return default
    return min(seconds, longest)
