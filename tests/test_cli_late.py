"""Tests of `bendlead late`."""

import unittest

from bendlead_cli._late import Cause, count_causes
from bendlead_cli._late_groups import Group, Outcome, count_groups
from parameterized import parameterized

_LATENCY_TARGET_SECONDS = 0.3
_SLOTS = 2
_LINE = (
    'time={ended} event=request node=n1 request={request} engine=i-1 '
    'outcome={outcome} status={status} online_seen={online} '
    'batch_seen={batch} {more} first_ms={first} total_ms={total}'
)


def _line(request, start_ms, total_ms, first_ms=50, **overrides):
    """Return the log line of one request."""
    line_fields = {
        'outcome': 'answered',
        'status': 200,
        'online': 0,
        'batch': 0,
        'more': '',
        **overrides,
    }
    ended = (start_ms + total_ms) / 1000
    return _LINE.format(
        ended=ended,
        request=request,
        first=first_ms,
        total=total_ms,
        **line_fields,
    )


#: Two requests that fill both slots of the engine for the first second.
_FULL_ENGINE = [_line('a', 0, 1000), _line('b', 10, 1000)]
_CASES = [
    ('in_time', [_line('r', 1100, 700)], {Cause.IN_TIME: 1}),
    ('slow', [_line('r', 1100, 700, 400)], {Cause.SLOW: 1}),
    (
        'full_unseen',
        [*_FULL_ENGINE, _line('r', 100, 700, 400)],
        {Cause.IN_TIME: 2, Cause.UNSEEN_FULL: 1},
    ),
    (
        'full_seen',
        [*_FULL_ENGINE, _line('r', 100, 700, 400, online=2)],
        {Cause.IN_TIME: 2, Cause.SEEN_FULL: 1},
    ),
    (
        'full_with_items',
        [_FULL_ENGINE[0], _line('r', 100, 700, 400, batch=1)],
        {Cause.IN_TIME: 1, Cause.FULL_WITH_ITEMS: 1},
    ),
    (
        'others_have_ended',
        [*_FULL_ENGINE, _line('r', 1100, 700, 400)],
        {Cause.IN_TIME: 2, Cause.SLOW: 1},
    ),
    (
        'replaced',
        [_line('r', 0, 700, 400, more='sends=2')],
        {Cause.FAILED_OVER: 1},
    ),
    (
        'refused_and_returned',
        [
            _line('r', 500, 700),
            _line('r', 0, 1, 0, outcome='refused', status=503),
        ],
        {Cause.REFUSED: 1, Cause.SERVED_ON_RETRY: 1},
    ),
    (
        'failed',
        [_line('r', 0, 5, 0, outcome='unknown', status=502)],
        {Cause.FAILED: 1},
    ),
    (
        'broken_off',
        [_line('r', 0, 90, 50, outcome='broken_off')],
        {Cause.FAILED: 1},
    ),
    (
        'cut_short',
        [_line('r', 0, 700).partition('total_ms')[0] + 'total_ms='],
        {Cause.UNREADABLE: 1},
    ),
    ('other_lines', ['time=1 event=stop node=n1', 'no event', ''], {}),
]


class CountCausesTest(unittest.TestCase):
    """Causes of late requests on an engine with two slots."""

    @parameterized.expand(_CASES)
    def test_causes(self, _name, lines, expected):
        counted = count_causes(lines, _LATENCY_TARGET_SECONDS, _SLOTS)
        self.assertEqual(expected, dict(counted))

    def test_default_fields_are_omitted(self):
        """Entries omit fields with default values."""
        line = 'time=2.0 event=request node=n1 request=r outcome=refused'
        counted = count_causes(
            [f'{line} status=503'], _LATENCY_TARGET_SECONDS, _SLOTS
        )
        self.assertEqual({Cause.REFUSED: 1}, dict(counted))


if __name__ == '__main__':
    unittest.main()


#: One attempt of each outcome, by two teams at entries in two data halls.
_TWO_TEAMS = [
    'time=1 event=start node=n1 role=entry hall=near',
    'time=1 event=start node=n2 role=entry hall=far',
    _line('a', 2000, 100, more='team=large route=r-1'),
    _line('b', 2000, 900, 400, more='team=large route=r-1'),
    _line(
        'c',
        3000,
        10,
        status=503,
        outcome='refused',
        more='team=small route=r-2',
    ),
    'time=3.5 event=over-limit node=n2 request=d team=large',
    _line(
        'e',
        3000,
        10,
        status=502,
        outcome='unknown',
        more='team=small route=r-1',
    ).replace('node=n1', 'node=n2'),
    'no log line at all',
]


class GroupTest(unittest.TestCase):
    """Outcomes by group."""

    @parameterized.expand(
        [
            (
                Group.TEAM,
                {
                    'small': {Outcome.REFUSED: 1, Outcome.FAILED: 1},
                    'large': {
                        Outcome.IN_TIME: 1,
                        Outcome.LATE: 1,
                        Outcome.OVER_LIMIT: 1,
                    },
                },
            ),
            (
                Group.HALL,
                {
                    'far': {Outcome.OVER_LIMIT: 1, Outcome.FAILED: 1},
                    'near': {
                        Outcome.IN_TIME: 1,
                        Outcome.LATE: 1,
                        Outcome.REFUSED: 1,
                    },
                },
            ),
            (
                Group.SECOND,
                {
                    '2': {Outcome.IN_TIME: 1, Outcome.LATE: 1},
                    '3': {
                        Outcome.REFUSED: 1,
                        Outcome.OVER_LIMIT: 1,
                        Outcome.FAILED: 1,
                    },
                },
            ),
        ]
    )
    def test_groups(self, group, expected):
        counted = count_groups(_TWO_TEAMS, group, _LATENCY_TARGET_SECONDS)
        self.assertEqual(
            list(expected.items()),
            [
                (group_counts.name, dict(group_counts.outcomes))
                for group_counts in counted
            ],
        )

    def test_unserved(self):
        counted = count_groups(_TWO_TEAMS, Group.TEAM, _LATENCY_TARGET_SECONDS)
        self.assertEqual(
            [2, 1], [group_counts.unserved for group_counts in counted]
        )
