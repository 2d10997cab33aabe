"""For how long the requests and items of a silent peer count."""

import unittest
from unittest import mock

from bendlead_gateway._fleet import loads
from parameterized import parameterized


class LoadTableTest(unittest.TestCase):
    """One peer told of two requests and three items some seconds ago."""

    @parameterized.expand(
        [
            ('fresh', 0.5, (2, 3)),
            ('silent', 2.0, (0, 3)),
            ('silent_for_long', 5.0, (0, 0)),
        ]
    )
    def test_silent_peer(self, _name, age, counted):
        """Items go on where their owner's machine has lost power."""
        with mock.patch.object(loads.time, 'monotonic') as clock:
            clock.return_value = 100.0
            table = loads.LoadTable()
            table.report('owner-1', {'i-1': 2}, {'i-1': 3})
            clock.return_value = 100.0 + age
            self.assertEqual(counted, (table.online('i-1'), table.batch('i-1')))

    @parameterized.expand(
        [
            ('fresh', 0.04, 0.1, 0),
            ('missed_some', 0.04, 0.5, 3),
            ('of_a_large_fleet', 1.0, 0.5, 0),
            ('of_a_large_fleet_missed_some', 0.5, 2.5, 3),
            ('silent_for_long', 0.04, 5.0, 0),
        ]
    )
    def test_unstoppable_items(self, _name, pause, age, counted):
        """Items of an owner that hears nothing step aside for nobody."""
        with mock.patch.object(loads.time, 'monotonic') as clock:
            table = loads.LoadTable()
            for told_at in (100.0, 100.0 + pause):
                clock.return_value = told_at
                table.report('owner-1', {}, {'i-1': 3})
            clock.return_value += age
            self.assertEqual(counted, table.unstoppable('i-1'))

    def test_peer_that_has_ended(self):
        table = loads.LoadTable()
        table.report('owner-1', {'i-1': 2}, {'i-1': 3})
        table.forget('owner-1')
        self.assertEqual((0, 0), (table.online('i-1'), table.batch('i-1')))
