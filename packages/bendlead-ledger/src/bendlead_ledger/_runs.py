"""Leases of runs: which items are being run, by whom, until when.

Nothing here is durable. A new owner learns of runs in progress when their
endpoints renew them; an item run twice is recorded once.
"""

from collections.abc import Iterable, Sequence

from bendlead_schema.messages import RunLease
from bendlead_store import clock
from msgspec import Struct

from bendlead_ledger._ids import unique


class Run(Struct):
    """Remember which items an endpoint holds until a monotonic time."""

    run: str
    job: str
    endpoint: str
    positions: set[int]
    expires: float


class RunTable:
    """Keep each item with at most one endpoint at a time."""

    def __init__(self, lease_seconds: float) -> None:
        self._lease = lease_seconds
        self._runs: dict[str, Run] = {}
        self._held: dict[str, set[int]] = {}

    def held(self, job: str) -> set[int]:
        """Tell which items of a job are out."""
        return self._held.setdefault(job, set())

    def grant(self, job: str, endpoint: str, positions: Sequence[int]) -> Run:
        """Lease items to an endpoint."""
        return self._add(unique(), job, endpoint, positions)

    def renew(self, endpoint: str, leases: Iterable[RunLease]) -> None:
        """Renew runs, and adopt those granted by an earlier owner."""
        for lease in leases:
            run = self._runs.get(lease.run)
            if run is None:
                free = set(lease.positions) - self.held(lease.job)
                self._add(lease.run, lease.job, endpoint, free)
            else:
                run.expires = clock.uptime() + self._lease

    def release(self, run_id: str, positions: Iterable[int]) -> None:
        """Take items back from a run."""
        run = self._runs.get(run_id)
        if run is None:
            return
        freed = run.positions.intersection(positions)
        run.positions -= freed
        self.held(run.job).difference_update(freed)
        if not run.positions:
            self._runs.pop(run_id)

    def drop_job(self, job: str) -> None:
        """Forget the runs of a job."""
        self._held.pop(job, None)
        for run in list(self._runs.values()):
            if run.job == job:
                self._runs.pop(run.run)

    def expired(self) -> list[Run]:
        """Take back the runs whose lease lapsed."""
        now = clock.uptime()
        lapsed = [run for run in self._runs.values() if run.expires < now]
        for run in lapsed:
            self._runs.pop(run.run)
            self.held(run.job).difference_update(run.positions)
        return lapsed

    def _add(
        self,
        run_id: str,
        job: str,
        endpoint: str,
        positions: Iterable[int],
    ) -> Run:
        expires = clock.uptime() + self._lease
        run = Run(run_id, job, endpoint, set(positions), expires)
        self._runs[run_id] = run
        self.held(job).update(run.positions)
        return run
