"""Replay teams that compete for too few slots, in simulated time.

Entries place requests by counts of engines and of teams that are some time
old; refused clients retry once. The decisions are made by the gateway's own
code. Other sharing policies are included for comparison on the same load.
"""

import enum
import math
import random
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from bendlead_gateway._scheduling import admission, placement
from bendlead_gateway._scheduling.queue_policy import (
    QueuedRequest,
    QueuePolicy,
    rank,
)
from bendlead_gateway._scheduling.team_shares import ShareUse
from bendlead_gateway._scheduling.view import EngineView
from bendlead_gateway._teams.limits import TeamLimits
from bendlead_gateway._teams.quota import EntryGroup
from bendlead_gateway._teams.shares import TeamShares
from bendlead_gateway.types import LimitWindow, NodeName, Team, TeamName

from bendlead_testing.replay._entries import FIRST_EVENT_SECONDS
from bendlead_testing.replay._fleet import SimulatedFleet
from bendlead_testing.replay._load import Load, Tally
from bendlead_testing.replay._owner import Item, SimulatedOwner
from bendlead_testing.replay._simulated import Run, SimulatedClock

#: Interval at which entries report their counts of teams.
_REPORT_INTERVAL_SECONDS = 0.1
#: From a client through an entry to an engine and back.
_NETWORK_SECONDS = 0.008
#: Clients retry within this share of their remaining time.
_MAX_RETRY_AFTER_SHARE = 1 / 3
#: Time without an event after which the reader of a stream gives up.
_READ_TIMEOUT_SECONDS = 2.0
_QUEUE_POLL_SECONDS = 0.02
#: Teams with fewer requests are left out of the worst-served tenth.
_MIN_REQUESTS = 8


class SharingPolicy(enum.Enum):
    """Rule by which teams share the slots."""

    FIRST_COME = 'as they come'
    FIXED_SHARE = 'share of places'
    LEAKY_BUCKET = 'lag against share'
    RECENT_USE = 'most over the average first'


class OverloadPolicy(enum.Enum):
    """Handling of a request that would wait beyond its latency target."""

    REFUSE = 'refuse at once'
    QUEUE_AT_ENTRY = 'hold at the entry'
    QUEUE_AT_ENGINE = "hold at the engine's queue"


class Surge(NamedTuple):
    """Period in which some teams send a multiple of their usual rate."""

    start: float
    end: float
    teams: Sequence[int]
    factor: float


@dataclass(frozen=True)
class FairnessLoad:
    """Requests of teams and the fleet that serves them. Times in seconds."""

    teams: Sequence[Team]
    #: Usual rate of each team in requests per second.
    usual_rates: Sequence[float]
    surges: Sequence[Surge] = ()
    #: Start and rate factor of each phase in a period.
    phases: Sequence[tuple[float, float]] = ((0, 1),)
    period: float = 6.6
    engines: int = 22
    slots: int = 8
    run_seconds: float = 0.7
    entries: int = 20
    #: When some engines are lost, when they return, and their share.
    engine_loss: tuple[float, float, float] = (math.inf, math.inf, 0)
    #: Age of the counts of engines in reports.
    report_age: float = 0.05
    #: Age of the counts of teams; infinite where entries send none.
    team_report_age: float = 0.05
    latency_target: float = 0.3
    timeout: float = 5.0
    job_rate: float = 0
    duration: float = 20
    #: Draws the entry that a request of a team reaches; any entry if not set.
    draw_entry: Callable[[int, random.Random], int] | None = None
    restart_at: float = math.inf


@dataclass
class FairnessTally:
    """Outcomes of the requests of each team."""

    outcomes: list[Counter[str]] = field(default_factory=list)
    #: Refusals while a slot was free.
    unneeded_refusals: int = 0
    second_refusals: int = 0
    #: Time that requests waited without being served in the end.
    wasted_wait_seconds: float = 0
    #: Longest queue of any entry.
    max_queued: int = 0
    items: Tally = field(default_factory=Tally)

    def served(self, teams: Sequence[int] = ()) -> float:
        """Return the served share of the requests of these teams, or all."""
        return self._share(('in_time', 'returned', 'late'), teams)

    def in_time(self, teams: Sequence[int] = ()) -> float:
        """Return the share whose last attempt met the latency target."""
        return self._share(('in_time', 'returned'), teams)

    def worst_tenth(self, teams: Sequence[int]) -> float:
        """Return the mean served share of the worst-served tenth of teams."""
        shares = sorted(
            self.served([team])
            for team in teams
            if self.outcomes[team].total() >= _MIN_REQUESTS
        )
        worst = shares[: max(1, len(shares) // 10)]
        return sum(worst) / max(1, len(worst))

    def _share(self, outcomes: Sequence[str], teams: Sequence[int]) -> float:
        counts = [
            self.outcomes[team] for team in teams or range(len(self.outcomes))
        ]
        matching = sum(count[kind] for count in counts for kind in outcomes)
        return matching / max(1, sum(count.total() for count in counts))


class _FixedShares(TeamShares):
    """Fixed share of the capacity for each team, whichever are active."""

    def configure(self, load: FairnessLoad) -> None:
        """Set the capacity and the total of the weights."""
        self._capacity = load.engines * load.slots / load.run_seconds
        self._weights = sum(team.rate or 1 for team in load.teams)

    def share_use(self, team: Team | None) -> ShareUse:
        """Compare the recent use with the fixed share."""
        assert team is not None
        used = self._sums.get(team.name, 0.0) / self._scale()
        return ShareUse(
            used, self._capacity * (team.rate or 1) / self._weights + 2
        )


class _LeakyBuckets(_FixedShares):
    """Leaky bucket per team that drains at the rate of its share."""

    def add(self, team: TeamName, requests: float) -> None:
        """Add requests to the bucket of a team."""
        level, updated_at = self._sums.get(team, (0.0, 0.0))  # type: ignore[arg-type]
        found = self._team_named(team)
        rate = self._capacity * (found.rate or 1) / self._weights
        level = max(0, level - (self._now() - updated_at) * rate) + requests
        level = max(0, min(level, rate + 4))
        self._sums[team] = (level, self._now())  # type: ignore[assignment]

    def share_use(self, team: Team | None) -> ShareUse:
        """Compare the level with a quarter of a second of the share."""
        assert team is not None
        self.add(team.name, 0)
        level, _updated_at = self._sums[team.name]  # type: ignore[misc]
        rate = self._capacity * (team.rate or 1) / self._weights
        return ShareUse(level, rate / 4 + 2)


_SHARES = {
    SharingPolicy.RECENT_USE: TeamShares,
    SharingPolicy.FIXED_SHARE: _FixedShares,
    SharingPolicy.LEAKY_BUCKET: _LeakyBuckets,
}


@dataclass(eq=False)
class _Request:
    """Request of a client, over all its attempts."""

    team: int
    first_sent_at: float
    seconds: float
    attempts: int = 0
    sent_at: float = 0


class _Entry:
    """Shares, limits and queued requests of one entry."""

    def __init__(self, replay: 'FairnessReplay', incarnation: int) -> None:
        load = replay.load
        find_team = {team.name: team for team in load.teams}.get
        clock = replay.uptime
        self.shares: TeamShares | None = None
        if replay.sharing is not SharingPolicy.FIRST_COME:
            self.shares = _SHARES[replay.sharing](find_team, clock)
            if isinstance(self.shares, _FixedShares):
                self.shares.configure(load)
        self.limits = TeamLimits(
            LimitWindow(5, 0.1, 20),
            lambda: EntryGroup(load.entries, load.entries),
            find_team,
            clock,
            incarnation,
            self.shares,
        )
        self.queue_policy = QueuePolicy(clock)
        self.queued: dict[QueuedRequest, _Request] = {}
        self.polling = False


def teams_by_size(
    count: int, total: float
) -> tuple[Sequence[Team], Sequence[float]]:
    """Return teams of very uneven size and their usual rates.

    ``total`` is the sum of the rates in requests per second. Limits are about
    three times the usual rate.
    """
    sizes = [1 / (number + 1) ** 1.2 for number in range(count)]
    rates = [total * size / sum(sizes) for size in sizes]
    limits = [max(1, round(rate * 3.2)) for rate in rates]
    teams = [
        Team(TeamName(f't{number}'), rate=limit, burst=limit)
        for number, limit in enumerate(limits)
    ]
    return teams, rates


class FairnessReplay:
    """Replay of one load under a sharing policy and an overload policy."""

    def __init__(
        self,
        load: FairnessLoad,
        seed: int = 1,
        sharing: SharingPolicy = SharingPolicy.RECENT_USE,
        overload: OverloadPolicy = OverloadPolicy.REFUSE,
    ) -> None:
        self.load = load
        self.sharing = sharing
        self._overload = overload
        self._request_rng = random.Random(f'requests {seed}')
        self._rng = random.Random(seed)
        self._clock = SimulatedClock()
        self.tally = FairnessTally([Counter() for _team in load.teams])
        fleet_load = Load(
            engines=(load.engines,),
            client_weights=(1,),
            slots=load.slots,
            entries=load.entries,
            report_age=load.report_age,
            run_seconds=load.run_seconds,
            engine_loss_share=load.engine_loss[2],
        )
        self._fleet = SimulatedFleet(fleet_load, self._clock, self._rng, seed)
        self._owner = SimulatedOwner(
            0, fleet_load, self._fleet, self._clock, self.tally.items
        )
        self._traffic = placement.Traffic(load.run_seconds, load.report_age)
        self._incarnations = 0
        self._version = 0
        self._entries: list[_Entry] = []

    def uptime(self) -> float:
        """Return the simulated uptime in seconds."""
        return self._clock.now + 100

    def play(self) -> FairnessTally:
        """Run the replay and return its tally."""
        load = self.load
        self._start_entries()
        self._fleet.record_snapshots()
        if load.job_rate:
            self._owner.run_rounds()
            self._add_job()
        if load.team_report_age < math.inf:
            self._report_counts()
        self._clock.call_later(load.engine_loss[0], self._fleet.lose_engines)
        self._clock.call_later(load.engine_loss[1], self._restore_engines)
        self._clock.call_later(load.restart_at, self._start_entries)
        self._generate_requests()
        self._clock.run(load.duration + load.timeout + 2)
        return self.tally

    def _start_entries(self) -> None:
        for entry in self._entries:
            for request in list(entry.queued.values()):
                self._count(request, 'lost')
            entry.queued.clear()
        self._entries = []
        for _entry in range(self.load.entries):
            self._incarnations += 1
            self._entries.append(_Entry(self, self._incarnations))

    def _restore_engines(self) -> None:
        self._fleet.ready = list(self._fleet.engines)

    def _add_job(self) -> None:
        if self._clock.now < self.load.duration:
            for _item in range(10):
                self._owner.items.append(Item(4.75, self._clock.now))
            pause = self._request_rng.expovariate(self.load.job_rate)
            self._clock.call_later(pause, self._add_job)

    def _report_counts(self) -> None:
        """Send the counts of teams of each entry to all others."""
        self._version += 1
        reported = [entry.limits.counts for entry in self._entries]
        sent_at = self.uptime()
        version = self._version
        receivers = list(self._entries)

        def deliver() -> None:
            for number, entry in enumerate(receivers):
                for other, counts in enumerate(reported):
                    if number != other:
                        name = NodeName(f'e-{other}')
                        entry.limits.receive(name, counts, version, sent_at)

        self._clock.call_later(self.load.team_report_age, deliver)
        self._clock.call_later(_REPORT_INTERVAL_SECONDS, self._report_counts)

    def _generate_requests(self) -> None:
        """Send a request and schedule the next one."""
        load = self.load
        now = self._clock.now
        if now >= load.duration:
            return
        offset = now % load.period
        phase = [factor for start, factor in load.phases if start <= offset][-1]
        rates = [rate * phase for rate in load.usual_rates]
        for surge in load.surges:
            if surge.start <= now < surge.end:
                for team in surge.teams:
                    rates[team] *= surge.factor
        if now and sum(rates):
            team = self._request_rng.choices(range(len(rates)), rates)[0]
            seconds = load.run_seconds * self._request_rng.uniform(0.6, 1.4)
            self._attempt(_Request(team, now, seconds))
        pause = self._request_rng.expovariate(sum(rates) or 10)
        self._clock.call_later(
            min(pause, 0.2) if now else pause, self._generate_requests
        )

    def _draw_entry(self, team: int) -> _Entry:
        if self.load.draw_entry is not None:
            return self._entries[self.load.draw_entry(team, self._rng)]
        return self._rng.choice(self._entries)

    def _attempt(self, request: _Request) -> None:
        load = self.load
        entry = self._draw_entry(request.team)
        team = load.teams[request.team]
        request.attempts += 1
        request.sent_at = self._clock.now
        wait = entry.limits.take(team)
        if wait > 0:
            retry_after = wait + self._rng.random() * max(wait, 0.2)
            self._retry(request, retry_after, 'over_limit')
            return
        remaining = self._remaining(request)
        share_use = entry.shares.share_use(team) if entry.shares else ShareUse()
        chosen = self._choose()
        behind_queue = entry.queue_policy.is_ahead_of(share_use)
        admission_request = admission.AdmissionRequest(
            load.latency_target, remaining, share_use, behind_queue
        )
        refusal = admission.check_admission(
            admission_request, chosen.wait, self._rng.random
        )
        if refusal is None:
            self._send(request, chosen.view, entry)
            return
        retried = remaining < load.timeout * 0.97
        if (
            retried
            and self._overload is OverloadPolicy.QUEUE_AT_ENGINE
            and chosen.wait < 1.5
        ):
            self._send(request, chosen.view, entry)
            return
        if (
            retried
            and self._overload is OverloadPolicy.QUEUE_AT_ENTRY
            and self._enqueue(entry, request, share_use)
        ):
            return
        self._refuse(entry, request, refusal.retry_after)

    def _refuse(
        self, entry: _Entry, request: _Request, retry_after: float
    ) -> None:
        entry.limits.refund(self.load.teams[request.team])
        self.tally.unneeded_refusals += any(
            len(engine.running) - sum(engine.batch.values()) < self.load.slots
            and not engine._queue
            for engine in self._fleet.ready
        )
        self._retry(request, retry_after, 'lost')

    def _retry(
        self, request: _Request, retry_after: float, outcome: str
    ) -> None:
        remaining = self._remaining(request)
        if request.attempts > 1 or retry_after > remaining:
            self.tally.second_refusals += request.attempts > 1
            self._count(request, outcome)
            return
        pause = min(retry_after, remaining * _MAX_RETRY_AFTER_SHARE)
        self._clock.call_later(pause, lambda: self._attempt(request))

    def _remaining(self, request: _Request) -> float:
        return self.load.timeout - (self._clock.now - request.first_sent_at)

    def _choose(self) -> placement.Placement:
        snapshot = self._fleet.snapshot(self._fleet.draw_age())
        batch = [sum(counts) for counts in zip(*snapshot.batch, strict=True)]
        views = [
            EngineView(
                engine.engine, snapshot.online[False][number], batch[number]
            )
            for number, engine in enumerate(self._fleet.engines)
            if engine in self._fleet.ready
        ]
        chosen = placement.choose_engine(views, self._traffic, self._rng.random)
        assert chosen is not None
        return chosen

    def _send(self, request: _Request, view: EngineView, entry: _Entry) -> None:
        engine = self._fleet.find(view.engine)
        engine.add(
            Run(
                engine,
                request.seconds,
                0,
                lambda started_at: self._on_start(request, started_at),
                lambda _ended_at: entry.queue_policy.record_finished(),
            )
        )

    def _on_start(self, request: _Request, started_at: float) -> None:
        first_event_at = started_at + FIRST_EVENT_SECONDS + _NETWORK_SECONDS
        if first_event_at - request.sent_at > _READ_TIMEOUT_SECONDS:
            self.tally.wasted_wait_seconds += _READ_TIMEOUT_SECONDS
            self._count(request, 'lost')
        elif first_event_at - request.sent_at > self.load.latency_target:
            self._count(request, 'late')
        else:
            self._count(
                request, 'in_time' if request.attempts == 1 else 'returned'
            )

    def _count(self, request: _Request, outcome: str) -> None:
        self.tally.outcomes[request.team][outcome] += 1

    def _enqueue(
        self, entry: _Entry, request: _Request, share_use: ShareUse
    ) -> bool:
        team = self.load.teams[request.team]
        send_by = self.uptime() + min(
            self._remaining(request),
            _READ_TIMEOUT_SECONDS - self.load.latency_target,
        )
        queued = QueuedRequest(
            team.name,
            self.uptime(),
            send_by,
            self.load.latency_target,
            (team.priority, 0),
            share_use,
        )
        if entry.queue_policy.rejection_reason(queued) is not None:
            return False
        entry.queue_policy.add(queued)
        entry.queued[queued] = request
        self.tally.max_queued = max(self.tally.max_queued, len(entry.queued))
        if not entry.polling:
            entry.polling = True
            self._clock.call_later(
                _QUEUE_POLL_SECONDS, lambda: self._poll_queue(entry)
            )
        return True

    def _poll_queue(self, entry: _Entry) -> None:
        for queued in entry.queue_policy.expired():
            self._expire(entry, queued)
        first = rank(entry.queued)
        if first:
            chosen = self._choose()
            released = entry.queue_policy.release(chosen.wait)
            if released is not None:
                self._send(entry.queued.pop(released), chosen.view, entry)
        entry.polling = bool(entry.queued)
        if entry.polling:
            self._clock.call_later(
                _QUEUE_POLL_SECONDS, lambda: self._poll_queue(entry)
            )

    def _expire(self, entry: _Entry, queued: QueuedRequest) -> None:
        entry.queue_policy.remove(queued)
        request = entry.queued.pop(queued)
        self.tally.wasted_wait_seconds += self.uptime() - queued.queued_at
        self._refuse(entry, request, 0.1)
