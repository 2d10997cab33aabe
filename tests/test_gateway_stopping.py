"""Schedule of a graceful shutdown by grace period."""

import unittest

from bendlead_gateway._stopping import StopSchedule
from parameterized import parameterized


class StopScheduleTest(unittest.TestCase):
    """New work ends well before the process does, for any grace period."""

    @parameterized.expand(
        [
            ('usual', 8, 2.5, 7.4),
            ('long', 30, 2.5, 29.4),
            ('short', 3, 1.5, 2.7),
            ('very_short', 1, 0.5, 0.9),
        ]
    )
    def test_moments(self, _name, grace, closes, ends):
        stop = StopSchedule.start(grace)
        self.assertAlmostEqual(closes, stop.closes_at - stop.started_at)
        self.assertAlmostEqual(ends, stop.ends_at - stop.started_at)
        self.assertFalse(stop.is_closed)
        self.assertAlmostEqual(ends, stop.seconds_left, delta=0.2)
        # A running request is entitled to five sixths of the grace period.
        self.assertGreater(ends, grace * 5 / 6)

    def test_closed_at_once(self):
        self.assertTrue(StopSchedule.start(0).is_closed)


if __name__ == '__main__':
    unittest.main()
