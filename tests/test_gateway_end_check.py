"""Which answers may share a check of whether their engine still runs."""

import unittest

import gevent
from bendlead_gateway._fleet.end_check import EndCheck
from bendlead_gateway._log import Log
from bendlead_gateway.types import (
    DataHall,
    Engine,
    EngineId,
    EngineState,
    ServiceName,
)
from bendlead_platform import PlatformDialect
from gevent.event import Event
from parameterized import parameterized

from tests.gateway_standins import (
    ScriptedPeer,
    TaskTracker,
    eventually,
    state_expected_engine,
)

_SERVICE = ServiceName('s1')


class EndCheckTest(unittest.TestCase):
    """An answer is checked by a call that begins after its end."""

    def setUp(self):
        self.addCleanup(TaskTracker().end)
        self.asked = 0
        self.calls_to_answer = 9
        self.crashed = False
        self.answering = Event()
        self.peer = ScriptedPeer([])
        self.addCleanup(self.peer.close)
        self.peer.run([self.answer] * 9)
        self.engine = Engine(
            EngineId('i-1'),
            _SERVICE,
            self.peer.address,
            DataHall('hall-1'),
            8,
            EngineState.READY,
        )
        self.paths = {_SERVICE: '/health'}
        self.check = EndCheck(
            lambda _engine: self.crashed,
            self.paths.get,
            PlatformDialect(),
            Log('entry-1'),
        )

    def answer(self, sock):
        """Answer a health check once told to."""
        request = self.peer.read_request(sock)
        self.asked += 1
        answers = self.asked <= self.calls_to_answer
        self.answering.wait()
        if answers:
            self.peer.answer_health(sock, request)

    def test_answers_that_end_together_share_one(self):
        self.answering.set()
        asking = [
            gevent.spawn(self.check.runs_on, self.engine) for _end in range(5)
        ]
        self.assertEqual([True] * 5, [task.get() for task in asking])
        self.assertEqual(1, self.asked)

    def test_end_behind_a_call_has_one_of_its_own(self):
        """Guards against a crash between the call and that end."""
        self.calls_to_answer = 1
        first = gevent.spawn(self.check.runs_on, self.engine)
        eventually(lambda: self.asked == 1)
        second = gevent.spawn(self.check.runs_on, self.engine)
        gevent.sleep(0.01)
        self.answering.set()
        self.assertTrue(first.get())
        self.assertFalse(second.get())

    @parameterized.expand(['crashed', 'unknown_service', 'refused'])
    def test_not_asked(self, why):
        self.answering.set()
        self.crashed = why == 'crashed'
        if why == 'unknown_service':
            self.paths.clear()
        if why == 'refused':
            self.peer.close()
        self.assertFalse(self.check.runs_on(self.engine))
        self.assertEqual(0, self.asked)

    def test_same_engine(self):
        self.answering.set()
        self.peer.health = state_expected_engine
        self.assertTrue(self.check.runs_on(self.engine))
