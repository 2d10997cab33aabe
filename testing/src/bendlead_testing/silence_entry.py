"""What a simulated entry knows of the engines."""

from collections.abc import Collection, Iterator, Sequence
from random import Random
from typing import TYPE_CHECKING

from bendlead_gateway._scheduling.placement import Traffic, choose_engine
from bendlead_gateway._scheduling.view import EngineView
from bendlead_gateway.types import (
    DataHall,
    Engine,
    EngineId,
    EngineState,
    ServiceName,
)

if TYPE_CHECKING:
    from bendlead_testing.silence_engines import Stream

_UNRESPONSIVE_SECONDS = 0.25
_RETRIES_PER_REQUEST = 0.1
_MAX_RETRIES = 10.0


class Entry:
    """An entry that sees its own streams, and counts of the others late."""

    def __init__(self, engines: int, slots: int, random: Random) -> None:
        self.streams: list[Stream] = []
        self.counts = [0] * engines
        self.others: Sequence[int] = [0] * engines
        self.asleep_until = 0.0
        self.traffic = Traffic(0, 0)
        self._random = random
        self._retries = _MAX_RETRIES
        #: By engine, in seconds.
        self._paused_until = [0.0] * engines
        self._connect_failed_at = [0.0] * engines
        self._busy_since = [0.0] * engines
        self._active_since = [0.0] * engines
        self._last_byte_at = [0.0] * engines
        self._engines = [_describe(at, slots) for at in range(engines)]

    def record_sent(self, engine: int, now: float) -> None:
        """Count a request that is sent to an engine."""
        if not self.counts[engine]:
            self._busy_since[engine] = now
        self.counts[engine] += 1

    def record_byte(self, engine: int, now: float) -> None:
        """Record that an engine has written to this entry."""
        if now - self._last_byte_at[engine] > _UNRESPONSIVE_SECONDS:
            self._active_since[engine] = now
        self._last_byte_at[engine] = now

    def pause(self, engine: int, until: float) -> None:
        """Use an engine only if all others are paused as well."""
        self._paused_until[engine] = until

    def record_failed_connect(self, engine: int, now: float) -> None:
        """Record that a new connection to an engine hangs."""
        self._connect_failed_at[engine] = now

    def has_failed_to_connect(self, engine: int, since: float) -> bool:
        """Return whether a new connection hung since then."""
        return self._connect_failed_at[engine] > since

    def active_seconds(self, engine: int, now: float) -> float:
        """Return for how long (s) an engine has been sending without pause."""
        if now - self._last_byte_at[engine] > _UNRESPONSIVE_SECONDS:
            return 0
        return now - self._active_since[engine]

    def earn_retry(self) -> None:
        """Add the share of a retry before the head that a request earns."""
        self._retries = min(_MAX_RETRIES, self._retries + _RETRIES_PER_REQUEST)

    def take_retry(self) -> bool:
        """Take a retry before the head, if there is one."""
        if self._retries < 1:
            return False
        self._retries -= 1
        return True

    def choose(self, excluded: Collection[int], now: float) -> int | None:
        """Return the engine that placement chooses, if any is left."""
        placement = choose_engine(
            list(self.views(excluded, now)), self.traffic, self._random.random
        )
        return placement and int(placement.view.name)

    def has_free_slot(
        self, excluded: Collection[int], now: float, *, silent: bool = False
    ) -> bool:
        """Return whether an engine has a free slot, one of silent ones too."""
        return any(
            view.free > 0 and not view.paused and (silent or not view.silent)
            for view in self.views(excluded, now)
        )

    def has_sound_engine(self, excluded: Collection[int], now: float) -> bool:
        """Return whether an engine is neither paused nor silent."""
        return any(
            not view.paused and not view.silent
            for view in self.views(excluded, now)
        )

    def are_others_silent(self, engine: int, now: float) -> bool:
        """Return whether all other engines with streams of it are silent."""
        busy = [
            view
            for view in self.views((engine,), now)
            if self.counts[int(view.name)]
        ]
        return bool(busy) and all(view.silent for view in busy)

    def views(
        self, excluded: Collection[int], now: float
    ) -> Iterator[EngineView]:
        """Return the state of the engines as known here."""
        for number, engine in enumerate(self._engines):
            if number in excluded:
                continue
            active_at = max(
                self._busy_since[number], self._last_byte_at[number]
            )
            yield EngineView(
                engine,
                online=self.counts[number] + self.others[number],
                silent=self.counts[number] > 0
                and now - active_at > _UNRESPONSIVE_SECONDS,
                paused=self._paused_until[number] > now,
            )


def _describe(number: int, slots: int) -> Engine:
    return Engine(
        engine=EngineId(str(number)),
        service=ServiceName('s'),
        address='',
        hall=DataHall('hall-1'),
        slots=slots,
        state=EngineState.READY,
    )
