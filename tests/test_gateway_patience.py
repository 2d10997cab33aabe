"""How long the object service must answer before a holder is replaced."""

import unittest
from unittest import mock

from bendlead_gateway._jobs import patience
from bendlead_store import Failure, FailureKind
from parameterized import parameterized
from result import Err, Ok

_AWAY = Err(Failure(FailureKind.NOT_DONE, 'get', 'store', 'away'))
_HERE = Ok(None)


class PatienceTest(unittest.TestCase):
    """Answers at given seconds; only a long unbroken series is enough."""

    @parameterized.expand(
        [
            ('one_answer', [(0, _HERE)], False),
            ('just_back', [(0, _AWAY), (0.4, _HERE), (0.8, _HERE)], False),
            (
                'answers_for_long',
                [(0, _HERE), (0.5, _HERE), (1.0, _HERE), (1.6, _HERE)],
                True,
            ),
            (
                'away_between',
                [(0, _HERE), (0.5, _HERE), (1.0, _AWAY), (1.6, _HERE)],
                False,
            ),
            ('not_asked_between', [(0, _HERE), (6.0, _HERE)], False),
        ]
    )
    def test_is_over(self, _name, answers, expected):
        store = mock.Mock()
        waiting = patience.HolderPatience(store)
        over = None
        with mock.patch.object(patience.clock, 'uptime') as clock:
            for at, answer in answers:
                clock.return_value = 100 + at
                store.fetch.return_value = answer
                over = waiting.is_over(1)
        self.assertEqual(expected, over)
