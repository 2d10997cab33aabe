"""Grace period of a shard owner that cannot write."""

import unittest
from unittest import mock

from bendlead_gateway._jobs import grace_period
from bendlead_store import Failure, FailureKind
from parameterized import parameterized
from result import Err, Ok

_UNAVAILABLE = Err(Failure(FailureKind.NOT_DONE, 'get', 'store', 'away'))
_AVAILABLE = Ok(None)


class OwnerGracePeriodTest(unittest.TestCase):
    """The period is over after an uninterrupted series of answers only."""

    @parameterized.expand(
        [
            ('one_answer', [(0, _AVAILABLE)], False),
            (
                'recently_recovered',
                [(0, _UNAVAILABLE), (0.4, _AVAILABLE), (0.8, _AVAILABLE)],
                False,
            ),
            (
                'answers_for_long',
                [
                    (0, _AVAILABLE),
                    (0.5, _AVAILABLE),
                    (1.0, _AVAILABLE),
                    (1.6, _AVAILABLE),
                ],
                True,
            ),
            (
                'unavailable_between',
                [
                    (0, _AVAILABLE),
                    (0.5, _AVAILABLE),
                    (1.0, _UNAVAILABLE),
                    (1.6, _AVAILABLE),
                ],
                False,
            ),
            ('not_called_between', [(0, _AVAILABLE), (6.0, _AVAILABLE)], False),
        ]
    )
    def test_is_over(self, _name, answers, expected):
        store = mock.Mock()
        period = grace_period.OwnerGracePeriod(store)
        over = None
        with mock.patch.object(grace_period.clock, 'uptime') as clock:
            for at, answer in answers:
                clock.return_value = 100 + at
                store.fetch.return_value = answer
                over = period.is_over(1)
        self.assertEqual(expected, over)
