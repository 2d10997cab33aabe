"""Commits of a shard stay within the size limit of the object service."""

import random
import unittest

import gevent
from bendlead_ledger import Owner, ShardId, ShardLog
from bendlead_schema.records import (
    DirectJobAccepted,
    DirectResult,
    DirectResultsRecorded,
)
from bendlead_schema.settings import LedgerSettings
from bendlead_store import FailureKind
from parameterized import parameterized

from tests.bounded_store import BoundedStore

_SETTINGS = LedgerSettings(tail_bytes=65_536, segments=8)
_ACCEPTED = DirectJobAccepted(
    job='j1', host='a', path='/', accepted_at=1, total=99, tokens=1
)


def _results(count, size):
    random_source = random.Random(count)
    return [
        DirectResultsRecorded(
            job='j1',
            results=[
                DirectResult(
                    item=f'i{at}',
                    completed=True,
                    text=random_source.randbytes(size // 2).hex(),
                ),
            ],
        )
        for at in range(count)
    ]


class SegmentTest(unittest.TestCase):
    """A commit of any size is read back complete and in order."""

    @parameterized.expand(
        [
            ('one_small', 1, 100),
            ('many_small', 200, 1000),
            ('several_large', 9, 300_000),
            ('one_as_large_as_a_segment', 1, 600_000),
        ],
    )
    def test_read_back(self, _name, count, size):
        store = BoundedStore()
        log = ShardLog(store, ShardId(1), Owner('n1', 'a'), _SETTINGS)
        log.take_over()
        self.assertTrue(log.commit([_ACCEPTED]).is_ok())
        records = _results(count, size)
        self.assertTrue(log.commit(records).is_ok())
        other = ShardLog(store, ShardId(1), Owner('n2', 'b'), _SETTINGS)
        state = other.take_over().ok_value
        expected = [record.results[0] for record in records]
        self.assertEqual(expected, state.direct['j1'].results)

    def test_commits_go_on_while_replaced_segments_are_deleted(self):
        """Deleting replaced segments must not delay commits."""
        store = BoundedStore()
        log = ShardLog(store, ShardId(1), Owner('n1', 'a'), _SETTINGS)
        state = log.take_over().ok_value
        while not log.needs_snapshot():
            log.commit(_results(9, 30_000))
        segments = {key for key in store.keys if 'segment' in key}
        self.assertGreaterEqual(len(segments), 8)
        store.calls.clear()
        log.write_snapshot(state)
        self.assertTrue(log.commit([_ACCEPTED]).is_ok())
        self.assertFalse(store.calls_of('delete'))
        gevent.sleep(0.01)
        self.assertEqual(len(segments), len(store.calls_of('delete')))
        # The versions of segments written by this process need not be read.
        self.assertFalse(store.calls_of('fetch'))
        self.assertFalse(segments & store.keys)

    def test_confirm_sees_another_owner(self):
        store = BoundedStore()
        log = ShardLog(store, ShardId(1), Owner('n1', 'a'), _SETTINGS)
        log.take_over()
        self.assertTrue(log.confirm().is_ok())
        ShardLog(store, ShardId(1), Owner('n2', 'b'), _SETTINGS).take_over()
        self.assertIs(FailureKind.CONFLICT, log.confirm().err_value.kind)
        self.assertTrue(log.commit([_ACCEPTED]).is_err())
