"""Clients that keep connections and know the right answers."""

import base64
import hashlib
import itertools
import json
import random
import time
from collections.abc import Sequence

import gevent
from bendlead_gateway.http import HttpConnection

from bendlead_testing.gateway_soak.answers import DEADLY
from bendlead_testing.gateway_soak.deployment import Deployment, NodeSpot
from bendlead_testing.gateway_soak.sightings import (
    Attempt,
    JobSeen,
    Kind,
    Probe,
    Sightings,
)

HOST = 'soak.example'
_DEADLINE_SECONDS = 4.0
_CONNECT_SECONDS = 1.0
_READY_SECONDS = 0.5
_MISSES = 2
_PAUSE = (0.02, 0.25)
_EVENTS = (3, 20)
#: Part of the requests that run for 1.6 to 3 s: only with these is an entry
#: that was told to stop busy for as long as it takes clients.
_LONG_SHARE = 0.12
_LONG_EVENTS = (80, 150)
#: Part of the requests that their client gives up early.
_LEFT_SHARE = 0.08
_KEPT_SHARE = 0.7
_JOB_PAUSE = (0.5, 2.0)
_JOB_ITEMS = (2, 8)
_JOB_TRIES = 12
_JOB_DUE = 30.0
_POISON_SHARE = 0.06
_ENDED_SHARE = 0.15
_READ_PAUSE = 0.4
_DEADLY_PAUSE = (0.2, 0.8)
_SETTLED = 2.0


class Balancer:
    """Ask entries whether they are ready, as the platform does."""

    def __init__(self, fleet: Deployment) -> None:
        self._entries = fleet.entries
        self._misses = {one.name: _MISSES for one in self._entries}
        self._tasks: list[gevent.Greenlet] = []

    @property
    def ready(self) -> Sequence[NodeSpot]:
        """List the entries that get new connections."""
        found = [
            one for one in self._entries if self._misses[one.name] < _MISSES
        ]
        return found or self._entries

    def run(self) -> None:
        """Ask until told to stop."""
        for entry in self._entries:
            self._tasks.append(gevent.spawn(self._ask, entry))

    def stop(self) -> None:
        """Ask no more: the ports go to the next run."""
        gevent.killall(self._tasks)

    def _ask(self, entry: NodeSpot) -> None:
        while True:
            if _status(entry.ready, '/-/readiness') == 200:
                self._misses[entry.name] = 0
            else:
                self._misses[entry.name] += 1
            gevent.sleep(_READY_SECONDS)


def _status(address: str, path: str) -> int:
    try:
        connection = HttpConnection(address, _READY_SECONDS)
    except OSError:
        return 0
    try:
        answered = connection.request('GET', path, (), b'', _READY_SECONDS)
    except OSError:
        return 0
    finally:
        connection.close()
    return answered.head.status


class Clients:
    """Run all kinds of clients and note what they see."""

    def __init__(
        self, fleet: Deployment, seen: Sightings, chance: random.Random
    ) -> None:
        self._fleet = fleet
        self._seen = seen
        self._chance = chance
        self._balancer = Balancer(fleet)
        self._numbers = itertools.count()
        self._tasks: list[gevent.Greenlet] = []
        self._jobs: list[gevent.Greenlet] = []
        self._going = True

    def start(self, online: int, batch: int) -> None:
        """Start clients of requests and of batch jobs."""
        self._balancer.run()
        kinds = itertools.cycle(Kind)
        for _number, kind in zip(range(online), kinds, strict=False):
            self._tasks.append(gevent.spawn(self._online, kind))
        for _number in range(batch):
            self._jobs.append(gevent.spawn(self._batch))
        self._tasks.append(gevent.spawn(self._probe))

    def start_deadly(self, count: int, seconds: float) -> None:
        """Start clients of requests under which engines end."""
        until = time.monotonic() + seconds
        for number in range(count):
            task = gevent.spawn(self._repeat_deadly, number, until)
            self._tasks.append(task)

    def _repeat_deadly(self, number: int, until: float) -> None:
        """Send one request again and again, each time with a new id."""
        path = f'{Kind.RESUMABLE.value}deadly-{number}'
        while self._going and time.monotonic() < until:
            gevent.sleep(self._chance.uniform(*_DEADLY_PAUSE))
            name = self._name('x') + DEADLY
            entry = self._entry()
            self._note_unjudged(name, entry, path)
            self._post(entry, path, name)

    def stop(self, within: float) -> int:
        """Let jobs be read to their end; tell how many tasks went on."""
        self._going = False
        gevent.joinall([*self._tasks, *self._jobs], timeout=within)
        left = [one for one in (*self._tasks, *self._jobs) if not one.ready()]
        gevent.killall(left)
        self._balancer.stop()
        return len(left)

    def _name(self, kind: str) -> str:
        return f'{kind}{next(self._numbers)}-{self._chance.randrange(9999)}'

    def _entry(self) -> NodeSpot:
        return self._chance.choice(list(self._balancer.ready))

    def _connect(self, entry: NodeSpot) -> HttpConnection | None:
        try:
            return HttpConnection(
                self._fleet.client_way(entry.name), _CONNECT_SECONDS
            )
        except OSError:
            return None

    def _online(self, kind: Kind) -> None:
        """Send requests on one connection for as long as it is open."""
        while self._going:
            entry = self._entry()
            connection = self._connect(entry)
            kept = self._chance.random() < _KEPT_SHARE
            while connection is not None and self._going:
                gevent.sleep(self._chance.uniform(*_PAUSE))
                self._ask(kind, entry, connection)
                if not kept or not connection.reusable:
                    break
            if connection is not None:
                connection.close()
            gevent.sleep(self._chance.uniform(*_PAUSE))

    def _ask(
        self, kind: Kind, entry: NodeSpot, connection: HttpConnection
    ) -> None:
        name = self._name('r')
        long = self._chance.random() < _LONG_SHARE
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
        )
        self._seen.attempts.append(one)
        headers = [
            ('Host', HOST),
            ('X-Attempt-Id', name),
            ('X-Token-Usage', f'10,{total}'),
            ('X-Deadline-Ms', str(int(_DEADLINE_SECONDS * 1000))),
        ]
        patience = _DEADLINE_SECONDS
        if self._chance.random() < _LEFT_SHARE:
            patience = self._chance.uniform(0.05, 0.4)
        timer = gevent.Timeout(patience)
        timer.start()
        try:
            connection.send('POST', path, headers, body, _DEADLINE_SECONDS)
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
        head = connection.read_head(_DEADLINE_SECONDS)
        one.status = head.status
        one.seal = head.find('x-response-seal')
        gathered = b''
        try:
            for part in connection.read_parts(head, _DEADLINE_SECONDS):
                gathered += part
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
        while self._going:
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
        name = self._name('p')
        path = f'/version-{version}/{name}'
        # Probes are judged by their status alone.
        self._note_unjudged(name, entry, path)
        return self._post(entry, path, name)

    def _note_unjudged(self, name: str, entry: NodeSpot, path: str) -> None:
        """Let engines get a request whose answer is judged elsewhere."""
        now = time.monotonic()
        body = hashlib.sha256(b'').hexdigest()
        one = Attempt(name, Kind.SAFE, entry.name, path, body, now, 1, left=now)
        self._seen.attempts.append(one)

    def _post(self, entry: NodeSpot, path: str, name: str) -> int:
        """Send a request without a body on a new connection."""
        headers = [
            ('Host', HOST),
            ('X-Attempt-Id', name),
            ('X-Token-Usage', '1,1'),
            ('X-Deadline-Ms', '2000'),
        ]
        connection = self._connect(entry)
        if connection is None:
            return 0
        try:
            answered = connection.request('POST', path, headers, b'', 2)
        except OSError:
            return 0
        finally:
            connection.close()
        return answered.head.status

    def _batch(self) -> None:
        while self._going:
            gevent.sleep(self._chance.uniform(*_JOB_PAUSE))
            self._job()

    def _job(self) -> None:
        job = self._name('j')
        items: dict[str, int] = {}
        for _number in range(self._chance.randint(*_JOB_ITEMS)):
            poison = ''
            if self._chance.random() < _POISON_SHARE:
                poison = self._chance.choice(('-bad422', '-bad500'))
            items[self._name('i') + poison] = self._chance.randint(5, 40)
        bodies = {
            item: hashlib.sha256(item.encode()).hexdigest() for item in items
        }
        seen = JobSeen(job, items, bodies)
        self._seen.jobs[job] = seen
        if not self._submit(seen):
            return
        ends = self._chance.random() < _ENDED_SHARE
        due = time.monotonic() + _JOB_DUE
        while time.monotonic() < due and len(seen.results) < len(items):
            gevent.sleep(_READ_PAUSE)
            if ends and self._end(seen):
                break
            self._read_results(seen)
        self._read_results(seen, at=0)

    def _submit(self, seen: JobSeen) -> bool:
        body = json.dumps(
            {
                'items': [
                    {
                        'id': item,
                        'path': f'/jobs/{item}',
                        'headers': {'X-Token-Usage': f'10,{total}'},
                        'body': _base64(item),
                        'tokens': total,
                    }
                    for item, total in seen.items.items()
                ]
            }
        ).encode()
        for _try in range(_JOB_TRIES):
            status, _body = self._call(
                'POST', '/jobs/', body, [('X-Attempt-Id', seen.job)]
            )
            seen.statuses.append(status)
            if status == 202:
                seen.accepted = time.monotonic()
                return True
            if not self._going:
                return False
            gevent.sleep(self._chance.uniform(*_JOB_PAUSE) / 2)
        return False

    def _read_results(self, seen: JobSeen, at: int | None = None) -> None:
        start = at
        if start is None:
            start = len(seen.results)
            if self._chance.random() < 0.1:
                start = self._chance.randint(0, start)
        asked = time.monotonic()
        status, body = self._call(
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
        status, body = self._call('GET', f'/-/items/{seen.job}?id={item}')
        if status == 200 and body != item.encode():
            seen.wrongs.append(f'item {item}: wrong body')

    def _end(self, seen: JobSeen) -> bool:
        status, _body = self._call('DELETE', f'/-/lots/{seen.job}')
        if status == 200:
            seen.end_answered = time.monotonic()
        return status == 200

    def _call(
        self,
        method: str,
        target: str,
        body: bytes = b'',
        extra: Sequence[tuple[str, str]] = (),
    ) -> tuple[int, bytes]:
        connection = self._connect(self._entry())
        if connection is None:
            return 0, b''
        try:
            answered = connection.request(
                method, target, [('Host', HOST), *extra], body, 4
            )
        except OSError:
            return 0, b''
        finally:
            connection.close()
        return answered.head.status, answered.body


def _base64(text: str) -> str:
    return base64.b64encode(text.encode()).decode()
