"""A takeover reads segments concurrently and replays them in order."""

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
from bendlead_store import Failure, FailureKind
from parameterized import parameterized
from result import Err

from tests.bounded_store import BoundedStore

_SETTINGS = LedgerSettings(tail_bytes=1, segments=99)
_COUNT = 12


class _SlowStore(BoundedStore):
    """Store with random read latency that counts concurrent reads."""

    def __init__(self):
        super().__init__()
        self.reading = 0
        self.max_reading = 0
        self.missing = ''
        self._random = random.Random(1)

    def fetch(self, key):
        self.reading += 1
        self.max_reading = max(self.max_reading, self.reading)
        gevent.sleep(self._random.random() / 50)
        self.reading -= 1
        if key == self.missing:
            return Err(Failure(FailureKind.NOT_DONE, 'get', key))
        return super().fetch(key)


def create_filled_store():
    """Return a store and a shard's log with one segment for each result."""
    store = _SlowStore()
    log = ShardLog(store, ShardId(1), Owner('n1', 'a'), _SETTINGS)
    log.take_over()
    accepted = DirectJobAccepted(
        job='j1', host='a', path='/', accepted_at=1, total=_COUNT, tokens=1
    )
    log.commit([accepted])
    for at in range(_COUNT):
        result = DirectResult(item=f'i{at}', completed=True, text=str(at))
        log.commit([DirectResultsRecorded(job='j1', results=[result])])
    store.max_reading = 0
    return store, log


class ReadTest(unittest.TestCase):
    """Takeover of a log with several segments."""

    def test_concurrent_and_in_order(self):
        store, _log = create_filled_store()
        other = ShardLog(store, ShardId(1), Owner('n2', 'b'), _SETTINGS)
        state = other.take_over().ok_value
        texts = [result.text for result in state.direct['j1'].results]
        self.assertEqual([str(at) for at in range(_COUNT)], texts)
        # The limit of concurrent reads.
        self.assertEqual(4, store.max_reading)

    @parameterized.expand([('first', 0), ('last', -1)])
    def test_unreadable_segment_fails_takeover(self, _name, position):
        store, log = create_filled_store()
        store.missing = log._head.segments[position].key
        other = ShardLog(store, ShardId(1), Owner('n2', 'b'), _SETTINGS)
        self.assertTrue(other.take_over().is_err())
