"""Observations of failing engines, from this process and its peers.

Engines that fail fast look idle and attract requests, so failures are shared
between processes to detect them sooner than each process could alone.

Successes are counted only for engines with a recorded failure; counting them
for all engines would send too many updates.
"""

from collections.abc import Iterator, Mapping

from msgspec import Struct
from msgspec.structs import replace

from bendlead_gateway._health.observation import (
    MAX_FAILURES,
    SILENCES,
    EngineIncarnation,
    FailureKind,
    Observation,
    decay_factor,
    weight_of,
)
from bendlead_gateway.types import NodeName

#: Memory bound, at about 0.5 kB each; the oldest are dropped first.
_MAX_OBSERVATIONS = 4096
#: Successes sent in one update once an engine has recovered, since every
#: update goes to all peers.
_SUCCESSES_PER_UPDATE = 2
_MS_PER_SECOND = 1000
#: Sound engines stand still for less than this.
_SOUND_SECONDS = 1.5
#: Weight of the failures counted for one such silence: too little to eject.
_MAX_SILENCE_WEIGHT = 1.5

#: Time without requests for an engine that is out of reach.
_UNREACHABLE_PAUSE_SECONDS = 0.5

_Key = tuple[EngineIncarnation, NodeName]


class _Silence(Struct):
    """Weight counted so far for one silence of an engine."""

    noticed_at: float
    counted: float = 0


class _Unreachable(Struct):
    """A time without a success in which an engine was out of reach."""

    since: float
    noticed_at: float
    paused_until: float = 0


class EvidenceTable:
    """Latest observation by each process of each failing engine incarnation.

    All times are passed in, as seconds of this process's monotonic clock.
    """

    def __init__(self, own: NodeName) -> None:
        self._own = own
        self._observations: dict[
            EngineIncarnation, dict[NodeName, Observation]
        ] = {}
        self._first_observed_at: dict[EngineIncarnation, float] = {}
        #: Revision of each observation, in ascending order.
        self._revisions: dict[_Key, int] = {}
        self._revision = 0
        self._unsent: dict[EngineIncarnation, int] = {}
        self._silences: dict[EngineIncarnation, _Silence] = {}
        self._unreachable: dict[EngineIncarnation, _Unreachable] = {}

    @property
    def revision(self) -> int:
        """Number of changes so far that peers are to receive."""
        return self._revision

    @property
    def observations(
        self,
    ) -> Mapping[EngineIncarnation, Mapping[NodeName, Observation]]:
        """Observations of each failing incarnation, by observer."""
        return self._observations

    def record_failure(
        self,
        incarnation: EngineIncarnation,
        kind: FailureKind,
        now: float,
        stamp: float,
        since: float | None = None,
    ) -> None:
        """Record a failure seen by this process at a wall-clock stamp (s).

        ``since`` is when a silence began. One that sound engines may have does
        not eject an engine, however many requests it holds up.
        """
        if kind in SILENCES and since is not None:
            silence = self._silences.get(incarnation)
            if silence is None or since > silence.noticed_at:
                silence = _Silence(now)
                self._silences[incarnation] = silence
            counted = silence.counted + weight_of(kind)
            sound = now - since < _SOUND_SECONDS
            if sound and counted > _MAX_SILENCE_WEIGHT:
                return
            silence.counted = counted
        own = self._own_observation(incarnation, now, stamp)
        failures = dict(own.failures)
        total = sum(failures.values())
        if total < MAX_FAILURES:
            failures[kind] = failures.get(kind, 0) + 1
        self._store(
            incarnation,
            replace(own, failures=failures, good=0, failed_at=now),
        )

    def record_unreachable(
        self,
        incarnation: EngineIncarnation,
        kind: FailureKind,
        now: float,
        stamp: float,
        since: float,
    ) -> None:
        """Record that a request did not reach its engine.

        ``since`` is when it was tried. Requests that were tried before the
        engine was found out of reach tell of the same moment. Timeouts one
        after the other are one silence.
        """
        found = self._unreachable.get(incarnation)
        if found is not None and since <= found.noticed_at:
            return
        if found is None:
            found = _Unreachable(since, now)
            self._unreachable[incarnation] = found
        found.noticed_at = now
        self.pause_unreachable(incarnation, now)
        self.record_failure(incarnation, kind, now, stamp, found.since)

    def pause_unreachable(
        self, incarnation: EngineIncarnation, now: float
    ) -> None:
        """Leave out an engine that was out of reach while it is tried."""
        found = self._unreachable.get(incarnation)
        if found is not None:
            found.paused_until = now + _UNREACHABLE_PAUSE_SECONDS

    def is_unreachable(
        self, incarnation: EngineIncarnation, now: float
    ) -> bool:
        """Return whether this process leaves out an engine out of reach."""
        found = self._unreachable.get(incarnation)
        return found is not None and now < found.paused_until

    def record_success(
        self,
        incarnation: EngineIncarnation,
        sent_at: float,
        now: float,
        stamp: float,
        *,
        cleared: bool,
    ) -> None:
        """Record a success of a request that this process sent.

        Requests sent before the first recorded failure are ignored.
        """
        if sent_at < self._first_observed_at.get(incarnation, now):
            return
        found = self._unreachable.get(incarnation)
        if found is not None and sent_at > found.noticed_at:
            self._unreachable.pop(incarnation)
        own = self._own_observation(incarnation, now, stamp)
        previous = self._observations[incarnation].get(self._own)
        failed_at = self.latest_failure_at(incarnation)
        good = own.good if previous and previous.at > failed_at else 0
        if sent_at > failed_at:
            good += 1
        unsent = self._unsent.get(incarnation, 0) + 1
        send = not cleared or unsent >= _SUCCESSES_PER_UPDATE
        self._unsent[incarnation] = 0 if send else unsent
        answers = own.answers + 1
        self._store(
            incarnation, replace(own, answers=answers, good=good), send=send
        )

    def latest_failure_at(self, incarnation: EngineIncarnation) -> float:
        """Return when any process last saw the incarnation fail (s)."""
        return max(
            observation.failed_at
            for observation in self._observations[incarnation].values()
        )

    def merge(
        self, incarnation: EngineIncarnation, received: Observation
    ) -> bool:
        """Store a peer's observation; return whether it is a newer version."""
        if received.observer == self._own:
            return False
        stored = self._observations.get(incarnation, {}).get(received.observer)
        if stored is not None and stored.version >= received.version:
            return False
        self._store(incarnation, received)
        return True

    def changes_after(
        self, revision: int
    ) -> Iterator[tuple[int, EngineIncarnation, Observation]]:
        """Return the observations after a revision, in ascending order."""
        newer: list[tuple[int, EngineIncarnation, Observation]] = []
        for key, number in reversed(self._revisions.items()):
            if number <= revision:
                break
            incarnation, observer = key
            newer.append(
                (
                    number,
                    incarnation,
                    self._observations[incarnation][observer],
                )
            )
        return reversed(newer)

    def forget(self, incarnation: EngineIncarnation) -> None:
        """Drop all observations of an incarnation that has ended."""
        for observer in self._observations.pop(incarnation, {}):
            self._revisions.pop((incarnation, observer), None)
        self._first_observed_at.pop(incarnation, None)
        self._unsent.pop(incarnation, None)
        self._silences.pop(incarnation, None)
        self._unreachable.pop(incarnation, None)

    def expire(self, now: float) -> None:
        """Drop decayed observations, and incarnations without failures."""
        for incarnation, by_observer in list(self._observations.items()):
            for observer, observation in list(by_observer.items()):
                if not observation.decayed(now).significant:
                    self._drop(incarnation, observer)
            # Successes alone would keep the entry of a busy engine for ever.
            if not any(
                observation.decayed(now).failing
                for observation in by_observer.values()
            ):
                self.forget(incarnation)

    def _own_observation(
        self, incarnation: EngineIncarnation, now: float, stamp: float
    ) -> Observation:
        """Return this process's observation, decayed, as its next version."""
        previous = self._observations.get(incarnation, {}).get(self._own)
        if previous is None:
            return Observation(self._own, now, round(stamp * _MS_PER_SECOND))
        factor = decay_factor(now - previous.at)
        return replace(
            previous,
            at=now,
            # Versions must rise even if the wall clock is set back.
            version=max(previous.version + 1, round(stamp * _MS_PER_SECOND)),
            failures={
                kind: count * factor
                for kind, count in previous.failures.items()
            },
            answers=previous.answers * factor,
        )

    def _store(
        self,
        incarnation: EngineIncarnation,
        observation: Observation,
        *,
        send: bool = True,
    ) -> None:
        self._first_observed_at.setdefault(incarnation, observation.at)
        self._observations.setdefault(incarnation, {})[observation.observer] = (
            observation
        )
        key = (incarnation, observation.observer)
        if not send and key in self._revisions:
            return
        self._revisions.pop(key, None)
        self._revision += 1
        self._revisions[key] = self._revision
        if len(self._revisions) > _MAX_OBSERVATIONS:
            self._drop(*next(iter(self._revisions)))

    def _drop(self, incarnation: EngineIncarnation, observer: NodeName) -> None:
        self._revisions.pop((incarnation, observer), None)
        by_observer = self._observations[incarnation]
        by_observer.pop(observer, None)
        if not by_observer:
            self.forget(incarnation)
