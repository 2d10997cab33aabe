"""Each item that an owner owes is in one state, with its reason.

Guards against accepted items that stand still without a line.
"""

import json
import math
import time
import unittest
from collections import Counter
from types import SimpleNamespace
from unittest import mock

from bendlead_gateway._jobs import owed_items, shard_manager
from bendlead_gateway._jobs.item_states import ItemReason
from bendlead_gateway._jobs.owed_items import OwedItems
from bendlead_gateway._jobs.owned_job import Progress
from bendlead_gateway._metrics import Metrics
from bendlead_gateway._suspects.digest import (
    digest_request,
    name_item,
    name_part,
)
from bendlead_gateway.types import ItemId, JobItem, PromptPart
from bendlead_schema.gateway import SuspectRecord
from bendlead_store import Failure, FailureKind, clock
from gevent.event import Event
from parameterized import parameterized
from result import Err

from tests.gateway_standins import chunked, engine, event, eventually, route
from tests.test_gateway_crashes import CrashCase
from tests.test_gateway_crashing_part import submit_items

_PART = PromptPart('c0ffee')
_PROMPT = f'{_PART}:100,own:9'
_BODY = b'sound item'
_REFUSED = Err(Failure(FailureKind.NOT_DONE, 'test', 'store'))


class Condition:
    """Ways in which an item of an owner comes to stand still.

    Each sets it up before the item is submitted.
    """

    def __init__(self, case, owner):
        self.case = case
        self.owner = owner
        self.runner = owner._runner
        self.shards = owner._shard_manager.owned.values()
        self.trials = owner.fleet.suspects.item_trials
        self.history = owner.fleet.suspects._history

    def block(self, *_args, **_options):
        """Wait until the test ends."""
        Event().wait()

    def set_on_shards(self, name, made):
        """Replace a method of all shards."""
        for shard in self.shards:
            setattr(shard, name, made)

    def ownership_not_confirmed(self):
        self.set_on_shards('confirm_ownership', lambda _age: _REFUSED)

    def claim_refused(self):
        self.trials.claim = lambda *_args: False

    def ownership_never_answered(self):
        self.set_on_shards('confirm_ownership', self.block)

    def claim_never_answered(self):
        self.trials.claim = self.block

    def connect_never_ends(self):
        self.runner._executor._connect = self.block

    def engine_silent(self):
        self.case.engines[0]._answer = self.block

    def engine_stops_midway(self):
        def answer(sock, _body):
            sock.sendall(chunked(event(1, 'a'), last=False))
            self.block()

        self.case.engines[0]._answer = answer

    def run_fails(self):
        def answer(sock, _body):
            sock.sendall(b'HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n')

        self.case.engines[0]._answer = answer

    def round_never_ends(self):
        self.runner._stopper.check = self.block
        eventually(lambda: clock.uptime() - self.runner.latest_round_at > 1)

    def held_back(self):
        self.runner._stopper.may_start = lambda *_args: False

    def no_engine(self):
        self.case.store.remove('servers', 'i-0')
        eventually(lambda: not self.owner.fleet.engines.all())

    def no_slot(self):
        self.owner.fleet.loads.own.online['i-0'] = 8

    def avoided_engines(self):
        """The only engine with a free slot is one to avoid."""
        self.case.add_engine()
        eventually(lambda: len(self.owner.fleet.engines.all()) == 2)
        self.owner.fleet.loads.own.online['i-1'] = 8
        self.trials.tried_engines = lambda _parts: {'i-0'}

    def no_route(self):
        routes = self.owner.fleet.configuration
        match = routes.match
        routes.match = lambda host, path: (
            None if path == '/x/1' else match(host, path)
        )
        self.owner.fleet.config_watch = SimpleNamespace(current=False)

    def trial_never_ends(self):
        self.history.record_found(name_part(_PART), time.time() - 60)
        self.trials.begin(object(), [_PART])

    def part_after_its_trials(self):
        suspect = name_part(_PART)
        self.history.record_found(suspect, time.time() - 60)
        for number in range(3):
            self.history.add_crash(suspect, f'i-old{number}@0', time.time())
        self.add_trials(suspect, 3)

    def part_paused(self):
        self.history.record_found(name_part(_PART), time.time())

    def item_after_its_trials(self):
        suspect = name_item(
            digest_request('', 'POST', 'a.example', '/x/1', _BODY)
        )
        for number in range(4):
            self.history.add_crash(suspect, f'i-old{number}@0', time.time())
        self.add_trials(suspect, 4)

    def add_trials(self, suspect, count):
        """Hold trials against a suspect, as reports of others do."""
        began = round(time.time() * 1000) - 5000
        for number in range(count):
            trials = {str(began + number): f'i-old{number}'}
            self.history.merge(
                SuspectRecord(digest=suspect, trials=trials), time.time()
            )

    def record_fails(self):
        self.set_on_shards('record', lambda *_args: _REFUSED)

    def record_never_begins(self):
        self.runner._results._record = lambda *_args: None

    def commit_never_ends(self):
        self.set_on_shards('record', self.block)

    def commit_was_unclear(self):
        """The job is in the log, and nobody adds it here."""
        self.set_on_shards('_add_job', lambda _submission: None)


class ItemStateTest(CrashCase):
    """The state dump has each item that stands still, with its reason."""

    def setUp(self):
        super().setUp()
        # No other owner's reports are to be waited for.
        for name in ('_SETTLING_SECONDS', '_FAST_SETTLING_SECONDS'):
            patched = mock.patch.object(shard_manager, name, 0.02)
            patched.start()
            self.addCleanup(patched.stop)

    @parameterized.expand(
        [
            ('ownership_not_confirmed', 'paused', 'not_confirmed'),
            ('claim_refused', 'paused', 'claim_refused'),
            ('ownership_never_answered', 'running', 'ownership'),
            ('claim_never_answered', 'running', 'claim'),
            ('connect_never_ends', 'running', 'connect'),
            ('engine_silent', 'running', 'head'),
            ('engine_stops_midway', 'running', 'events'),
            ('run_fails', 'paused', 'retry'),
            ('round_never_ends', 'waiting', 'no_round'),
            ('held_back', 'waiting', 'held_back'),
            ('no_engine', 'waiting', 'no_engine'),
            ('no_slot', 'waiting', 'no_slot'),
            ('avoided_engines', 'waiting', 'avoided_engines'),
            ('no_route', 'waiting', 'no_route'),
            ('trial_never_ends', 'paused', 'part_in_trial'),
            ('part_after_its_trials', 'paused', 'part_paused'),
            ('part_paused', 'paused', 'part_paused'),
            ('item_after_its_trials', 'paused', 'crashes'),
            ('record_fails', 'recording', 'commit_failed'),
            ('record_never_begins', 'recording', 'to_commit'),
            ('commit_never_ends', 'recording', 'commit'),
            ('commit_was_unclear', 'waiting', 'job_not_held'),
        ]
    )
    def test_item_is_in_the_dump(self, condition, state, reason):
        self.configure(route('batch'), engines=1)
        owner = self.owner()
        eventually(owner.fleet.engines.all)
        getattr(Condition(self, owner), condition)()
        submit_items(self, owner, '/x/', (_PROMPT, _BODY))
        owed = eventually(lambda: self.found(owner, reason))
        expected = dict.fromkeys(
            ('waiting', 'paused', 'running', 'recording'), 0
        )
        self.assertEqual({**expected, state: 1}, owed['states'])
        self.assertEqual({reason: 1}, owed['reasons'])

    def test_items_behind_a_full_route(self):
        """Exactly one of them runs, and each of the others has a reason."""
        self.configure(route('batch'), engines=0)
        self.add_engine(runs_seconds=2)
        self.store.set(
            'servers', 'i-0', engine(self.engines[0].address, slots=2)
        )
        owner = self.owner()
        submit_items(
            self, owner, '/x/', *[('own:9', b'%d' % at) for at in range(6)]
        )
        owed = eventually(lambda: self.found(owner, 'route_full'))
        running = owed['states']['running']
        self.assertEqual(6 - running - 1, owed['reasons']['route_full'])
        # Young jobs leave a slot free.
        self.assertEqual(1, owed['reasons']['headroom'])

    def test_recorded_items_are_not_owed(self):
        self.configure(route('batch'), engines=1)
        owner = self.owner()
        self.submit(owner, _BODY)
        eventually(lambda: self.results(owner))
        self.assertEqual(0, sum(owner.state()['owed']['states'].values()))

    def found(self, owner, reason):
        """Return the counts of the state dump once it has the reason."""
        owed = json.loads(json.dumps(owner.state()['owed']))
        return owed if owed['reasons'].get(reason) else None


class RecordedLog:
    """Log that keeps its events."""

    def __init__(self):
        self.events = []

    def event(self, kind, **fields):
        self.events.append({'event': kind, **fields})


class OverdueTest(unittest.TestCase):
    """Lines and counts of items that stand still, without a clock."""

    def setUp(self):
        self.now = 1000.0
        self.addCleanup(setattr, owed_items, 'clock', clock)
        owed_items.clock = SimpleNamespace(uptime=lambda: self.now)
        self.log = RecordedLog()
        self.metrics = Metrics()
        self.progress = {}
        job = SimpleNamespace(
            job='j1', progress=self.progress, state=SimpleNamespace(ended=False)
        )
        shard = SimpleNamespace(jobs={'j1': job}, recorded_jobs={})
        self.shards = {0: shard}
        self.owed = OwedItems(
            SimpleNamespace(owned=self.shards),
            lambda: self.now,
            self.log,
            self.metrics,
        )

    def add(self, count, reason=ItemReason.NO_SLOT):
        """Add items that have just been accepted."""
        for _number in range(count):
            name = ItemId(f'i{len(self.progress)}')
            self.progress[name] = Progress(
                JobItem(name, '/x/1', {}, b'', 1),
                reason=reason,
                progressed_at=self.now,
            )

    def advance(self, seconds):
        """Let seconds pass, with a check each second."""
        for _second in range(seconds):
            self.now += 1
            self.owed.check()

    @parameterized.expand(
        [('before', 10, 0), ('past', 11, 1), ('later', 300, 5)]
    )
    def test_lines_of_one_item(self, _name, seconds, lines):
        """At the bound, and at doubling times after it."""
        self.add(1)
        self.advance(seconds)
        self.assertEqual(lines, len(self.log.events))

    def test_line(self):
        self.add(1)
        self.advance(11)
        line = self.log.events[0]
        self.assertEqual('item-owed', line['event'])
        self.assertEqual(
            ('j1', 'i0', 'waiting', 'no_slot', '-'),
            tuple(
                line[name]
                for name in ('job', 'item', 'state', 'reason', 'engine')
            ),
        )

    @parameterized.expand(
        [('longer', 3600.0, 3600.0), ('infinite', math.inf, math.inf)]
    )
    def test_line_tells_what_is_left_of_a_pause(self, _name, pause, shown):
        """Guards against a pause shown as the time to the next look."""
        self.add(1, ItemReason.CRASHES)
        progress = self.progress['i0']
        progress.paused = True
        progress.not_before = self.now + 11.5
        progress.pause_ends = self.now + 11 + pause
        self.advance(11)
        line = self.log.events[0]
        self.assertEqual('paused', line['state'])
        self.assertEqual(shown, line['pause_s'])

    def test_progress_starts_anew(self):
        self.add(1)
        self.advance(30)
        self.log.events.clear()
        self.progress['i0'].progressed_at = self.now
        self.advance(10)
        self.assertEqual([], self.log.events)
        self.advance(1)
        self.assertEqual(1, len(self.log.events))

    def test_many_items_hide_no_other_reason(self):
        """Guards against a stuck item that drowns behind a full route."""
        self.add(5000, ItemReason.ROUTE_FULL)
        self.add(1, ItemReason.HELD_BACK)
        self.advance(11)
        reasons = Counter(line['reason'] for line in self.log.events)
        self.assertEqual({'route_full': 7, 'held_back': 1}, dict(reasons))
        owed = self.owed.summary()
        shown = Counter(line['reason'] for line in owed['overdue'])
        self.assertEqual({'route_full': 31, 'held_back': 1}, dict(shown))
        self.assertEqual(5001 - 8, owed['lines_left_out'])
        self.assertEqual(5001, owed['overdue_items'])

    def test_run_that_is_refused_each_time_is_overdue(self):
        """Guards against a count that starts anew with each such run."""
        self.add(1)
        progress = self.progress['i0']
        for _second in range(12):
            progress.begin_run('v1')
            progress._run_started_at = self.now
            self.advance(1)
        self.assertEqual('ownership', self.log.events[0]['reason'])

    def test_run_with_events_is_not_overdue(self):
        self.add(1)
        progress = self.progress['i0']
        progress.begin_run('v1')
        progress.reason = ItemReason.EVENTS
        for _second in range(30):
            progress.progressed_at = self.now
            self.advance(1)
        self.assertEqual([], self.log.events)

    def test_job_in_the_log_that_is_not_held(self):
        state = SimpleNamespace(
            accepted=SimpleNamespace(job='j2', total=5),
            results=[1],
            open=True,
        )
        self.shards[0].recorded_jobs['j2'] = state
        self.advance(12)
        line = self.log.events[0]
        self.assertEqual(('j2', 'job_not_held'), (line['job'], line['reason']))
        self.assertEqual(4, self.metrics.load.items_overdue['job_not_held'])

    @parameterized.expand(
        [
            ('state', 'items_by_state{state="waiting"} 2.0'),
            ('no_state', 'items_by_state{state="running"} 0.0'),
            ('overdue', 'items_overdue{reason="no_slot"} 2.0'),
        ]
    )
    def test_metrics(self, _name, expected):
        self.add(2)
        self.advance(11)
        self.assertIn(expected, self.metrics.page().decode())

    def test_metric_of_a_past_reason(self):
        self.add(1)
        self.advance(11)
        self.progress.clear()
        self.advance(1)
        expected = 'items_overdue{reason="no_slot"} 0.0'
        self.assertIn(expected, self.metrics.page().decode())


if __name__ == '__main__':
    unittest.main()
