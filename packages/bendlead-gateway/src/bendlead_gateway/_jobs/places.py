"""How many places of an engine items of batch jobs may take."""

#: Places left to online requests, by how much of a job's time has passed.
#: A burst doubles online load within 0.2 s, and a report of it takes up to
#: 0.1 s; what is due soon takes the risk that it has to step aside.
_HEADROOM = ((0.2, 2), (0.4, 1))
_LEAST_HEADROOM = 0


def idle_places(slots: int, online: int, batch: int, age: float) -> int:
    """Count the places an item may take; age is the share of time passed."""
    return slots - _headroom(age) - online - batch


def _headroom(age: float) -> int:
    for below, places in _HEADROOM:
        if age < below:
            return places
    return _LEAST_HEADROOM
