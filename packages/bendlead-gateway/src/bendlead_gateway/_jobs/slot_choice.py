"""Choice of the engine at which an item goes on or starts over."""

from bendlead_gateway._jobs.candidates import Candidate
from bendlead_gateway._scheduling.item_slots import ItemSlots
from bendlead_gateway._scheduling.view import EngineView


def take_slot(slots: ItemSlots, candidate: Candidate) -> EngineView | None:
    """Take a slot of the version that has begun the item, else any.

    An item waits for its version no longer than it has run: then starting over
    costs less.
    """
    progress = candidate.progress
    age = candidate.elapsed_share
    if not progress.texts or not slots.has_version(progress.version):
        return slots.take(age)
    view = slots.take(age, progress.version)
    if view is None and progress.waiting_seconds > progress.run_seconds:
        return slots.take(age)
    return view
