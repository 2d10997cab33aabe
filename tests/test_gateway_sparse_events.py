"""Items whose answers have events far apart.

Guards against crashes held against an item that had run for long.
"""

import unittest

import gevent
from parameterized import parameterized

from tests.gateway_standins import (
    CrashingEngine,
    chunked,
    engine,
    event,
    eventually,
    route,
)
from tests.test_gateway_crashes import CrashCase

_CRASHES = 3
_EVENTS_APART_SECONDS = 3.0


class SparseEngine(CrashingEngine):
    """Engine that writes one event, and the next one much later."""

    def __init__(self, number):
        super().__init__(b'unused', 0)
        self._number = number

    def _answer(self, sock, body):
        self.bodies.append(body)
        sock.sendall(chunked(event(self._number, 'a'), last=False))
        gevent.sleep(_EVENTS_APART_SECONDS)


class SparseEventsTest(CrashCase):
    """Each engine crashes between two events of the item."""

    @parameterized.expand([('long', 1.4, 1), ('short', 0.3, _CRASHES)])
    def test_crashes_held_against_the_item(self, _name, lives, expected):
        """A crash soon after the begin of the answer counts, others do not."""
        self.configure(route('batch'), engines=0)
        owner = self.owner()
        suspects = owner.fleet.suspects
        held = []
        for number in range(_CRASHES):
            started = SparseEngine(number + 1)
            self.addCleanup(started.close)
            self.store.set('servers', f'i-{number}', engine(started.address))
            if not number:
                self.submit(owner, b'item')
            eventually(lambda one=started: one.bodies, 6)
            gevent.sleep(lives)
            started.close()
            self.store.remove('servers', f'i-{number}')
            gevent.sleep(0.5)
            held.append(max(suspects.summary().values(), default=0))
        self.assertEqual(expected, held[-1])


if __name__ == '__main__':
    unittest.main()
