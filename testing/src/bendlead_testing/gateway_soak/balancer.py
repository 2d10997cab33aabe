"""Which entries get new connections, as the platform sees them."""

import time
from collections.abc import Sequence

import gevent
from bendlead_gateway.http import HttpConnection

from bendlead_testing.gateway_soak.deployment import Deployment, NodeSpot

_READY_SECONDS = 0.5
_MISSES = 2


class Balancer:
    """Ask entries whether they are ready, as the platform does."""

    def __init__(
        self, fleet: Deployment, ready_since: dict[str, float]
    ) -> None:
        """Note in ``ready_since`` when each was ready for the first time."""
        self._ready_since = ready_since
        self._entries = fleet.entries
        self._misses = {one.name: _MISSES for one in self._entries}
        self._tasks: list[gevent.Greenlet] = []

    @property
    def ready(self) -> Sequence[NodeSpot]:
        """List the entries that get new connections."""
        found = [
            one for one in self._entries if self._misses[one.name] < _MISSES
        ]
        return found or self._entries

    def run(self) -> None:
        """Ask until told to stop."""
        for entry in self._entries:
            self._tasks.append(gevent.spawn(self._ask, entry))

    def stop(self) -> None:
        """Ask no more: the ports go to the next run."""
        gevent.killall(self._tasks)

    def _ask(self, entry: NodeSpot) -> None:
        while True:
            if _status(entry.ready, '/-/readiness') == 200:
                self._misses[entry.name] = 0
                now = time.monotonic()
                self._ready_since.setdefault(entry.name, now)
            else:
                self._misses[entry.name] += 1
            gevent.sleep(_READY_SECONDS)


def _status(address: str, path: str) -> int:
    try:
        connection = HttpConnection(address, _READY_SECONDS)
    except OSError:
        return 0
    try:
        answered = connection.request('GET', path, (), b'', _READY_SECONDS)
    except OSError:
        return 0
    finally:
        connection.close()
    return answered.head.status
