"""Import time of a gateway process."""

import subprocess
import sys
import unittest

_LIST_DATACLASSES = """
import dataclasses, gc
import bendlead_platform.main, bendlead_gateway._entry, bendlead_gateway._owner
for item in gc.get_objects():
    ours = isinstance(item, type) and \\
        str(item.__module__).startswith('bendlead')
    if ours and dataclasses.is_dataclass(item):
        print(item.__module__, item.__name__)
"""


class LoadingTest(unittest.TestCase):
    """Importing must be fast: clients wait while a process restarts."""

    def test_no_dataclasses(self):
        """Dataclasses are slow to create on import; msgspec structs are not."""
        done = subprocess.run(
            [sys.executable, '-c', _LIST_DATACLASSES],
            capture_output=True,
            text=True,
            check=True,
        )
        self.assertEqual('', done.stdout)
