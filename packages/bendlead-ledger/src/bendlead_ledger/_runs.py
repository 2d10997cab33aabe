"""Leases of runs: which endpoint runs which items, and until when.

Leases are kept in memory only. A new owner learns of runs in progress when
their endpoints renew them; an item that runs twice is recorded once.
"""

from collections.abc import Iterable, Sequence

from bendlead_schema.messages import RunLease
from bendlead_store import clock
from msgspec import Struct

from bendlead_ledger._ids import unique_id


class Run(Struct):
    """Lease of some items of a job; ``expires`` is by ``clock.uptime``."""

    run: str
    job: str
    endpoint: str
    positions: set[int]
    expires: float


class RunTable:
    """Leases of a shard; an item is leased to at most one endpoint."""

    def __init__(self, lease_seconds: float) -> None:
        self._lease_seconds = lease_seconds
        self._runs: dict[str, Run] = {}
        self._leased: dict[str, set[int]] = {}

    def leased(self, job: str) -> set[int]:
        """Return the leased items of a job."""
        return self._leased.setdefault(job, set())

    def grant(self, job: str, endpoint: str, positions: Sequence[int]) -> Run:
        """Lease items to an endpoint under a new run id."""
        return self._add(unique_id(), job, endpoint, positions)

    def renew(self, endpoint: str, leases: Iterable[RunLease]) -> None:
        """Renew runs and add those that an earlier owner granted."""
        for lease in leases:
            run = self._runs.get(lease.run)
            if run is None:
                free = set(lease.positions) - self.leased(lease.job)
                self._add(lease.run, lease.job, endpoint, free)
            else:
                run.expires = clock.uptime() + self._lease_seconds

    def release(self, run_id: str, positions: Iterable[int]) -> None:
        """Release items of a run."""
        run = self._runs.get(run_id)
        if run is None:
            return
        released = run.positions.intersection(positions)
        run.positions -= released
        self.leased(run.job).difference_update(released)
        if not run.positions:
            self._runs.pop(run_id)

    def drop_job(self, job: str) -> None:
        """Remove all runs of a job."""
        self._leased.pop(job, None)
        for run in list(self._runs.values()):
            if run.job == job:
                self._runs.pop(run.run)

    def expired(self) -> list[Run]:
        """Remove and return the runs whose lease has expired."""
        now = clock.uptime()
        expired_runs = [run for run in self._runs.values() if run.expires < now]
        for run in expired_runs:
            self._runs.pop(run.run)
            self.leased(run.job).difference_update(run.positions)
        return expired_runs

    def _add(
        self,
        run_id: str,
        job: str,
        endpoint: str,
        positions: Iterable[int],
    ) -> Run:
        expires = clock.uptime() + self._lease_seconds
        run = Run(run_id, job, endpoint, set(positions), expires)
        self._runs[run_id] = run
        self.leased(job).update(run.positions)
        return run


class EndpointGaps:
    """Time for which an endpoint gets no further item of some kind."""

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds
        self._until: dict[str, float] = {}

    def begin(self, endpoint: str, now: float) -> None:
        """Begin the gap of an endpoint; forget those that have ended."""
        later = {name: end for name, end in self._until.items() if end > now}
        self._until = later | {endpoint: now + self._seconds}

    def holds(self, endpoint: str, now: float) -> bool:
        """Return whether the gap of an endpoint has not ended."""
        return self._until.get(endpoint, 0) > now
