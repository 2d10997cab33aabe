"""Simulated shard owners, which run batch items in idle slots."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from bendlead_gateway._scheduling.deferral import (
    ItemTiming,
    item_timing,
    may_lack_slots,
    refused_recently,
    slots_for_urgent_items,
)
from bendlead_gateway._scheduling.item_slots import (
    ItemSlots,
    reserved_slots,
    runs_to_preempt,
)
from bendlead_gateway._scheduling.placement import Traffic
from bendlead_gateway._scheduling.precedence import Precedence
from bendlead_gateway._scheduling.urgency import (
    UPDATE_INTERVAL_SECONDS,
    ItemDurations,
    Urgency,
)
from bendlead_gateway._scheduling.view import EngineView
from bendlead_gateway.types import EngineId, NodeName

from bendlead_testing.replay._entries import FIRST_EVENT_SECONDS
from bendlead_testing.replay._fleet import SimulatedFleet
from bendlead_testing.replay._load import Load, Tally
from bendlead_testing.replay._simulated import Run, SimulatedClock

#: Interval at which an owner schedules its items.
ROUND_SECONDS = 0.025
#: Shortest run of an item, as where it was preempted just before its end.
_MIN_RUN_SECONDS = 0.02


@dataclass(eq=False)
class Item:
    """Batch item and its progress."""

    #: Duration of an uninterrupted run.
    seconds: float
    accepted_at: float
    #: Part of the duration that earlier runs have completed.
    done_seconds: float = 0
    #: Time spent in earlier runs.
    run_seconds: float = 0
    started_at: float | None = None
    run: Run | None = None
    completed_at: float | None = None


@dataclass(frozen=True)
class _OwnerItems:
    """Running items of another owner, as it reported them."""

    batch: Mapping[EngineId, int]
    quiet: bool = False


class SimulatedOwner:
    """Shard owner that starts and preempts the runs of its items."""

    def __init__(
        self,
        number: int,
        load: Load,
        fleet: SimulatedFleet,
        clock: SimulatedClock,
        tally: Tally,
    ) -> None:
        self._number = number
        self._load = load
        self._fleet = fleet
        self._clock = clock
        self._tally = tally
        self._traffic = Traffic(load.run_seconds, load.report_age)
        self._precedence = Precedence(_owner_name(number))
        self._durations = ItemDurations()
        self.items: list[Item] = []
        self._next_update_at = 0.0
        self._urgent_slots: int | None = None

    def run_rounds(self) -> None:
        """Preempt and start items now and at each interval."""
        views = self._views()
        reserved = reserved_slots(views, self._traffic)
        self._update_precedence()
        self._preempt(views, reserved)
        self._hold_back(views)
        self._update_durations()
        self._start_items(self._views(), reserved)
        self._clock.call_later(ROUND_SECONDS, self.run_rounds)

    def _update_durations(self) -> None:
        if self._clock.now < self._next_update_at:
            return
        self._next_update_at = self._clock.now + UPDATE_INTERVAL_SECONDS
        unfinished = [item for item in self.items if item.completed_at is None]
        running = sum(item.run is not None for item in unfinished)
        self._durations.update_work(
            [self._total_run_seconds(item) for item in unfinished], running
        )

    def _total_run_seconds(self, item: Item) -> float:
        current = self._elapsed(item.run) if item.run is not None else 0
        return item.run_seconds + current

    def _views(self) -> Sequence[EngineView]:
        """Return the engines with the counts that this owner has of them."""
        snapshot = self._fleet.snapshot(self._fleet.draw_age())
        return [
            EngineView(
                engine.engine,
                online=snapshot.online[False][number],
                batch=engine.batch[self._number]
                + sum(
                    counts[number]
                    for owner, counts in enumerate(snapshot.batch)
                    if owner != self._number
                ),
            )
            for number, engine in enumerate(self._fleet.engines)
            if engine in self._fleet.ready
        ]

    def _update_precedence(self) -> None:
        """Receive the other owners' reports of their running items."""
        names = [engine.engine.engine for engine in self._fleet.engines]
        snapshot = self._fleet.snapshot(self._load.report_age)
        self._precedence.update_others(
            {
                _owner_name(number): _OwnerItems(
                    dict(zip(names, counts, strict=True))
                )
                for number, counts in enumerate(snapshot.batch)
                if number != self._number and any(counts)
            }
        )

    def _preempt(self, views: Sequence[EngineView], reserved: int) -> None:
        for view in views:
            own_items = [
                item
                for item in self.items
                if item.run and item.run.engine.engine is view.engine
            ]
            before = self._precedence.items_before(view.name)
            excess = runs_to_preempt(view, len(own_items), reserved, before)
            own_items.sort(key=self._urgency)
            for item in own_items[len(own_items) - excess :]:
                self._stop(item)

    def _hold_back(self, views: Sequence[EngineView]) -> None:
        """Preempt items while online requests are refused for lack of slots.

        Urgent items keep running in some of the slots.
        """
        refused_seconds = (
            self._clock.now
            - self._load.report_age
            - self._fleet.last_refused_at
        )
        slots = sum(view.slots for view in views)
        online = sum(view.online for view in views)
        lacks_slots = (
            self._load.holds_back
            and refused_recently(refused_seconds)
            and may_lack_slots(online, slots)
        )
        urgent_slots = slots_for_urgent_items(slots, self._precedence.owners)
        self._urgent_slots = urgent_slots if lacks_slots else None
        running = [item for item in self.items if item.run]
        running.sort(key=self._urgency)
        for item in running if lacks_slots else ():
            if urgent_slots and self._timing(item) is ItemTiming.NOW:
                urgent_slots -= 1
            else:
                self._stop(item)
                self._tally.held_back += 1

    def _may_start(self, item: Item) -> bool:
        urgent_slots = self._urgent_slots
        if urgent_slots is None:
            return True
        running = sum(other.run is not None for other in self.items)
        return running < urgent_slots and self._timing(item) is ItemTiming.NOW

    def _timing(self, item: Item) -> ItemTiming:
        age = self._clock.now - item.accepted_at
        return item_timing(
            self._durations.spare(
                age, self._total_run_seconds(item), self._load.completion_window
            )
        )

    def _stop(self, item: Item) -> None:
        run = item.run
        assert run is not None
        elapsed = self._elapsed(run)
        item.run_seconds += elapsed
        item.done_seconds += elapsed
        item.run = None
        self._tally.preemptions += 1
        run.engine.remove(run)

    def _elapsed(self, run: Run) -> float:
        return (
            self._clock.now - run.started_at
            if run.started_at is not None
            else 0
        )

    def _start_items(self, views: Sequence[EngineView], reserved: int) -> None:
        slots = self._item_slots(views, reserved)
        ready = [
            item
            for item in self.items
            if not item.run and item.completed_at is None
        ]
        ready.sort(key=self._urgency)
        for item in ready:
            age = (
                self._clock.now - item.accepted_at
            ) / self._load.completion_window
            if not self._may_start(item):
                continue
            view = slots.take(age)
            if view is None:
                return
            self._start(item, view)

    def _item_slots(
        self, views: Sequence[EngineView], reserved: int
    ) -> ItemSlots:
        first_on = {
            view.name
            for view in views
            if self._precedence.comes_first(view.name)
        }
        return ItemSlots(views, reserved, first_on)

    def _start(self, item: Item, view: EngineView) -> None:
        engine = self._fleet.find(view.engine)
        run = Run(
            engine,
            max(_MIN_RUN_SECONDS, item.seconds - item.done_seconds)
            + FIRST_EVENT_SECONDS,
            None,
            lambda _started_at: None,
            lambda ended_at: self._complete(item, ended_at),
            owner=self._number,
        )
        item.run = run
        if item.started_at is None:
            item.started_at = self._clock.now
        engine.add(run)

    def _complete(self, item: Item, ended_at: float) -> None:
        assert item.run is not None and item.started_at is not None
        item.run_seconds += self._elapsed(item.run)
        item.run = None
        item.completed_at = ended_at
        self._durations.observe(item.run_seconds, ended_at - item.started_at)

    def _urgency(self, item: Item) -> Urgency:
        age = self._clock.now - item.accepted_at
        return self._durations.urgency(
            item.accepted_at,
            age,
            self._total_run_seconds(item),
            self._load.completion_window,
        )


def _owner_name(number: int) -> NodeName:
    return NodeName(f'owner-{number}')
