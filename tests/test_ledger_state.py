"""Which records take effect in the state of a shard."""

import unittest

from bendlead_ledger._codec import UnknownFormatError, decode, encode
from bendlead_ledger._state import ShardState
from bendlead_schema.records import (
    AttemptFailed,
    ChunkRef,
    Head,
    JobAccepted,
    JobCancelled,
    RequestAccepted,
    RequestCompleted,
    RequestRefused,
    ResultsRecorded,
    Snapshot,
)
from parameterized import parameterized


def accepted(count: int = 3, rejected: tuple[int, ...] = ()) -> JobAccepted:
    return JobAccepted(
        job='j',
        team='t',
        fingerprint='f',
        input_file='file',
        path='/v1/chat/completions',
        chunks=[ChunkRef(key='c', first=0, count=count)],
        item_count=count,
        rejected=list(rejected),
        accepted_at=1.0,
        deadline=2.0,
    )


def results(pack: str, *positions: int, failed: tuple[int, ...] = ()):
    return ResultsRecorded(
        job='j',
        pack=pack,
        positions=list(positions),
        failed=list(failed),
        at=5.0,
    )


def request(nonce: str) -> RequestAccepted:
    return RequestAccepted(
        request='r',
        team='t',
        key='k',
        fingerprint='f',
        path='/',
        repeatable=False,
        body='',
        nonce=nonce,
        runner='n/1',
        service='s',
        model='',
        method='POST',
        stream=False,
        at=1.0,
    )


CANCEL = JobCancelled(job='j', at=4.0)


class JobRulesTest(unittest.TestCase):
    @parameterized.expand(
        [
            ('all at once', [results('p', 0, 1, 2)], {'p': [0, 1, 2]}, True),
            (
                'the first result of an item wins',
                [results('p', 0, 1), results('q', 1, 2)],
                {'p': [0, 1], 'q': [2]},
                True,
            ),
            (
                'an item twice in one pack counts once',
                [results('p', 0, 0, 1, 1)],
                {'p': [0, 1]},
                False,
            ),
            (
                'an item twice in one pack, then the rest',
                [results('p', 0, 0, 1), results('q', 2)],
                {'p': [0, 1], 'q': [2]},
                True,
            ),
            ('nothing after a cancel', [CANCEL, results('p', 0)], {}, False),
            (
                'results before a cancel stay',
                [results('p', 0), CANCEL, results('q', 1)],
                {'p': [0]},
                False,
            ),
        ]
    )
    def test_results(self, _name, records, packs, finished) -> None:
        state = ShardState()
        state.replay([accepted(), *records])
        job = state.jobs['j']
        recorded = {pack.key: pack.positions for pack in job.packs}
        self.assertEqual((recorded, bool(job.finished_at)), (packs, finished))

    @parameterized.expand(
        [
            ('no line can be run', (0, 1, 2), True),
            ('some lines can be run', (1,), False),
        ]
    )
    def test_rejected_lines(self, _name, rejected, finished) -> None:
        state = ShardState()
        state.apply(accepted(rejected=rejected))
        self.assertEqual(bool(state.jobs['j'].finished_at), finished)

    def test_accepted_twice_is_accepted_once(self) -> None:
        state = ShardState()
        effects = [state.apply(accepted()), state.apply(accepted())]
        self.assertEqual(effects, [True, False])

    def test_snapshot_restores_the_same_state(self) -> None:
        state = ShardState()
        state.replay(
            [
                accepted(5),
                results('p', 0, 3, failed=(3,)),
                AttemptFailed(job='j', positions=[1]),
                request('n'),
            ]
        )
        restored = ShardState()
        body = encode(state.snapshot())
        restored.restore(decode(body, Snapshot, 'snapshot'))
        self.assertEqual(restored.snapshot(), state.snapshot())
        self.assertEqual(restored.jobs['j'].remaining, 3)


class RequestRulesTest(unittest.TestCase):
    @parameterized.expand(
        [
            ('first result wins', [('done', 200), ('late', 500)], 'done'),
            ('one result', [('done', 200)], 'done'),
        ]
    )
    def test_completed_once(self, _name, completions, body) -> None:
        state = ShardState()
        state.apply(request('n'))
        for text, status in completions:
            state.apply(
                RequestCompleted(request='r', status=status, body=text, at=1.0),
            )
        self.assertEqual(state.requests['r'].body, body)

    def test_only_the_first_nonce_is_kept(self) -> None:
        state = ShardState()
        state.replay([request('first'), request('second')])
        self.assertEqual(state.requests['r'].accepted.nonce, 'first')

    def test_refused_key_may_be_used_again(self) -> None:
        state = ShardState()
        state.replay(
            [
                request('first'),
                RequestRefused(request='r'),
                request('second'),
            ]
        )
        self.assertEqual(state.requests['r'].accepted.nonce, 'second')

    def test_completed_request_cannot_be_refused(self) -> None:
        state = ShardState()
        done = RequestCompleted(request='r', status=200, body='b', at=1.0)
        state.replay([request('n'), done, RequestRefused(request='r')])
        self.assertIn('r', state.requests)


class FormatTest(unittest.TestCase):
    def test_newer_format_is_rejected_with_key(self) -> None:
        body = b'{"format": 2, "shard": 0}'
        with self.assertRaisesRegex(UnknownFormatError, 'ledger/0000/head'):
            decode(body, Head, 'ledger/0000/head')
