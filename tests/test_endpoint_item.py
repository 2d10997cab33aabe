"""Batch items that are stopped at awkward moments."""

import unittest
from unittest.mock import Mock

from bendlead_node._endpoint.item import BatchItem, ItemState
from bendlead_schema.messages import GrantedItem
from bendlead_store import Failure, FailureKind
from parameterized import parameterized
from result import Err, Ok

_EVENTS = (
    b'id: 1\ndata: {"choices": [{"delta": {"content": "a "}}]}\n\n',
    b'id: 2\ndata: {"choices": [{"delta": {"content": "b "}}]}\n\n',
    b'data: [DONE]\n\n',
)


class FakeResponse:
    """Give events as an engine would, and call back before one of them."""

    status_code = 200
    _sock = None

    def __init__(self, before: int, stop) -> None:
        self._before = before
        self._stop = stop
        self._events = list(enumerate(_EVENTS))

    def readline(self, _separator: bytes) -> bytes:
        if not self._events:
            return b''
        number, event = self._events.pop(0)
        if number == self._before:
            self._stop()
        return event

    def release(self) -> None:
        """Nothing is held."""


class FakeEngine:
    """Stop an item while its request is on the way, or while it streams."""

    def __init__(self, item: BatchItem, before: int) -> None:
        self._item = item
        self._before = before
        self.cancelled: list[str] = []

    def send(self, *_request):
        if self._before < 0:
            self._item.preempt()
        return Ok(FakeResponse(self._before, self._item.preempt))

    def cancel(self, requests) -> None:
        self.cancelled.extend(requests)


class StoppedItemTest(unittest.TestCase):
    def setUp(self) -> None:
        granted = GrantedItem(
            position=0,
            path='/v1/chat/completions',
            custom_id='a',
            body='{}',
        )
        self.item = BatchItem('run', granted)

    @parameterized.expand(
        [
            ('before the engine answers', -1, ItemState.PREEMPTED),
            ('with the last token', 2, ItemState.FINISHED),
        ]
    )
    def test_stopped(self, _name, before, expected) -> None:
        engine = FakeEngine(self.item, before)
        self.assertIs(self.item.execute(engine, lambda: None), expected)

    def test_early_cancel_is_sent_again(self) -> None:
        engine = FakeEngine(self.item, -1)
        self.item.execute(engine, lambda: None)
        self.assertEqual(engine.cancelled, [self.item.request])
        self.assertEqual(self.item.tokens, 0)


class UnreachedItemTest(unittest.TestCase):
    @parameterized.expand(
        [
            ('nothing listens', FailureKind.NOT_DONE, ItemState.UNREACHED),
            ('cut', FailureKind.UNKNOWN, ItemState.CUT),
        ]
    )
    def test_only_what_the_engine_may_have_got_is_an_attempt(
        self,
        _name,
        kind,
        expected,
    ) -> None:
        granted = GrantedItem(position=0, path='/x', custom_id='a', body='{}')
        engine = Mock(send=lambda *_args: Err(Failure(kind, 'send', 'engine')))
        item = BatchItem('run', granted)
        self.assertIs(item.execute(engine, lambda: None), expected)


class WholeWithoutEndTest(unittest.TestCase):
    def test_a_finished_answer_is_whole_without_its_end_event(self) -> None:
        granted = GrantedItem(
            position=0,
            path='/v1/chat/completions',
            custom_id='a',
            body='{}',
        )
        item = BatchItem('run', granted)
        response = FakeResponse(1, item.preempt)
        last = _EVENTS[1].replace(
            b'{"delta"', b'{"finish_reason": "stop", "delta"'
        )
        response._events = [(0, _EVENTS[0]), (1, last)]
        engine = Mock(send=lambda *_args: Ok(response))
        state = item.execute(engine, lambda: None)
        self.assertIs(state, ItemState.FINISHED)
        self.assertIn('"a b "', item.report.body)

    def test_a_resume_has_a_name_of_its_own(self) -> None:
        granted = GrantedItem(position=0, path='/x', custom_id='a', body='{}')
        item = BatchItem('run', granted)
        names = []
        for _attempt in range(2):
            item.execute(FakeEngine(item, -1), lambda: None)
            names.append(item.request)
        self.assertEqual(len(set(names)), 2)
