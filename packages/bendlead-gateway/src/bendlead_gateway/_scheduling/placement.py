"""Placement of online requests on engines.

Entries place requests independently, by load counts that are slightly out of
date. If each took the engine with the least load, all would pick the same one.
Instead, an entry estimates the requests placed elsewhere that it has no report
of, assigns them and its own to the cheapest slots in turn, and takes one of
these slots at random.

Where engines differ in speed, a free slot on a slow engine is still better
than a queue at a fast one. Slots fill in proportion to their number, fast
engines slightly ahead, and queueing time is weighted by engine speed.
"""

import heapq
from collections.abc import Sequence

from msgspec import Struct
from msgspec.structs import replace

from bendlead_gateway._scheduling.view import EngineView, RandomSource

# Costs are in requests.
#: Cost of preempting a batch item, plus a share for each online request there.
_PREEMPTION_COST = 1.0
_ONLINE_SHARE = 0.1
#: Cost of each request queued ahead, where online requests use all slots.
_QUEUED_COST = 3.0
#: Cost of an engine in another data hall: half of a queued request, so that
#: traffic stays within a hall while it has free slots.
_REMOTE_COST = 1.5
#: Slowdown assumed for an engine that is warming up.
_WARMING_FACTOR = 2.0
#: High enough that a silent engine is used only if all others are full.
_SILENT_COST = 16.0
#: Factor above the median time between events from which an engine is slow.
_SLOW_FACTOR = 1.3
#: Exponent of the relative slowness in the cost of free slots: 0 would ignore
#: speed, 1 would fill fast engines until requests queue there.
_SPEED_EXPONENT = 0.5
#: Unseen requests assigned for each engine in one choice, to bound its time.
_MAX_ASSIGNED_PER_ENGINE = 2


class Traffic(Struct, frozen=True):
    """Mean run time of a request and age of load reports, in seconds.

    ``delay`` is the time from the start of a request until it is reported here.
    """

    run_seconds: float
    delay: float

    def unseen(self, online: int) -> float:
        """Estimate the requests placed elsewhere and not reported yet.

        In a steady state requests start at the rate ``online / run_seconds``.
        """
        if self.run_seconds <= 0:
            return 0
        return online / self.run_seconds * self.delay


class Placement(Struct, frozen=True):
    """Engine chosen for a request, and the expected wait in seconds.

    The wait is that of a request placed after all unseen ones, not of the
    engine drawn: admission depends on the fleet and not on the draw.
    """

    view: EngineView
    wait: float


def choose_engine(
    views: Sequence[EngineView], traffic: Traffic, draw: RandomSource
) -> Placement | None:
    """Choose an engine for an online request, ``None`` without views."""
    # If all engines are paused, the fault is more likely on this side.
    usable = [view for view in views if not view.paused] or views
    if not usable:
        return None
    reference = _Reference(_median_gap(usable), _max_slowness(usable))
    unseen = traffic.unseen(sum(view.online for view in views))
    # The fraction is rounded up or down at random.
    others = min(int(unseen + draw()), _MAX_ASSIGNED_PER_ENGINE * len(usable))
    assigned = _assign(
        [_Candidate(view, reference) for view in usable], others, draw
    )
    drawn = min(int(draw() * len(assigned)), others)
    chosen = usable[assigned[drawn].index]
    return Placement(chosen, assigned[-1].view.wait(traffic.run_seconds))


def _assign(
    candidates: Sequence['_Candidate'], others: int, draw: RandomSource
) -> Sequence['_Assignment']:
    """Assign ``others`` requests and one more, each to the cheapest engine."""
    ranked = [
        (candidate.cost, draw(), index)
        for index, candidate in enumerate(candidates)
    ]
    heapq.heapify(ranked)
    assigned: list[_Assignment] = []
    while len(assigned) <= others:
        index = ranked[0][-1]
        candidate = candidates[index]
        assigned.append(_Assignment(index, candidate.view))
        candidate.add()
        heapq.heapreplace(ranked, (candidate.cost, draw(), index))
    return assigned


def _median_gap(views: Sequence[EngineView]) -> float:
    gaps = sorted(view.event_gap for view in views)
    return gaps[len(gaps) // 2]


def _max_slowness(views: Sequence[EngineView]) -> float:
    """Return the greatest slowness, 0 if all engines are equally fast."""
    if all(view.slowness == 1 for view in views):
        return 0
    return max(view.current_slowness for view in views)


class _Reference(Struct, frozen=True):
    """Speeds that engines are compared with."""

    median_gap: float
    max_slowness: float


class _Assignment(Struct, frozen=True):
    """Engine assigned to a request, and its load before the request."""

    index: int
    view: EngineView


class _Candidate(Struct):
    """Engine with the requests assigned to it in this choice."""

    view: EngineView
    reference: _Reference

    @property
    def cost(self) -> float:
        """Return the cost of one more request, as a share of the slots."""
        if self.reference.max_slowness:
            return self._cost_by_speed()
        view = self.view
        load = _load(view)
        if view.silent:
            load += _SILENT_COST
        if not view.same_hall:
            load += _REMOTE_COST
        load /= view.slots
        usual = self.reference.median_gap
        if usual and view.event_gap > usual * _SLOW_FACTOR:
            load *= view.event_gap / usual
        if view.warming:
            load *= _WARMING_FACTOR
        return load

    def add(self) -> None:
        """Assign one more request to the engine."""
        self.view = replace(self.view, online=self.view.online + 1)

    def _cost_by_speed(self) -> float:
        """Return the cost where engines of the service differ in speed."""
        view = self.view
        slowness = view.current_slowness
        if view.warming:
            slowness *= _WARMING_FACTOR
        share = _load(view) / view.slots
        if view.free > 0:
            share *= (slowness / self.reference.max_slowness) ** _SPEED_EXPONENT
        else:
            share = 1 + (share - 1) * slowness
        if view.silent:
            share += _SILENT_COST / view.slots
        if not view.same_hall:
            share += _REMOTE_COST / view.slots
        return share


def _load(view: EngineView) -> float:
    """Return the cost by slots in use and queue length, in requests."""
    if view.free > 0:
        return view.online + view.batch + 1
    online = view.online + view.non_preemptible
    load = view.slots + _PREEMPTION_COST + online * _ONLINE_SHARE
    return load + view.waiting * _QUEUED_COST
