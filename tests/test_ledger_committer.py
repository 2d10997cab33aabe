"""Group commit: what a failed snapshot costs."""

import unittest
from unittest import mock

from bendlead_ledger import Committer
from bendlead_schema.records import JobRemoved
from bendlead_store import Failure, FailureKind
from parameterized import parameterized
from result import Err, Ok


class SnapshotTest(unittest.TestCase):
    """A log that asks for a snapshot and does not get it."""

    @parameterized.expand(
        [
            ('refused', FailureKind.REFUSED, False, False),
            ('fenced', FailureKind.CONFLICT, True, True),
        ]
    )
    def test_snapshot_fails(self, _name, kind, fenced, lost):
        failure = Failure(kind, 'put', 'store', 'status 400')
        log = mock.Mock(fenced=False)
        log.commit.return_value = Ok(None)
        log.needs_snapshot.return_value = True

        def fold(_state):
            log.fenced = fenced
            return Err(failure)

        log.fold.side_effect = fold
        on_lost = mock.Mock()
        committer = Committer(log, mock.Mock(), lambda: 0, on_lost)
        self.addCleanup(committer.close)
        for _commit in range(3):
            committer.commit([JobRemoved(job='j')])
        self.assertEqual(lost, committer.lost)
        self.assertEqual(lost, on_lost.called)
        # Each try writes the whole state: not with each commit.
        self.assertEqual(1, log.fold.call_count)
        self.assertEqual(None if lost else failure, committer.snapshot_failure)
