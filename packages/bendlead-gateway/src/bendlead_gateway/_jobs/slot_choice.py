"""Choice of the engine at which an item goes on or starts over."""

import math
from collections.abc import Container

from bendlead_gateway._jobs.candidates import Candidate
from bendlead_gateway._jobs.item_states import ItemReason
from bendlead_gateway._scheduling.item_slots import ItemSlots
from bendlead_gateway._scheduling.view import EngineView
from bendlead_gateway.types import EngineId

#: Time for which an item waits for an engine that is not avoided.
_AVOIDED_SECONDS = 5.0


def take_slot(
    slots: ItemSlots, candidate: Candidate, avoided: Container[EngineId] = ()
) -> EngineView | None:
    """Take a slot of the version that has begun the item, else any.

    None of the avoided engines, unless there are no others or these have had
    no free slot for some time.

    An item waits for its version no longer than it has run: then starting over
    costs less.
    """
    view = _take(slots, candidate, avoided)
    waited = candidate.progress.waiting_seconds > _AVOIDED_SECONDS
    if view is None and avoided and waited:
        return _take(slots, candidate, ())
    return view


def why_no_slot(slots: ItemSlots, candidate: Candidate) -> ItemReason:
    """Return why an item found no slot a moment ago."""
    progress = candidate.progress
    age = candidate.elapsed_share
    if slots.is_empty:
        return ItemReason.NO_ENGINE
    if not slots.any_idle(age):
        left_free = slots.any_idle(math.inf)
        return ItemReason.HEADROOM if left_free else ItemReason.NO_SLOT
    if progress.texts and slots.has_version(progress.version):
        if not slots.any_idle(age, progress.version):
            return ItemReason.VERSION_FULL
    return ItemReason.AVOIDED_ENGINES


def _take(
    slots: ItemSlots, candidate: Candidate, avoided: Container[EngineId]
) -> EngineView | None:
    progress = candidate.progress
    age = candidate.elapsed_share
    if not progress.texts or not slots.has_version(progress.version):
        return slots.take(age, avoided=avoided)
    view = slots.take(age, progress.version, avoided)
    if view is None and progress.waiting_seconds > progress.run_seconds:
        return slots.take(age, avoided=avoided)
    return view
