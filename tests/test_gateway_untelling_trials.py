"""Trials that end in something that says nothing about the item.

Guards against items that use up their trials without a crash.
"""

import time
import unittest
from unittest import mock

import gevent
from bendlead_gateway._suspects import trial_schedule
from bendlead_gateway._suspects.digest import digest_request, name_item
from bendlead_gateway._suspects.trial_schedule import failed_trials
from parameterized import parameterized

from tests.gateway_standins import (
    CrashingEngine,
    SimulatedProcess,
    engine,
    event,
    eventually,
    route,
)
from tests.test_gateway_crashes import CrashCase

_BODY = b'item'
_ITEM = name_item(digest_request('', 'POST', 'a.example', '/x/1', _BODY))
#: More than the three late ones, and than the four that used to be all.
_TRIALS = 5
_PAUSE_SECONDS = 0.2
_FINISH_SECONDS = 18
_MINUTE = 60


class UntellingEngine(CrashingEngine):
    """Engine that ends its first answers in a way of its own."""

    def __init__(self, ending):
        super().__init__(b'unused')
        self._ending = ending

    def _answer(self, sock, body):
        self.bodies.append(body)
        if len(self.bodies) <= _TRIALS:
            getattr(self, self._ending)(sock)
            return
        broke_off = self._ending == 'broken_answer'
        text = event(len(self.bodies) if broke_off else 1, 'last')
        sock.sendall(self.HEAD + b'%x\r\n%b\r\n0\r\n\r\n' % (len(text), text))

    def silence(self, _sock):
        gevent.sleep(_MINUTE)

    def reset(self, sock):
        sock.close()

    def lost_answer(self, sock):
        gevent.sleep(0.1)
        sock.close()

    def broken_answer(self, sock):
        text = event(len(self.bodies), 'a')
        sock.sendall(self.HEAD + b'%x\r\n%b\r\n' % (len(text), text))
        sock.close()

    def stands_still_midway(self, sock):
        sock.sendall(self.HEAD)
        gevent.sleep(_MINUTE)

    def refusal(self, sock):
        sock.sendall(
            b'HTTP/1.1 503 No\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n'
        )

    def error(self, sock):
        sock.sendall(b'HTTP/1.1 502 No\r\nContent-Length: 0\r\n\r\n')


class UntellingTrialTest(CrashCase):
    """The item is a suspect, and its trials tell nothing."""

    def setUp(self):
        super().setUp()
        for name in ('_UNKNOWN_PAUSE_SECONDS', '_LONG_UNKNOWN_PAUSE_SECONDS'):
            patched = mock.patch.object(trial_schedule, name, _PAUSE_SECONDS)
            patched.start()
            self.addCleanup(patched.stop)

    @parameterized.expand(
        [
            'silence',
            'reset',
            'lost_answer',
            'broken_answer',
            'stands_still_midway',
            'refusal',
            'error',
        ]
    )
    def test_costs_no_trial(self, ending):
        self.configure(route('batch', max_attempts=3), engines=0)
        owner = self.owner()
        started = self.add_untelling(ending)
        self.suspect(owner)
        self.submit(owner, _BODY)
        results = eventually(
            lambda: self.results(owner), _TRIALS * 2 + _FINISH_SECONDS
        )
        self.assertEqual('completed', results[0]['state'])
        self.assertEqual(_TRIALS + 1, len(started.bodies))

    def test_engine_that_leaves_in_a_trial(self):
        """It drains and ends, as planned."""
        self.configure(route('batch', max_attempts=3), engines=0)
        owner = self.owner()
        self.suspect(owner)
        self.submit(owner, _BODY)
        for number in range(_TRIALS):
            leaving = self.add_untelling('silence', number)
            eventually(lambda one=leaving: one.bodies, 6)
            self.store.set(
                'servers',
                f'i-{number}',
                engine(leaving.address, state='draining'),
            )
            gevent.sleep(0.2)
            self.store.remove('servers', f'i-{number}')
            leaving.close()
        self.add_sound()
        self.assert_completed(owner)

    def test_owner_that_ends_in_a_trial(self):
        self.configure(route('batch', max_attempts=3), engines=0)
        self.add_untelling('silence')
        for number in range(_TRIALS):
            life = SimulatedProcess()
            owner = life.start(self.owner)
            self.suspect(owner)
            if not number:
                self.submit(owner, _BODY)
            eventually(lambda at=number: len(self.silent.bodies) > at, 8)
            life.end()
        self.add_sound()
        self.store.remove('servers', 'i-0')
        self.assert_completed(self.owner())

    def add_untelling(self, ending, number=0):
        """Add an engine."""
        self.silent = UntellingEngine(ending)
        self.addCleanup(self.silent.close)
        self.store.set('servers', f'i-{number}', engine(self.silent.address))
        return self.silent

    def add_sound(self):
        """Add an engine that answers."""
        started = CrashingEngine(b'unused')
        self.addCleanup(started.close)
        self.store.set('servers', 'i-99', engine(started.address))

    def suspect(self, owner):
        """Hold crashes against the item, as reports of others do."""
        history = owner.fleet.suspects._history
        for number in range(3):
            history.add_crash(_ITEM, f'i-old{number}@0', time.time() - _MINUTE)

    def assert_completed(self, owner):
        """Check that the item is done in time, and that no trial failed."""
        history = owner.fleet.suspects._history
        failed = list(failed_trials(history.record(_ITEM)))
        self.assertEqual([], failed)
        results = eventually(lambda: self.results(owner), _FINISH_SECONDS)
        self.assertEqual('completed', results[0]['state'])


if __name__ == '__main__':
    unittest.main()
