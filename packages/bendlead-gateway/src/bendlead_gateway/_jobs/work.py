"""Tell how much work is left beside the places that items hold."""

from collections.abc import Iterator

from bendlead_store import clock

from bendlead_gateway._jobs.keeper import ShardKeeper
from bendlead_gateway._scheduling.urgency import (
    UPDATE_INTERVAL_SECONDS,
    ItemDurations,
)


class WorkWatch:
    """Look at all unfinished items now and then: each costs a moment."""

    def __init__(self, keeper: ShardKeeper, pace: ItemDurations) -> None:
        self._keeper = keeper
        self._pace = pace
        self._look_again_at = 0.0

    def look(self, running: int) -> None:
        """Tell the pace what is left if the last look is some time ago."""
        now = clock.uptime()
        if now >= self._look_again_at:
            self._look_again_at = now + UPDATE_INTERVAL_SECONDS
            self._pace.update_work(self._spent(), running)

    def _spent(self) -> Iterator[float]:
        """List the seconds that each unfinished item has held places."""
        for board in self._keeper.boards.values():
            for job in board.jobs.values():
                for one in job.unfinished:
                    yield one.spent
