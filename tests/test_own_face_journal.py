"""Lines of the journal of bendlead-node are whole, whatever their values are.

Guards against values from callers that begin a line of their own.
"""

import io
import unittest
from unittest import mock

from bendlead_node._common import telemetry
from parameterized import parameterized


class LineTest(unittest.TestCase):
    """One event is one line of bounded length."""

    @parameterized.expand(
        [
            ('plain', 'i-1', 'i-1'),
            ('spaces', 'a "b"', '"a \'b\'"'),
            ('empty', '', '""'),
            ('line_end', 'a\nevent=stop', '"a event=stop"'),
            ('return', 'a\rb', '"a b"'),
            ('next_line', 'a\x85b', '"a b"'),
            ('separator', 'a\u2028b', '"a b"'),
            ('surrogate', 'a\ud800', '"a\\ud800"'),
            ('long', 'a' * 10_000, 'a' * 4000 + '...'),
        ]
    )
    def test_value(self, _name, value, shown):
        written = io.StringIO()
        message = {'message_type': 'seen', 'timestamp': 1.0, 'value': value}
        with mock.patch.object(telemetry.sys, 'stderr', written):
            telemetry._write_event(message)
        line = f'time=1.000000 event=seen value={shown}'
        self.assertEqual(f'{line}\n', written.getvalue())
        self.assertEqual([line], written.getvalue().splitlines())
        journal = telemetry.Journal('n')
        journal.decide('seen', value=value)
        self.assertEqual([f'event=seen value={shown}'], journal.decisions)


if __name__ == '__main__':
    unittest.main()
