"""What a shard commits stays within the values of the object service."""

import base64
import random
import unittest

from bendlead_ledger import Owner, ShardId, ShardLog
from bendlead_schema.records import (
    DirectJobAccepted,
    DirectResult,
    DirectResultsRecorded,
)
from bendlead_schema.settings import LedgerSettings
from bendlead_store import ABSENT, Entry, Failure, FailureKind, Version
from parameterized import parameterized
from result import Err, Ok

_VALUE_BYTES = 1_048_576
_SETTINGS = LedgerSettings(tail_bytes=65_536, segments=8)
_ACCEPTED = DirectJobAccepted(
    job='j1', host='a', path='/', accepted_at=1, total=99, tokens=1
)


class _BoundedStore:
    """Keep values in memory and refuse those that are too large."""

    def __init__(self) -> None:
        self._entries: dict[str, Entry] = {}
        self._revision = 0

    def fetch(self, key):
        return Ok(self._entries.get(key))

    def put(self, key, body, expected):
        if len(base64.b64encode(body)) > _VALUE_BYTES:
            return Err(Failure(FailureKind.REFUSED, 'put', key, 'too large'))
        found = self._entries.get(key)
        if (found.version if found else ABSENT) != expected:
            return Err(Failure(FailureKind.CONFLICT, 'put', key))
        self._revision += 1
        version = Version(self._revision)
        self._entries[key] = Entry(key, version, body)
        return Ok(version)

    def delete(self, key, _expected):
        self._entries.pop(key, None)
        return Ok(Version(0))


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
        store = _BoundedStore()
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
        store = _BoundedStore()
        log = ShardLog(store, ShardId(1), Owner('n1', 'a'), _SETTINGS)
        log.take_over()
        self.assertTrue(log.confirm().is_ok())
        ShardLog(store, ShardId(1), Owner('n2', 'b'), _SETTINGS).take_over()
        self.assertIs(FailureKind.CONFLICT, log.confirm().err_value.kind)
        self.assertTrue(log.commit([_ACCEPTED]).is_err())
