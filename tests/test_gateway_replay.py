"""Overload and faults, replayed against the scheduling code of the gateway.

Most bounds fail if each request goes to the engine with the best estimate
instead of a drawn one and items are assumed to run to their end.
"""

import unittest
from dataclasses import dataclass, replace

from bendlead_testing.replay import Load, Replay, Tally
from parameterized import parameterized

_SEED = 1
#: Two periods of square bursts at 1.84 and 0.377 of the mean rate.
_BURSTS = Load(
    engines=(8, 7, 7, 8, 7),
    client_weights=(1, 1, 1.02, 0.8, 1.02),
    report_age=0.06,
    duration=13.2,
)
#: More items than the idle slots beside the bursts can run.
_SHORT = Load(
    engines=(2, 1, 2, 1, 1),
    entries=15,
    online_rate=34,
    report_age=0.06,
    duration=26.4,
)
_SMALL = Load(
    engines=(3, 3, 3),
    client_weights=(1, 1, 1),
    slots=8,
    entries=6,
    online_rate=50,
    job_rate=0.6,
    run_seconds=0.6,
    report_age=0.03,
    duration=13.2,
)


@dataclass(frozen=True)
class Bound:
    """Bounds on the outcomes of a load, as shares of all requests or items."""

    in_time: float
    worst_hall: float = 0.0
    refused: float = 1.0
    lost: float = 0.01
    items: float = 0.0


class ReplayTest(unittest.TestCase):
    """Outcomes for clients and items under bursts and faults."""

    @parameterized.expand(
        [
            ('near_all_slots', _BURSTS, Bound(0.95, 0.93)),
            (
                'over_all_slots',
                replace(_BURSTS, online_rate=197, engines=(7, 6, 7, 7, 7)),
                Bound(0.83, 0.8, refused=0.05),
            ),
            (
                'all_clients_reconnect_in_a_burst',
                replace(
                    _BURSTS,
                    phases=((0, 0.377), (3.8, 1.84), (4.2, 6), (4.4, 1.84)),
                ),
                Bound(0.81, 0.78, refused=0.06),
            ),
            (
                'engine_loss_in_a_burst',
                replace(_BURSTS, engine_loss_at=4.2, engine_loss_share=0.15),
                Bound(0.85, 0.82, refused=0.05),
            ),
            (
                'loss_of_two_fifths_of_the_engines_in_a_burst',
                replace(
                    _BURSTS,
                    online_rate=130,
                    engine_loss_at=4.2,
                    engine_loss_share=0.4,
                ),
                Bound(0.83, 0.79, refused=0.07),
            ),
            (
                'a_third_of_the_entries_is_partitioned',
                replace(_BURSTS, partitioned_share=0.34),
                Bound(0.72, 0.68),
            ),
            (
                'twice_the_items',
                replace(_SHORT, job_rate=2.2),
                Bound(0.93, items=0.29),
            ),
            (
                'a_third_more_items',
                replace(_SHORT, job_rate=0.9),
                Bound(0.93, items=0.75),
            ),
            (
                'few_engines_and_many_clients_in_a_hall',
                replace(
                    _BURSTS,
                    engines=(3, 8, 8, 9, 9),
                    client_weights=(2, 1, 1, 1, 1),
                ),
                Bound(0.945, 0.93),
            ),
            (
                'counts_0.05_s_old',
                replace(_BURSTS, report_age=0.05),
                Bound(0.96, 0.94),
            ),
            (
                'counts_0.1_s_old',
                replace(_BURSTS, report_age=0.1),
                Bound(0.925, 0.9),
            ),
            (
                'counts_0.4_s_old',
                replace(_BURSTS, report_age=0.4),
                Bound(0.72, 0.7),
            ),
            ('20_entries', replace(_BURSTS, entries=20), Bound(0.97, 0.955)),
            ('300_entries', replace(_BURSTS, entries=300), Bound(0.945, 0.93)),
            (
                'five_times_the_fleet',
                replace(
                    _BURSTS,
                    engines=(38, 37, 38, 37, 37),
                    entries=300,
                    online_rate=880,
                    job_rate=0.5,
                    duration=5.6,
                ),
                Bound(0.93, 0.92),
            ),
            ('small_fleet', _SMALL, Bound(0.99)),
            (
                'items_of_five_owners',
                replace(_BURSTS, owners=5),
                Bound(0.94, 0.92, items=0.99),
            ),
            (
                'too_many_items_of_five_owners',
                replace(_SHORT, owners=5, job_rate=0.9),
                Bound(0.93, items=0.6),
            ),
            (
                'items_of_three_owners_of_a_small_fleet',
                replace(_SMALL, owners=3, job_rate=0.9),
                Bound(0.99, items=0.99),
            ),
        ]
    )
    def test_load(self, _name, load: Load, bound: Bound):
        tally = Replay(load, _SEED).play()
        self._check(tally, bound)

    def test_items_a_little_too_many(self):
        """New items must not be deferred as under heavy overload."""
        load = replace(
            _BURSTS,
            online_rate=197,
            engines=(7, 6, 7, 7, 7),
            run_seconds=0.76,
            item_run_seconds=5.1,
            duration=26.4,
        )
        self._check(Replay(load, 2).play(), Bound(0.7, lost=0.02, items=0.9))

    def _check(self, tally: Tally, bound: Bound) -> None:
        self.assertGreaterEqual(tally.in_time, bound.in_time)
        self.assertGreaterEqual(tally.worst_hall, bound.worst_hall)
        self.assertLessEqual(tally.refused, bound.refused)
        self.assertLessEqual(tally.lost, bound.lost)
        self.assertGreaterEqual(tally.items_in_time, bound.items)
