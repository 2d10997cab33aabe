"""A short soak of the gateway's real processes, from a fixed seed."""

import json
import os
import pathlib
import subprocess
import sys
import unittest

from parameterized import parameterized

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_SECONDS = 10
#: A run starts a dozen processes, and drains jobs for half a minute at most.
_LONGEST_SECONDS = 240


class GatewaySoakTest(unittest.TestCase):
    """What once failed stays here, each with its cause.

    The steps are those of the seed that failed, without the others.
    """

    @parameterized.expand(
        [
            # Never failed: planned work and faults mixed.
            ('seed_1', 1, None),
            # Seed 212: engines that lapsed during an outage, told of by a
            # watch that outlived it, were all dropped: nobody was left to ask.
            ('lapsed_engines', 212, [[3.0, 'store silent', 'store', 4.5]]),
            # Seed 205: a watch held while the store was silent said nothing
            # any more, and the entry used two engines of four.
            (
                'silent_watch',
                205,
                [
                    [3.0, 'store silent for one', 'entry-1', 2.0],
                    [4.0, 'stop engine', 'engine-2', 1.0],
                    [5.0, 'change configuration', 'store', 0],
                ],
            ),
            # Seed 130: the soak itself killed a process that a second,
            # overlapping stop had already started again.
            (
                'overlapping_stops',
                130,
                [[3.0, 'stop', 'entry-0', 1.0], [3.9, 'stop', 'entry-0', 1.0]],
            ),
        ]
    )
    def test_seed(self, _name, seed, steps):
        outcome, told = self.play(seed, steps)
        self.assertEqual([], outcome.get('breaches'), told)
        self.assertGreater(outcome['served'], 100)
        self.assertGreater(outcome['items'], 10)
        self.assertGreater(outcome['held'], 0)

    def test_request_that_ends_engines(self):
        """It comes every half second, beside planned work and faults."""
        outcome, told = self.play(30000, None, '--deadly=1', '--engines=6')
        self.assertEqual([], outcome.get('breaches'), told)
        self.assertGreater(outcome['served'], 100)

    def test_hard_load(self):
        """Engines of three speeds fail and flap while a team is hot."""
        outcome, told = self.play(40000, None, '--hard', '--engines=6')
        self.assertEqual([], outcome.get('breaches'), told)
        self.assertGreater(outcome['served'], 100)

    def test_engines_of_several_versions(self):
        """Entries are killed under streams while engines are released."""
        outcome, told = self.play(
            51000, None, '--versions=3', '--engines=6', '--online=24'
        )
        self.assertEqual([], outcome.get('breaches'), told)
        self.assertGreater(outcome['served'], 100)

    def test_releases_that_an_entry_does_not_follow(self):
        """Streams were said to mix versions when taken up there."""
        outcome, told = self.play(
            77001,
            None,
            '--releases',
            '--versions=3',
            '--attempts=2',
            '--owners=2',
            '--engines=6',
            '--slots=8',
            '--online=30',
        )
        self.assertEqual([], outcome.get('breaches'), told)
        self.assertGreater(outcome['went_on'], 10)

    def test_ends_of_answers_and_a_part_that_ends_engines(self):
        """Answers end in all ways, and engines on one part of prompts."""
        outcome, told = self.play(
            57001,
            None,
            '--ends',
            '--deadly-part=1',
            '--engines=6',
            '--online=24',
        )
        self.assertEqual([], outcome.get('breaches'), told)
        self.assertGreater(outcome['unframed'], 0)
        self.assertGreater(outcome['reset'], 0)
        self.assertGreater(outcome['crashes'], 0)

    def test_silent_engines_and_a_single_attempt(self):
        """Streams whose engine stood still were cut, in calm."""
        outcome, told = self.play(
            59202, None, '--attempts=1', '--engines=6', '--online=24'
        )
        self.assertEqual([], outcome.get('breaches'), told)
        self.assertGreater(outcome['silences'], 10)

    def test_silent_engines_and_entries_that_stop(self):
        """All entries are told to stop in turn while engines stand still."""
        outcome, told = self.play(
            59400,
            None,
            '--stops',
            '--attempts=1',
            '--engines=8',
            '--online=36',
        )
        self.assertEqual([], outcome.get('breaches'), told)
        self.assertGreater(outcome['silences'], 10)

    def test_engines_that_crash_in_a_dense_series(self):
        """Items that outlive engines were lost, equal requests refused."""
        outcome, told = self.play(
            120, None, '--series', '--engines=6', '--slots=8', '--batch=0'
        )
        self.assertEqual([], outcome.get('breaches'), told)
        self.assertEqual(120, outcome['items'])
        self.assertGreater(outcome['alike'], 20)

    def test_repeats_and_items_with_a_part_that_ends_engines(self):
        """Requests of two attempts and their retries hid the part."""
        outcome, told = self.play(
            71001,
            [[18.0, 'change configuration', 'store', 0]],
            '--attempts=2',
            '--stream-attempts=1',
            '--deadly-part=1',
            '--retries=1',
            '--deadly-items=0.1',
            '--engines=9',
            '--slots=8',
            '--online=20',
        )
        self.assertEqual([], outcome.get('breaches'), told)
        self.assertGreater(outcome['crashes'], 3)
        self.assertGreater(outcome['items'], 20)

    @parameterized.expand(
        [('few_sound_clients', 91848, 8), ('many_sound_clients', 91822, 30)]
    )
    def test_part_that_two_callers_send(self, _name, seed, online):
        """Sent on at full rate until the evidence was enough."""
        outcome, told = self.play(
            seed,
            [],
            '--seconds=15',
            '--attempts=2',
            '--retries=1',
            '--deadly-part=2',
            '--deadly-items=0.1',
            '--engines=9',
            '--slots=8',
            f'--online={online}',
        )
        self.assertEqual([], outcome.get('breaches'), told)
        self.assertGreater(outcome['crashes'], 3)
        self.assertGreater(outcome['items'], 20)

    def test_part_that_ends_engines_for_a_time(self):
        """Sound requests with it were refused for an hour."""
        outcome, told = self.play(
            80031,
            [],
            '--seconds=7',
            '--attempts=2',
            '--retries=1',
            '--deadly-part=2',
            '--deadly-seconds=10',
            '--engines=9',
            '--slots=8',
        )
        self.assertEqual([], outcome.get('breaches'), told)
        self.assertGreater(outcome['crashes'], 3)
        self.assertGreater(outcome['released'], 10)

    def play(self, seed, steps, *options):
        """Run a seed; give its outcome and the end of what it told."""
        ended = subprocess.run(
            [
                sys.executable,
                '-m',
                'bendlead_testing.gateway_soak',
                '--seed',
                str(seed),
                '--seconds',
                str(_SECONDS),
                *(['--steps', json.dumps(steps)] if steps is not None else []),
                *options,
            ],
            cwd=_ROOT,
            env=dict(os.environ),
            capture_output=True,
            text=True,
            timeout=_LONGEST_SECONDS,
            check=False,
        )
        outcome = json.loads(ended.stdout or '{}')
        # Whoever reads its exit alone sees what its line says.
        broken = outcome.get('breaches', True)
        self.assertEqual(bool(broken), ended.returncode != 0, ended.stderr)
        return outcome, ended.stderr[-3000:]
