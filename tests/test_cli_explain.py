"""Tests of `bendlead explain`."""

import unittest

from bendlead_cli._explain import find_lines, parse_line
from parameterized import parameterized

_EVENTS = (
    'time=10.0 event=config-in-force node=n2 version=1',
    'time=20.0 event=config-in-force node=n2 version=2',
    'time=100.0 event=engine-failed node=n1 engine=i-1 reason="timed out"',
    'time=101.0 event=request node=n1 request=r1 engine=i-1 outcome=unknown',
    'time=101.1 event=request node=n1 request=r2 engine=i-2 outcome=answered',
    'time=101.2 event=engine-failed node=n2 engine=i-9 reason=reset',
    'time=101.3 event=watch-lost node=n1 prefix=config/',
    'time=101.4 event=caller-turned-away node=n2 request=r3 status=401',
    'time=109.0 event=engine-gone node=n1 engine=i-1 reason=removed',
    'no event at all',
)
_LOG = [f' 1.0 n1 {event}' for event in _EVENTS]


class ParseLineTest(unittest.TestCase):
    """Parsing of log lines."""

    @parameterized.expand(
        [
            (
                'plain',
                'time=1.5 event=stop node=n1',
                {'time': '1.5', 'event': 'stop', 'node': 'n1'},
            ),
            (
                'quoted',
                'time=1 event=x reason="a b=c"',
                {'time': '1', 'event': 'x', 'reason': 'a b=c'},
            ),
            ('prefixed', ' 3.2 n1 time=1 event=x', {'time': '1', 'event': 'x'}),
        ],
    )
    def test_fields(self, _name, raw, expected):
        self.assertEqual(expected, parse_line(raw).fields)

    @parameterized.expand([('empty', ''), ('no_event', 'time=1 node=n1')])
    def test_no_event(self, _name, raw):
        self.assertIsNone(parse_line(raw))


class FindLinesTest(unittest.TestCase):
    """Lines about a request and their context."""

    @parameterized.expand(
        [
            ('failed', 'r1', ['engine-failed', 'request', 'watch-lost']),
            ('other_engine', 'r2', ['request', 'watch-lost']),
            ('unknown', 'r9', []),
            (
                'turned_away',
                'r3',
                ['config-in-force', 'caller-turned-away'],
            ),
        ],
    )
    def test_found(self, _name, request, expected):
        found = find_lines(_LOG, request)
        self.assertEqual(expected, [line.event for line in found])

    def test_latest_earlier_configuration_is_shown(self):
        found = find_lines(_LOG, 'r3')
        self.assertEqual('2', found[0].fields['version'])
