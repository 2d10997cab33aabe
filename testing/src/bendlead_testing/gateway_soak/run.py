"""Run one seed: a fleet, its clients, its disruptions, and the checks."""

import math
import random
import sys
import time
from collections import Counter
from collections.abc import Sequence
from contextlib import ExitStack
from dataclasses import dataclass
from typing import Any

import gevent
from gevent.pool import Group

from bendlead_testing.gateway_soak.callers import HOST
from bendlead_testing.gateway_soak.clients import (
    ALIKE_CALLERS,
    RESUMES,
    RESUMES_IN_RELEASES,
    Clients,
)
from bendlead_testing.gateway_soak.crash_series import (
    CrashSeries,
    draw_crashes,
)
from bendlead_testing.gateway_soak.deployment import Deployment
from bendlead_testing.gateway_soak.disruptions import EVERY_DISRUPTION
from bendlead_testing.gateway_soak.engine_journal import (
    EngineJournal,
    read_journal,
)
from bendlead_testing.gateway_soak.owners import ask_owed, find_holders
from bendlead_testing.gateway_soak.plan import (
    CHANGE,
    WARM_SECONDS,
    Step,
    draw_lanes,
    draw_stops,
)
from bendlead_testing.gateway_soak.promises import Breach, check
from bendlead_testing.gateway_soak.released_promises import find_released
from bendlead_testing.gateway_soak.releases import draw_releases
from bendlead_testing.gateway_soak.sightings import (
    CONTACT_SECONDS,
    ENGINE_ENDED,
    FINISH_SECONDS,
    RELEASED_SECONDS,
    ROUTE_SECONDS,
    Kind,
    Sightings,
    Trouble,
)
from bendlead_testing.gateway_soak.silences import Silence, draw_silences
from bendlead_testing.gateway_soak.steps import check_steps
from bendlead_testing.gateway_soak.teams import SoakTeam
from bendlead_testing.task_deaths import TaskDeaths, tracebacks_in

#: Calm at the end, in which everything must be served again (s).
_CALM_SECONDS = CONTACT_SECONDS + 4.0
#: The same where engines crash in a series or for a time: requests are served
#: again.
_SERIES_CALM_SECONDS = RELEASED_SECONDS + 4.0
#: Clients of a hot team for each other one.
_HOT_TIMES = 4
#: Most requests a second of a hot team, in every other configuration.
_HOT_RATE = 30
#: Clients of jobs read this long (s) after traffic has ended; it is the time in
#: which jobs finish where engines crash in a series.
_DRAIN_SECONDS = 32.0
_ITEM_ATTEMPTS = 3


@dataclass(frozen=True)
class Size:
    """Say how many processes and clients there are."""

    entries: int = 3
    owners: int = 3
    engines: int = 4
    online: int = 12
    batch: int = 2
    #: Clients whose request ends each engine that runs it.
    deadly: int = 0
    #: Whether engines differ, teams compete, and readers are slow.
    hard: bool = False
    #: Versions of engines that serve side by side.
    versions: int = 1
    #: Whether engines end answers in all ways.
    ends: bool = False
    #: Clients of requests with a part on which engines end.
    deadly_part: int = 0
    #: Whether all entries are told to stop, one soon after the other.
    stops: bool = False
    #: Engines at which a request of each route may run.
    attempts: int = 3
    #: Crashes of engines in place of all other steps.
    series: CrashSeries | None = None
    #: Requests that an engine runs at once.
    slots: int = 4
    #: The same for streams that can't be taken up, 0 for as many as others.
    stream_attempts: int = 0
    #: Share of items with a part on which engines end; without it items tell
    #: no parts.
    deadly_items: float | None = None
    #: How often clients send requests with that part again.
    retries: int = 0
    #: How many series of disruptions run beside each other.
    lanes: int = 1
    #: Whether engines are released while an entry is out of step.
    releases: bool = False
    #: For how long engines end under deadly requests and parts.
    deadly_seconds: float = math.inf
    #: Clients of one sound request that all send alike.
    alike: int = 0

    @property
    def deadly_for_a_time(self) -> bool:
        """Tell whether deadly requests and parts are sound in the end."""
        return math.isfinite(self.deadly_seconds)

    @property
    def calm_seconds(self) -> float:
        """Give how long the calm at the end is."""
        if self.deadly_for_a_time and self.deadly_items is not None:
            return max(FINISH_SECONDS, _SERIES_CALM_SECONDS)
        if self.deadly_for_a_time or self.series or self.alike:
            return _SERIES_CALM_SECONDS
        return _CALM_SECONDS

    def busy_seconds(self, seconds: float) -> float:
        """Give how long disruptions and deadly requests go on."""
        deadly = self.deadly_seconds if self.deadly_for_a_time else 0
        return max(WARM_SECONDS + seconds, deadly)


@dataclass(frozen=True)
class Outcome:
    """Hold what a run came to."""

    seed: int
    breaches: Sequence[Breach]
    counts: dict[str, Any]
    folder: str


def run(
    seed: int,
    seconds: float,
    size: Size,
    steps: Sequence[Step] | None = None,
) -> Outcome:
    """Run a seed, or given steps, and check every promise."""
    chance = random.Random(seed)
    fleet = Deployment(
        size.entries,
        size.owners,
        size.engines,
        hard=size.hard,
        versions=size.versions,
        ends=size.ends,
        parts=size.deadly_part > 0
        or size.series is not None
        or size.deadly_items is not None,
        slots=size.slots,
        deadly_seconds=size.deadly_seconds,
    )
    silences: Sequence[Silence] = ()
    if size.series is None:
        silences = draw_silences(
            seed,
            size.engines,
            WARM_SECONDS,
            size.busy_seconds(seconds) + size.calm_seconds,
        )
    standing = Group()
    deaths = TaskDeaths()
    watch = ExitStack()
    seen = Sightings()
    seen.max_attempts = size.attempts
    if size.stream_attempts:
        seen.attempts_of[Kind.STREAM] = size.stream_attempts
    operator = _Operator(fleet, seen)
    resumes = RESUMES_IN_RELEASES if size.releases else RESUMES
    clients = Clients(fleet, seen, chance, resumes)
    try:
        planned = _plan(seed, chance, fleet, seconds, size, steps)
        watch.enter_context(deaths.watched())
        operator.change()
        fleet.start()
        seen.deadly_until = fleet.deadly_until
        # What is sound in the end is asked for until the end.
        asked = math.inf if size.deadly_for_a_time else WARM_SECONDS + seconds
        clients.start(size.online, size.batch, size.deadly_items, asked)
        if size.hard:
            clients.start_hot(size.online * _HOT_TIMES)
        clients.start_deadly(size.deadly, asked)
        if size.series:
            clients.start_series(size.series)
        beside_series = ALIKE_CALLERS if size.series else 0
        clients.start_alike(size.alike or beside_series)
        clients.start_deadly_part(size.deadly_part, asked, size.retries)
        standing.spawn(_play_silences, fleet, silences, standing)
        until = time.monotonic() + size.busy_seconds(seconds)
        _play(fleet, seen, operator, planned, chance)
        # Clients of bad requests end here also where few steps are given.
        gevent.sleep(max(0, until - time.monotonic()))
        gevent.sleep(size.calm_seconds)
        seen.owed = ask_owed(fleet)
        clients.stop(FINISH_SECONDS if size.series else _DRAIN_SECONDS)
        seen.owed_at_end = ask_owed(fleet)
        seen.holders = find_holders(fleet, list(seen.jobs.values()))
        _note_ends(fleet, seen)
    finally:
        standing.kill()
        fleet.stop()
        watch.close()
    seen.deaths.extend(deaths.shown)
    _note_tracebacks(fleet, seen)
    journal = read_journal(fleet.journal)
    seen.troubles.extend(_engine_ends(journal))
    return Outcome(
        seed,
        check(seen, journal),
        _count(seen, planned) | _count_ends(journal) | _show_owed(seen),
        str(fleet.folder),
    )


def _plan(
    seed: int,
    chance: random.Random,
    fleet: Deployment,
    seconds: float,
    size: Size,
    steps: Sequence[Step] | None,
) -> list[Step]:
    if steps is None:
        planned = draw_lanes(chance, fleet, seconds, size.lanes)
    else:
        check_steps(steps, fleet)
        planned = list(steps)
    if size.stops:
        planned = draw_stops(seed, fleet, seconds)
    if size.series:
        planned = draw_crashes(size.series, fleet, seed)
    if size.releases:
        planned = draw_releases(seed, fleet, seconds)
    return planned


def _engine_ends(journal: EngineJournal) -> list[Trouble]:
    return [
        Trouble(
            ENGINE_ENDED,
            one['engine'],
            one['at'],
            one['at'] + CONTACT_SECONDS,
        )
        for one in journal.crashes
    ]


def _count_ends(journal: EngineJournal) -> dict[str, int]:
    endings = Counter(
        line['ending'] for lines in journal.ends.values() for line in lines
    )
    return {
        'unframed': journal.unframed,
        'unframed_broken': endings['broken-off-unframed'],
        'reset': endings['reset'],
        'crashes': len(journal.crashes),
        'silences': journal.silences,
    }


def _show_owed(seen: Sightings) -> dict[str, Any]:
    """Show what each owner owed, or that its state does not tell it."""
    shown = {}
    for when, owed in (('owed', seen.owed), ('owed_at_end', seen.owed_at_end)):
        shown[when] = {
            owner: one.dump or 'not in its state' for owner, one in owed.items()
        }
    return {**shown, 'held': len(seen.holders)}


_WIRE_KINDS = {
    Kind.ONCE: 'unsafe',
    Kind.SAFE: 'safe',
    Kind.STREAM: 'streaming',
    Kind.RESUMABLE: 'streaming',
    None: 'batch',
}


class _Operator:
    """Write configurations; each version brings a route and drops one."""

    def __init__(self, fleet: Deployment, seen: Sightings) -> None:
        self._fleet = fleet
        self._seen = seen
        self._version = 0

    def change(self) -> None:
        """Write the next version."""
        self._version += 1
        routes = [self._route(kind.value, kind) for kind in Kind]
        routes.append(self._route('/jobs/', None))
        for version in (self._version - 1, self._version):
            if version:
                routes.append(self._route(f'/version-{version}/', Kind.SAFE))
        self._fleet.store.set(
            'config',
            'main',
            {
                'version': self._version,
                'routes': routes,
                'services': [{'name': 's1'}],
                'tenants': self._teams(),
            },
        )
        self._seen.versions[self._version] = time.monotonic()

    def _teams(self) -> list[dict[str, Any]]:
        """Describe the teams; the limit of the hot one comes and goes."""
        if not self._fleet.hard:
            return []
        rate = _HOT_RATE if self._version % 2 else 0
        return [SoakTeam.QUIET.configure(0), SoakTeam.HOT.configure(rate)]

    def _attempts(self, kind: Kind | None) -> int:
        if kind is None:
            return _ITEM_ATTEMPTS
        return self._seen.attempts_of.get(kind, self._seen.max_attempts)

    def _route(self, prefix: str, kind: Kind | None) -> dict[str, Any]:
        return {
            'name': prefix.strip('/'),
            'host': HOST,
            'path_prefix': prefix,
            'kind': _WIRE_KINDS[kind],
            'timeout_ms': round(ROUTE_SECONDS * 1000),
            'target_latency_ms': 400,
            'service': 's1',
            'max_attempts': self._attempts(kind),
            'resumable': kind is Kind.RESUMABLE,
            'gap_target_ms': 200,
            'run_target_ms': 20_000,
            'retention_s': 120,
            'max_queued_tokens': 100_000,
        }


def _play_silences(
    fleet: Deployment, silences: Sequence[Silence], standing: Group
) -> None:
    """Have engines stand still as planned."""
    began = time.monotonic()
    for one in silences:
        gevent.sleep(max(0, began + one.at - time.monotonic()))
        engine = fleet.engines[one.engine]
        standing.spawn(fleet.stand_still, engine, one.seconds)


def _play(
    fleet: Deployment,
    seen: Sightings,
    operator: _Operator,
    steps: Sequence[Step],
    chance: random.Random,
) -> None:
    began = time.monotonic()
    tasks = []
    for step in steps:
        gevent.sleep(max(0, began + step.at - time.monotonic()))
        sys.stderr.write(f'{step.at:6.1f} {step.name}: {step.target}\n')
        if step.name == CHANGE:
            trouble = seen.begin(step.name, step.target, planned=True)
            operator.change()
            trouble.ended = time.monotonic()
        else:
            tasks.append(gevent.spawn(_disrupt, fleet, seen, step, chance))
    gevent.joinall(tasks)
    # A disruption may be healed by another's end: nothing stays broken.
    for process in fleet.all():
        process.start()
    gevent.sleep(max(0, began + WARM_SECONDS - time.monotonic()))


def _disrupt(
    fleet: Deployment, seen: Sightings, step: Step, chance: random.Random
) -> None:
    kind = EVERY_DISRUPTION[step.name]
    trouble = seen.begin(step.name, step.target, planned=kind.planned)
    try:
        heal = kind.begin(fleet, step.target, chance)
        gevent.sleep(step.seconds)
        heal()
    except Exception as error:
        error.add_note(f'in {step.name}: {step.target}')
        raise
    trouble.ended = time.monotonic() + (0 if kind.planned else CONTACT_SECONDS)


def _note_ends(fleet: Deployment, seen: Sightings) -> None:
    if not fleet.links_run:
        seen.deaths.append('the process of the links does not run at the end')
    for name, process in fleet.nodes.items():
        if not process.running:
            seen.unasked_ends.append(f'{name} does not run at the end')
        peak = process.peak_mb
        if peak:
            seen.peaks[name] = peak
        for code in process.unasked_ends:
            seen.unasked_ends.append(f'{name} ended by itself with {code}')


def _note_tracebacks(fleet: Deployment, seen: Sightings) -> None:
    for name, node in fleet.nodes.items():
        seen.tracebacks[name] = tracebacks_in(node.log)
    others = {one.name: one.process.log for one in fleet.engines}
    for name, log in (others | {'links': fleet.links_log}).items():
        seen.deaths.extend(f'{name}: {line}' for line in tracebacks_in(log))


def _count(seen: Sightings, steps: Sequence[Step]) -> dict[str, int]:
    told = Counter(one.status for one in seen.attempts if one.whole)
    return {
        'steps': len(steps),
        'requests': len(seen.attempts),
        'served': told[200],
        'refused': told[503] + told[429],
        'nobody': told[599],
        'resumed': sum(bool(one.resumes) for one in seen.attempts),
        'went_on': sum(one.went_on for one in seen.attempts),
        'jobs': len(seen.jobs),
        'accepted': sum(bool(one.accepted) for one in seen.jobs.values()),
        'items': sum(len(one.results) for one in seen.jobs.values()),
        'versions': len(seen.versions),
        'alike': sum(one.alike for one in seen.attempts),
        'released': sum(
            one.status == 200
            for sent in find_released(seen).values()
            for one in sent
        ),
    }
