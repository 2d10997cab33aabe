"""A promise on requests that crashed engines for a time, and no longer."""

from collections import defaultdict
from collections.abc import Iterator, Mapping, Sequence

from bendlead_testing.gateway_soak.answers import DEADLY, DEADLY_PART_MARK
from bendlead_testing.gateway_soak.engine_journal import EngineJournal
from bendlead_testing.gateway_soak.sightings import (
    CONTACT_SECONDS,
    RELEASED_SECONDS,
    Attempt,
    Sightings,
)

#: Part of them that is served, as of all requests in the calm. None is refused:
#: that is no chance, as with requests that many callers send alike.
_SERVED_SHARE = 0.8


def released(seen: Sightings, _journal: EngineJournal) -> Iterator[str]:
    """What crashed engines for a time is served once that has ended."""
    if not seen.deadly_for_a_time:
        return
    for what, sent in find_released(seen).items():
        served = sum(one.status == 200 for one in sent)
        refused = sum(one.status == 503 for one in sent)
        if refused or not sent or served < len(sent) * _SERVED_SHARE:
            yield f'{what}: {served} of {len(sent)} served, {refused} refused'


def find_released(seen: Sightings) -> Mapping[str, Sequence[Attempt]]:
    """Give what is owed of each deadly request, and of those with the part."""
    # The end of a disruption holds the time that it excuses already.
    healed = max(seen.deadly_until, seen.healed - CONTACT_SECONDS)
    found: dict[str, list[Attempt]] = defaultdict(list)
    for one in seen.attempts:
        if one.request.endswith(DEADLY):
            sent = found[one.path]
        elif one.request.endswith(DEADLY_PART_MARK):
            sent = found[DEADLY_PART_MARK]
        else:
            continue
        if one.sent > healed + RELEASED_SECONDS:
            sent.append(one)
    return found
