"""Batch jobs at an owner, with scripted engines in the same process."""

import json
import random
import unittest

import gevent
from bendlead_platform import PlatformStore
from bendlead_store import ABSENT
from bendlead_testing.platform_store import Trouble
from parameterized import parameterized

from tests.gateway_cases import TRUNCATED, OwnerCase, job, node_shard
from tests.gateway_standins import (
    chunked,
    event,
    eventually,
)

_COMPLETE = chunked(event(1, 'a'), event(2, 'b'))
_TAIL = chunked(event(2, 'b'))
_MISSING_EVENT = chunked(event(1, 'a'), event(3, 'c'))
_NOT_UTF8 = chunked(event(1, 'a'), b'id: 2\ndata: \xff\n\n')
_FAILED = b'HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n'
_UNPROCESSABLE = b'HTTP/1.1 422 x\r\nContent-Length: 0\r\n\r\n'
_NOT_EXECUTED = (
    b'HTTP/1.1 503 x\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n'
)


class ItemTest(OwnerCase):
    """The outcome of an item, by the engine's responses."""

    @parameterized.expand(
        [
            ('complete', [_COMPLETE], 'completed', 'a\nb'),
            ('unprocessable', [_UNPROCESSABLE], 'dead_lettered', ''),
            ('failed_three_times', [_FAILED] * 3, 'dead_lettered', ''),
            (
                'failed_twice',
                [_FAILED, _FAILED, _COMPLETE],
                'completed',
                'a\nb',
            ),
            (
                'not_executed_is_no_failure',
                [_NOT_EXECUTED] * 4 + [_COMPLETE],
                'completed',
                'a\nb',
            ),
            (
                'missing_event_resumes',
                [_MISSING_EVENT, _TAIL],
                'completed',
                'a\nb',
            ),
            ('not_utf8', [_NOT_UTF8, _TAIL], 'completed', 'a\nb'),
        ],
    )
    def test_outcome(self, _name, answers, state, text):
        self.configure(answers)
        node = self.start_sole_owner()
        self.assertEqual(202, self.submit(node))
        found = eventually(lambda: self.results(node), 5)
        self.assertEqual((state, text), (found[0]['state'], found[0]['text']))

    def test_preempted_item_resumes_after_its_last_event(self):
        self.configure([TRUNCATED, _TAIL])
        node = self.start_sole_owner()
        self.submit(node)
        eventually(lambda: len(self.engine.requests) == 1)
        gevent.sleep(0.1)
        node.fleet.loads.own.online['i-1'] += 8
        eventually(lambda: not node._runner.running)
        node.fleet.loads.own.online['i-1'] -= 8
        found = eventually(lambda: self.results(node))
        self.assertEqual('a\nb', found[0]['text'])
        self.assertIn(b'Last-Event-Id: 1', self.engine.requests[1])

    def test_results_larger_than_a_stored_value(self):
        noise = random.Random(1)
        texts = [noise.randbytes(150_000).hex() for _item in range(5)]
        answers = [chunked(event(1, text)) for text in texts]
        self.configure(answers)
        node = self.start_sole_owner()
        self.submit(node, job(items=5))
        eventually(lambda: len(self.results(node)) >= 3, 6)
        response = self.call(node, 'GET', '/-/lots/j1?watch_after=4')
        self.assertEqual(1, len(json.loads(response.body)['results']))

    def test_job_larger_than_a_stored_value(self):
        self.configure([_COMPLETE] * 3)
        node = self.start_sole_owner()
        large = job(items=3, size=600_000)
        self.assertEqual(202, self.submit(node, large))
        eventually(lambda: len(self.results(node)) == 3)


class JobRequestTest(OwnerCase):
    """Responses to job requests."""

    def test_job_submitted_twice(self):
        self.configure()
        node = self.start_sole_owner()
        self.assertEqual(
            [202, 202], [self.submit(node) for _attempt in range(2)]
        )
        self.assertEqual(1, len(node._shard_manager.owned[node_shard()].jobs))

    @parameterized.expand([('fits', 30, 202), ('exceeded', 29, 429)])
    def test_quota(self, _name, limit, status):
        self.configure(max_queued_tokens=limit)
        node = self.start_sole_owner()
        self.assertEqual(status, self.submit(node, job(items=3)))

    @parameterized.expand(
        [
            ('read', 'GET', '/-/lots/j9'),
            ('body', 'GET', '/-/items/j9?id=i0'),
            ('end', 'DELETE', '/-/lots/j9'),
        ],
    )
    def test_unknown_job(self, _name, method, target):
        self.configure()
        node = self.start_sole_owner()
        self.assertEqual(404, self.call(node, method, target).head.status)
        gevent.sleep(0.8)
        self.store.trouble = Trouble.AWAY
        self.assertEqual(503, self.call(node, method, target).head.status)

    def test_body_until_job_ends(self):
        self.configure()
        node = self.start_sole_owner()
        self.submit(node)
        body = self.call(node, 'GET', '/-/items/j1?id=i0')
        self.assertEqual(b'pppppp', body.body)
        ended = self.call(node, 'DELETE', '/-/lots/j1')
        self.assertEqual(200, ended.head.status)
        eventually(lambda: not node._runner.running)
        repeated = self.call(node, 'DELETE', '/-/lots/j1')
        self.assertEqual(200, repeated.head.status)

    def test_store_unavailable(self):
        self.configure()
        node = self.start_sole_owner()
        self.store.trouble = Trouble.AWAY
        self.assertIn(self.submit(node), {503, 504})
        self.store.trouble = Trouble.NONE
        eventually(lambda: self.submit(node) == 202)

    @parameterized.expand(
        [
            ('lost_answers', Trouble.LOST_ANSWERS),
            ('late_effects', Trouble.LATE_EFFECTS),
        ],
    )
    def test_write_with_unknown_outcome(self, _name, trouble):
        self.configure()
        node = self.start_sole_owner()
        self.store.trouble = trouble
        self.assertEqual(504, self.submit(node))
        self.store.trouble = Trouble.NONE
        eventually(lambda: self.submit(node) == 202, 6)
        self.assertEqual(1, len(node._shard_manager.owned[node_shard()].jobs))


class StoredValueTest(OwnerCase):
    """Stored values are read back byte for byte."""

    @parameterized.expand(
        [
            ('object', b'{"a": 1}'),
            ('list', b'[1, 2]'),
            ('packed', b'\x28\xb5\x2f\xfd'),
            ('packed_like_an_object', b'{\x00\xff\x01'),
            ('packed_like_a_list', b'[\x93\x00"'),
            ('one_byte_like_a_list', b'['),
        ]
    )
    def test_round_trip(self, _name, body):
        store = PlatformStore(self.store.address)
        self.assertTrue(store.put('ledger/0000.part.1', body, ABSENT).is_ok())
        found = store.fetch('ledger/0000.part.1').ok_value
        self.assertEqual(body, found.body)


if __name__ == '__main__':
    unittest.main()
