"""Figures of two checkouts are compared day by day."""

import json
import unittest

from bendlead_testing.compare import DayFigures, lines_of, read_figures

_REPORT = {
    'G': 0.8,
    'served': 0.95,
    'parts': [
        ['whole day', 0.6, 0.96],
        ['worst windows', 0.25, 0.7],
        ['worst class', 0.15, 0.9],
    ],
    'prices': [['GB between zones', 0.03, 0.02], ['cloud calls', 600, 0.01]],
    'all': {'n': 110, 'not_owed': 10, 'in_aim': 90},
    'breaks': {'DRAIN': 2},
    'fault': None,
}


class CompareTest(unittest.TestCase):
    """Reports of the bench become lines that tell policies apart."""

    def test_report(self):
        found = read_figures(json.dumps(_REPORT))
        expected = {
            'worth': 0.8,
            'served': 0.95,
            'in time': 0.9,
            'windows': 0.7,
            'worst class': 0.9,
            'prices': 0.03,
        }
        self.assertEqual(expected, dict(found.values))
        self.assertEqual(['DRAIN 2'], found.rules)

    def test_lines(self):
        before = [read_figures(json.dumps(_REPORT)) for _seed in range(2)]
        gained = {**before[0].values, 'worth': 0.85}
        after = [before[0], DayFigures(gained, ())]
        lines = list(lines_of('site/day', before, after))
        self.assertIn('+0.025', lines[0])
        self.assertIn('spread 0.050', lines[0])
        self.assertIn('broken: DRAIN 2', lines[-1])
