"""Tests of `bendlead engines`."""

import io
import json
import unittest
from contextlib import redirect_stdout
from unittest import mock

from bendlead_cli import _engines
from bendlead_cli._printing import Output

_OBSERVATION = {
    'engine': 'i-0',
    'witness': 'n-1',
    'failures': {'error': 2.0},
    'answers': 0.5,
    'age_ms': 120,
}
_ENGINE = {
    'born': 1,
    'standing': 'on-trial',
    'score': 2.77,
    'good': 1,
    'good_needed': 4,
    'tries': 'owner-1',
    'evidence': [
        _OBSERVATION,
        {**_OBSERVATION, 'witness': 'n-2', 'failures': {}},
    ],
}
_STATES = {
    'one:1': {'engine_health': {'i-0': {**_ENGINE, 'standing': 'doubted'}}},
    'two:2': {'engine_health': {'i-0': _ENGINE}},
    # A process of an older version, or one that shares no health state.
    'three:3': {},
}


class EnginesTest(unittest.TestCase):
    """`bendlead engines` for three processes, one without health state."""

    def run_command(self, output):
        """Return what the command prints."""

        def send(connection, _method, _path):
            return _STATES[connection.entry]

        printed = io.StringIO()
        with (
            redirect_stdout(printed),
            mock.patch.object(_engines.Connection, 'send', send),
        ):
            _engines.engines(list(_STATES), output=output)
        return printed.getvalue()

    def test_worst_standing_and_a_row_for_each_observer(self):
        lines = self.run_command(Output.TEXT).splitlines()
        self.assertEqual(3, len(lines))
        for part in ('i-0', 'on-trial', '1/2', '2.77', '1/4', 'owner-1'):
            self.assertIn(part, lines[1])
        self.assertIn('n-1: error=2.0 answers=0.5 120 ms ago', lines[1])
        self.assertIn('n-2: no failure', lines[2])

    def test_json_has_the_standing_by_process(self):
        engines = json.loads(self.run_command(Output.JSON))
        self.assertEqual(
            {'one:1': 'doubted', 'two:2': 'on-trial'},
            engines['i-0']['standings'],
        )


if __name__ == '__main__':
    unittest.main()
