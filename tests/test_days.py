"""Reports of the users' bench become rows of one table."""

import json
import unittest

from bendlead_testing.days import DayReport, read_report
from parameterized import parameterized


def _report(**changed: object) -> str:
    found = {
        'G': 0.9,
        'served': 0.95,
        'fault': None,
        'breaks': {},
        'parts': [['whole day', 0.75, 0.95], ['worst windows', 0.15, 0.4]],
    }
    found.update(changed)
    return json.dumps(found)


class ReadReportTest(unittest.TestCase):
    """A day is whole only if no rule was broken and nothing failed."""

    @parameterized.expand(
        [
            ('calm', {}, True, ''),
            ('broken', {'breaks': {'LOST': 2}}, False, 'LOST 2'),
            ('fault', {'fault': 'no start'}, False, 'fault: no start'),
        ]
    )
    def test_whole(
        self, _name: str, changed: dict[str, object], whole: bool, shown: str
    ) -> None:
        report = read_report('day-1', 'site-1', _report(**changed))
        self.assertEqual(report.whole, whole)
        self.assertIn(shown, report.row())
        self.assertIn('worst windows 0.400', report.row())

    @parameterized.expand(
        [
            ('kind_not_held', 'srv_flap: contract health is not open', True),
            ('did_not_end', 'ended with 1', False),
        ]
    )
    def test_not_played(self, _name: str, reason: str, whole: bool) -> None:
        report = DayReport('day-1', 'site-1', (), None, None, reason)
        self.assertEqual(report.whole, whole)
