"""Engines that end under a request which comes again, on the other face.

An endpoint process saw its engine go and told the entry of one broken answer;
no entry counted these over attempts, so each repeat reached another engine.
"""

import json
import unittest

import gevent
import openai
from bendlead_store import clock
from bendlead_testing.cluster import OPERATOR_KEY, Cluster
from bendlead_testing.daemons import wait_for
from bendlead_testing.engine import expected_text
from bendlead_testing.workload import client, stream_text

_DEADLY = 'deadly prompt'
_ENGINES = 6
#: Three crashes and the trial that follows 2 s later.
_ENDS = 4
#: Least time between trials whose endpoints crash.
_TRIAL_SECONDS = 15
_MOST_REPEATS = 40


class CrashTest(unittest.TestCase):
    """Send it again and again, to both entries."""

    def setUp(self):
        self.cluster = Cluster(
            entries=2,
            engines=_ENGINES,
            engine_options=('--ends-on', _DEADLY),
        )
        self.addCleanup(self.cluster.__exit__)
        self.callers = [
            client(self.cluster, entry=number).with_options(max_retries=0)
            for number in range(2)
        ]

    @property
    def ended(self):
        """Count the engines that have ended."""
        processes = [one.process for one in self.cluster.engines]
        return sum(one.poll() is not None for one in processes)

    def repeat(self, times):
        """Send the request some times; give the last error."""
        last = None
        for attempt in range(times):
            caller = self.callers[attempt % 2]
            try:
                stream_text(caller, _DEADLY, 20)
            except (openai.APIError, AssertionError) as error:
                last = error
            gevent.sleep(0.6)
        return last

    def repeat_until_tried(self):
        """Send it until a trial has crashed an engine; return the time."""
        for _attempt in range(_MOST_REPEATS):
            self.repeat(1)
            if self.ended >= _ENDS:
                break
        self.assertEqual(_ENDS, self.ended)
        return clock.uptime()

    def assert_tried_no_sooner(self, tried_at):
        """Check that further engines are reached by later trials alone."""
        trials = int((clock.uptime() - tried_at) / _TRIAL_SECONDS)
        self.assertLessEqual(self.ended, _ENDS + trials)

    def test_repeats_reach_few_engines(self):
        tried_at = self.repeat_until_tried()
        refused = self.repeat(6)
        self.assert_tried_no_sooner(tried_at)
        self.assertEqual(503, refused.status_code)
        self.assertEqual('request_quarantined', refused.code)
        for caller in self.callers:
            self.assertEqual(
                expected_text('a card', 6), stream_text(caller, 'a card', 6)
            )

    def test_entries_that_started_again_know_it(self):
        tried_at = self.repeat_until_tried()
        for entry in self.cluster.entries:
            entry.kill()
            entry.start()
        self.cluster.wait_ready()
        self.repeat(4)
        self.assert_tried_no_sooner(tried_at)

    def test_released_by_the_operator(self):
        self.repeat_until_tried()
        listed = self.suspects()
        self.assertEqual(1, len(listed))
        name = listed[0]['key'].rpartition('/')[2]
        self.call('DELETE', f'/admin/v1/objects/suspect/{name}')
        gevent.sleep(0.5)
        self.repeat(1)
        self.assertGreater(self.ended, _ENDS)

    def suspects(self):
        """List the records as an operator sees them."""
        path = '/admin/v1/objects/suspect'
        wait_for(lambda: self.call('GET', path))
        return self.call('GET', path)

    def call(self, method, path):
        """Make a call of the operator."""
        _status, _headers, body = self.cluster.call(
            path, method=method, key=OPERATOR_KEY
        )
        return json.loads(body)
