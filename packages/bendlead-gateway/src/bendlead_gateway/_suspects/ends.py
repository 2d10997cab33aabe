"""Find out which engines have ended, and which requests they ran then.

An answer that breaks off tells little: an engine may have dropped this one
request, or a link was cut. The engine has ended where its address then refuses
connections, or where it leaves the list without having said that it drains.
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
from bendlead_gateway.types import Engine, EngineId, EngineState

#: When an engine is asked for a connection after an answer broke off (s). Its
#: listening socket may close some ms after its connections.
_PROBE_PAUSES = (0.03, 0.27)
_PROBE_SECONDS = 0.15
#: How long (s) the first of these answers is awaited by a request.
_AWAITED_SECONDS = 0.1
#: How long (s) an answer that broke off waits for news of its engine: one that
#: fell silent leaves the list after three heartbeats of 1.2 s and some more.
_NEWS_SECONDS = 6.0

#: Bytes that came before an end may be read this much (s) after it is noticed.
_READ_LATE_SECONDS = 0.1
#: What is turned away sooner than this (s) and without a byte may never have
#: met the engine: an engine begins its answer after some 0.04 s.
_TURNED_AWAY_SECONDS = 0.03
#: A request whose caller left this long (s) before an engine ended may have
#: run there still: streams take a second.
_LEFT_SECONDS = 3.0

_Life = tuple[str, int]

#: Takes an engine that has ended and a request that it ran.
OnEnd = Callable[[Engine, RequestDigest], None]


def ignore_end(engine: Engine, digest: RequestDigest) -> None:
    """Hold nothing against a request."""


class Break(Struct, frozen=True):
    """Say which answer broke off, and when its request was sent (s).

    ``answered`` tells that some bytes of an answer had come.
    """

    digest: RequestDigest
    began: float
    answered: bool


class _Broken(Struct):
    """Keep the requests whose answers from one engine broke off."""

    engine: Engine
    at: float
    digests: set[RequestDigest] = field(default_factory=set)
    #: Those that were turned away at once, perhaps by what stands for an engine
    #: that was gone already.
    turned_away: set[RequestDigest] = field(default_factory=set)
    ended: bool = False
    #: Set once it is known whether the engine refuses connections at once.
    probed: Event = field(default_factory=Event)


class EngineEnds:
    """Watch the engines whose answers broke off, and tell of their ends."""

    def __init__(
        self,
        takes_requests: Callable[[Engine], bool],
        heard_at: Callable[[EngineId], float],
        log: Log,
        metrics: Metrics,
    ) -> None:
        self._takes_requests = takes_requests
        self._heard_at = heard_at
        self._log = log
        self._metrics = metrics
        self._broken: dict[_Life, _Broken] = {}
        self._left: dict[_Life, dict[RequestDigest, float]] = {}
        self.on_end: OnEnd = ignore_end

    def broke_off(self, engine: Engine, answer: Break) -> None:
        """Note that an engine's answer to a request broke off."""
        self._expire()
        broken = self._broken.get(_life(engine))
        if broken is not None and answer.began > broken.at:
            if not self._went_on(broken, answer):
                # It was gone before it got this request: something before it
                # takes connections in its place. Good items met several such
                # engines in a row, and were taken for the cause.
                return
            broken = None
        if broken is None:
            broken = self._begin(engine)
        if broken is not None:
            self._add(broken, answer)

    def left(self, engine: Engine, digest: RequestDigest) -> None:
        """Note that nobody waits any more for an engine's answer.

        The engine may run the request on, and end under it a moment later.
        """
        self._expire()
        self._left.setdefault(_life(engine), {})[digest] = clock.uptime()

    def refused(self, engine: Engine) -> None:
        """Note that an engine's address refused a connection."""
        broken = self._broken_or_left(engine)
        if broken is not None and self._takes_requests(engine):
            self._refuses(broken)

    def gone(self, engine: Engine) -> None:
        """Note that an engine left the list, or was started again."""
        broken = self._broken_or_left(engine)
        if broken is not None and engine.state is EngineState.READY:
            self._end(broken, 'left the list')

    def await_probe(self, digest: RequestDigest) -> None:
        """Wait until the engines that broke off a request were asked."""
        for broken in list(self._broken.values()):
            if digest in broken.digests:
                broken.probed.wait(_AWAITED_SECONDS)

    def _went_on(self, broken: _Broken, answer: Break) -> bool:
        """Tell whether an engine has answered since an answer broke off."""
        if broken.ended:
            return False
        heard = self._heard_at(broken.engine.engine)
        return answer.answered or heard > broken.at + _READ_LATE_SECONDS

    def _begin(self, engine: Engine) -> _Broken | None:
        if not self._takes_requests(engine):
            # Its end was planned, and cuts off what it did not finish.
            return None
        broken = _Broken(engine, clock.uptime())
        self._broken[_life(engine)] = broken
        gevent.spawn(self._probe, broken)
        return broken

    def _add(self, broken: _Broken, answer: Break) -> None:
        if answer.digest in broken.digests:
            return
        held = clock.uptime() - answer.began
        if not answer.answered and held < _TURNED_AWAY_SECONDS:
            broken.turned_away.add(answer.digest)
            return
        broken.digests.add(answer.digest)
        if broken.ended:
            self.on_end(broken.engine, answer.digest)

    def _probe(self, broken: _Broken) -> None:
        for pause in _PROBE_PAUSES:
            gevent.sleep(pause)
            if refuses_connections(broken.engine.address, _PROBE_SECONDS):
                self._refuses(broken)
            broken.probed.set()
            if broken.ended:
                return

    def _broken_or_left(self, engine: Engine) -> _Broken | None:
        life = _life(engine)
        if life not in self._broken and life in self._left:
            self._broken[life] = _Broken(engine, clock.uptime())
        return self._broken.get(life)

    def _refuses(self, broken: _Broken) -> None:
        """End an engine in whose place nothing takes connections.

        Whatever was sent there had met the engine itself.
        """
        if not broken.ended:
            broken.digests |= broken.turned_away
        self._end(broken, 'refuses connections')

    def _end(self, broken: _Broken, reason: str) -> None:
        if broken.ended:
            return
        broken.ended = True
        since = broken.at - _LEFT_SECONDS
        for digest, at in self._left.pop(_life(broken.engine), {}).items():
            if at > since:
                broken.digests.add(digest)
        self._metrics.engine_ends += 1
        self._log.event(
            'engine-ended',
            engine=broken.engine.engine,
            born=broken.engine.born,
            reason=reason,
            after_ms=round((clock.uptime() - broken.at) * 1000),
            digests=','.join(sorted(broken.digests)),
        )
        for digest in broken.digests:
            self.on_end(broken.engine, digest)

    def _expire(self) -> None:
        """Forget the answers that broke off long ago."""
        oldest = clock.uptime() - _NEWS_SECONDS
        for life, broken in list(self._broken.items()):
            if broken.at < oldest:
                self._broken.pop(life)
        for life, left in list(self._left.items()):
            if max(left.values()) < oldest:
                self._left.pop(life)


def _life(engine: Engine) -> _Life:
    """Name one life of an engine, which may keep its id."""
    return engine.engine, engine.born
