"""Promises on engines of several versions."""

from collections import defaultdict
from collections.abc import Iterator

from bendlead_testing.gateway_soak.answers import versions_in
from bendlead_testing.gateway_soak.engine_journal import EngineJournal
from bendlead_testing.gateway_soak.sightings import (
    CONTACT_SECONDS,
    Attempt,
    Kind,
    Sightings,
    calm,
)

#: Streams taken up from which on their share says something, how many engines
#: of their version serve, and the share as a part of that of new streams.
_LEAST_TAKEN_UP = 12
_ENGINES_TO_GO_ON = 2
_GO_ON_SHARE = 0.5


def one_version(seen: Sightings, _journal: EngineJournal) -> Iterator[str]:
    """The events of a stream or an item are of one version."""
    found: dict[str, set[str]] = defaultdict(set)
    for one in seen.attempts:
        found[one.resumes or one.request] |= versions_in(one.text)
    for job in seen.jobs.values():
        for item, _state, text in job.results.values():
            found[item] |= versions_in(text)
    for name, versions in found.items():
        if len(versions) > 1:
            yield f'{name} holds events of {sorted(versions)}'


def resumed(seen: Sightings, journal: EngineJournal) -> Iterator[str]:
    """Streams that clients take up go on about as often as new ones begin."""
    began = [
        one.status == 200
        for one in seen.attempts
        if one.kind is Kind.RESUMABLE and not one.left and not one.resumes
    ]
    taken_up = [
        one.went_on
        for one in seen.attempts
        if one.resumes
        and not one.left
        and _in_touch(seen, one)
        and _serving(seen, journal, one) >= _ENGINES_TO_GO_ON
    ]
    if len(taken_up) < _LEAST_TAKEN_UP:
        return
    share = sum(taken_up) / len(taken_up)
    if share < _GO_ON_SHARE * sum(began) / len(began):
        yield f'{sum(taken_up)} of {len(taken_up)} went on'


def _in_touch(seen: Sightings, one: Attempt) -> bool:
    """Tell whether neither its entry nor the store was troubled."""
    near = [at for at in seen.troubles if at.target in {one.entry, 'store'}]
    return calm(near, one.sent - CONTACT_SECONDS, one.ended)


def _serving(seen: Sightings, journal: EngineJournal, one: Attempt) -> int:
    """Count the engines of its version that serve when it is taken up."""
    first = next(at for at in seen.attempts if at.request == one.resumes)
    versions = versions_in(first.text)
    latest = {
        life['spot']: life for life in journal.lives if life['at'] < one.sent
    }
    return sum(
        life['version'] in versions
        and life['at'] < one.sent - CONTACT_SECONDS
        and journal.draining.get(life['engine'], one.ended) >= one.ended
        and calm(
            [at for at in seen.troubles if at.target == spot],
            one.sent - CONTACT_SECONDS,
            one.ended,
        )
        for spot, life in latest.items()
    )
