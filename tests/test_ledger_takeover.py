"""What a takeover reads, it reads side by side and replays in order."""

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


class _DistantStore(BoundedStore):
    """Answer reads after different times; count those under way."""

    def __init__(self):
        super().__init__()
        self.reading = 0
        self.most_reading = 0
        self.missing = ''
        self._noise = random.Random(1)

    def fetch(self, key):
        self.reading += 1
        self.most_reading = max(self.most_reading, self.reading)
        gevent.sleep(self._noise.random() / 50)
        self.reading -= 1
        if key == self.missing:
            return Err(Failure(FailureKind.NOT_DONE, 'get', key))
        return super().fetch(key)


def filled():
    """Make a store whose shard has a segment for each of some results."""
    store = _DistantStore()
    log = ShardLog(store, ShardId(1), Owner('n1', 'a'), _SETTINGS)
    log.take_over()
    accepted = DirectJobAccepted(
        job='j1', host='a', path='/', accepted_at=1, total=_COUNT, tokens=1
    )
    log.commit([accepted])
    for at in range(_COUNT):
        one = DirectResult(item=f'i{at}', completed=True, text=str(at))
        log.commit([DirectResultsRecorded(job='j1', results=[one])])
    store.most_reading = 0
    return store, log


class ReadTest(unittest.TestCase):
    """A log of several segments."""

    def test_side_by_side_and_in_order(self):
        store, _log = filled()
        other = ShardLog(store, ShardId(1), Owner('n2', 'b'), _SETTINGS)
        state = other.take_over().ok_value
        texts = [one.text for one in state.direct['j1'].results]
        self.assertEqual([str(at) for at in range(_COUNT)], texts)
        # A process keeps four connections to the object service.
        self.assertEqual(4, store.most_reading)

    @parameterized.expand([('first', 0), ('last', -1)])
    def test_one_can_not_be_read(self, _name, position):
        store, log = filled()
        store.missing = log._head.segments[position].key
        other = ShardLog(store, ShardId(1), Owner('n2', 'b'), _SETTINGS)
        self.assertTrue(other.take_over().is_err())
