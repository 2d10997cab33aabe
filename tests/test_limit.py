"""The estimate of what a perfect scheduler could earn."""

import unittest

from bendlead_testing.limit import Day, Site
from parameterized import parameterized

_SITE = """
length_s = 20.0
goal = { mean = 1.0 }
day = []
[[services]]
slots = 10
servers = [{ count = 2 }]
llm = { step_ms = 10.0, stride = 1 }
[[classes]]
name = "chat"
aim_ms = 300.0
worth = 4.0
late_worth = 1.0
stream = { pieces = { mean = 100 }, resume = false }
[[classes]]
name = "jobs"
aim_ms = 600.0
worth = 20.0
late_worth = 2.0
stream = { pieces = { mean = 400 }, resume = true }
lot = { run_aim_ms = 10000.0, items = { mean = 5.0 } }
[[traffic]]
mix = { chat = 1.0 }
per_s = CHATS
shape = { kind = "steady" }
[[traffic]]
mix = { jobs = 1.0 }
per_s = 0.2
shape = { kind = "steady" }
"""


def _played(chats: float, *faults: dict[str, object]) -> float:
    site = Site(_SITE.replace('CHATS', str(chats)))
    return Day(site, {'name': 'day-1', 'faults': list(faults)}).play().whole


class LimitTest(unittest.TestCase):
    """Twenty places; a chat takes one for 1 s, an item for 4 s."""

    @parameterized.expand(
        [
            ('room_for_all', 10.0, (), 0.95, 1.0),
            ('twice_what_fits', 40.0, (), 0.4, 0.6),
            (
                'jobs_that_come_while_the_store_is_down',
                10.0,
                ({'kind': 'platform_down', 'at': 0.0, 'for_s': 20.0},),
                0.6,
                0.75,
            ),
            (
                'half_of_the_engines_crash',
                10.0,
                ({'kind': 'srv_crash', 'at': 5.0, 'share': 0.5},),
                0.7,
                0.99,
            ),
        ]
    )
    def test_day(
        self,
        _name: str,
        chats: float,
        faults: tuple[dict[str, object], ...],
        least: float,
        most: float,
    ) -> None:
        whole = _played(chats, *faults)
        self.assertGreaterEqual(whole, least)
        self.assertLessEqual(whole, most + 1e-9)
