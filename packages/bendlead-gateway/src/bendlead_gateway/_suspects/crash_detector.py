"""Detect engine crashes, and the requests that were running at that moment.

A broken response alone is no crash: the engine may have dropped one request, or
a link failed. An engine has crashed if its address then refuses connections, or
if it leaves the list without having been draining.
"""

from collections.abc import Callable

import gevent
from bendlead_store import clock
from gevent.event import Event
from msgspec import Struct, field

from bendlead_gateway._fleet.probe import refuses_connections
from bendlead_gateway._log import Log
from bendlead_gateway._metrics import Metrics
from bendlead_gateway._suspects.digest import RequestDigest
from bendlead_gateway.types import (
    Engine,
    EngineId,
    EngineState,
    PromptPart,
)

#: Pauses before the probes that follow a broken response. The listening socket
#: of a process may close some ms after its connections.
_PROBE_PAUSES_SECONDS = (0.03, 0.27)
_PROBE_TIMEOUT_SECONDS = 0.15
#: Longest time that a request waits for the first probe.
_AWAIT_PROBE_SECONDS = 0.1
#: Time for which broken responses are remembered. An engine whose heartbeats
#: stop leaves the list after three intervals of 1.2 s and some more.
_MEMORY_SECONDS = 6.0

#: An engine that just stops stays listed for longer than this, by its last
#: heartbeat.
_LISTED_SECONDS = 2.4

#: Bytes sent before a crash may be read this long after it is noticed.
_READ_DELAY_SECONDS = 0.1
#: A response that broke off sooner than this and without a byte may come from a
#: proxy in front of an engine that has already crashed.
_EARLY_CLOSE_SECONDS = 0.03
#: A request abandoned this long before a crash may still have been running.
_ABANDONED_SECONDS = 3.0

_Incarnation = tuple[str, int]

_Parts = tuple[PromptPart, ...]

#: Called with a crashed engine, a request that it was running, and those of its
#: parts that may have caused the crash.
OnCrash = Callable[[Engine, RequestDigest, _Parts], None]


def ignore_crash(engine: Engine, digest: RequestDigest, parts: _Parts) -> None:
    """Ignore a crash."""


class BrokenResponse(Struct, frozen=True):
    """A response that broke off.

    ``sent_at`` is when its request was sent (s on the steady clock),
    ``response_started`` whether some bytes of the response had arrived.
    ``suspected_parts`` are the shared parts of a request that may have caused
    a crash at that moment.
    """

    digest: RequestDigest
    sent_at: float
    response_started: bool
    suspected_parts: tuple[PromptPart, ...] = ()
    #: Whether it was given up, with the connection open.
    silent: bool = False


class _PossibleCrash(Struct):
    """Requests whose responses from one engine incarnation broke off."""

    engine: Engine
    noticed_at: float
    digests: dict[RequestDigest, _Parts] = field(default_factory=dict)
    #: Requests closed at once, perhaps by a proxy in front of the engine.
    closed_early: dict[RequestDigest, _Parts] = field(default_factory=dict)
    #: When each request that was given up in silence was sent.
    silent: dict[RequestDigest, float] = field(default_factory=dict)
    confirmed: bool = False
    #: Set after the first probe.
    probed: Event = field(default_factory=Event)


class CrashDetector:
    """Watch engines whose responses broke off, and report their crashes."""

    def __init__(
        self,
        takes_requests: Callable[[Engine], bool],
        last_response_at: Callable[[EngineId], float],
        log: Log,
        metrics: Metrics,
    ) -> None:
        self._takes_requests = takes_requests
        self._last_response_at = last_response_at
        self._log = log
        self._metrics = metrics
        self._possible: dict[_Incarnation, _PossibleCrash] = {}
        self._abandoned: dict[
            _Incarnation, dict[RequestDigest, tuple[float, _Parts]]
        ] = {}
        self.on_crash: OnCrash = ignore_crash

    def record_broken(self, engine: Engine, broken: BrokenResponse) -> None:
        """Record that an engine's response to a request broke off."""
        self._expire()
        crash = self._possible.get(_incarnation(engine))
        if crash is not None and broken.sent_at > crash.noticed_at:
            if not self._is_running(crash, broken):
                # The engine had crashed before this request was sent: a proxy
                # in front of it accepted the connection.
                return
            crash = None
        if crash is None:
            crash = self._start_probes(engine)
        if crash is not None:
            self._add(crash, broken)

    def record_abandoned(
        self, engine: Engine, digest: RequestDigest, parts: _Parts = ()
    ) -> None:
        """Record that the client of a running request disconnected.

        The engine may go on with the request, and crash a moment later.
        """
        self._expire()
        abandoned = self._abandoned.setdefault(_incarnation(engine), {})
        abandoned[digest] = (clock.uptime(), parts)

    def record_refused(self, engine: Engine) -> None:
        """Record that an engine's address refused a connection."""
        crash = self._find_possible(engine)
        if crash is not None and self._takes_requests(engine):
            self._confirm_refused(crash)

    def record_removed(
        self, engine: Engine, *, restarted: bool = False
    ) -> None:
        """Record that an engine left the list, or was started again."""
        crash = self._find_possible(engine)
        if crash is None or engine.state is not EngineState.READY:
            return
        if not restarted and self._left_too_soon(crash):
            return
        self._confirm(crash, 'left the list')

    def await_probe(self, digest: RequestDigest) -> None:
        """Wait for the first probe of the engines that broke off a request."""
        for crash in list(self._possible.values()):
            if digest in crash.digests:
                crash.probed.wait(_AWAIT_PROBE_SECONDS)

    def has_crashed(self, engine: Engine) -> bool:
        """Return whether a crash of an engine has been confirmed lately."""
        crash = self._possible.get(_incarnation(engine))
        return crash is not None and crash.confirmed

    def _is_running(
        self, crash: _PossibleCrash, broken: BrokenResponse
    ) -> bool:
        """Return whether the engine of an unconfirmed crash still responds."""
        if crash.confirmed:
            return False
        responded = self._last_response_at(crash.engine.engine)
        return (
            broken.response_started
            or responded > crash.noticed_at + _READ_DELAY_SECONDS
        )

    def _left_too_soon(self, crash: _PossibleCrash) -> bool:
        """Return whether an engine left before its heartbeats could expire.

        Only silences tell of it, and a crash in silence stays listed longer.
        """
        if _incarnation(crash.engine) in self._abandoned or crash.closed_early:
            return False
        latest = clock.uptime() - _LISTED_SECONDS
        return bool(crash.digests) and all(
            crash.silent.get(digest, latest) > latest
            for digest in crash.digests
        )

    def _start_probes(self, engine: Engine) -> _PossibleCrash | None:
        if not self._takes_requests(engine):
            # A draining engine may stop with requests unfinished.
            return None
        crash = _PossibleCrash(engine, clock.uptime())
        self._possible[_incarnation(engine)] = crash
        gevent.spawn(self._probe, crash)
        return crash

    def _add(self, crash: _PossibleCrash, broken: BrokenResponse) -> None:
        if broken.digest in crash.digests:
            return
        elapsed = clock.uptime() - broken.sent_at
        if not broken.response_started and elapsed < _EARLY_CLOSE_SECONDS:
            crash.closed_early[broken.digest] = broken.suspected_parts
            return
        crash.digests[broken.digest] = broken.suspected_parts
        if broken.silent:
            crash.silent[broken.digest] = broken.sent_at
        if crash.confirmed:
            self.on_crash(crash.engine, broken.digest, broken.suspected_parts)

    def _probe(self, crash: _PossibleCrash) -> None:
        for pause in _PROBE_PAUSES_SECONDS:
            gevent.sleep(pause)
            if refuses_connections(
                crash.engine.address, _PROBE_TIMEOUT_SECONDS
            ):
                self._confirm_refused(crash)
            crash.probed.set()
            if crash.confirmed:
                return

    def _find_possible(self, engine: Engine) -> _PossibleCrash | None:
        incarnation = _incarnation(engine)
        if incarnation not in self._possible and incarnation in self._abandoned:
            self._possible[incarnation] = _PossibleCrash(engine, clock.uptime())
        return self._possible.get(incarnation)

    def _confirm_refused(self, crash: _PossibleCrash) -> None:
        """Confirm the crash of an engine whose address refuses connections.

        No proxy is in front of it, so requests closed early had reached it.
        """
        if not crash.confirmed:
            crash.digests |= crash.closed_early
        self._confirm(crash, 'refuses connections')

    def _confirm(self, crash: _PossibleCrash, reason: str) -> None:
        if crash.confirmed:
            return
        crash.confirmed = True
        since = crash.noticed_at - _ABANDONED_SECONDS
        for digest, (abandoned_at, parts) in self._abandoned.pop(
            _incarnation(crash.engine), {}
        ).items():
            if abandoned_at > since:
                crash.digests.setdefault(digest, parts)
        self._metrics.engine_ends += 1
        self._log.event(
            'engine-ended',
            engine=crash.engine.engine,
            born=crash.engine.born,
            reason=reason,
            after_ms=round((clock.uptime() - crash.noticed_at) * 1000),
            digests=','.join(sorted(crash.digests)),
        )
        for digest, suspected in crash.digests.items():
            self.on_crash(crash.engine, digest, suspected)

    def _expire(self) -> None:
        """Forget broken responses and abandoned requests that are too old."""
        oldest = clock.uptime() - _MEMORY_SECONDS
        for incarnation, crash in list(self._possible.items()):
            if crash.noticed_at < oldest:
                self._possible.pop(incarnation)
        for incarnation, abandoned in list(self._abandoned.items()):
            if max(abandoned.values())[0] < oldest:
                self._abandoned.pop(incarnation)


def _incarnation(engine: Engine) -> _Incarnation:
    """Return a key for one start of an engine, which may keep its id."""
    return engine.engine, engine.born
