"""What owners say that they hold, asked past all links."""

import json
import time
from collections.abc import Callable, Sequence
from typing import Any

import gevent
from bendlead_gateway.http import HttpConnection

from bendlead_testing.gateway_soak.callers import HOST
from bendlead_testing.gateway_soak.deployment import (
    STATUS_SECONDS,
    Deployment,
    NodeSpot,
)
from bendlead_testing.gateway_soak.sightings import JobSeen, OwedSeen
from bendlead_testing.gateway_soak.teams import SoakTeam

_CONNECT_SECONDS = 1.0
_ANSWER_SECONDS = 4.0
#: How often is asked, and the pause before the next time (s): a shard may be
#: on its way to another owner.
_TRIES = 5
_PAUSE_SECONDS = 1.0
#: Jobs accepted longer ago (s) may be removed soon.
_OLDEST_SECONDS = STATUS_SECONDS - 20

_Headers = Sequence[tuple[str, str]]


def ask_owed(fleet: Deployment) -> dict[str, OwedSeen]:
    """Ask each owner for the items that it owes."""
    return _of_each(fleet.owners, _ask_owed)


def find_holders(
    fleet: Deployment, jobs: Sequence[JobSeen]
) -> dict[str, list[str]]:
    """List the owners that hold each job that was accepted and not ended."""
    latest = time.monotonic() - _OLDEST_SECONDS
    names = [
        one.job
        for one in jobs
        if one.accepted > latest and not one.end_answered
    ]
    headers = [('Host', HOST), ('X-Wait-Ms', '0')]
    if fleet.hard:
        headers.append(('X-Bendlead-Team', SoakTeam.QUIET.value))
    found: dict[str, list[str]] = {}
    for _try in range(_TRIES):
        asked = [one for one in names if len(found.get(one, ())) != 1]
        if not asked:
            break
        if found:
            gevent.sleep(_PAUSE_SECONDS)
        held = _of_each(
            fleet.owners,
            lambda owner, asked=asked: _hold(owner, asked, headers),
        )
        for job in asked:
            found[job] = [owner for owner in held if job in held[owner]]
    return found


def _of_each(
    owners: Sequence[NodeSpot], ask: Callable[[NodeSpot], Any]
) -> dict[str, Any]:
    tasks = {one.name: gevent.spawn(ask, one) for one in owners}
    gevent.joinall(list(tasks.values()))
    return {name: task.get() for name, task in tasks.items()}


def _ask_owed(owner: NodeSpot) -> OwedSeen:
    for _try in range(_TRIES):
        status, body = _get(owner, '/debug/state', [('Host', owner.name)])
        if status == 200:
            owed = json.loads(body).get('owed')
            return OwedSeen(answered=True, dump=owed)
        gevent.sleep(_PAUSE_SECONDS)
    return OwedSeen(answered=False)


def _hold(
    owner: NodeSpot, jobs: Sequence[str], headers: _Headers
) -> frozenset[str]:
    """Give those of the jobs that an owner answers for."""
    return frozenset(
        job
        for job in jobs
        if _get(owner, f'/-/lots/{job}?watch_after=0', headers)[0] == 200
    )


def _get(owner: NodeSpot, target: str, headers: _Headers) -> tuple[int, bytes]:
    try:
        connection = HttpConnection(owner.internal, _CONNECT_SECONDS)
    except OSError:
        return 0, b''
    try:
        answered = connection.request(
            'GET', target, headers, b'', _ANSWER_SECONDS
        )
    except OSError:
        return 0, b''
    finally:
        connection.close()
    return answered.head.status, answered.body
