"""Choose engines by whether a failed request could be retried."""

from collections.abc import Sequence

from bendlead_gateway._scheduling.view import EngineView


def prefer_trusted(
    views: Sequence[EngineView], *, once: bool
) -> Sequence[EngineView]:
    """Leave out doubted engines for a request that can't be retried.

    Return all engines if no trusted one has a free slot. Placement leaves out
    ejected engines by itself.
    """
    if not once:
        return views
    trusted = [view for view in views if not view.doubted and not view.paused]
    if any(view.free > 0 for view in trusted):
        return trusted
    return views
