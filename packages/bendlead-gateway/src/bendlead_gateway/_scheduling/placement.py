"""Which engine gets the next request.

Load pattern: bursts in which all entries place hundreds of requests a second
by counts that are some 0.05 s old, so that the engine that looks best to all
must not get all of them.
"""

from collections.abc import Sequence

from bendlead_gateway._scheduling.view import Chance, EngineView

#: Where no place is free an item has to step aside first, which costs this
#: much, and less on an engine with few online requests.
_STEP_ASIDE_COST = 1.0
_ONLINE_SHARE = 0.1
#: A request that finds all places with online requests waits for one; each
#: that waits before it costs this much, in requests.
_WAITING_COST = 3.0
#: What being in another data hall costs, in requests. Entries of one hall
#: share its engines and know their load at once or nearly; if all entries
#: took the least loaded engine of the fleet by reports of 0.1 s ago, they
#: would all take the same one.
_FAR_COST = 1.5
#: Random parts of the cost, in requests, that keep entries from choosing the
#: same engine by the same old reports.
_FAR_SPREAD = 1.5
_NEAR_SPREAD = 0.3
#: An engine that is warming up counts as this much slower.
_WARMING_FACTOR = 2.0
#: An engine that has fallen silent is asked only where all others are full.
_SILENT_COST = 16.0
#: How much slower than the median an engine must be to be told apart.
_SLOW_FACTOR = 1.3


def choose(views: Sequence[EngineView], chance: Chance) -> EngineView | None:
    """Choose the engine for an online request among those not yet asked."""
    # All of them failing says more about us than about them.
    able = [one for one in views if not one.paused] or views
    if not able:
        return None
    usual = _usual_pace(able)
    return min(able, key=lambda one: _cost(one, usual, chance))


def _usual_pace(views: Sequence[EngineView]) -> float:
    paces = sorted(one.pace for one in views)
    return paces[len(paces) // 2]


def _cost(view: EngineView, usual: float, chance: Chance) -> float:
    load = _places_cost(view)
    if view.silent:
        load += _SILENT_COST
    spread = _NEAR_SPREAD
    if not view.near:
        load += _FAR_COST
        spread = _FAR_SPREAD
    load = (load + chance() * spread) / view.slots
    if usual and view.pace > usual * _SLOW_FACTOR:
        load *= view.pace / usual
    if view.warming:
        load *= _WARMING_FACTOR
    return load


def _places_cost(view: EngineView) -> float:
    """Cost a request at an engine, in requests, by the places taken there."""
    if view.free > 0:
        return view.online + view.batch + 1
    online = view.online + view.stuck
    cost = view.slots + _STEP_ASIDE_COST + online * _ONLINE_SHARE
    return cost + view.waiting * _WAITING_COST
