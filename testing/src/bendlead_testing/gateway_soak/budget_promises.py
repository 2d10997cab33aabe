"""Promises on what is sent more than once, and with how much time."""

import math
from collections.abc import Iterator
from typing import Any

from bendlead_testing.gateway_soak.engine_journal import EngineJournal
from bendlead_testing.gateway_soak.sightings import (
    CONTACT_SECONDS,
    Attempt,
    Sightings,
    calm,
)

#: Bounds of the users' rules: requests that may run at more engines than their
#: route allows, and those sent with more time than remains.
_MOST_OVER_ATTEMPTS = 3
_MOST_OVER_TIME = 20
_OVER_TIME_SHARE = 0.2
#: Time by which a deadline may be exceeded, and after which a request that is
#: sent again is judged by its first send (s).
_SLACK_SECONDS = 0.5


def attempts(seen: Sightings, journal: EngineJournal) -> Iterator[str]:
    """Few requests run at more engines than their route allows."""
    over = []
    for one in seen.attempts:
        engines = _engines(seen, journal, one)
        if len(engines) > seen.may_run(one):
            over.append(f'{one.request} ran at {len(engines)}')
    if len(over) > _MOST_OVER_ATTEMPTS:
        yield '; '.join(over)


def _engines(seen: Sightings, journal: EngineJournal, one: Attempt) -> set[str]:
    """Give the engines that ran it, without those that ended or were cut."""
    starts = journal.starts.get(one.request, ())
    if len(starts) <= seen.may_run(one):
        return set()
    spots = {life['engine']: life['spot'] for life in journal.lives}
    latest = max(line['at'] for line in starts)
    found = set()
    for line in starts:
        targets = {line['engine'], spots.get(line['engine']), one.entry}
        near = [at for at in seen.troubles if at.target in targets]
        # The end of a disruption holds the time that it excuses.
        if calm(near, line['at'], latest):
            found.add(line['engine'])
    return found


def deadlines(seen: Sightings, journal: EngineJournal) -> Iterator[str]:
    """Few requests are sent with more time than their clients wait."""
    requests = {one.request: one for one in seen.attempts}
    first: dict[str, dict[str, Any]] = {}
    over: set[str] = set()
    sent_again: set[str] = set()
    for line in journal.arrivals:
        one = requests.get(line['request'])
        if one is None or not _in_touch(seen, one, line['at']):
            continue
        began = first.setdefault(one.request, line)
        bound = line['at'] + one.patience
        if line['at'] > began['at'] + _SLACK_SECONDS:
            sent_again.add(one.request)
            bound = max(one.sent + one.patience, _until(began))
        if _until(line) > bound + _SLACK_SECONDS:
            over.add(one.request)
    judged = len(over | sent_again)
    if len(over) > max(_MOST_OVER_TIME, judged * _OVER_TIME_SHARE):
        yield f'{len(over)} of {judged} with too much time'


def _until(arrival: dict[str, Any]) -> float:
    left_ms = arrival.get('left_ms')
    return arrival['at'] + (math.inf if left_ms is None else left_ms / 1000)


def _in_touch(seen: Sightings, one: Attempt, at: float) -> bool:
    near = [
        trouble
        for trouble in seen.troubles
        if not trouble.planned or trouble.target == one.entry
    ]
    return calm(near, at - CONTACT_SECONDS, at)
