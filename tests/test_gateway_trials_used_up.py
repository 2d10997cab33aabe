"""What crashed engines for a time is tried again once that has ended.

Guards against items, parts and requests that wait for an hour because a fixed
number of trials is used up.
"""

import unittest
from itertools import product

from bendlead_testing.trial_replay import (
    SuspectKind,
    TrialLoad,
    TrialReplay,
)
from parameterized import parameterized

#: The users count an accepted item as lost if no run of it has failed for 20 s;
#: jobs have 18 s to finish.
_OWED_SECONDS = 18
#: Twice contact_ms of the sheets and the time of an answer: callers whose sound
#: requests were refused are served again by then.
_RELEASED_SECONDS = 10
#: contact_ms of the sheets, and the sends later than that which BUDGET allows.
_CONTACT_SECONDS = 3.0
_LATE_SENDS = 3
#: Crashes after which a request and a part are known to crash engines.
_KNOWN = {False: 3, True: 5}
_SEEDS = range(20)
_FEW_SEEDS = range(4)
_ONE_AT_A_TIME = 1


def play_until_calm(load, *, calm_after, within=_OWED_SECONDS):
    """Return the seeds in which the suspect is still held back in the calm."""
    held = []
    for seed in _SEEDS:
        outcome = TrialReplay(load, seed).play(calm_after + within)
        if outcome.cleared_at is None:
            held.append(seed)
    return held


def sound_bound(kind):
    """Return the time after trouble by which a sound suspect is answered."""
    return _RELEASED_SECONDS if kind.is_sent_by_entries else _OWED_SECONDS


class EndedCauseTest(unittest.TestCase):
    """It crashes each engine until some time, and is sound from then on."""

    @parameterized.expand(product(SuspectKind, (6.0, 12.0, 20.0, 30.0, 45.0)))
    def test_is_answered_in_time(self, kind, until):
        load = TrialLoad(kind, deadly_until=until)
        self.assertEqual([], play_until_calm(load, calm_after=until))

    @parameterized.expand(product(SuspectKind, (12.0, 30.0)))
    def test_crashes_that_are_noticed_late(self, kind, until):
        """Something in front of the engines accepts connections for them."""
        load = TrialLoad(kind, deadly_until=until, noticed_after=1.0)
        self.assertEqual([], play_until_calm(load, calm_after=until))


class OtherCausesTest(unittest.TestCase):
    """A sound one runs where engines crash of other causes."""

    @parameterized.expand(
        product(
            SuspectKind,
            [
                ('two', 2, 0.5, 60.0, _ONE_AT_A_TIME),
                ('three', 3, 0.5, 60.0, _ONE_AT_A_TIME),
                ('all_at_once', 6, 2.8, 28.0, 6),
                ('half_at_once', 6, 1.2, 30.0, 3),
                ('sparse', 2, 2.5, 50.0, _ONE_AT_A_TIME),
            ],
        )
    )
    def test_is_answered_in_time(self, kind, series):
        _name, engines, every, until, crashing = series
        load = TrialLoad(
            kind,
            engines=engines,
            every=every,
            crashes_until=until,
            crashing=crashing,
        )
        held = play_until_calm(load, calm_after=until, within=sound_bound(kind))
        self.assertEqual([], held)


class UntellingTrialTest(unittest.TestCase):
    """Its trials end in silence, which says nothing about it."""

    @parameterized.expand(product(SuspectKind, (12.0, 30.0, 60.0)))
    def test_is_answered_in_time(self, kind, until):
        load = TrialLoad(kind, deadly_until=2.0, silent_until=until)
        held = play_until_calm(load, calm_after=until, within=sound_bound(kind))
        self.assertEqual([], held)


class ForeverDeadlyTest(unittest.TestCase):
    """It crashes each engine for ever, and few engines get it."""

    @parameterized.expand(product(SuspectKind, (0.05, 1.0)))
    def test_few_engines_get_it(self, kind, noticed_after):
        for seed in _SEEDS:
            load = TrialLoad(
                kind, deadly_until=1000, noticed_after=noticed_after
            )
            outcome = TrialReplay(load, seed).play(60)
            late = outcome.late(_KNOWN[kind.is_part], _CONTACT_SECONDS)
            self.assertLessEqual(late, _LATE_SENDS)

    @parameterized.expand(product(SuspectKind, (0.5, 2.5, 5.0, 9.0)))
    def test_few_engines_get_it_beside_other_crashes(self, kind, every):
        """Guards against trials that no crash of another cause excuses."""
        late = []
        for seed in _FEW_SEEDS:
            load = TrialLoad(
                kind, deadly_until=1000, every=every, crashes_until=1000
            )
            outcome = TrialReplay(load, seed).play(60)
            late.append(outcome.late(_KNOWN[kind.is_part], _CONTACT_SECONDS))
        self.assertLessEqual(max(late), _LATE_SENDS, late)


if __name__ == '__main__':
    unittest.main()
