"""A request that the operator released stays released.

Guards against an entry that writes the deleted record of a suspect again.
"""

import time
import unittest
from types import SimpleNamespace
from unittest import mock

from bendlead_gateway.suspects import RequestDigest
from bendlead_node._common.config import ConfigTable, config_key
from bendlead_node._common.web import CallError
from bendlead_node._entry import suspects
from bendlead_schema.messages import EndpointHeartbeat, EngineEnd, VersionedKey

from tests.bounded_store import BoundedStore

_DIGEST = RequestDigest('d')
_KEY = config_key('suspect', _DIGEST)


#: The crashes are so long ago that a trial is due (Unix ms).
_CRASHED = round(time.time() * 1000) - 30_000


def heartbeat(*seconds):
    """Return what an endpoint process tells of ends of its engine."""
    lives = [_CRASHED + second for second in seconds]
    ends = [EngineEnd(digest=_DIGEST, life=f'e@{at}', at_ms=at) for at in lives]
    return EndpointHeartbeat(
        endpoint='e',
        address='a:1',
        data_hall='h',
        service='llm',
        models=['m'],
        capacity=8,
        online=0,
        batch=0,
        ends=ends,
    )


class ReleaseTest(unittest.TestCase):
    """An entry that has yet to write a crash when the operator releases."""

    def setUp(self):
        self.store = BoundedStore()
        self.config = ConfigTable()
        self.writes = []
        tasks = mock.Mock()
        tasks.spawn = lambda task, *args: self.writes.append((task, args))
        stand_in = mock.patch.object(suspects, 'gevent', tasks)
        stand_in.start()
        self.addCleanup(stand_in.stop)
        relay = SimpleNamespace(learn=self.config.merge)
        digest = mock.patch.object(
            suspects, 'digest_request', lambda *_request: _DIGEST
        )
        digest.start()
        self.addCleanup(digest.stop)
        self.table = suspects.SuspectTable(
            self.store, self.config, relay, mock.Mock()
        )

    def write(self):
        """Run the writes that wait."""
        while self.writes:
            task, args = self.writes.pop(0)
            task(*args)

    def release(self):
        """Delete the record while a further crash waits to be written."""
        self.table.hear(heartbeat(1, 2, 3))
        self.write()
        self.assertEqual({_KEY}, self.store.keys)
        self.table.hear(heartbeat(1, 2, 3, 4))
        version = self.store.fetch(_KEY).ok_value.version
        self.store.delete(_KEY, version).unwrap()
        self.write()

    def test_record_is_not_written_again(self):
        self.release()
        self.assertEqual(set(), self.store.keys)

    def test_no_trial_writes_it_again(self):
        self.release()
        request = mock.Mock(team='t', service='s', body=b'', trial='')
        with self.assertRaises(CallError):
            self.table.begin(request, 'e')
        self.assertEqual(set(), self.store.keys)

    def test_crashes_after_the_release_count(self):
        self.release()
        self.config.merge([VersionedKey(key=_KEY, version=99, deleted=True)])
        self.table.check(mock.Mock(team='t', service='s', body=b''))
        later = 3_600_000
        self.table.hear(heartbeat(1, later, later + 1))
        self.write()
        self.assertEqual({_KEY}, self.store.keys)


if __name__ == '__main__':
    unittest.main()
