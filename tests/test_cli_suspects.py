"""Tests of `bendlead suspects`."""

import io
import unittest
from contextlib import redirect_stdout
from unittest import mock

from bendlead_cli import _suspects
from bendlead_cli._explain import find_lines
from bendlead_cli._printing import Output

_CRASH_COUNTS = {
    'one:1': {'d1': 2, 'd2': 1, 'd3': 0},
    'two:2': {'d1': 3},
    # A process of an earlier version reports none.
    'three:3': None,
}
_LOG = (
    'time=1.00 event=request node=n1 request=r1 engine=i-1 digest=d1',
    'time=1.03 event=engine-ended node=n1 engine=i-1 digests=d1,d2',
    'time=2.00 event=request node=n2 request=r2 digest=d1',
    'time=3.00 event=request node=n2 request=r3 digest=d11',
)


class SuspectsTest(unittest.TestCase):
    """`bendlead suspects` for three processes, and `bendlead explain`."""

    def run_command(self, output):
        """Return what the command prints."""

        def send(connection, _method, _path):
            counts = _CRASH_COUNTS[connection.entry]
            return {} if counts is None else {'suspects': counts}

        printed = io.StringIO()
        with (
            redirect_stdout(printed),
            mock.patch.object(_suspects.Connection, 'send', send),
        ):
            _suspects.suspects(list(_CRASH_COUNTS), output=output)
        return printed.getvalue()

    def test_most_crashes_first_and_none_without(self):
        lines = self.run_command(Output.TEXT).splitlines()
        self.assertEqual(['d1', '3'], lines[1].split())
        self.assertEqual(['d2', '1'], lines[2].split())
        self.assertEqual(3, len(lines))

    def test_json(self):
        self.assertIn('"d1": 3', self.run_command(Output.JSON))

    def test_digest_matches_all_attempts(self):
        events = [line.event for line in find_lines(_LOG, 'd1')]
        self.assertEqual(['request', 'engine-ended', 'request'], events)
