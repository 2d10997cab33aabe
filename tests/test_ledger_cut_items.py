"""Items whose attempts were cut off, as when engines crash, are still owed.

Guards against items that are given up though no engine has failed them.
"""

import unittest
from unittest.mock import Mock, patch

from bendlead_ledger import GrantOrder, ShardId
from bendlead_ledger import _jobs as jobs_module
from bendlead_ledger._jobs import JobCommands
from bendlead_ledger._state import ShardState
from bendlead_schema.messages import ReportRun
from bendlead_schema.settings import LedgerSettings
from parameterized import parameterized

from tests.test_ledger_state import accepted

_PAUSE_SECONDS = 2.0


class CutItemCase(unittest.TestCase):
    """Reports of one item of a job, with an attempt limit of three."""

    def setUp(self):
        self.state = ShardState()
        self.state.apply(accepted())
        self.packer = Mock()
        committer = Mock()
        committer.commit.side_effect = self.commit
        self.commands = JobCommands(
            ShardId(0),
            'a:1',
            self.state,
            committer,
            self.packer,
            Mock(),
            LedgerSettings(shards=1),
            GrantOrder(),
        )
        # All items were granted once.
        self.commands._cursors['j'].position = 3
        self.now = 100.0
        clock = patch.object(
            jobs_module, 'clock', Mock(uptime=lambda: self.now)
        )
        clock.start()
        self.addCleanup(clock.stop)

    def commit(self, records, *_timeout):
        for record in records:
            self.state.apply(record)

    def report(self, **outcome):
        """Report one attempt of the first item."""
        run = self.commands._runs.grant('j', 'endpoint', [0])
        self.commands.report(
            ReportRun(
                run=run.run, job='j', reports=[], endpoint='endpoint', **outcome
            )
        )

    def expire(self):
        """Lose the endpoint that runs the first item."""
        run = self.commands._runs.grant('j', 'endpoint', [0])
        run.expires = 0
        self.commands.expire()

    def ready(self):
        """Return whether the first item may be granted."""
        job = self.state.jobs['j']
        return 0 in set(self.commands._candidates(job))


class CutItemTest(CutItemCase):
    """An item is given up for failed attempts alone, and pauses."""

    @parameterized.expand(
        [
            ('cut', 9, 0, False),
            ('failed', 0, 3, True),
            ('failed_twice', 9, 2, False),
            ('failed_between', 9, 3, True),
        ]
    )
    def test_given_up(self, _name, cuts, failures, given_up):
        for _attempt in range(cuts):
            self.report(cut=[0])
        for _attempt in range(failures):
            self.report(failed=[0])
        self.assertEqual(given_up, self.packer.record.called)

    def test_endpoint_lost_often(self):
        for _attempt in range(9):
            self.expire()
        self.assertFalse(self.packer.record.called)

    @parameterized.expand(
        [('two', 2, True), ('three', 3, False), ('9', 9, False)]
    )
    def test_pause(self, _name, cuts, ready):
        """It does not grow."""
        for _attempt in range(cuts):
            self.report(cut=[0])
        self.assertEqual(ready, self.ready())
        self.now += _PAUSE_SECONDS
        self.assertEqual(not ready, self.ready())


if __name__ == '__main__':
    unittest.main()
