"""Schedule of a graceful shutdown by grace period."""

import os
import signal
import subprocess
import unittest

from bendlead_gateway._stopping import StopSchedule, held_signal_time
from bendlead_store import clock
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

    @parameterized.expand([('past_its_end', 9, True), ('midway', 2, False)])
    def test_signal_that_came_before(self, _name, seconds, closed):
        stop = StopSchedule.start(8, clock.uptime() - seconds)
        self.assertEqual(closed, stop.is_closed)
        self.assertAlmostEqual(7.4 - seconds, stop.seconds_left, delta=0.2)

    def test_closed_at_once(self):
        self.assertTrue(StopSchedule.start(0).is_closed)


class HeldSignalTest(unittest.TestCase):
    """Time of a SIGTERM that was held while the process started."""

    def setUp(self):
        handler = signal.getsignal(signal.SIGTERM)
        self.addCleanup(signal.signal, signal.SIGTERM, handler)
        signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGTERM,))
        self.addCleanup(
            signal.pthread_sigmask, signal.SIG_UNBLOCK, (signal.SIGTERM,)
        )
        # Drops a signal that is still held.
        self.addCleanup(signal.signal, signal.SIGTERM, signal.SIG_IGN)

    def test_no_signal(self):
        self.assertIsNone(held_signal_time())

    def test_signal_counts_from_the_start_of_the_process(self):
        """Guards against requests that the kill cuts off."""
        before = clock.uptime()
        os.kill(os.getpid(), signal.SIGTERM)
        ages = subprocess.check_output(
            ['ps', '-o', 'etimes=', '-p', str(os.getpid())]
        )
        self.assertAlmostEqual(
            int(ages), before - held_signal_time(), delta=1.5
        )


if __name__ == '__main__':
    unittest.main()
