"""Lines of the log that tell how a trial ended."""

import time
import unittest
from unittest import mock

from bendlead_gateway._suspects.crash_history import CrashHistory
from bendlead_gateway._suspects.digest import RequestDigest
from bendlead_gateway._suspects.trial_claims import TrialClaims
from bendlead_gateway.types import EngineId
from parameterized import parameterized

_ITEM = RequestDigest('item-d')


class TrialEndTest(unittest.TestCase):
    """A claimed trial ends in one of three ways."""

    @parameterized.expand(
        [
            ('answered', True, True, 'cleared'),
            ('broke_off', True, False, 'unknown'),
            ('not_run', False, False, 'not_run'),
        ]
    )
    def test_outcome(self, _name, ran, cleared, expected):
        """Guards against trials of which no line tells what ended them."""
        history = CrashHistory()
        log = mock.Mock()
        claims = TrialClaims(history, mock.Mock(), log)
        now = time.time()
        history.add_crash(_ITEM, 'i-1@0', now - 1)
        claims.claim('run', [_ITEM], EngineId('i-2'))
        if cleared:
            history.clear(_ITEM, time.time() + 1)
        claims.end('run', may_have_run=ran)
        names = [call.args[0] for call in log.event.call_args_list]
        self.assertEqual(['suspect-tried', 'trial-ended'], names)
        told = log.event.call_args.kwargs
        self.assertEqual((_ITEM, expected), (told['digest'], told['outcome']))


if __name__ == '__main__':
    unittest.main()
