"""Clients that keep connections and know the right answers."""

import hashlib
import itertools
import random
import time
from collections.abc import Sequence
from dataclasses import replace

import gevent
from bendlead_gateway.http import HttpConnection

from bendlead_testing.gateway_soak.answers import (
    DEADLY,
    DEADLY_PART,
    DEADLY_PART_MARK,
)
from bendlead_testing.gateway_soak.callers import HOST, Callers
from bendlead_testing.gateway_soak.crash_series import CrashSeries, SeriesJobs
from bendlead_testing.gateway_soak.deployment import Deployment, NodeSpot
from bendlead_testing.gateway_soak.job_clients import JobClient
from bendlead_testing.gateway_soak.sightings import (
    DEADLINE_SECONDS,
    Attempt,
    Kind,
    Probe,
    Sightings,
)
from bendlead_testing.gateway_soak.teams import SoakTeam

#: The same for requests that are judged by their status alone.
_PROBE_SECONDS = 2.0
_PAUSE = (0.02, 0.25)
#: A hot team's clients send one request after the other.
_HOT_PAUSE = (0.0, 0.02)
_EVENTS = (3, 20)
#: Part of the requests that run for 1.6 to 3 s: only with these is an entry
#: that was told to stop busy for as long as it takes clients.
_LONG_SHARE = 0.12
_LONG_EVENTS = (80, 150)
#: The same of streams that are taken up, where engines are of several versions.
_LONG_RESUMABLE_SHARE = 0.5
#: Part of the requests that their client gives up early.
_LEFT_SHARE = 0.08
#: Part of the requests whose client reads slowly, where load is hard, and its
#: pause after each part (s).
_SLOW_SHARE = 0.05
_SLOW_PAUSE = 0.15
_KEPT_SHARE = 0.7
#: How often a client takes a stream up, the same where it goes on after
#: refusals, and its pause before each time (s).
RESUMES = 2
RESUMES_IN_RELEASES = 8
_RESUME_PAUSE = (0.0, 0.3)
_DEADLY_PAUSE = (0.2, 0.8)
#: Callers of one request that all send alike beside a series of crashes, its
#: events (2 s), and the pause before each.
ALIKE_CALLERS = 3
_ALIKE_EVENTS = 100
_ALIKE_PAUSE = (0.1, 0.5)


class Clients:
    """Run all kinds of clients and note what they see."""

    def __init__(
        self,
        fleet: Deployment,
        seen: Sightings,
        chance: random.Random,
        resumes: int = RESUMES,
    ) -> None:
        self._resumes = resumes
        self._fleet = fleet
        self._seen = seen
        self._chance = chance
        self._callers = Callers(fleet, seen, chance)
        self._tasks: list[gevent.Greenlet] = []
        self._jobs: list[gevent.Greenlet] = []

    def start(
        self,
        online: int,
        batch: int,
        deadly_items: float | None = None,
        asked_seconds: float = 0,
    ) -> None:
        """Start clients of requests and of batch jobs."""
        self._callers.balancer.run()
        self._start_online(online, SoakTeam.QUIET)
        for _number in range(batch):
            jobs = JobClient(
                self._callers,
                self._seen,
                self._chance,
                deadly_items,
                asked_seconds,
            )
            self._jobs.append(gevent.spawn(jobs.run))
        self._tasks.append(gevent.spawn(self._probe))

    def start_hot(self, count: int) -> None:
        """Start clients of a team that rests until it is hot."""
        self._start_online(count, SoakTeam.HOT)

    def start_deadly(self, count: int, seconds: float) -> None:
        """Start clients of requests under which engines end."""
        until = time.monotonic() + seconds
        for number in range(count):
            task = gevent.spawn(self._repeat_deadly, number, until)
            self._tasks.append(task)

    def start_deadly_part(
        self, count: int, seconds: float, retries: int
    ) -> None:
        """Start clients of requests with a part on which engines end."""
        until = time.monotonic() + seconds
        for _number in range(count):
            task = gevent.spawn(self._send_deadly_part, until, retries)
            self._tasks.append(task)

    def start_series(self, series: CrashSeries) -> None:
        """Start clients of long jobs."""
        jobs = SeriesJobs(self._callers, self._seen, series)
        self._jobs.extend(jobs.start())

    def start_alike(self, count: int) -> None:
        """Start clients of requests that are all alike."""
        for _caller in range(count):
            self._tasks.append(gevent.spawn(self._send_alike))

    def _start_online(self, count: int, team: SoakTeam) -> None:
        kinds = itertools.cycle(Kind)
        if self._fleet.versions > 1:
            # Streams that can be taken up, above all.
            kinds = itertools.cycle((*Kind, *[Kind.RESUMABLE] * len(Kind)))
        for _number, kind in zip(range(count), kinds, strict=False):
            self._tasks.append(gevent.spawn(self._online, kind, team))

    def _repeat_deadly(self, number: int, until: float) -> None:
        """Send one request again and again, each time with a new id."""
        path = f'{Kind.RESUMABLE.value}deadly-{number}'
        while self._callers.going and time.monotonic() < until:
            gevent.sleep(self._chance.uniform(*_DEADLY_PAUSE))
            name = self._callers.name('x') + DEADLY
            entry = self._callers.entry()
            one = self._note_unjudged(name, entry, path)
            one.status = self._post(entry, path, name)

    def _send_deadly_part(self, until: float, retries: int) -> None:
        """Send requests that share a part, each of its own.

        Those that are sent again if they fail may run at several engines too.
        """
        kind = Kind.RESUMABLE if retries else Kind.STREAM
        while self._callers.going and time.monotonic() < until:
            gevent.sleep(self._chance.uniform(*_DEADLY_PAUSE))
            name = self._callers.name('y') + DEADLY_PART_MARK
            path = f'{kind.value}{name}'
            prompt = self._callers.prompt(DEADLY_PART)
            self._post_unjudged(name, path, prompt)
            for _retry in range(retries):
                name = self._callers.name('y') + DEADLY_PART_MARK
                self._post_unjudged(name, path, prompt)

    def _post_unjudged(
        self, name: str, path: str, prompt: tuple[str, str]
    ) -> None:
        entry = self._callers.entry()
        one = self._note_unjudged(name, entry, path)
        one.status = self._post(entry, path, name, [prompt])

    def _send_alike(self) -> None:
        """Send the same request as others, each time with a new id."""
        body = b'alike'
        while self._callers.going:
            gevent.sleep(self._chance.uniform(*_ALIKE_PAUSE))
            entry = self._callers.entry()
            connection = self._callers.connect(entry)
            if connection is None:
                continue
            one = Attempt(
                self._callers.name('a'),
                Kind.STREAM,
                entry.name,
                f'{Kind.STREAM.value}alike',
                hashlib.sha256(body).hexdigest(),
                time.monotonic(),
                _ALIKE_EVENTS,
                alike=True,
            )
            self._seen.attempts.append(one)
            self._send(one, connection, body, DEADLINE_SECONDS)
            connection.close()

    def stop(self, within: float) -> int:
        """Let jobs be read to their end; tell how many tasks went on."""
        self._callers.going = False
        gevent.joinall([*self._tasks, *self._jobs], timeout=within)
        left = [one for one in (*self._tasks, *self._jobs) if not one.ready()]
        gevent.killall(left)
        self._callers.balancer.stop()
        return len(left)

    def _online(self, kind: Kind, team: SoakTeam) -> None:
        """Send requests on one connection for as long as it is open."""
        hot = team is SoakTeam.HOT
        pause = _HOT_PAUSE if hot else _PAUSE
        while self._callers.going:
            if hot and not self._fleet.hot:
                gevent.sleep(_PAUSE[1])
                continue
            entry = self._callers.entry()
            connection = self._callers.connect(entry)
            kept = self._chance.random() < _KEPT_SHARE
            while connection is not None and self._callers.going:
                gevent.sleep(self._chance.uniform(*pause))
                self._ask(kind, team, entry, connection)
                rests = hot and not self._fleet.hot
                if rests or not kept or not connection.reusable:
                    break
            if connection is not None:
                connection.close()
            gevent.sleep(self._chance.uniform(*pause))

    def _ask(
        self,
        kind: Kind,
        team: SoakTeam,
        entry: NodeSpot,
        connection: HttpConnection,
    ) -> None:
        name = self._callers.name('r')
        long = self._chance.random() < self._long_share(kind)
        total = self._chance.randint(*(_LONG_EVENTS if long else _EVENTS))
        path = f'{kind.value}{name}'
        body = name.encode() * 3
        one = Attempt(
            name,
            kind,
            entry.name,
            path,
            hashlib.sha256(body).hexdigest(),
            time.monotonic(),
            total,
            team,
        )
        self._seen.attempts.append(one)
        patience = DEADLINE_SECONDS
        if self._chance.random() < _LEFT_SHARE:
            patience = self._chance.uniform(0.05, 0.4)
        self._send(one, connection, body, patience)
        if kind is Kind.RESUMABLE and self._fleet.versions > 1:
            self._resume(one, body)

    def _long_share(self, kind: Kind) -> float:
        """Tell which part of the requests is long; these are cut most."""
        if kind is Kind.RESUMABLE and self._fleet.versions > 1:
            return _LONG_RESUMABLE_SHARE
        return _LONG_SHARE

    def _resume(self, first: Attempt, body: bytes) -> None:
        """Take a stream up that broke off, as often as clients do."""
        persists = self._resumes > RESUMES
        latest = began = first
        for _time in range(self._resumes):
            broken = began.status == 200 and not began.whole
            gave_up = _left_early(first) if persists else latest.left
            if not broken or gave_up:
                return
            gevent.sleep(self._chance.uniform(*_RESUME_PAUSE))
            after = began.after + len(began.text.splitlines())
            entry = self._callers.entry()
            connection = self._callers.connect(entry)
            if connection is None and persists:
                continue
            if connection is None or not after:
                return
            latest = replace(
                first,
                request=self._callers.name('r'),
                entry=entry.name,
                sent=time.monotonic(),
                status=0,
                seal=None,
                left=0,
                text='',
                resumes=first.request,
                after=after,
            )
            self._seen.attempts.append(latest)
            self._send(latest, connection, body, DEADLINE_SECONDS)
            connection.close()
            if latest.status == 200 or not persists:
                began = latest

    def _send(
        self,
        one: Attempt,
        connection: HttpConnection,
        body: bytes,
        patience: float,
    ) -> None:
        headers = [
            ('Host', HOST),
            ('X-Attempt-Id', one.request),
            ('X-Token-Usage', f'10,{one.total}'),
            ('X-Deadline-Ms', str(int(DEADLINE_SECONDS * 1000))),
            one.team.header,
        ]
        if self._fleet.parts:
            headers.append(self._callers.prompt())
        if one.resumes:
            headers.append(('Last-Event-Id', str(one.after)))
            headers.append(('Resumes', one.resumes))
        timer = gevent.Timeout(patience)
        timer.start()
        try:
            connection.send('POST', one.path, headers, body, DEADLINE_SECONDS)
            self._read(one, connection)
        except OSError:
            # Closed or cut: what came before is judged as it stands.
            connection.close()
        except gevent.Timeout:
            one.left = time.monotonic()
            connection.close()
        finally:
            timer.close()
            one.ended = time.monotonic()

    def _read(self, one: Attempt, connection: HttpConnection) -> None:
        head = connection.read_head(DEADLINE_SECONDS)
        one.status = head.status
        one.seal = head.find('x-response-seal')
        gathered = b''
        slow = self._fleet.hard and self._chance.random() < _SLOW_SHARE
        try:
            for part in connection.read_parts(head, DEADLINE_SECONDS):
                gathered += part
                if slow:
                    gevent.sleep(_SLOW_PAUSE)
            one.whole = True
        finally:
            blocks = gathered.decode().split('\n\n')
            # What stands behind the last blank line is no whole event.
            one.text = '\n'.join(
                block.partition('data: ')[2] for block in blocks[:-1]
            )
        if (head.find('connection') or '').lower() == 'close':
            connection.close()

    def _probe(self) -> None:
        """Ask for routes that come and go with the configuration."""
        while self._callers.going:
            gevent.sleep(0.15)
            entry = self._chance.choice(self._fleet.entries)
            newest = max(self._seen.versions)
            version = max(1, newest - self._chance.randrange(4))
            life = self._fleet.nodes[entry.name].starts
            sent = time.monotonic()
            status = self._probe_once(entry, version)
            if status in {200, 404}:
                found = status == 200
                self._seen.probes.append(
                    Probe(entry.name, life, version, sent, found)
                )

    def _probe_once(self, entry: NodeSpot, version: int) -> int:
        name = self._callers.name('p')
        path = f'/version-{version}/{name}'
        # Probes are judged by their status alone.
        self._note_unjudged(name, entry, path)
        return self._post(entry, path, name)

    def _note_unjudged(self, name: str, entry: NodeSpot, path: str) -> Attempt:
        """Let engines get a request whose answer is judged elsewhere."""
        now = time.monotonic()
        body = hashlib.sha256(b'').hexdigest()
        one = Attempt(
            name,
            Kind.SAFE,
            entry.name,
            path,
            body,
            now,
            1,
            left=now,
            patience=_PROBE_SECONDS,
        )
        self._seen.attempts.append(one)
        return one

    def _post(
        self,
        entry: NodeSpot,
        path: str,
        name: str,
        extra: Sequence[tuple[str, str]] = (),
    ) -> int:
        """Send a request without a body on a new connection."""
        headers = [
            ('Host', HOST),
            ('X-Attempt-Id', name),
            ('X-Token-Usage', '1,1'),
            ('X-Deadline-Ms', str(int(_PROBE_SECONDS * 1000))),
            SoakTeam.QUIET.header,
            *extra,
        ]
        status, _body = self._callers.call_at(
            entry, 'POST', path, b'', headers, _PROBE_SECONDS
        )
        return status


def _left_early(one: Attempt) -> bool:
    """Tell whether a client left by choice, and not after all its time."""
    return 0 < one.left < one.sent + DEADLINE_SECONDS
