"""What a process loads before it serves its first client."""

import subprocess
import sys
import unittest

_COUNT = """
import dataclasses, gc
import bendlead_platform.main, bendlead_gateway._entry, bendlead_gateway._owner
for found in gc.get_objects():
    ours = isinstance(found, type) and \\
        str(found.__module__).startswith('bendlead')
    if ours and dataclasses.is_dataclass(found):
        print(found.__module__, found.__name__)
"""


class LoadingTest(unittest.TestCase):
    """Clients of a process that was killed wait until it has loaded."""

    def test_no_type_is_slow_to_make(self):
        """Each dataclass costs 0.6 to 1.1 ms of processor time, a third of
        a loading entry's time in all; a structure costs 0.02 ms."""
        done = subprocess.run(
            [sys.executable, '-c', _COUNT],
            capture_output=True,
            text=True,
            check=True,
        )
        self.assertEqual('', done.stdout)
