"""Quarantined requests are tried again once engines have calmed down.

Guards against sound requests that are refused for an hour because many callers
send them alike while engines crash.
"""

import time
import unittest

import gevent
from bendlead_gateway._suspects.trial_schedule import REQUEST_RULES
from bendlead_gateway.types import NodeRole
from parameterized import parameterized

from tests.gateway_standins import eventually, route
from tests.test_gateway_crashes import CrashCase

_SOUND = b'sound'
_CRASHES = 3
#: Twice contact_ms of the sheets and the time of an answer: sound requests are
#: served again by then.
_RELEASED_SECONDS = 10
_FIRST = REQUEST_RULES.first_pause
_NOT_RUN = (
    b'HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n'
    b'Content-Length: 0\r\nConnection: close\r\n\r\n'
)


class TrialTest(CrashCase):
    """A request is quarantined, with entries that know of it."""

    @parameterized.expand([('one_entry', 1), ('three_entries', 3)])
    def test_sound_request_is_served_in_the_calm(self, _name, count):
        entries = self.start(count)
        for number in range(_CRASHES):
            asking = gevent.spawn(self.ask, entries[0], _SOUND)
            running = eventually(self.running)
            running.close()
            self.store.remove('servers', f'i-{self.engines.index(running)}')
            asking.join()
            gevent.sleep(0.3)
            self.assertEqual(number + 1, self.crashed)
        self.assertEqual(503, self.ask(entries[0], _SOUND))
        served = eventually(
            lambda: all(self.ask(one, _SOUND) == 200 for one in entries),
            _RELEASED_SECONDS,
        )
        self.assertTrue(served)

    def test_request_that_crashes_engines_costs_one_more(self):
        """Its second trial comes later, and no third."""
        entries = self.start(3)
        until = time.monotonic() + _FIRST + 4
        while time.monotonic() < until:
            for entry in entries:
                self.ask(entry)
                gevent.sleep(0.15)
        self.assertEqual(_CRASHES + 1, self.crashed)

    def test_trial_that_an_engine_refuses_reaches_no_other(self):
        """Guards against a trial that full engines pass on."""
        entry = self.start_quarantined()
        for one in self.engines:
            one.HEAD = _NOT_RUN
        reached = self.reached
        until = time.monotonic() + _FIRST + 1
        while self.reached == reached and time.monotonic() < until:
            self.assertEqual(503, self.ask(entry))
            gevent.sleep(0.05)
        self.assertEqual(reached + 1, self.reached)

    def test_full_engines_get_no_trial(self):
        """Callers are told to come back soon, once a trial is due."""
        entry = self.start_quarantined()
        for number in range(len(self.engines)):
            entry.fleet.loads.own.online[f'i-{number}'] += 100
        reached = self.reached
        told = self.retry_after(entry)
        self.assertGreater(told, 1)
        gevent.sleep(told + 0.1)
        self.assertLessEqual(self.retry_after(entry), 1)
        self.assertEqual(reached, self.reached)

    def start_quarantined(self):
        """Start an entry and have the request crash engines there."""
        (entry,) = self.start(1)
        for _crash in range(_CRASHES):
            self.ask(entry)
            gevent.sleep(0.15)
        return entry

    def retry_after(self, entry):
        """Ask and return the time (s) to come back."""
        head = self.begin(entry).read_head(3)
        self.assertEqual(503, head.status)
        return float(head.find('retry-after'))

    def start(self, count):
        """Start entries and engines that run requests for a while."""
        self.configure(route('streaming'), runs_seconds=0.1)
        entries = [self.entry(number) for number in range(count)]
        eventually(
            lambda: all(
                len(one.peers.processes.by_role(NodeRole.ENTRY)) == count
                for one in entries
            )
        )
        return entries

    def running(self):
        """Return an engine that runs the sound request."""
        for one in self.engines:
            if not one.crashed and _SOUND in one.bodies:
                return one
        return None


if __name__ == '__main__':
    unittest.main()
