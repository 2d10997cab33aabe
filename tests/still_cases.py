"""Base test case with engines that can be made to stand still."""

import itertools
import time
from dataclasses import dataclass

import gevent
from bendlead_gateway.http import HttpConnection

from tests.gateway_cases import EntryCase
from tests.gateway_standins import engine, eventually, route
from tests.still_engine import (
    EVENTS,
    PLAIN_BODY,
    EngineThread,
    Moment,
    RunLog,
    StillEngine,
)

TIMEOUT_MS = 5000
#: Time for which a sound engine stands still.
STILL_SECONDS = 1.2
#: Time without an event after which clients give a stream up.
PATIENCE_SECONDS = 2.0
#: When engines stand still: in the middle of the streams.
BEGUN_SECONDS = 0.2
ATTEMPTS = (1, 2, 3)
KINDS = {
    'resumable': {'kind': 'streaming', 'resumable': True},
    'stream': {'kind': 'streaming'},
    'safe': {'kind': 'safe'},
    'unsafe': {'kind': 'unsafe'},
}
#: Kinds whose requests may run at most once.
RUN_ONCE = frozenset(('stream', 'unsafe'))
#: Enough for all requests of a test.
_MANY_SLOTS = 64
_TICK_SECONDS = 0.02
_PAUSE_SECONDS = 0.1
#: Tries of a client whose request is refused, and the pause between them (s).
_TRIES = 10
_RETRY_SECONDS = 0.1
_PLAIN = frozenset(('safe', 'unsafe'))


@dataclass
class Answer:
    """What a client received.

    ``longest_gap`` is the longest time without a byte; times are in seconds.
    """

    request: str
    kind: str
    attempts: int
    status: int = 0
    body: bytes = b''
    ended: bool = False
    longest_gap: float = 0
    #: From the first byte of the request to the last of the answer.
    seconds: float = 0

    @property
    def numbers(self) -> list[int]:
        """Numbers of the events received, in their order."""
        return [
            int(line[4:])
            for line in self.body.decode().split('\n')
            if line.startswith('id: ')
        ]


class StillEngineCase(EntryCase):
    """Starts engines that can be made to stand still, and an entry.

    There is one route for each kind and number of attempts.
    """

    def setUp(self):
        super().setUp()
        self.log = RunLog()
        self.numbers = itertools.count()
        #: Time for which this process stood still on a busy machine (s).
        self.paused = 0.0
        #: Requests that were answered as not run.
        self.refused = []
        #: Time without a byte after which clients of streams leave (s).
        self.patience = PATIENCE_SECONDS

    def begin(
        self,
        engines=3,
        kinds=tuple(KINDS),
        attempts=ATTEMPTS,
        slots=8,
        threaded=False,
        listed=(),
        **changed,
    ):
        """Start the engines and the entry.

        ``listed`` are fields of the engines' registrations.
        """
        self.attempts = attempts
        if threaded:
            thread = EngineThread(self.log, [slots] * engines)
            self.addCleanup(thread.close)
            self.engines = thread.engines
        else:
            for _number in range(engines):
                self.make_engine(slots)
        for number in range(engines):
            self.list_engine(number, **dict(listed))
        self.start(*self.routes(kinds, **changed), others=engines)

    def make_engine(self, slots=8):
        """Start an engine that is not listed yet."""
        added = StillEngine(slots, self.log)
        self.addCleanup(added.close)
        self.engines.append(added)

    def add_engines(self, count, slots=8):
        """Start and list further engines, and wait until they are known."""
        for _number in range(count):
            self.make_engine(slots)
            self.list_engine(len(self.engines) - 1)
        listed = self.entry.fleet.engines
        eventually(lambda: len(listed.all()) == len(self.engines))

    def begin_at_the_first(self, others=2, **changed):
        """Start requests that all run at the first engine.

        The others are listed once they run, so that none has refused any.
        """
        self.begin(1, slots=_MANY_SLOTS, **changed)
        tasks = self.send_all(changed.get('kinds', tuple(KINDS)), count=2)
        eventually(lambda: len(self.log.runs) == len(tasks))
        self.add_engines(others, _MANY_SLOTS)
        return tasks

    def routes(self, kinds=tuple(KINDS), **changed):
        """Return the routes of the configuration."""
        return [
            route(
                **{
                    'timeout_ms': TIMEOUT_MS,
                    'name': f'{kind}-{attempts}',
                    'path_prefix': f'/{kind}/{attempts}/',
                    'max_attempts': attempts,
                    **KINDS[kind],
                    **changed,
                }
            )
            for kind in kinds
            for attempts in self.attempts
        ]

    def list_engine(self, number, **changed):
        """Write the registration of an engine."""
        listed = self.engines[number]
        fields = {
            'address': listed.address,
            'slots': max(listed.slots, 1),
            **changed,
        }
        self.store.set('servers', f'i-{number}', engine(**fields))

    def measure_pauses(self):
        """Add up the time for which this process stands still itself."""
        while True:
            before = time.monotonic()
            gevent.sleep(_TICK_SECONDS)
            late = time.monotonic() - before - _TICK_SECONDS
            if late > _PAUSE_SECONDS:
                self.paused += late

    def assert_in_time(self, answers):
        """Check that streams went on before their clients would leave.

        Whatever this process misses, it takes as long to see it once more.
        """
        longest = max(answer.longest_gap for answer in answers)
        self.assertLess(longest, PATIENCE_SECONDS + 2 * self.paused)

    def connect(self):
        """Connect to the entry as a client."""
        connection = HttpConnection(
            self.entry.settings.clients_address, TIMEOUT_MS / 1000
        )
        self.addCleanup(connection.close)
        return connection

    def request(self, kind, attempts, name, connection=None):
        """Send one request and return what its client received."""
        connection = connection or self.connect()
        headers = [
            ('Host', 'a.example'),
            ('X-Attempt-Id', name),
            ('X-Deadline-Ms', str(TIMEOUT_MS)),
        ]
        patience = self.patience
        if kind in _PLAIN:
            headers.append(('X-Plain', '1'))
            patience = TIMEOUT_MS / 1000
        path = f'/{kind}/{attempts}/1'
        connection.send('POST', path, headers, b'prompt', TIMEOUT_MS / 1000)
        answer = Answer(name, kind, attempts)
        began_at = time.monotonic()
        try:
            self.receive(connection, answer, patience)
        except OSError:
            answer.ended = False
        answer.seconds = time.monotonic() - began_at
        return answer

    def receive(self, connection, answer, patience):
        """Read an answer until its end."""
        latest = time.monotonic()
        head = connection.read_head(patience)
        answer.status = head.status
        for part in connection.read_parts(head, patience):
            now = time.monotonic()
            answer.longest_gap = max(answer.longest_gap, now - latest)
            latest = now
            answer.body += part
        answer.ended = True

    def request_again(self, kind, attempts):
        """Send a request until it is not refused; return its last answer.

        On a busy machine it may be refused before any engine runs it.
        """
        for _try in range(_TRIES):
            name = f'{kind}-{attempts}-{next(self.numbers)}'
            answer = self.request(kind, attempts, name)
            if answer.status != 503:
                break
            self.refused.append(name)
            gevent.sleep(_RETRY_SECONDS)
        return answer

    def send_all(self, kinds=tuple(KINDS), count=1):
        """Send ``count`` requests to each route; return their tasks."""
        return [
            gevent.spawn(self.request_again, kind, attempts)
            for kind in kinds
            for attempts in self.attempts
            for _number in range(count)
        ]

    def stand_still_at(self, moment: Moment, which, seconds=STILL_SECONDS):
        """Make engines stand still when a run first comes to a moment.

        Returns the moments at which they did.
        """
        seen = []

        def reach(reached):
            if reached is moment and not seen:
                seen.append(reached)
                self.stand_still(which, seconds)

        for listed in self.engines:
            listed.on_moment = reach
        return seen

    def stand_still(self, which, seconds=STILL_SECONDS):
        """Make one engine, all, or one after the other stand still."""
        if which == 'in_turn':
            for number, still in enumerate(self.engines):
                gevent.spawn_later(
                    number * seconds * 3 / 4, still.stand_still, seconds
                )
            return
        chosen = self.engines if which == 'all' else self.engines[:1]
        for still in chosen:
            still.stand_still(seconds)

    def assert_answered(self, tasks, refused=False, reachable=True):
        """Check that each request was answered, and how it was run.

        With ``refused``, requests that were not run may be refused. Engines
        that are not ``reachable`` do not learn that a connection was closed.
        """
        gevent.joinall(tasks)
        answers = [task.value for task in tasks]
        wrong = [self.describe(answer) for answer in answers]
        if refused:
            wrong = [
                self.describe(answer)
                for answer in answers
                if answer.status != 503 or self.log.of(answer.request)
            ]
        self.assertEqual([], [found for found in wrong if found])
        run = [name for name in self.refused if self.log.of(name)]
        self.assertEqual([], run, 'refused, but run')
        if reachable:
            self.assertEqual([], self.log.overlaps)
        return answers

    def describe(self, answer):
        """Return what is wrong with an answer or its runs, if anything."""
        wrong = [self.describe_runs(answer)]
        received, expected = answer.body, PLAIN_BODY
        if answer.kind not in _PLAIN:
            received, expected = answer.numbers, list(range(1, EVENTS + 1))
        if (answer.status, answer.ended) != (200, True):
            wrong.append(f'status {answer.status}, ended {answer.ended}')
        if received != expected:
            wrong.append(f'received {received}')
        found = ', '.join(part for part in wrong if part)
        return f'{answer.request}: {found}' if found else ''

    def describe_runs(self, answer):
        """Return what is wrong with the runs of a request, if anything."""
        engines = len(self.log.engines(answer.request))
        if engines > answer.attempts:
            return f'run at {engines} engines'
        runs = len(self.log.of(answer.request))
        if answer.kind in RUN_ONCE and runs > 1:
            return f'run {runs} times'
        return ''
