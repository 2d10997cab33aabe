"""Where online requests go when endpoints refuse them."""

import time
import unittest

from bendlead_node._common.telemetry import Journal, Metrics
from bendlead_node._common.web import ENGINE_AWAY, LEAVING, CallError
from bendlead_node._entry.budget import RetryBudget
from bendlead_node._entry.dispatch import Dispatcher, OnlineRequest
from bendlead_node._entry.members import Members
from bendlead_node._entry.routing import Router
from bendlead_schema.messages import EndpointHeartbeat, ErrorOutcome
from bendlead_store import Failure, FailureKind
from parameterized import parameterized
from result import Err, Ok


class FakeAnswer:
    """Answer as an endpoint process would."""

    def __init__(self, status: int, body: bytes, headers: dict) -> None:
        self.status_code = status
        self._body = body
        self._headers = {name.lower(): text for name, text in headers.items()}
        self._headers['content-length'] = str(len(body))

    def get(self, name: str):
        return self._headers.get(name.lower())

    def read(self) -> bytes:
        return self._body


class FakeClients:
    """Give each address a fixed answer and count its calls."""

    def __init__(self, answers: dict) -> None:
        self._answers = answers
        self.calls: list[str] = []

    def send(self, _method, address, *_request):
        self.calls.append(address)
        return self._answers[address]


def refusal(code: str):
    answer = CallError(503, code, 'no', retry_after=1).answer()
    return Ok(FakeAnswer(answer.status, answer.body, answer.headers))


def lost(kind: FailureKind):
    return Err(Failure(kind, 'send', 'b'))


GOOD = Ok(FakeAnswer(200, b'{}', {'Content-Type': 'application/json'}))


class Unsuspected:
    """Hold nothing against any request."""

    def digest(self, _request):
        return 'd'

    def check(self, _request):
        """Let every request go on."""

    def begin(self, _request, _endpoint):
        """Let every attempt go on."""

    def await_news(self, _request):
        """Wait for nothing."""

    def answered(self, _request):
        """Clear nothing."""


class DispatchTest(unittest.TestCase):
    def setUp(self) -> None:
        self.members = Members('entry', 10)
        self.dispatcher = Dispatcher(
            self.members,
            Router(self.members),
            'key',
            1,
            Journal('entry'),
            Metrics(),
            Unsuspected(),
        )

    def prepare(self, answers: dict) -> FakeClients:
        for address in answers:
            self.members.hear_endpoint(
                EndpointHeartbeat(
                    endpoint=address,
                    address=address,
                    data_hall='h',
                    service='notes',
                    models=['m'],
                    capacity=4,
                    online=0,
                    batch=0,
                ),
            )
        clients = FakeClients(answers)
        self.dispatcher._clients = clients
        return clients

    def request(self, repeatable: bool = True) -> OnlineRequest:
        return OnlineRequest(
            request='r',
            team='t',
            service='notes',
            model='m',
            method='POST',
            path='/v1/completions',
            body=b'{}',
            stream=False,
            repeatable=repeatable,
            deadline=time.monotonic() + 5,
        )

    @parameterized.expand(
        [
            ('leaving', refusal(LEAVING)),
            ('full', refusal('overloaded')),
            ('nothing listens', lost(FailureKind.NOT_DONE)),
            ('cut', lost(FailureKind.UNKNOWN)),
        ]
    )
    def test_another_endpoint_answers(self, _name, answer) -> None:
        self.prepare({'a': answer, 'b': GOOD})
        statuses = {
            self.dispatcher.run(self.request()).status for _ in range(20)
        }
        self.assertEqual(statuses, {200})

    @parameterized.expand(
        [
            ('leaving', refusal(LEAVING)),
            ('nothing listens', lost(FailureKind.NOT_DONE)),
        ]
    )
    def test_one_refusal_is_enough(self, _name, answer) -> None:
        clients = self.prepare({'a': answer, 'b': GOOD})
        for _request in range(50):
            self.dispatcher.run(self.request())
        self.assertLessEqual(clients.calls.count('a'), 1)

    @parameterized.expand(
        [
            ('engine away', refusal(ENGINE_AWAY)),
            ('nothing listens', lost(FailureKind.NOT_DONE)),
        ]
    )
    def test_one_engine_of_many_is_left(self, _name, answer) -> None:
        """Guards against attempts spent on engines that have ended."""
        for _fleet in range(20):
            self.setUp()
            self.prepare({**dict.fromkeys('abcdefg', answer), 'z': GOOD})
            self.assertEqual(200, self.dispatcher.run(self.request()).status)

    def test_engines_that_are_away_are_passed_over(self) -> None:
        away = dict.fromkeys('abcdefg', refusal(ENGINE_AWAY))
        clients = self.prepare({**away, 'z': GOOD})
        for _request in range(50):
            self.dispatcher.run(self.request())
        self.assertLessEqual(len(clients.calls), 50 + 7)

    def test_full_engines_are_asked_four_times(self) -> None:
        clients = self.prepare(dict.fromkeys('abcdefg', refusal('overloaded')))
        with self.assertRaises(CallError):
            self.dispatcher.run(self.request())
        self.assertEqual(4, len(clients.calls))

    @parameterized.expand(
        [
            ('refused', refusal('overloaded'), ErrorOutcome.not_run, 4),
            ('refused by the host', lost(FailureKind.NOT_DONE), 'not_run', 4),
            ('cut', lost(FailureKind.UNKNOWN), ErrorOutcome.unknown, 1),
        ]
    )
    def test_at_most_once(self, _name, answer, outcome, most) -> None:
        clients = self.prepare(dict.fromkeys('abcd', answer))
        with self.assertRaises(CallError) as caught:
            self.dispatcher.run(self.request(repeatable=False))
        self.assertEqual(caught.exception.outcome, outcome)
        self.assertLessEqual(len(clients.calls), most)

    def test_budget_bounds_retries(self) -> None:
        budget = RetryBudget()
        taken = 0
        for _request in range(1000):
            budget.deposit()
            taken += budget.withdraw()
        self.assertLessEqual(taken, 1000 * 0.1 + 10)
