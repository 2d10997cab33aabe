"""Tests of `bendlead teams` and of metrics by team."""

import io
import unittest
from contextlib import redirect_stdout
from unittest import mock

from bendlead_cli import _teams
from bendlead_cli._printing import Output
from bendlead_gateway._metrics import Metrics

_ENTRIES = {
    'one:1': {
        'b': {
            'rate': 33,
            'burst': 33,
            'level': 12.5,
            'passed_here': 7,
            'had': 20.5,
            'share': 11.0,
            'waiting': 1,
            'no_place': 7,
        },
        'a': {'rate': 0, 'burst': 0, 'level': 0, 'passed_here': 2},
    },
    'two:2': {
        'b': {
            'rate': 33,
            'burst': 33,
            'level': 12.0,
            'passed_here': 6,
            'had': 19.0,
            'share': 11.2,
            'waiting': 2,
            'no_place': 0,
        },
    },
}


class TeamsTest(unittest.TestCase):
    """`bendlead teams` for two entries."""

    def run_command(self, output):
        """Return what the command prints."""

        def send(connection, _method, _path):
            return {'teams': _ENTRIES[connection.entry]}

        printed = io.StringIO()
        with (
            redirect_stdout(printed),
            mock.patch.object(_teams.Connection, 'send', send),
        ):
            _teams.teams(list(_ENTRIES), output=output)
        return printed.getvalue()

    def test_highest_level_and_sum_of_counts(self):
        lines = self.run_command(Output.TEXT).splitlines()
        # The entry reports no share of this team.
        self.assertEqual(
            ['a', '-', '0', '0', '2', '0', '-', '0', '0'], lines[1].split()
        )
        self.assertEqual(
            ['b', '33', '33', '12.5', '13', '20.5', '11.2', '3', '7'],
            lines[2].split(),
        )

    def test_json(self):
        self.assertIn('"level": 12.5', self.run_command(Output.JSON))


class TeamMetricsTest(unittest.TestCase):
    """The number of series is bounded, and their sum is complete."""

    def test_busiest_teams_and_the_sum_of_others(self):
        metrics = Metrics()
        metrics.over_limit.update(
            {f't{number}': number + 1 for number in range(200)}
        )
        page = metrics.page().decode()
        lines = [
            line
            for line in page.splitlines()
            if line.startswith('bendlead_gateway_over_limit_total')
        ]
        self.assertEqual(51, len(lines))
        counts = [float(line.rpartition(' ')[2]) for line in lines]
        self.assertEqual(sum(range(1, 201)), sum(counts))
        self.assertIn('bendlead_gateway_over_limit_total{team="t199"}', page)
