"""Simulate trials of one suspect without input and output.

``Suspects`` and ``Quarantine`` are the production code; clocks, engines and the
object service are simulated.
"""

import time
from collections.abc import Callable, Sequence
from enum import Enum
from random import Random
from types import SimpleNamespace
from unittest import mock

from bendlead_gateway._online.quarantine import Quarantine
from bendlead_gateway._suspects.digest import RequestDigest, name_part
from bendlead_gateway._suspects.suspects import Suspects
from bendlead_gateway.types import (
    DataHall,
    Engine,
    EngineId,
    EngineState,
    PromptPart,
    ServiceName,
)
from bendlead_store import clock
from msgspec import Struct, field
from result import Ok

_START = 1_700_000_000.0
_STEP_SECONDS = 0.05
#: An answer that has gone on for so long clears an item and its parts.
_CLEARED_SECONDS = 1.2
_CRASH_SECONDS = 0.2
#: Timeout of a read from an engine.
_SILENCE_SECONDS = 2.0
_RETRY_SECONDS = 0.3
_PART = PromptPart('p')
_FOUND_CRASHES = 3


class SuspectKind(Enum):
    """What the engines crash under, and who sends it."""

    ITEM = 'item'
    PART_OF_ITEMS = 'part of items'
    REQUEST = 'request'
    PART_OF_REQUESTS = 'part of requests'

    @property
    def is_part(self) -> bool:
        """Whether it is a part that several items or requests share."""
        return self in {self.PART_OF_ITEMS, self.PART_OF_REQUESTS}

    @property
    def is_sent_by_entries(self) -> bool:
        """Whether callers send it again."""
        return self in {self.REQUEST, self.PART_OF_REQUESTS}


class TrialLoad(Struct, frozen=True):
    """What happens to the engines; times in seconds from the start.

    The suspect crashes each engine until ``deadly_until``, and engines say
    nothing from its third crash until ``silent_until``. ``every`` seconds until
    ``crashes_until`` as many engines crash for other causes as ``crashing``
    tells, one after the other or at once.
    """

    kind: SuspectKind
    engines: int = 9
    deadly_until: float = 0
    silent_until: float = 0
    every: float = 0.5
    crashes_until: float = 0
    crashing: int = 1
    noticed_after: float = 0.05


class _Run(Struct, eq=False):
    engine: int
    began: float
    digest: RequestDigest
    end: Callable[[], None]


class TrialOutcome(Struct):
    """When the suspect was sent, and when it was cleared."""

    sent: list[float] = field(default_factory=list)
    crashes: list[float] = field(default_factory=list)
    cleared_at: float | None = None

    def longest_wait(self, since: float, until: float) -> float:
        """Return the longest time without a send in a span."""
        times = [at for at in self.sent if since < at < until]
        ends = [since, *times, until]
        return max(
            later - at for at, later in zip(ends, ends[1:], strict=False)
        )

    def late(self, crashes_until_known: int, contact: float) -> int:
        """Count the sends after the crashes that make a suspect known."""
        if len(self.crashes) < crashes_until_known:
            return 0
        known = self.crashes[crashes_until_known - 1] + contact
        return sum(at > known for at in self.sent)


class TrialReplay:
    """Play one load."""

    def __init__(self, load: TrialLoad, seed: int) -> None:
        self._load = load
        self._random = Random(seed)
        self._now = 0.0
        self._lives = 0
        self._run: _Run | None = None
        self._ready_at = 0.0
        #: What is noticed at a later time.
        self._later: list[tuple[float, Callable[[], None]]] = []
        store = mock.Mock()
        store.put.side_effect = lambda *_put: Ok(1)
        self._suspects = Suspects(
            lambda _engine: True,
            lambda _service: load.engines,
            lambda _engine: 0.0,
            store,
            's/',
            mock.Mock(),
            mock.Mock(),
        )
        self._quarantine = Quarantine(self._suspects)
        self.outcome = TrialOutcome()

    def play(self, seconds: float) -> TrialOutcome:
        """Play so many seconds, or until the suspect is cleared."""
        with (
            mock.patch.object(time, 'time', lambda: _START + self._now),
            mock.patch.object(clock, 'uptime', lambda: _START + self._now),
            mock.patch.object(self._suspects, '_search_soon'),
        ):
            for step in range(round(seconds / _STEP_SECONDS)):
                self._now = step * _STEP_SECONDS
                self._advance()
                if self.outcome.cleared_at is not None:
                    break
        return self.outcome

    def _advance(self) -> None:
        for due, action in list(self._later):
            if due <= self._now:
                self._later.remove((due, action))
                action()
        hit = self._other_crashes()
        if self._run is None:
            self._send_if_due()
        elif self._run.engine in hit:
            self._crash(self._run)
        else:
            self._go_on(self._run)

    def _other_crashes(self) -> Sequence[int]:
        load = self._load
        if self._now > load.crashes_until or not self._now:
            return ()
        if (self._now + _STEP_SECONDS / 2) % load.every >= _STEP_SECONDS:
            return ()
        hit = self._random.sample(range(load.engines), load.crashing)
        for number in hit:
            digest = RequestDigest(f'other-{self._lives}')
            self._notice(self._engine(number), digest, ())
        return hit

    def _go_on(self, run: _Run) -> None:
        elapsed = self._now - run.began
        if self._is_silent():
            if elapsed >= _SILENCE_SECONDS:
                self._end(run)
        elif self._now < self._load.deadly_until:
            if elapsed >= _CRASH_SECONDS:
                self._crash(run)
        elif elapsed > _CLEARED_SECONDS:
            self._clear(run)

    def _is_silent(self) -> bool:
        known = len(self.outcome.crashes) >= _FOUND_CRASHES
        return known and self._now < self._load.silent_until

    def _send_if_due(self) -> None:
        if self._now < self._ready_at:
            return
        engine = self._random.randrange(self._load.engines)
        begin = self._begin_item
        if self._load.kind.is_sent_by_entries:
            begin = self._begin_request
        run = begin(engine)
        if run is not None:
            self._run = run
            self.outcome.sent.append(self._now)

    def _begin_item(self, engine: int) -> _Run | None:
        item = RequestDigest('item-x')
        parts: Sequence[PromptPart] = ()
        if self._load.kind.is_part:
            item = RequestDigest(f'item-{len(self.outcome.sent)}')
            parts = [_PART]
        if self._suspects.remaining_pause(lambda: item, parts):
            return None
        trials = self._suspects.item_trials
        run = _Run(
            engine,
            self._now,
            item,
            lambda: trials.end(run, may_have_run=True),
        )
        trials.begin(run, self._suspects.parts.held(parts))
        if not trials.claim(run, item, self._engine(engine).engine):
            trials.end(run, may_have_run=False)
            return None
        return run

    def _begin_request(self, engine: int) -> _Run | None:
        digest = RequestDigest('request')
        parts: tuple[PromptPart, ...] = ()
        if self._load.kind.is_part:
            digest = RequestDigest(f'request-{len(self.outcome.sent)}')
            parts = (_PART,)
        exchange = SimpleNamespace(
            digest=digest,
            facts=SimpleNamespace(shared_parts=parts),
            in_trial=False,
            claim_refused=False,
            sends=0,
            held_seconds=100.0,
        )
        name = self._engine(engine).engine
        view = SimpleNamespace(free=1, name=name)
        if self._quarantine.begin_trial(exchange, view):
            return None
        if not self._quarantine.claim(exchange, name):
            self._quarantine.end_trial(exchange)
            return None

        def end() -> None:
            self._quarantine.end_claims(exchange, may_have_run=True)
            self._quarantine.end_trial(exchange)

        return _Run(engine, self._now, digest, end)

    def _crash(self, run: _Run) -> None:
        self.outcome.crashes.append(self._now)
        parts = (_PART,) if self._load.kind.is_part else ()
        self._notice(self._engine(run.engine), run.digest, parts)
        self._end(run)

    def _notice(
        self,
        engine: Engine,
        digest: RequestDigest,
        parts: tuple[PromptPart, ...],
    ) -> None:
        self._lives += 1
        crashed = SimpleNamespace(
            engine=engine.engine, born=self._lives, service=engine.service
        )

        def notice() -> None:
            self._suspects._add_crash(crashed, digest, parts)
            if parts and len(self.outcome.crashes) >= _FOUND_CRASHES:
                now = _START + self._now
                history = self._suspects._history
                if not history.record(name_part(_PART)).found_ms:
                    history.record_found(name_part(_PART), now)

        self._later.append((self._now + self._load.noticed_after, notice))

    def _clear(self, run: _Run) -> None:
        parts = (_PART,) if self._load.kind.is_part else ()
        if self._load.kind.is_sent_by_entries:
            self._suspects.record_success(lambda: run.digest, parts)
        else:
            self._suspects.record_progress(parts, lambda: run.digest)
        self.outcome.cleared_at = self._now
        self._end(run)

    def _end(self, run: _Run) -> None:
        run.end()
        self._run = None
        self._ready_at = self._now + _RETRY_SECONDS

    def _engine(self, number: int) -> Engine:
        return Engine(
            EngineId(f'i-{number}'),
            ServiceName('llm'),
            f'127.0.0.1:{number + 1}',
            DataHall('a'),
            8,
            EngineState.READY,
        )
