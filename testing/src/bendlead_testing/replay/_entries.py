"""Simulated clients and the entries that place their requests."""

import random
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

from bendlead_gateway._scheduling import admission, placement
from bendlead_gateway._scheduling.view import EngineView
from bendlead_gateway.types import EngineId
from msgspec.structs import replace

from bendlead_testing.replay._fleet import SimulatedFleet, hall_name
from bendlead_testing.replay._load import Load, Tally
from bendlead_testing.replay._simulated import Run, SimulatedClock
from bendlead_testing.replay._speed_estimates import EntryEstimates

#: From the start of a run to its first event: prefill and first decode step.
FIRST_EVENT_SECONDS = 0.03
#: From a client through an entry to an engine and back.
_NETWORK_SECONDS = 0.008
#: Clients retry within this share of their remaining time.
_MAX_RETRY_AFTER_SHARE = 1 / 3


@dataclass
class _Request:
    """Request of a client, over all its attempts."""

    hall: int
    first_sent_at: float
    seconds: float
    attempts: int = 0


class SimulatedEntries:
    """Entries that place the requests of a load."""

    def __init__(
        self,
        load: Load,
        fleet: SimulatedFleet,
        clock: SimulatedClock,
        request_rng: random.Random,
        rng: random.Random,
        tally: Tally,
    ) -> None:
        self._load = load
        self._fleet = fleet
        self._clock = clock
        self._request_rng = request_rng
        self._rng = rng
        self._tally = tally
        self._traffic = placement.Traffic(load.run_seconds, load.report_age)
        self._estimates: EntryEstimates | None = None
        if load.speed_variation is not None:
            self._estimates = EntryEstimates(
                load.speed_variation, load.entries, load.report_age, clock
            )
        self._runs: list[list[Run]] = [[] for _entry in range(load.entries)]

    def generate_requests(self) -> None:
        """Send a request and schedule the next one."""
        now = self._clock.now
        if now < self._load.duration:
            rate = self._load.online_rate * self._load.rate_factor(now)
            if now:
                self._add_request()
            # Bounded, as the rate may rise with the next phase.
            pause = min(self._request_rng.expovariate(rate), 10)
            self._clock.call_later(pause, self.generate_requests)

    def _add_request(self) -> None:
        halls = range(len(self._load.engines))
        hall = self._request_rng.choices(halls, self._load.client_weights)[0]
        seconds = self._load.run_seconds * self._request_rng.uniform(0.6, 1.4)
        self._attempt(_Request(hall, self._clock.now, seconds))

    def _attempt(self, request: _Request) -> None:
        load = self._load
        entry = self._draw_entry(request.hall)
        views = self._views(entry, request.hall)
        chosen = placement.choose_engine(
            views, self._traffic_at(entry), self._rng.random
        )
        assert chosen is not None
        remaining = load.timeout - (self._clock.now - request.first_sent_at)
        refusal = admission.check_admission(
            admission.AdmissionRequest(load.latency_target, remaining),
            chosen.wait,
            self._rng.random,
        )
        request.attempts += 1
        if refusal is not None:
            self._refuse(request, refusal, remaining)
            return
        self._send(request, entry, chosen.view)

    def _draw_entry(self, hall: int) -> int:
        halls = len(self._load.engines)
        entry = self._rng.randrange(self._load.entries // halls) * halls
        return (entry + hall) % self._load.entries

    def _send(self, request: _Request, entry: int, view: EngineView) -> None:
        engine = self._fleet.find(view.engine)
        run = Run(
            engine,
            request.seconds,
            entry,
            lambda started_at: self._on_start(request, started_at, run),
            lambda _ended_at: self._on_end(run),
            self._is_partitioned(entry),
        )
        self._runs[entry].append(run)
        engine.add(run)

    def _refuse(
        self, request: _Request, refusal: admission.Refusal, remaining: float
    ) -> None:
        self._fleet.last_refused_at = self._clock.now
        if request.attempts > 1:
            self._count(request, 'lost')
            return
        pause = min(refusal.retry_after, remaining * _MAX_RETRY_AFTER_SHARE)
        self._clock.call_later(pause, lambda: self._attempt(request))

    def _on_end(self, run: Run) -> None:
        if self._estimates is not None:
            self._estimates.record_finished(run)

    def _on_start(self, request: _Request, started_at: float, run: Run) -> None:
        if self._estimates is not None:
            self._estimates.observe(run)
        first_event = FIRST_EVENT_SECONDS * run.engine.step_factor(started_at)
        latency = (
            started_at + first_event + _NETWORK_SECONDS - request.first_sent_at
        )
        in_time = latency <= self._load.latency_target
        refused = request.attempts > 1
        self._count(
            request,
            'in_time' if in_time else ('refused' if refused else 'late'),
        )

    def _count(self, request: _Request, outcome: str) -> None:
        self._tally.online[outcome] += 1
        self._tally.by_hall[request.hall][outcome] += 1

    def _views(self, entry: int, hall: int) -> Sequence[EngineView]:
        """Return the engines with the counts that an entry has of them."""
        age = self._fleet.draw_age()
        snapshot = self._fleet.snapshot(age)
        online = snapshot.online[self._is_partitioned(entry)]
        batch = [sum(counts) for counts in zip(*snapshot.batch, strict=True)]
        own_now, own_reported = self._own_counts(entry, age)
        views = [
            EngineView(
                engine.engine,
                online=max(
                    0, online[number] - own_reported[engine.engine.engine]
                )
                + own_now[engine.engine.engine],
                batch=batch[number],
                same_hall=engine.engine.hall == hall_name(hall),
            )
            for number, engine in enumerate(self._fleet.engines)
            if engine in self._fleet.ready
        ]
        return self._with_speeds(entry, views)

    def _traffic_at(self, entry: int) -> placement.Traffic:
        if self._estimates is None:
            return self._traffic
        run_seconds = self._estimates.run_seconds(entry)
        return placement.Traffic(run_seconds, self._load.report_age)

    def _with_speeds(
        self, entry: int, views: Sequence[EngineView]
    ) -> Sequence[EngineView]:
        estimates = self._estimates
        if estimates is None:
            return views
        return [
            replace(
                view,
                event_gap=estimates.event_gap(entry, view.name),
                slowness=estimates.slowness(entry, view.engine),
                stall=estimates.stall(entry, view.engine),
            )
            for view in views
        ]

    def _own_counts(
        self, entry: int, age: float
    ) -> tuple[Counter[EngineId], Counter[EngineId]]:
        """Count an entry's runs by engine, all and those in its reports."""
        own_now: Counter[EngineId] = Counter()
        own_reported: Counter[EngineId] = Counter()
        reported_at = self._clock.now - age
        runs = [run for run in self._runs[entry] if not run.ended]
        self._runs[entry] = runs
        for run in runs:
            name = run.engine.engine.engine
            own_now[name] += 1
            if run.sent_at <= reported_at:
                own_reported[name] += 1
        return own_now, own_reported

    def _is_partitioned(self, entry: int) -> bool:
        return entry < self._load.partitioned_share * self._load.entries
