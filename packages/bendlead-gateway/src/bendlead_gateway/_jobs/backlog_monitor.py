"""Report the remaining work to the estimate of item durations."""

from collections.abc import Iterator

from bendlead_store import clock

from bendlead_gateway._jobs.shard_manager import ShardManager
from bendlead_gateway._scheduling.urgency import (
    UPDATE_INTERVAL_SECONDS,
    ItemDurations,
)


class BacklogMonitor:
    """Report the remaining work of all unfinished items now and then.

    Counting it is too slow for each scheduling round.
    """

    def __init__(self, manager: ShardManager, durations: ItemDurations) -> None:
        self._manager = manager
        self._durations = durations
        self._next_update_at = 0.0

    def update(self, running: int) -> None:
        """Report the work if the interval since the last report has passed."""
        now = clock.uptime()
        if now >= self._next_update_at:
            self._next_update_at = now + UPDATE_INTERVAL_SECONDS
            self._durations.update_work(self._run_seconds(), running)

    def _run_seconds(self) -> Iterator[float]:
        """Yield the total run time (s) of each unfinished item."""
        for shard in self._manager.owned.values():
            for job in shard.jobs.values():
                for progress in job.unfinished:
                    yield progress.run_seconds
