"""Deferral of batch items while online requests are refused.

An item that meets its target after the burst loses nothing by waiting, while a
refused request returns late or not at all.
"""

import enum
import math

#: Covers the retries of refused clients and short gaps within a burst.
_RECENT_SECONDS = 0.5
#: Spare time from which an item can wait until a burst is over: it would still
#: be in time if it began this much later.
_DEFERRABLE_SECONDS = 5.0
#: Share of a service's slots kept for items that can't be deferred.
_URGENT_SHARE = 0.1
#: Share of slots used by online requests below which reports of refusals are
#: disregarded as false.
_MIN_ONLINE_SHARE = 0.5


class ItemTiming(enum.Enum):
    """Whether an item can be deferred."""

    #: It can still meet its target after a burst.
    LATER = 'later'
    #: It would miss its target, or has missed it already.
    NOW = 'now'


def refused_recently(seconds: float) -> bool:
    """Return whether a refusal some seconds ago still counts."""
    return seconds < _RECENT_SECONDS


def may_lack_slots(online: int, slots: int) -> bool:
    """Return whether requests may lack slots, by the number that run."""
    return online >= slots * _MIN_ONLINE_SHARE


def item_timing(spare: float) -> ItemTiming:
    """Classify an item by the seconds between its completion and its target.

    An item without a target is not deferred, as it would wait without end.
    """
    return (
        ItemTiming.LATER
        if _DEFERRABLE_SECONDS < spare < math.inf
        else ItemTiming.NOW
    )


def slots_for_urgent_items(slots: int, owners: int) -> int:
    """Return the slots that each owner keeps for items not deferred."""
    return max(1, int(slots * _URGENT_SHARE / max(1, owners)))
