"""What all clients of the soak share: names, entries and connections."""

import itertools
import random
import time
from collections.abc import Sequence

from bendlead_gateway.http import HttpConnection

from bendlead_testing.gateway_soak.balancer import Balancer
from bendlead_testing.gateway_soak.deployment import Deployment, NodeSpot
from bendlead_testing.gateway_soak.sightings import Call, Sightings
from bendlead_testing.gateway_soak.teams import SoakTeam

HOST = 'soak.example'
_CONNECT_SECONDS = 1.0
_FIRST_PARTS = 5
_SECOND_PARTS = 40


class Callers:
    """Reach entries as the platform lets clients reach them."""

    def __init__(
        self, fleet: Deployment, seen: Sightings, chance: random.Random
    ) -> None:
        self._fleet = fleet
        self._seen = seen
        self._chance = chance
        self._numbers = itertools.count()
        self.balancer = Balancer(fleet, seen.ready_since)
        self.going = True

    def name(self, kind: str) -> str:
        """Make an id that no other request has."""
        return f'{kind}{next(self._numbers)}-{self._chance.randrange(9999)}'

    def prompt(self, part: str = '') -> tuple[str, str]:
        """Draw the parts of a prompt, with a given one or another."""
        first = self._chance.randrange(_FIRST_PARTS)
        second = part or f'b{self._chance.randrange(_SECOND_PARTS)}'
        own = next(self._numbers)
        return 'X-Prompt-Prefix', f'a{first}:9,{second}:9,{own:x}:9'

    def entry(self) -> NodeSpot:
        """Draw an entry among those that are ready."""
        return self._chance.choice(list(self.balancer.ready))

    def connect(self, entry: NodeSpot) -> HttpConnection | None:
        """Open a connection, or give nothing where none comes up."""
        try:
            return HttpConnection(
                self._fleet.client_way(entry.name), _CONNECT_SECONDS
            )
        except OSError:
            return None

    def call(
        self,
        method: str,
        target: str,
        body: bytes = b'',
        extra: Sequence[tuple[str, str]] = (),
    ) -> tuple[int, bytes]:
        """Make one call on a new connection; give its status and body."""
        headers = [('Host', HOST), SoakTeam.QUIET.header, *extra]
        return self.call_at(self.entry(), method, target, body, headers)

    def call_at(
        self,
        entry: NodeSpot,
        method: str,
        target: str,
        body: bytes,
        headers: Sequence[tuple[str, str]],
        patience: float = 4,
    ) -> tuple[int, bytes]:
        """Make one call at an entry and note whether it was answered."""
        connection = self.connect(entry)
        if connection is None:
            return 0, b''
        sent = time.monotonic()
        answered = None
        try:
            answered = connection.request(
                method, target, headers, body, patience
            )
        except OSError:
            return 0, b''
        finally:
            connection.close()
            self._seen.calls.append(
                Call(
                    dict(headers).get('X-Attempt-Id', target),
                    entry.name,
                    sent,
                    time.monotonic(),
                    sent + patience,
                    answered is not None,
                )
            )
        return answered.head.status, answered.body
