"""Several suspects at once: few engines get them, and none waits for ever.

Guards against trials of one suspect that use up those of another.
"""

import unittest
from itertools import product

from bendlead_gateway.types import PromptPart
from bendlead_testing.suspects_replay import FleetLoad, Played, SuspectsReplay
from parameterized import parameterized

#: The users count an accepted item as lost if no run of it has failed for 20 s;
#: jobs have 18 s to finish.
_OWED_SECONDS = 18
_LOST_SECONDS = 20
_CONTACT_SECONDS = 3.0
_LATE_SENDS = 3
_MINUTE = 60
_EVER = 1e6
_SEEDS = range(20)
_FEW_SEEDS = range(4)
_PART = (PromptPart('p'),)


def play_ends(ends, seconds, *, seed, is_item, **load):
    """Play suspects that crash engines until these times.

    Their names decide on the wait for calm, so each seed has its own.
    """
    suspects = tuple(
        Played(f's-{seed}-{number}', until, is_item)
        for number, until in enumerate(ends)
    )
    outcomes = SuspectsReplay(FleetLoad(suspects, **load), seed).play(seconds)
    return list(outcomes.values())


def late_in_first_minute(outcome, known=3):
    """Count the sends of what still crashes engines, in the minute bound."""
    if len(outcome.failed) < known:
        return 0
    since = outcome.failed[known - 1]
    return sum(
        since + _CONTACT_SECONDS < at < since + _MINUTE for at in outcome.sent
    )


class ForeverTest(unittest.TestCase):
    """Two and three crash each engine for ever."""

    @parameterized.expand(product((True, False), (2, 3), (1, 3, 9), (1, 3)))
    def test_few_engines_get_them(self, is_item, count, engines, processes):
        for seed in _FEW_SEEDS:
            outcomes = play_ends(
                [_EVER] * count,
                _MINUTE,
                seed=seed,
                is_item=is_item,
                engines=engines,
                processes=processes,
            )
            late = max(map(late_in_first_minute, outcomes))
            self.assertLessEqual(late, _LATE_SENDS)


class ClearedOthersTest(unittest.TestCase):
    """One crashes engines for ever, beside others that stop doing so."""

    @parameterized.expand(
        product(
            (True, False),
            [('one', (20,)), ('two', (12, 20)), ('six', range(8, 44, 6))],
        )
    )
    def test_few_engines_get_it(self, is_item, others):
        _name, ends = others
        late = []
        for seed in _SEEDS:
            outcomes = play_ends(
                [_EVER, *ends],
                70,
                seed=seed,
                is_item=is_item,
                engines=9,
                processes=3,
            )
            late.append(late_in_first_minute(outcomes[0]))
        self.assertLessEqual(max(late), _LATE_SENDS, late)


class EndedCauseTest(unittest.TestCase):
    """Several items crash engines for less than 47 s."""

    @parameterized.expand(
        [
            ('at_once_30', (30, 30), 3),
            ('at_once_45', (45, 45), 3),
            ('one_after_the_other', (12, 30), 3),
            ('far_apart', (20, 45), 3),
            ('three', (12, 20, 45), 3),
            ('one_process', (20, 45), 1),
        ]
    )
    def test_are_answered_in_time(self, _name, ends, processes):
        waits = []
        for seed in _SEEDS:
            outcomes = play_ends(
                ends,
                max(ends) + 2 * _MINUTE,
                seed=seed,
                is_item=True,
                engines=9,
                processes=processes,
            )
            for until, outcome in zip(ends, outcomes, strict=True):
                waits.append(outcome.answered_at - until)
        self.assertLessEqual(max(waits), _OWED_SECONDS)


class SparseCallersTest(unittest.TestCase):
    """One request comes each 2 s, and crashes engines for less than 47 s."""

    @parameterized.expand([(36,), (40,), (45,)])
    def test_is_answered_in_time(self, until):
        for seed in _FEW_SEEDS:
            outcome = play_ends(
                [until],
                until + _MINUTE,
                seed=seed,
                is_item=False,
                engines=9,
                processes=3,
                callers_every=2,
            )[0]
            self.assertLessEqual(outcome.answered_at - until, _OWED_SECONDS)


class SameEngineTest(unittest.TestCase):
    """A sound item or request is tried beside one that crashes engines."""

    @parameterized.expand(product((True, False), (1, 2)))
    def test_is_answered(self, is_item, engines):
        waits = []
        for seed in _SEEDS:
            outcome = play_ends(
                [_EVER, 0],
                3 * _MINUTE,
                seed=seed,
                is_item=is_item,
                engines=engines,
                processes=3,
            )[1]
            waits.append(outcome.longest_wait(0, 3 * _MINUTE))
        self.assertLessEqual(max(waits), _LOST_SECONDS, waits)


class SamePartTest(unittest.TestCase):
    """One of two with the same part crashes engines, the other is sound."""

    @parameterized.expand(product((True, False), (3, 9), (12, 30, 45)))
    def test_are_answered_in_time(self, is_item, engines, until):
        suspects = (
            Played('deadly', until, is_item, _PART),
            Played('sound', 0, is_item, _PART),
        )
        load = FleetLoad(
            suspects, engines=engines, processes=3, sound_per_second=20
        )
        for seed in _FEW_SEEDS:
            outcomes = SuspectsReplay(load, seed).play(until + _MINUTE)
            waits = [one.answered_at - until for one in outcomes.values()]
            self.assertLessEqual(max(waits), _OWED_SECONDS)


class AwayTest(unittest.TestCase):
    """The object service is away for 20 s in the middle of trials."""

    @parameterized.expand(product((True, False), (3, 10, 18)))
    def test_both_bounds_hold(self, is_item, since):
        for seed in _FEW_SEEDS:
            troubles = {
                'engines': 9,
                'processes': 3,
                'away': ((since, since + 20),),
            }
            forever = play_ends(
                [_EVER, _EVER], _MINUTE, seed=seed, is_item=is_item, **troubles
            )
            late = max(map(late_in_first_minute, forever))
            self.assertLessEqual(late, _LATE_SENDS)
            ended = play_ends(
                [25, 25], 2 * _MINUTE, seed=seed, is_item=is_item, **troubles
            )
            calm = max(25, since + 20)
            waits = [one.answered_at - calm for one in ended]
            self.assertLessEqual(max(waits), _OWED_SECONDS)


class RestartTest(unittest.TestCase):
    """All processes are replaced 2 s before a series of crashes ends."""

    @parameterized.expand([('item', True, 18), ('request', False, 10)])
    def test_is_answered_in_time(self, _name, is_item, within):
        load = FleetLoad(
            (Played('sound', 0, is_item),),
            engines=2,
            processes=3,
            crashes_until=_MINUTE,
            restarts=(_MINUTE - 2,),
        )
        waits = []
        for seed in range(40):
            outcome = SuspectsReplay(load, seed).play(4 * _MINUTE)['sound']
            waits.append(outcome.answered_at - _MINUTE)
        self.assertLessEqual(max(waits), within)


class ClocksTest(unittest.TestCase):
    """The clocks of three processes differ by 2 s each."""

    @parameterized.expand([('item', True), ('request', False)])
    def test_few_engines_get_them(self, _name, is_item):
        late = []
        for seed in _SEEDS:
            outcomes = play_ends(
                [_EVER, _EVER],
                _MINUTE,
                seed=seed,
                is_item=is_item,
                engines=9,
                processes=3,
                skews=(0, 2, -2),
            )
            late += map(late_in_first_minute, outcomes)
        self.assertLessEqual(max(late), _LATE_SENDS, late)


if __name__ == '__main__':
    unittest.main()
