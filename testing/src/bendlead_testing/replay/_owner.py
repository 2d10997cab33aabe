"""A simulated owner: it runs the items of its jobs in idle places."""

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

from bendlead_testing.replay._entries import FIRST_EVENT
from bendlead_testing.replay._fleet import SimulatedFleet
from bendlead_testing.replay._load import Load, Tally
from bendlead_testing.replay._simulated import Clock, Run

#: Seconds between two looks of an owner for places.
ROUND_SECONDS = 0.025
#: An item that was stopped at its very end runs for this long (s) again.
_SHORTEST_RUN = 0.02


@dataclass(eq=False)
class Item:
    """Keep how far an item of a job has come."""

    seconds: float
    accepted: float
    done: float = 0
    spent: float = 0
    begun: float | None = None
    run: Run | None = None
    whole: float | None = None


@dataclass(frozen=True)
class _OwnerItems:
    """Keep what one owner knows of the items of another."""

    batch: Mapping[EngineId, int]
    quiet: bool = False


class SimulatedOwner:
    """Start, stop and finish the runs of its items."""

    def __init__(
        self,
        number: int,
        load: Load,
        fleet: SimulatedFleet,
        clock: Clock,
        tally: Tally,
    ) -> None:
        self._number = number
        self._load = load
        self._fleet = fleet
        self._clock = clock
        self._tally = tally
        self._traffic = Traffic(load.run, load.age)
        self._precedence = Precedence(_owner_name(number))
        self._pace = ItemDurations()
        self.items: list[Item] = []
        self._look_again_at = 0.0
        self._places_for_late: int | None = None

    def look(self) -> None:
        """Look for places, and again after each pause."""
        views = self._views()
        kept = reserved_slots(views, self._traffic)
        self._meet()
        self._step_aside(views, kept)
        self._hold_back(views)
        self._look_at_work()
        self._start_items(self._views(), kept)
        self._clock.after(ROUND_SECONDS, self.look)

    def _look_at_work(self) -> None:
        if self._clock.now < self._look_again_at:
            return
        self._look_again_at = self._clock.now + UPDATE_INTERVAL_SECONDS
        unfinished = [one for one in self.items if one.whole is None]
        held = sum(one.run is not None for one in unfinished)
        self._pace.update_work([self._spent(one) for one in unfinished], held)

    def _spent(self, item: Item) -> float:
        running = self._held(item.run) if item.run is not None else 0
        return item.spent + running

    def _views(self) -> Sequence[EngineView]:
        """Show the engines as this owner knows them."""
        past = self._fleet.past(self._fleet.draw_age())
        return [
            EngineView(
                one.engine,
                online=past.online[False][number],
                batch=one.batch[self._number]
                + sum(
                    counts[number]
                    for owner, counts in enumerate(past.batch)
                    if owner != self._number
                ),
            )
            for number, one in enumerate(self._fleet.engines)
            if one in self._fleet.ready
        ]

    def _meet(self) -> None:
        """Take the items of the other owners, as they were."""
        names = [one.engine.engine for one in self._fleet.engines]
        past = self._fleet.past(self._load.age)
        self._precedence.update_others(
            {
                _owner_name(number): _OwnerItems(
                    dict(zip(names, counts, strict=True))
                )
                for number, counts in enumerate(past.batch)
                if number != self._number and any(counts)
            }
        )

    def _step_aside(self, views: Sequence[EngineView], kept: int) -> None:
        for view in views:
            mine = [
                one
                for one in self.items
                if one.run and one.run.engine.engine is view.engine
            ]
            before = self._precedence.items_before(view.name)
            over = runs_to_preempt(view, len(mine), kept, before)
            mine.sort(key=self._urgency)
            for item in mine[len(mine) - over :]:
                self._stop(item)

    def _hold_back(self, views: Sequence[EngineView]) -> None:
        """Give places back while online requests are refused."""
        refused = self._clock.now - self._load.age - self._fleet.refused_at
        slots = sum(one.slots for one in views)
        online = sum(one.online for one in views)
        lack = (
            self._load.holds_back
            and refused_recently(refused)
            and may_lack_slots(online, slots)
        )
        places = slots_for_urgent_items(slots, self._precedence.owners)
        self._places_for_late = places if lack else None
        runs = [one for one in self.items if one.run]
        runs.sort(key=self._urgency)
        for item in runs if lack else ():
            if places and self._wait(item) is ItemTiming.NOW:
                places -= 1
            else:
                self._stop(item)
                self._tally.held_back += 1

    def _may_start(self, item: Item) -> bool:
        most = self._places_for_late
        if most is None:
            return True
        running = sum(one.run is not None for one in self.items)
        return running < most and self._wait(item) is ItemTiming.NOW

    def _wait(self, item: Item) -> ItemTiming:
        age = self._clock.now - item.accepted
        return item_timing(
            self._pace.spare(age, self._spent(item), self._load.item_due)
        )

    def _stop(self, item: Item) -> None:
        run = item.run
        assert run is not None
        held = self._held(run)
        item.spent += held
        item.done += held
        item.run = None
        self._tally.stops += 1
        run.engine.drop(run)

    def _held(self, run: Run) -> float:
        return self._clock.now - run.began if run.began is not None else 0

    def _start_items(self, views: Sequence[EngineView], kept: int) -> None:
        places = self._places(views, kept)
        waiting = [
            one for one in self.items if not one.run and one.whole is None
        ]
        waiting.sort(key=self._urgency)
        for item in waiting:
            age = (self._clock.now - item.accepted) / self._load.item_due
            if not self._may_start(item):
                continue
            view = places.take(age)
            if view is None:
                return
            self._start(item, view)

    def _places(self, views: Sequence[EngineView], kept: int) -> ItemSlots:
        led = {
            one.name for one in views if self._precedence.comes_first(one.name)
        }
        return ItemSlots(views, kept, led)

    def _start(self, item: Item, view: EngineView) -> None:
        engine = self._fleet.engine(view.engine)
        run = Run(
            engine,
            max(_SHORTEST_RUN, item.seconds - item.done) + FIRST_EVENT,
            None,
            lambda _began: None,
            lambda ended: self._finish(item, ended),
            owner=self._number,
        )
        item.run = run
        if item.begun is None:
            item.begun = self._clock.now
        engine.add(run)

    def _finish(self, item: Item, ended: float) -> None:
        assert item.run is not None and item.begun is not None
        item.spent += self._held(item.run)
        item.run = None
        item.whole = ended
        self._pace.observe(item.spent, ended - item.begun)

    def _urgency(self, item: Item) -> Urgency:
        age = self._clock.now - item.accepted
        return self._pace.urgency(
            item.accepted,
            age,
            self._spent(item),
            self._load.item_due,
        )


def _owner_name(number: int) -> NodeName:
    return NodeName(f'owner-{number}')
