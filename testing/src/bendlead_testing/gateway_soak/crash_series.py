"""Engines that crash in a dense series beside items that all share a part."""

import base64
import hashlib
import itertools
import json
import random
import time
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

import gevent

from bendlead_testing.gateway_soak.callers import Callers
from bendlead_testing.gateway_soak.deployment import Deployment
from bendlead_testing.gateway_soak.plan import WARM_SECONDS, Step
from bendlead_testing.gateway_soak.sightings import (
    JobSeen,
    Sightings,
)

#: How long engines crash, and the time before the first one.
_SERIES_SECONDS = 12.0
_LEAD_SECONDS = 2.0
_JOBS = 12
_JOB_ITEMS = 10
_SECOND_PARTS = 4
#: Events of an item of 6 s and of 1.2 s; engines live 3 s on average where one
#: of six crashes each 0.5 s.
_LONG_ITEM = 300
_SHORT_ITEM = 60
_READ_PAUSE_SECONDS = 0.4
_SUBMIT_PAUSE_SECONDS = 0.2


class CrashShare(Enum):
    """How many of the engines crash at once."""

    ONE = 'one'
    THIRD = 'third'
    ALL = 'all'

    def count(self, engines: int) -> int:
        """Return the number of engines."""
        parts = {CrashShare.THIRD: 3, CrashShare.ALL: 1}
        return max(1, engines // parts.get(self, engines))


class Aftermath(Enum):
    """What happens once no engine crashes any more."""

    CALM = 'calm'
    STOP_OWNER = 'stop owner'
    RESTART_ENTRY = 'restart entry'


@dataclass(frozen=True)
class CrashSeries:
    """Crashes a pause apart; times are in seconds."""

    share: CrashShare = CrashShare.ONE
    pause: float = 0.5
    down: float = 0.4
    #: Whether items take longer than engines live.
    long_items: bool = True
    aftermath: Aftermath = Aftermath.CALM


#: All rows of the table that is played by hand.
EVERY_SERIES = tuple(
    CrashSeries(*row)
    for row in itertools.product(
        CrashShare,
        (0.3, 0.5, 1.0),
        (0.4, 2.0),
        (True, False),
        Aftermath,
    )
)


def draw_crashes(
    series: CrashSeries, fleet: Deployment, seed: int
) -> list[Step]:
    """Draw which engines crash when, and what happens behind."""
    chance = random.Random(f'{seed} crash series')
    names = [engine.name for engine in fleet.engines]
    steps = []
    at = WARM_SECONDS + _LEAD_SECONDS
    until = at + _SERIES_SECONDS
    while at < until:
        for name in chance.sample(names, series.share.count(len(names))):
            steps.append(Step(at, 'kill engine', name, series.down))
        at += series.pause
    target = {
        Aftermath.STOP_OWNER: fleet.owners[0].name,
        Aftermath.RESTART_ENTRY: fleet.entries[0].name,
    }.get(series.aftermath)
    if target:
        steps.append(Step(until + 1, 'stop', target, 1.0))
    return steps


class SeriesJobs:
    """Submit all jobs before the first crash, and read them to their end."""

    def __init__(
        self, callers: Callers, seen: Sightings, series: CrashSeries
    ) -> None:
        self._callers = callers
        self._seen = seen
        self._events = _LONG_ITEM if series.long_items else _SHORT_ITEM

    def start(self) -> Sequence[gevent.Greenlet]:
        """Start the client of each job."""
        return [gevent.spawn(self._run, number) for number in range(_JOBS)]

    def _run(self, number: int) -> None:
        gevent.sleep(WARM_SECONDS)
        items = {
            self._callers.name('i'): self._events for _item in range(_JOB_ITEMS)
        }
        bodies = {
            item: hashlib.sha256(item.encode()).hexdigest() for item in items
        }
        seen = JobSeen(self._callers.name('j'), items, bodies)
        self._seen.jobs[seen.job] = seen
        while not self._submit(seen, f's{number % _SECOND_PARTS}'):
            gevent.sleep(_SUBMIT_PAUSE_SECONDS)
        while len(seen.results) < len(items):
            gevent.sleep(_READ_PAUSE_SECONDS)
            self._read_results(seen)

    def _submit(self, seen: JobSeen, part: str) -> bool:
        items = [
            {
                'id': item,
                'path': f'/jobs/{item}',
                'headers': {
                    'X-Token-Usage': f'10,{events}',
                    'X-Prompt-Prefix': f'jobs:9,{part}:9,{item[:8]}:9',
                },
                'body': base64.b64encode(item.encode()).decode(),
                'tokens': events,
            }
            for item, events in seen.items.items()
        ]
        status, _body = self._callers.call(
            'POST',
            '/jobs/',
            json.dumps({'items': items}).encode(),
            [('X-Attempt-Id', seen.job)],
        )
        seen.statuses.append(status)
        if status == 202:
            seen.accepted = time.monotonic()
        return status == 202

    def _read_results(self, seen: JobSeen) -> None:
        start = len(seen.results)
        status, body = self._callers.call(
            'GET', f'/-/lots/{seen.job}?watch_after={start}'
        )
        if status != 200:
            return
        found = json.loads(body)['results']
        for position, one in enumerate(found, start):
            shown = (one['id'], one['state'], one['text'])
            seen.results[position] = shown
