"""Simulate repeats of one request at entries of bendlead-node.

``SuspectTable``, ``Dispatcher`` and ``Router`` are the production code; clocks,
engines, callers and the object service are simulated.
"""

import time
from collections.abc import Callable, Iterator, Sequence
from contextlib import ExitStack, contextmanager
from http import HTTPStatus
from random import Random
from types import SimpleNamespace
from unittest import mock

from bendlead_node._common.config import ConfigTable
from bendlead_node._common.telemetry import Metrics
from bendlead_node._common.upstream import DIGEST_HEADER
from bendlead_node._common.web import OUTCOME_HEADER, CallError
from bendlead_node._entry import dispatch, routing, suspects
from bendlead_node._entry.members import Members
from bendlead_schema.messages import EndpointHeartbeat, EngineEnd, VersionedKey
from bendlead_store import ValueStore, clock
from msgspec import Struct, field
from result import Ok

_START = 1_700_000_000.0
_STEP_SECONDS = 0.05
_ANSWER_SECONDS = 2.0
#: A deadly request crashes its engine this long after it was sent.
_CRASH_SECONDS = 0.1
_RESTART_SECONDS = 3.0
#: An endpoint process probes its engine, then tells each entry.
_NEWS_SECONDS = 0.08
_RELAY_SECONDS = 0.05
#: An engine that says nothing loses its connections after this time.
_SILENCE_SECONDS = 2.0
_TIMEOUT_SECONDS = 600.0
_MS_PER_SECOND = 1000
_SUSPECT = b'suspect'
_QUARANTINED = 'request_quarantined'
_DONE = b'data: [DONE]\n\n'


class FaceLoad(Struct, frozen=True):
    """What happens; times in seconds from the start.

    ``crashing`` engines crash for other causes ``every`` seconds until
    ``crashes_until``. The suspect crashes each engine until ``deadly_until``,
    and engines don't answer it from its third crash until ``silent_until``.
    Callers send it each ``repeat`` seconds at each entry, beside ``others``
    requests a second that differ.
    """

    entries: int = 1
    engines: int = 6
    deadly_until: float = 0
    silent_until: float = 0
    every: float = 1.0
    crashes_until: float = 0
    crashing: int = 1
    repeat: float = 0.5
    others: float = 8.0


class FaceOutcome(Struct):
    """When the suspect was sent, crashed engines, was answered or refused."""

    sent: list[float] = field(default_factory=list)
    crashes: list[float] = field(default_factory=list)
    answered: list[float] = field(default_factory=list)
    quarantined: list[float] = field(default_factory=list)

    def late(self, contact: float, until: float) -> int:
        """Count the sends later than some time after the third crash."""
        known = self.crashes[2]
        return sum(known + contact < at < known + until for at in self.sent)


class _Response:
    """A stream of two events, broken off if its engine crashes."""

    status_code = HTTPStatus.OK
    _sock = None

    def __init__(self, engine: int, digest: str, began: float) -> None:
        self._events = [b'id: 1\ndata: {}\n\n', _DONE]
        self.engine = engine
        self.digest = digest
        self.began = began
        self.broken = False

    def get(self, _header: str) -> str | None:
        return None

    def readline(self, _end: bytes) -> bytes:
        if self.broken:
            raise ConnectionError
        return self._events.pop(0)

    def release(self) -> None:
        """Give the connection back."""


class _Refusal:
    """What an endpoint process answers while its engine is away."""

    status_code = HTTPStatus.SERVICE_UNAVAILABLE

    def get(self, header: str) -> str | None:
        named = {OUTCOME_HEADER: 'not_run', 'content-length': '0'}
        return named.get(header)

    def read(self) -> bytes:
        return b''


class _Entry(Struct, eq=False):
    table: suspects.SuspectTable
    dispatcher: dispatch.Dispatcher
    config: ConfigTable
    next_repeat: float


class _Call(Struct, eq=False):
    stream: Iterator[bytes]
    response: _Response


class FaceReplay:
    """Play one load."""

    def __init__(
        self, load: FaceLoad, seed: int, stores: Sequence[ValueStore]
    ) -> None:
        """Prepare entries that use the object service through ``stores``."""
        self._load = load
        self._random = Random(seed)
        self.now = 0.0
        self._later: list[tuple[float, Callable[[], None]]] = []
        self._up_at = [0.0] * load.engines
        self._ends: dict[int, list[EngineEnd]] = {}
        self._responses: list[_Response] = []
        self._calls: list[_Call] = []
        self._sent = 0
        self._in_background = False
        self._suspect_digest = ''
        self.outcome = FaceOutcome()
        with self._patched():
            self._entries = [
                self._entry(number, stores[number])
                for number in range(load.entries)
            ]

    def play(self, seconds: float) -> FaceOutcome:
        """Play so many seconds."""
        with self._patched():
            for step in range(round(seconds / _STEP_SECONDS)):
                self.now = max(self.now, step * _STEP_SECONDS)
                self._advance()
        return self.outcome

    def send(
        self, _method: str, address: str, *_request: object
    ) -> Ok[_Response | _Refusal]:
        """Answer as the endpoint process of an engine does."""
        *_path, headers = _request
        engine = int(address)
        if self._up_at[engine] > self.now:
            return Ok(_Refusal())
        digest = headers[DIGEST_HEADER]
        response = _Response(engine, digest, self.now)
        if digest == self._suspect_digest:
            self.outcome.sent.append(self.now)
        self._responses.append(response)
        return Ok(response)

    @contextmanager
    def _patched(self) -> Iterator[None]:
        tasks = SimpleNamespace(sleep=self._sleep, spawn=self._spawn)
        with ExitStack() as stack:
            for target, name, stand_in in (
                (time, 'time', lambda: _START + self.now),
                (clock, 'uptime', lambda: _START + self.now),
                (suspects, 'gevent', tasks),
                (routing, 'random', self._random),
            ):
                stack.enter_context(mock.patch.object(target, name, stand_in))
            yield

    def _entry(self, number: int, store: ValueStore) -> _Entry:
        config = ConfigTable()
        relay = SimpleNamespace(learn=self._learner(config), rank=number)
        table = suspects.SuspectTable(store, config, relay, mock.Mock())
        members = Members(f'entry-{number}', _TIMEOUT_SECONDS)
        for engine in range(self._load.engines):
            members.hear_endpoint(self._heartbeat(engine))
        dispatcher = dispatch.Dispatcher(
            members,
            routing.Router(members),
            'key',
            _TIMEOUT_SECONDS,
            mock.Mock(),
            Metrics(),
            table,
        )
        dispatcher._clients = self
        self._suspect_digest = table.digest(self._request(_SUSPECT))
        first = self._random.uniform(0, self._load.repeat)
        return _Entry(table, dispatcher, config, first)

    def _learner(
        self, own: ConfigTable
    ) -> Callable[[Sequence[VersionedKey]], None]:
        def learn(changes: Sequence[VersionedKey]) -> None:
            own.merge(changes)
            self._do_later(
                _RELAY_SECONDS,
                lambda: [one.config.merge(changes) for one in self._entries],
            )

        return learn

    def _request(self, body: bytes) -> dispatch.OnlineRequest:
        return dispatch.OnlineRequest(
            request='r',
            team='t',
            service='llm',
            model='m',
            method='POST',
            path='/v1/chat/completions',
            body=body,
            stream=True,
            repeatable=True,
            deadline=_START + self.now + _TIMEOUT_SECONDS,
        )

    def _heartbeat(self, engine: int) -> EndpointHeartbeat:
        return EndpointHeartbeat(
            endpoint=f'endpoint-{engine}',
            address=str(engine),
            data_hall='h',
            service='llm',
            models=['m'],
            capacity=8,
            online=0,
            batch=0,
            ends=list(self._ends.get(engine, ())),
        )

    def _sleep(self, seconds: float) -> None:
        if not self._in_background:
            self.now += seconds
            self._deliver()

    def _spawn(self, task: Callable[..., None], *args: object) -> None:
        def run() -> None:
            self._in_background = True
            task(*args)
            self._in_background = False

        self._do_later(0, run)

    def _do_later(self, seconds: float, action: Callable[[], object]) -> None:
        self._later.append((self.now + seconds, action))

    def _deliver(self) -> None:
        for due, action in list(self._later):
            if due <= self.now and (due, action) in self._later:
                self._later.remove((due, action))
                action()

    def _advance(self) -> None:
        self._deliver()
        self._crash_for_other_causes()
        for response in list(self._responses):
            if self._crashes_engine(response):
                self._crash(response.engine)
        for call in list(self._calls):
            self._go_on(call)
        self._send_repeats()
        if self._random.random() < self._load.others * _STEP_SECONDS:
            self._sent += 1
            entry = self._random.choice(self._entries)
            self._send(entry, f'other {self._sent}'.encode())

    def _crash_for_other_causes(self) -> None:
        load = self._load
        if self.now > load.crashes_until or not self.now:
            return
        if (self.now + _STEP_SECONDS / 2) % load.every >= _STEP_SECONDS:
            return
        for engine in self._random.sample(range(load.engines), load.crashing):
            self._crash(engine)

    def _crashes_engine(self, response: _Response) -> bool:
        elapsed = self.now - response.began
        return self._is_deadly(response) and elapsed >= _CRASH_SECONDS

    def _is_deadly(self, response: _Response) -> bool:
        """Return whether an engine crashes under it instead of answering."""
        if response.digest != self._suspect_digest or response.broken:
            return False
        return not self._is_silent() and (
            response.began < self._load.deadly_until
        )

    def _is_silent(self) -> bool:
        known = len(self.outcome.crashes) >= suspects.CRASHES_UNTIL_QUARANTINE
        return known and self.now < self._load.silent_until

    def _crash(self, engine: int) -> None:
        if self._up_at[engine] > self.now:
            return
        self._up_at[engine] = self.now + _RESTART_SECONDS
        at_ms = round((_START + self.now) * _MS_PER_SECOND)
        life = f'endpoint-{engine}@{at_ms}'
        digests = set()
        for response in self._responses:
            if response.engine == engine:
                response.broken = True
                digests.add(response.digest)
        if self._suspect_digest in digests:
            self.outcome.crashes.append(self.now)
        ends = self._ends.setdefault(engine, [])
        ends += [
            EngineEnd(digest=digest, life=life, at_ms=at_ms)
            for digest in sorted(digests)
        ]
        self._do_later(_NEWS_SECONDS, lambda: self._tell(engine))

    def _tell(self, engine: int) -> None:
        for entry in self._entries:
            entry.table.hear(self._heartbeat(engine))

    def _go_on(self, call: _Call) -> None:
        response = call.response
        elapsed = self.now - response.began
        if response.digest == self._suspect_digest and self._is_silent():
            response.broken |= elapsed >= _SILENCE_SECONDS
        elif self._is_deadly(response):
            return
        elif not response.broken and elapsed < _ANSWER_SECONDS:
            return
        if response.broken or not self._is_silent():
            self._read_on(call)

    def _read_on(self, call: _Call) -> None:
        self._responses.remove(call.response)
        event = next(call.stream)
        if not event.startswith(b'data: '):
            call.response = self._responses[-1]
            return
        is_suspect = call.response.digest == self._suspect_digest
        self._calls.remove(call)
        list(call.stream)
        if event == _DONE and is_suspect:
            self.outcome.answered.append(self.now)
        elif is_suspect:
            self._note_refused(event.decode())

    def _send_repeats(self) -> None:
        for entry in self._entries:
            if entry.next_repeat <= self.now:
                jitter = self._random.uniform(0.5, 1.5)
                entry.next_repeat = self.now + self._load.repeat * jitter
                self._send(entry, _SUSPECT)

    def _send(self, entry: _Entry, body: bytes) -> None:
        try:
            answer = entry.dispatcher.run(self._request(body))
        except CallError as error:
            if body == _SUSPECT:
                self._note_refused(error.code)
            return
        stream = iter(answer.body)
        next(stream)
        self._calls.append(_Call(stream, self._responses[-1]))

    def _note_refused(self, error: str) -> None:
        if _QUARANTINED in error:
            self.outcome.quarantined.append(self.now)
