"""Promises on what owners hold: each job once, and no item for too long."""

from collections.abc import Iterator

from bendlead_testing.gateway_soak.answers import DEADLY_PART_MARK
from bendlead_testing.gateway_soak.engine_journal import EngineJournal
from bendlead_testing.gateway_soak.sightings import JobSeen, Sightings

#: Reasons of items that queue for slots, as with more long items than slots:
#: the promise on jobs asks for their results.
_QUEUED = frozenset(
    ('no_slot', 'route_full', 'headroom', 'version_full', 'held_back')
)
#: Items and jobs that are named; the others are counted.
_MOST_NAMED = 5


def owed(seen: Sightings, _journal: EngineJournal) -> Iterator[str]:
    """After the calm no owner has an item that is overdue."""
    for owner, one in seen.owed.items():
        if not one.answered:
            yield f'{owner} did not show its state'
        # Those with a part on which engines end for ever may wait.
        overdue = [
            item
            for item in one.overdue
            if item['reason'] not in _QUEUED
            and (
                seen.deadly_for_a_time
                or not str(item['item']).endswith(DEADLY_PART_MARK)
            )
        ]
        for item in overdue[:_MOST_NAMED]:
            yield f'{owner}: {item["item"]} of {item["job"]} {_state(item)}'
        if len(overdue) > _MOST_NAMED:
            yield f'{owner}: {len(overdue)} shown as overdue'


def held_once(seen: Sightings, _journal: EngineJournal) -> Iterator[str]:
    """A job that was accepted is at exactly one owner."""
    wrong = [
        f'job {job} is at {" and ".join(owners) or "no owner"}'
        for job, owners in seen.holders.items()
        if len(owners) != 1
    ]
    yield from wrong[:_MOST_NAMED]
    if len(wrong) > _MOST_NAMED:
        yield f'{len(wrong)} jobs in all'


def describe_missing(
    seen: Sightings, journal: EngineJournal, job: JobSeen
) -> str:
    """Say who holds each missing item of a job, and in which state."""
    told = [
        _describe(seen, journal, job, item)
        for item in sorted(job.missing)[:_MOST_NAMED]
    ]
    owners = ' and '.join(seen.holders.get(job.job, ())) or 'no owner known'
    return f'held by {owners}: {"; ".join(told)}'


def _describe(
    seen: Sightings, journal: EngineJournal, job: JobSeen, item: str
) -> str:
    states = [
        f'{_state(one)} at {owner}'
        for owner, shown in seen.owed_at_end.items()
        for one in shown.overdue
        if one['job'] == job.job and one['item'] in {item, '-'}
    ]
    starts = journal.starts.get(item, ())
    ends = journal.ends.get(item, ())
    state = ' and '.join(states) or 'not shown as overdue'
    ended = f', last {ends[-1]["ending"]}' if ends else ''
    return f'{item} {state}, ran {len(starts)} times{ended}'


def _state(item: dict[str, object]) -> str:
    return (
        f'{item["state"]} ({item["reason"]}) for {item["seconds"]} s'
        f', engine {item["engine"]}'
    )
