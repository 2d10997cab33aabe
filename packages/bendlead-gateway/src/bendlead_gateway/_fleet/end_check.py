"""Check of engines whose answers ended with their connections."""

from collections.abc import Callable
from enum import Enum

import gevent
from bendlead_store import clock
from gevent import Timeout

from bendlead_gateway._http.client import HttpConnection, ResponseHead
from bendlead_gateway._log import Log
from bendlead_gateway.dialect import Dialect
from bendlead_gateway.types import Engine, EngineId, Headers, ServiceName

#: The listening socket of a process may close some ms after its connections.
_PAUSE_SECONDS = 0.03
_CONNECT_SECONDS = 0.15
#: A health check waits for a slot, as a request does.
_ANSWER_SECONDS = 1.0
_MS_PER_SECOND = 1000


class EngineLife(Enum):
    """Whether the engine that sent an answer still runs."""

    SAME = 'same'
    ENDED = 'ended'
    UNKNOWN = 'unknown'


class EndCheck:
    """Ask who answers at an engine's address.

    An address that accepts connections says little: the engine may have ended
    and started again there, or something else may accept in its place.
    """

    def __init__(
        self,
        has_crashed: Callable[[Engine], bool],
        health_path: Callable[[ServiceName], str | None],
        dialect: Dialect,
        log: Log,
    ) -> None:
        """Use the path of a service's health checks, None if unknown."""
        self._has_crashed = has_crashed
        self._health_path = health_path
        self._dialect = dialect
        self._log = log
        self._pausing: dict[EngineId, gevent.Greenlet] = {}

    def runs_on(self, engine: Engine) -> bool:
        """Return whether an engine surely still runs, after a pause."""
        if self._has_crashed(engine):
            return False
        check = self._pausing.get(engine.engine)
        if check is None:
            check = gevent.spawn(self._check, engine)
            self._pausing[engine.engine] = check
        return check.get() is EngineLife.SAME

    def _check(self, engine: Engine) -> EngineLife:
        try:
            gevent.sleep(_PAUSE_SECONDS)
        finally:
            # An answer that ends from now on may end by a later crash.
            self._pausing.pop(engine.engine, None)
        asked_at = clock.uptime()
        life, reason = EngineLife.UNKNOWN, 'no answer in time'
        with Timeout(_CONNECT_SECONDS + _ANSWER_SECONDS, exception=False):
            life, reason = self._find_life(engine)
        self._log.event(
            'engine-identified',
            engine=engine.engine,
            life=life.value,
            reason=reason,
            ms=round((clock.uptime() - asked_at) * _MS_PER_SECOND, 1),
        )
        return life

    def _find_life(self, engine: Engine) -> tuple[EngineLife, str]:
        """Return whether the engine still runs, and what tells so."""
        try:
            head = self._ask(engine)
        except ConnectionRefusedError as refused:
            return EngineLife.ENDED, str(refused)
        except OSError as error:
            return EngineLife.UNKNOWN, str(error)
        return self._identify(engine, head), f'status {head.status}'

    def _ask(self, engine: Engine) -> ResponseHead:
        path = self._health_path(engine.service)
        if path is None:
            raise OSError(f'no health path of service {engine.service}')
        headers = self._dialect.health_headers(engine)
        connection = HttpConnection(engine.address, _CONNECT_SECONDS)
        try:
            return _request_head(connection, path, headers)
        finally:
            connection.close()

    def _identify(self, engine: Engine, head: ResponseHead) -> EngineLife:
        """Return what a response says; it states the engine or refuses."""
        answer = self._dialect.engine_answer(head.status, head.headers)
        if answer.misdirected:
            return EngineLife.ENDED
        if answer.engine is not None:
            same = answer.engine == engine.engine
            return EngineLife.SAME if same else EngineLife.ENDED
        if answer.not_run:
            # Any other engine would state that the request is misdirected.
            return EngineLife.SAME
        return EngineLife.UNKNOWN


def _request_head(
    connection: HttpConnection, path: str, headers: Headers
) -> ResponseHead:
    connection.send('GET', path, headers, b'', _ANSWER_SECONDS)
    return connection.read_head(_ANSWER_SECONDS)
