"""What a shard commits stays within the values of the object service."""

import random
import unittest

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
    noise = random.Random(count)
    return [
        DirectResultsRecorded(
            job='j1',
            results=[
                DirectResult(
                    item=f'i{at}',
                    completed=True,
                    text=noise.randbytes(size // 2).hex(),
                ),
            ],
        )
        for at in range(count)
    ]


class SegmentTest(unittest.TestCase):
    """A commit of any size is read back whole and in order."""

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
        expected = [one.results[0] for one in records]
        self.assertEqual(expected, state.direct['j1'].results)

    def test_confirm_sees_another_owner(self):
        store = BoundedStore()
        log = ShardLog(store, ShardId(1), Owner('n1', 'a'), _SETTINGS)
        log.take_over()
        self.assertTrue(log.confirm().is_ok())
        ShardLog(store, ShardId(1), Owner('n2', 'b'), _SETTINGS).take_over()
        self.assertIs(FailureKind.CONFLICT, log.confirm().err_value.kind)
        self.assertTrue(log.commit([_ACCEPTED]).is_err())
