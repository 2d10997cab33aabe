"""Clients that hand batch jobs in and read them to their end."""

import base64
import hashlib
import json
import random
import time

import gevent

from bendlead_testing.gateway_soak.answers import (
    DEADLY_PART,
    DEADLY_PART_MARK,
)
from bendlead_testing.gateway_soak.callers import Callers
from bendlead_testing.gateway_soak.sightings import JobSeen, Sightings

_JOB_PAUSE = (0.5, 2.0)
_JOB_ITEMS = (2, 8)
_JOB_TRIES = 12
_JOB_DUE = 30.0
_POISON_SHARE = 0.06
_ENDED_SHARE = 0.15
_READ_PAUSE = 0.4
#: How long jobs are read at least once clients hand no more in (s).
_LAST_READS_SECONDS = 2.0
_SETTLED = 2.0


class JobClient:
    """Hand jobs in, read their results, and end some of them."""

    def __init__(
        self,
        callers: Callers,
        seen: Sightings,
        chance: random.Random,
        deadly_items: float | None = None,
        asked_seconds: float = 0,
    ) -> None:
        """Take the share of items with a part on which engines end.

        With ``None`` no item tells its parts. There are such items for a time
        only: the calm at the end is without them where engines end for ever.
        """
        self._callers = callers
        self._seen = seen
        self._chance = chance
        self._deadly_items = deadly_items
        self._asked_until = time.monotonic() + asked_seconds
        #: Jobs of which only items with that part are not listed.
        self._open: list[JobSeen] = []

    def run(self) -> None:
        """Hand jobs in until told to stop."""
        while self._callers.going:
            gevent.sleep(self._chance.uniform(*_JOB_PAUSE))
            self._job()
        self._read_open()

    def _job(self) -> None:
        job = self._callers.name('j')
        items: dict[str, int] = {}
        for _number in range(self._chance.randint(*_JOB_ITEMS)):
            poison = ''
            if self._chance.random() < _POISON_SHARE:
                poison = self._chance.choice(('-bad422', '-bad500'))
            elif self._draws_deadly_part():
                poison = DEADLY_PART_MARK
            items[self._callers.name('i') + poison] = self._chance.randint(
                5, 40
            )
        bodies = {
            item: hashlib.sha256(item.encode()).hexdigest() for item in items
        }
        seen = JobSeen(
            job, items, bodies, marked_owed=self._seen.deadly_for_a_time
        )
        self._seen.jobs[job] = seen
        if not self._submit(seen):
            return
        ends = self._chance.random() < _ENDED_SHARE
        due = time.monotonic() + _JOB_DUE
        while time.monotonic() < due and seen.sound_missing:
            gevent.sleep(_READ_PAUSE)
            if ends and self._end(seen):
                break
            self._read_results(seen)
        self._read_results(seen, at=0)
        if seen.missing and not seen.sound_missing and not seen.end_answered:
            self._open.append(seen)

    def _read_open(self) -> None:
        """Read what became of items that crashed engines for a time."""
        last_reads = time.monotonic() + _LAST_READS_SECONDS
        while self._open:
            for seen in self._open:
                self._read_results(seen, at=0)
            now = time.monotonic()
            self._open = [
                one
                for one in self._open
                if one.missing
                and now < max(last_reads, one.accepted + _JOB_DUE)
            ]
            gevent.sleep(_READ_PAUSE if self._open else 0)

    def _submit(self, seen: JobSeen) -> bool:
        body = json.dumps(
            {
                'items': [
                    {
                        'id': item,
                        'path': f'/jobs/{item}',
                        'headers': {
                            'X-Token-Usage': f'10,{total}',
                            **self._prompt(item),
                        },
                        'body': _base64(item),
                        'tokens': total,
                    }
                    for item, total in seen.items.items()
                ]
            }
        ).encode()
        for _try in range(_JOB_TRIES):
            status, _body = self._callers.call(
                'POST', '/jobs/', body, [('X-Attempt-Id', seen.job)]
            )
            seen.statuses.append(status)
            if status == 202:
                seen.accepted = time.monotonic()
                return True
            if not self._callers.going:
                return False
            gevent.sleep(self._chance.uniform(*_JOB_PAUSE) / 2)
        return False

    def _draws_deadly_part(self) -> bool:
        # Runs without parts keep the draws of their seeds.
        if not self._deadly_items or time.monotonic() > self._asked_until:
            return False
        return self._chance.random() < self._deadly_items

    def _prompt(self, item: str) -> dict[str, str]:
        if self._deadly_items is None:
            return {}
        deadly = item.endswith(DEADLY_PART_MARK)
        return dict([self._callers.prompt(DEADLY_PART if deadly else '')])

    def _read_results(self, seen: JobSeen, at: int | None = None) -> None:
        start = at
        if start is None:
            start = len(seen.results)
            if self._chance.random() < 0.1:
                start = self._chance.randint(0, start)
        asked = time.monotonic()
        status, body = self._callers.call(
            'GET', f'/-/lots/{seen.job}?watch_after={start}'
        )
        if status in {404, 410} and asked > seen.accepted + _SETTLED:
            seen.wrongs.append(f'job {seen.job}: {status} when read')
        if status != 200:
            return
        found = json.loads(body)
        if found['total'] != len(seen.items):
            seen.wrongs.append(f'job {seen.job}: total {found["total"]}')
        for position, one in enumerate(found['results'], start):
            shown = (one['id'], one['state'], one['text'])
            before = seen.results.setdefault(position, shown)
            if before != shown:
                seen.wrongs.append(f'job {seen.job}: {position} changed')
        self._read_body(seen)

    def _read_body(self, seen: JobSeen) -> None:
        listed = {name for name, _state, _text in seen.results.values()}
        waiting = [item for item in seen.items if item not in listed]
        if not waiting or self._chance.random() > 0.2:
            return
        item = self._chance.choice(waiting)
        status, body = self._callers.call(
            'GET', f'/-/items/{seen.job}?id={item}'
        )
        if status == 200 and body != item.encode():
            seen.wrongs.append(f'item {item}: wrong body')

    def _end(self, seen: JobSeen) -> bool:
        status, _body = self._callers.call('DELETE', f'/-/lots/{seen.job}')
        if status == 200:
            seen.end_answered = time.monotonic()
        return status == 200


def _base64(text: str) -> str:
    return base64.b64encode(text.encode()).decode()
