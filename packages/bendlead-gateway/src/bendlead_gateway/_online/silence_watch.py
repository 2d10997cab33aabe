"""Watch of one response for the silence of its engine."""

from collections.abc import Mapping

from bendlead_store import clock
from msgspec.structs import replace

from bendlead_gateway._fleet.fleet import Fleet
from bendlead_gateway._http.client import ResponseTimeoutError
from bendlead_gateway._log import Log
from bendlead_gateway._online.exchange import Exchange
from bendlead_gateway._online.outcomes import (
    BrokenStreamError,
    LostConnectionError,
    SilentEngineError,
)
from bendlead_gateway._scheduling.retry import has_free_slot
from bendlead_gateway._scheduling.silence import (
    Reaction,
    Silence,
    first_check,
)
from bendlead_gateway.types import Engine

#: Interval of the checks while an engine is silent.
_CHECK_SECONDS = 0.1
_MS_PER_SECOND = 1000
_ERRORS: Mapping[Reaction, type[BrokenStreamError]] = {
    Reaction.MOVE: SilentEngineError,
    Reaction.RECONNECT: LostConnectionError,
}


class SilenceWatch:
    """Decide when to give up the silent engine of a resumable stream."""

    def __init__(
        self, exchange: Exchange, engine: Engine, fleet: Fleet, log: Log
    ) -> None:
        self._exchange = exchange
        self._engine = engine
        self._balancer = fleet.balancer
        self._health = fleet.health
        self._loads = fleet.loads
        self._reachability = fleet.reachability
        self._log = log
        self._last_byte_at = clock.uptime()
        self._logged = False

    @property
    def timeout(self) -> float:
        """Seconds until the next check if no byte arrives."""
        return max(_CHECK_SECONDS, self._first_check - self._silent_seconds)

    def record_byte(self, now: float) -> None:
        """Record that a part of the response has arrived."""
        if self._logged:
            self._logged = False
            self._log.event(
                'engine-resumed',
                request=self._exchange.facts.request,
                engine=self._engine.engine,
                silent_ms=round(self._silent_seconds * _MS_PER_SECOND),
            )
        self._last_byte_at = now

    def check(self, timed_out: ResponseTimeoutError) -> None:
        """Return if the engine is waited for, else raise why it is given up.

        Raises ``SilentEngineError`` or ``LostConnectionError``.
        """
        if self._silent_seconds < self._first_check:
            return
        silence = self._silence()
        if silence.reaction is Reaction.WAIT and self._logged:
            return
        # Views of all engines are built only where they matter.
        silence = replace(silence, slot_elsewhere=self._has_free_slot())
        if silence.reaction is not Reaction.WAIT or not self._logged:
            self._log_silence(silence)
        error = _ERRORS.get(silence.reaction)
        if error is not None:
            raise error(
                f'no data received for {silence.seconds:.3f} s'
            ) from timed_out

    @property
    def _first_check(self) -> float:
        return first_check(self._exchange.route.gap_target)

    @property
    def _silent_seconds(self) -> float:
        return clock.uptime() - self._last_byte_at

    def _silence(self) -> Silence:
        """Return the silence as if another engine had a free slot."""
        exchange = self._exchange
        active = self._health.active_seconds(self._engine.engine)
        return Silence(
            seconds=self._silent_seconds,
            active_seconds=active,
            gap_target=exchange.route.gap_target,
            target=exchange.route.target,
            seconds_left=exchange.seconds_left,
            run_left=exchange.has_run_left,
            slot_elsewhere=True,
            unreachable=not active
            and self._reachability.is_unreachable(self._engine),
            others_silent=self._are_others_silent(),
            reconnected=exchange.reconnected_after
            == (exchange.last_event or 0),
        )

    def _has_free_slot(self) -> bool:
        exchange = self._exchange
        begun = exchange.last_event is not None
        return has_free_slot(
            self._balancer.views(
                self._engine.service,
                exchange.excluded(clock.uptime()) | {self._engine.engine},
                self._engine.version if begun else None,
            )
        )

    def _are_others_silent(self) -> bool:
        others = [
            name
            for name, running in self._loads.own.online.items()
            if running and name != self._engine.engine
        ]
        return bool(others) and all(
            self._health.is_unresponsive(name, self._loads.own_busy_since(name))
            for name in others
        )

    def _log_silence(self, silence: Silence) -> None:
        self._logged = True
        self._log.event(
            'engine-silent',
            request=self._exchange.facts.request,
            engine=self._engine.engine,
            silent_ms=round(silence.seconds * _MS_PER_SECOND),
            sending_to_others_ms=round(silence.active_seconds * _MS_PER_SECOND),
            run_left=silence.run_left,
            slot_elsewhere=silence.slot_elsewhere,
            unreachable=silence.unreachable,
            others_silent=silence.others_silent,
            reaction=silence.reaction.value,
        )
