"""Simulate resumable streams at engines that fall silent.

Several entries share the engines. Each knows the load of the others late and
sees only the bytes of its own streams. The rule under test decides when an
engine is given up; placement is the production code.
"""

from collections import deque
from collections.abc import Collection, Sequence
from random import Random

from bendlead_gateway._scheduling.placement import Traffic
from bendlead_gateway._scheduling.silence import (
    Reaction,
    Silence,
    first_check,
)

from bendlead_testing.silence_engines import TICK, Engine, Run, Stream
from bendlead_testing.silence_entry import Entry
from bendlead_testing.silence_load import (
    CONNECTIONS,
    UNREACHABLE,
    Fault,
    SilenceLoad,
    SilenceOutcome,
)
from bendlead_testing.silence_rules import Facts, Policy

_GAP_TARGET = 0.2
_LATENCY_TARGET = 0.3
_DEADLINE = 5.0
_CLIENT_SECONDS = 2.0
_EVENTS = (28, 39)
_RUN_SECONDS = (sum(_EVENTS) / 2 + 3) * TICK
_CHECK_SECONDS = 0.1
_CONNECT_SECONDS = 0.15
_HEAD_SECONDS = _LATENCY_TARGET * 2 / 3
#: Pauses of an engine that failed, that refused, and that was left.
_FAILED_PAUSE = 0.5
_REFUSED_PAUSE = 0.1
_LEFT_PAUSE = 0.3
#: Start of the last stream.
_LAST_ARRIVAL = 4.5


class SilenceReplay:
    """Simulate a load under a policy."""

    def __init__(self, load: SilenceLoad, policy: Policy, seed: int) -> None:
        self._load = load
        self._policy = policy
        self._random = Random(seed)
        #: Separate, so that all policies get the same streams.
        self._arrivals = Random(seed)
        self._engines = [
            Engine(number, load.slots) for number in range(load.engines)
        ]
        self._entries = [
            Entry(load.engines, load.slots, self._random)
            for _entry in range(load.entries)
        ]
        for entry in self._entries:
            entry.traffic = Traffic(_RUN_SECONDS, load.report_steps * TICK)
        steps = 0 if policy.exact_counts else load.report_steps
        self._reports: deque[Sequence[Sequence[int]]] = deque(maxlen=steps + 1)
        self._faults = load.schedule()
        self._now = 0.0
        self._next_arrival = 0.0
        self.outcome = SilenceOutcome()

    def play(self) -> SilenceOutcome:
        """Simulate the whole load."""
        step = 0
        while self._now < _LAST_ARRIVAL or self._has_streams:
            step += 1
            self._now = step * TICK
            self._exchange_reports()
            while self._faults and self._faults[0][0] <= self._now:
                self._begin_fault(self._faults.pop(0)[1])
            self._arrive()
            for entry in self._entries:
                if entry.asleep_until <= self._now:
                    self._check_all(entry)
            for engine in self._engines:
                for run in engine.step(self._now):
                    self._read(run)
            self._leave()
        return self.outcome

    @property
    def _has_streams(self) -> bool:
        return any(entry.streams for entry in self._entries)

    def _exchange_reports(self) -> None:
        self._reports.append([list(entry.counts) for entry in self._entries])
        total = [sum(counts) for counts in zip(*self._reports[0], strict=True)]
        for entry, own in zip(self._entries, self._reports[0], strict=True):
            entry.others = [
                all_ - mine for all_, mine in zip(total, own, strict=True)
            ]

    def _begin_fault(self, number: int) -> None:
        load = self._load
        until = self._now + load.seconds
        if load.fault is Fault.ENTRY:
            self._entries[number].asleep_until = until
            for stream in self._entries[number].streams:
                stream.affected = True
            return
        engine = self._engines[number]
        if load.fault is Fault.HANGING:
            engine.hang_share = load.affected
        elif load.fault not in CONNECTIONS:
            engine.still_until = until
            if load.fault in UNREACHABLE:
                engine.unreachable_until = until
        affected = load.affected
        if load.fault is Fault.ALL_CONNECTIONS:
            affected = 1
        for run in (*engine.running, *engine.queue):
            if load.fault in CONNECTIONS or engine.hang_share:
                if self._random.random() >= affected:
                    continue
                run.silent_until = until
            run.stream.affected = True

    def _arrive(self) -> None:
        rate = self._load.share * self._load.slots * self._load.engines
        while self._next_arrival <= min(self._now, _LAST_ARRIVAL):
            self._next_arrival += self._arrivals.expovariate(
                rate / _RUN_SECONDS
            )
            entry = self._arrivals.choice(self._entries)
            stream = Stream(
                entry=entry,
                arrived=self._now,
                last_event_at=self._now,
                events=self._arrivals.randint(*_EVENTS),
                affected=entry.asleep_until > self._now,
            )
            entry.streams.append(stream)
            entry.earn_retry()
            self.outcome.streams += 1

    def _check_all(self, entry: Entry) -> None:
        for stream in tuple(entry.streams):
            run = stream.run
            if run is not None:
                if not run.started and run.timeout_at <= self._now:
                    self._replace_before_head(run)
                elif run.started and stream.next_check <= self._now:
                    self._check(run)
                elif run.unread:
                    self._read(run)
            if stream.run is None and not stream.done:
                self._place(stream)

    def _check(self, run: Run) -> None:
        stream = run.stream
        entry = stream.entry
        tried = {*stream.tried, run.engine.number}
        silence = Silence(
            seconds=self._now - stream.last_byte_at,
            active_seconds=entry.active_seconds(run.engine.number, self._now),
            gap_target=_GAP_TARGET,
            target=_LATENCY_TARGET,
            seconds_left=stream.arrived + _DEADLINE - self._now,
            run_left=self._has_run_left(stream),
            slot_elsewhere=entry.has_free_slot(
                tried, self._now, silent=self._policy.silent_slots
            ),
            unreachable=self._is_unreachable(run),
            others_silent=entry.are_others_silent(run.engine.number, self._now),
        )
        stream.next_check = self._now + _CHECK_SECONDS
        facts = Facts(
            silence,
            sound_elsewhere=entry.has_sound_engine(tried, self._now),
        )
        reaction = self._policy.rule(facts)
        if reaction is Reaction.MOVE:
            self._move(run)
        elif reaction is Reaction.RECONNECT:
            self._reconnect(run)
        elif run.unread:
            self._read(run)

    def _is_unreachable(self, run: Run) -> bool:
        stream = run.stream
        if stream.entry.active_seconds(run.engine.number, self._now):
            return False
        if stream.entry.has_failed_to_connect(
            run.engine.number, stream.last_byte_at
        ):
            return True
        probe_seconds = first_check(_GAP_TARGET) + _CONNECT_SECONDS
        return (
            self._policy.probes
            and self._now - stream.last_byte_at >= probe_seconds
            and run.engine.unreachable_until > self._now - _CONNECT_SECONDS
        )

    def _move(self, run: Run) -> None:
        stream = run.stream
        number = run.engine.number
        self.outcome.moves += 1
        client_leaves = stream.last_event_at + _CLIENT_SECONDS
        self.outcome.moves_in_vain += run.resumes_at < client_leaves
        self._close(run)
        sending = stream.entry.active_seconds(number, self._now)
        if self._policy.cuts_at_once or not sending:
            stream.entry.pause(number, self._now + _FAILED_PAUSE)
        stream.may_resume_at[number] = self._now + _LEFT_PAUSE
        self._count_run(stream)

    def _reconnect(self, run: Run) -> None:
        stream = run.stream
        self.outcome.reconnects += 1
        self._close(run)
        stream.may_resume_at[run.engine.number] = self._now
        self.outcome.runs += 1
        if self._has_run_left(stream) and not self._policy.stays:
            stream.runs += 1
        else:
            stream.bound_to = run.engine.number

    def _replace_before_head(self, run: Run) -> None:
        stream = run.stream
        self._close(run)
        if run.connected:
            self._count_run(stream)
        else:
            until = self._now + _FAILED_PAUSE
            stream.entry.pause(run.engine.number, until)
            stream.entry.record_failed_connect(run.engine.number, self._now)

    def _count_run(self, stream: Stream) -> None:
        stream.runs += 1
        self.outcome.runs += 1
        if stream.runs >= self._load.max_attempts:
            self._cut(stream)

    def _has_run_left(self, stream: Stream) -> bool:
        return stream.runs + 1 < self._load.max_attempts

    def _place(self, stream: Stream) -> None:
        """Send a stream to an engine, as long as one refuses it at once."""
        entry = stream.entry
        if not stream.runs and not stream.begun:
            if not entry.has_free_slot(stream.tried, self._now, silent=True):
                if self._now - stream.arrived > _LATENCY_TARGET:
                    self._cut(stream)
                return
        while stream.run is None:
            number = self._choose(stream)
            if number is None:
                break
            self._send(stream, self._engines[number])
        else:
            return
        if stream.begun and not self._may_continue(stream):
            self._cut(stream)

    def _may_continue(self, stream: Stream) -> bool:
        """Return whether waiting may bring an engine."""
        if self._policy.cuts_at_once:
            return False
        never = stream.tried - stream.may_resume_at.keys()
        return len(never) < self._load.engines

    def _choose(self, stream: Stream) -> int | None:
        entry = stream.entry
        resumable = {
            number
            for number, at in stream.may_resume_at.items()
            if at <= self._now
        }
        excluded: list[Collection[int]] = [stream.tried]
        if stream.begun and not self._policy.cuts_at_once:
            excluded.append(stream.tried - resumable)
        for numbers in excluded:
            if stream.bound_to is not None:
                others = set(range(self._load.engines)) - {stream.bound_to}
                numbers = others.union(numbers)
            number = entry.choose(numbers, self._now)
            if number is not None:
                return number
        return None

    def _send(self, stream: Stream, engine: Engine) -> None:
        entry = stream.entry
        run = Run(stream, engine)
        if engine.unreachable_until > self._now:
            run.connected = False
            run.timeout_at = self._now + _CONNECT_SECONDS
        elif not engine.accept(run, self._now, self._random):
            stream.tried.add(engine.number)
            stream.may_resume_at[engine.number] = self._now + _REFUSED_PAUSE
            return
        elif self._may_replace_before_head(stream, engine.number):
            run.timeout_at = self._now + _HEAD_SECONDS
        stream.affected |= run.resumes_at > self._now
        stream.run = run
        entry.record_sent(engine.number, self._now)

    def _may_replace_before_head(self, stream: Stream, number: int) -> bool:
        entry = stream.entry
        return (
            (not stream.begun or self._policy.watches_heads)
            and self._has_run_left(stream)
            and entry.counts[number] + entry.others[number] < self._load.slots
            and entry.has_free_slot({*stream.tried, number}, self._now)
            and entry.take_retry()
        )

    def _read(self, run: Run) -> None:
        stream = run.stream
        if run.closed or stream.entry.asleep_until > self._now:
            return
        gap = self._now - stream.last_event_at
        stream.late |= gap > (_GAP_TARGET if stream.begun else _LATENCY_TARGET)
        stream.entry.record_byte(run.engine.number, self._now)
        stream.begun = run.started = True
        stream.last_event_at = stream.last_byte_at = self._now
        stream.next_check = self._now + first_check(_GAP_TARGET)
        stream.events -= run.unread
        run.unread = 0
        if stream.events <= 0:
            self._end(stream)
            self.outcome.late += stream.late
            self.outcome.others_late += stream.late and not stream.affected

    def _leave(self) -> None:
        """End the streams whose clients leave."""
        for entry in self._entries:
            for stream in tuple(entry.streams):
                if self._now - stream.last_event_at > _CLIENT_SECONDS:
                    self.outcome.left += stream.begun
                    self._end_unserved(stream)
                elif self._now - stream.arrived > _DEADLINE:
                    self._cut(stream)

    def _cut(self, stream: Stream) -> None:
        self.outcome.cut += stream.begun
        self._end_unserved(stream)

    def _end_unserved(self, stream: Stream) -> None:
        self._end(stream)
        if not stream.begun:
            self.outcome.unserved += 1
        self.outcome.others_late += not stream.affected

    def _close(self, run: Run) -> None:
        run.closed = True
        run.stream.run = None
        run.stream.tried.add(run.engine.number)
        run.stream.entry.counts[run.engine.number] -= 1

    def _end(self, stream: Stream) -> None:
        if stream.run is not None:
            self._close(stream.run)
        stream.done = True
        stream.entry.streams.remove(stream)
