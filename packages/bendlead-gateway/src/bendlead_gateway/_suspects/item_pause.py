"""Pause of a batch item that engines crash under.

Accepted items are owed, so the pause does not grow with the crashes.
"""

from bendlead_schema.gateway import SuspectRecord

from bendlead_gateway._suspects.crash_history import CRASHES_UNTIL_QUARANTINE

#: Pause after each crash from the third on.
ITEM_PAUSE_SECONDS = 2.0
_MS_PER_SECOND = 1000


def remaining_pause(record: SuspectRecord, now: float) -> float:
    """Return the seconds until an item with this record may run again."""
    if len(record.ends) < CRASHES_UNTIL_QUARANTINE:
        return 0
    elapsed = now - max(record.ends.values()) / _MS_PER_SECOND
    if elapsed < 0:
        # The clock of the process that noticed the crash is ahead.
        return 0
    return max(0, ITEM_PAUSE_SECONDS - elapsed)
