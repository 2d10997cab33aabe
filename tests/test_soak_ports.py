"""Ports of the soak, which many runs take on one machine."""

import unittest

from bendlead_testing.gateway_soak.deployment import Ports


class PortsTest(unittest.TestCase):
    """One process runs many seeds one after the other."""

    def test_ports_of_an_ended_run_are_free_again(self):
        first = Ports()
        taken = first.take()
        self.assertNotEqual(taken, Ports().take())
        first.free()
        last = Ports()
        self.addCleanup(last.free)
        # A lower one may have become free elsewhere meanwhile.
        self.assertLessEqual(last.take(), taken)


if __name__ == '__main__':
    unittest.main()
