"""What crashes engines of the soak for a time is sound and owed afterwards."""

import argparse
import itertools
import json
import math
import random
import tempfile
import time
import unittest
from types import SimpleNamespace
from unittest import mock

from bendlead_testing.gateway_soak import engine_process, job_clients
from bendlead_testing.gateway_soak.answers import DEADLY_PART_MARK
from bendlead_testing.gateway_soak.engine_process import EngineStandIn
from bendlead_testing.gateway_soak.job_clients import JobClient
from bendlead_testing.gateway_soak.run import Size
from bendlead_testing.gateway_soak.sightings import (
    FINISH_SECONDS,
    RELEASED_SECONDS,
    Sightings,
)
from parameterized import parameterized


class EngineTest(unittest.TestCase):
    """The soak's engines crashed under deadly requests and parts for ever."""

    @parameterized.expand(
        [
            ('deadly_request', 'x1-deadly', ''),
            ('deadly_part', 'y1-part', 'a1:9,dead:9'),
        ]
    )
    def test_crashes_until_the_cause_has_ended(self, _name, request, prompt):
        now = time.monotonic()
        for until, ended in ((now + 60, 'crash'), (now, 'done')):
            with self.subTest(ended):
                self.assertEqual(ended, self.run_once(request, prompt, until))

    def run_once(self, request, prompt, until):
        """Run a request at an engine; return how that ended."""
        with tempfile.NamedTemporaryFile() as journal:
            asked = argparse.Namespace(
                journal=journal.name,
                slots=1,
                pace=1.0,
                version='v1',
                ends=False,
                deadly_until=until,
            )
            engine = EngineStandIn(asked)
            headers = {'x-prompt-prefix': prompt, 'x-token-usage': '1,1'}
            later = time.monotonic() + 60
            crash = mock.patch.object(
                engine_process.os, '_exit', side_effect=SystemExit
            )
            try:
                with crash:
                    return engine._run(
                        request, headers, 0, mock.Mock(), later, plain=False
                    )
            except SystemExit:
                return 'crash'


class CalmTest(unittest.TestCase):
    """The calm at the end is as long as what is owed in it may take."""

    @parameterized.expand(
        [
            ('items', Size(deadly_items=0.1, deadly_seconds=9), FINISH_SECONDS),
            (
                'requests',
                Size(deadly=1, deadly_seconds=9),
                RELEASED_SECONDS + 1,
            ),
            ('alike', Size(alike=3), RELEASED_SECONDS + 1),
        ]
    )
    def test_calm_is_long_enough(self, _name, size, least):
        self.assertGreaterEqual(size.calm_seconds, least)

    @parameterized.expand(
        [('sooner', 9, 23), ('later', 40, 40), ('never', math.inf, 23)]
    )
    def test_calm_begins_once_the_cause_has_ended(self, _name, deadly, busy):
        size = Size(deadly=1, deadly_seconds=deadly)
        self.assertEqual(busy, size.busy_seconds(20))


class _Clock:
    """Time that passes while tasks sleep alone."""

    def __init__(self):
        self.now = 100.0

    def sleep(self, seconds):
        self.now += seconds

    def monotonic(self):
        return self.now


class _Callers:
    """A stand-in that accepts jobs, and lists deadly items when told to."""

    def __init__(self, seen, clock):
        self.going = True
        self.lists_marked = False
        self.accepted_at = []
        self._numbers = itertools.count()
        self._seen = seen
        self._clock = clock

    def name(self, kind):
        return f'{kind}{next(self._numbers)}'

    def prompt(self, _part=''):
        return 'X-Prompt-Prefix', ''

    def call(self, method, target, _body=b'', _extra=()):
        if method == 'POST':
            self.accepted_at.append(self._clock.now)
            return 202, b''
        if not target.startswith('/-/lots/'):
            return 404, b''
        job, _, after = target.rpartition('/')[2].partition('?watch_after=')
        items = self._seen.jobs[job].items
        listed = [
            {'id': one, 'state': 'completed', 'text': ''}
            for one in sorted(items, key=_is_marked)
            if self.lists_marked or not _is_marked(one)
        ]
        told = {'total': len(items), 'results': listed[int(after) :]}
        return 200, json.dumps(told).encode()


def _is_marked(item):
    return item.endswith(DEADLY_PART_MARK)


class JobClientTest(unittest.TestCase):
    """Items that crashed engines for a time were never read again."""

    def setUp(self):
        self.clock = _Clock()
        patches = {
            'time': SimpleNamespace(monotonic=self.clock.monotonic),
            'gevent': SimpleNamespace(sleep=self.clock.sleep),
            '_POISON_SHARE': 0,
            '_ENDED_SHARE': 0,
        }
        patch = mock.patch.multiple(job_clients, **patches)
        patch.start()
        self.addCleanup(patch.stop)

    def play(self, deadly_until, *, lists_marked):
        """Submit two jobs, then read on; return what was seen of them."""
        seen = Sightings(deadly_until=deadly_until)
        callers = _Callers(seen, self.clock)
        client = JobClient(callers, seen, random.Random(1), 0.5, math.inf)
        client._job()
        client._job()
        first, second = callers.accepted_at
        # Jobs of deadly items alone hold no client up.
        self.assertLess(second - first, 5)
        callers.going = False
        callers.lists_marked = lists_marked
        client.run()
        return list(seen.jobs.values())

    def test_items_are_owed_once_the_cause_has_ended(self):
        jobs = self.play(deadly_until=120, lists_marked=False)
        marked = [set(filter(_is_marked, one.items)) for one in jobs]
        self.assertNotEqual([set()] * 2, marked)
        self.assertEqual(marked, [one.missing for one in jobs])

    def test_items_that_are_listed_late_are_read(self):
        jobs = self.play(deadly_until=120, lists_marked=True)
        self.assertEqual([set()] * 2, [one.missing for one in jobs])

    def test_items_are_excused_where_they_crash_engines_for_ever(self):
        jobs = self.play(deadly_until=math.inf, lists_marked=False)
        self.assertEqual([set()] * 2, [one.missing for one in jobs])


if __name__ == '__main__':
    unittest.main()
