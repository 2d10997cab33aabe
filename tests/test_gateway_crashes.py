"""A request that crashes each engine and is sent again to any entry.

Guards against entries that forget a crash once the attempt has ended.
"""

import base64
import json
import math
import time
import unittest
from functools import partial

import gevent
from bendlead_gateway._entry import EntryNode
from bendlead_gateway._owner import OwnerNode
from bendlead_gateway._streams.origin import StreamOrigin
from bendlead_gateway._suspects.trial_schedule import (
    ITEM_RULES,
    REQUEST_RULES,
)
from bendlead_gateway.http import HttpConnection, ResponseError
from bendlead_gateway.types import (
    EngineVersion,
    NodeRole,
    RequestId,
    ServiceName,
)
from bendlead_platform import PlatformDialect, PlatformStore
from bendlead_testing.platform_store import PlatformStandIn, Trouble
from bendlead_testing.ports import free_port
from parameterized import parameterized

from tests.gateway_standins import (
    CrashingEngine,
    SimulatedProcess,
    TaskTracker,
    configuration,
    engine,
    eventually,
    route,
    settings,
)

_CRASHING_BODY = b'deadly prompt'
_ENGINES = 9
#: Engine crashes until a request is quarantined.
_CRASHES = 3


class CrashCase(unittest.TestCase):
    """Start a store, engines that can crash, and entries."""

    def setUp(self):
        self.addCleanup(TaskTracker().end)
        self.store = PlatformStandIn(f'127.0.0.1:{free_port()}')
        self.store.start()
        self.engines = []
        self.attempts = 0

    def configure(self, *routes, engines=_ENGINES, runs_seconds=0.02):
        """Set the routes and add engines."""
        self.store.set('config', 'main', configuration(1, *routes))
        for _number in range(engines):
            self.add_engine(runs_seconds)

    def add_engine(self, runs_seconds=0.02):
        """Add one more engine."""
        started = CrashingEngine(_CRASHING_BODY, runs_seconds)
        self.addCleanup(started.close)
        name = f'i-{len(self.engines)}'
        self.engines.append(started)
        self.store.set('servers', name, engine(started.address))

    def entry(self, number=1):
        """Start an entry and wait until it knows the engines."""
        made = settings(f'entry-{number}', NodeRole.ENTRY, self.store.address)
        store = PlatformStore(made.store_address)
        node = EntryNode(made, store, PlatformDialect())
        node.serve()
        eventually(
            lambda: (
                node.fleet.configuration.current
                and len(node.fleet.engines.all()) == len(self.engines)
            )
        )
        return node

    def owner(self):
        """Start an owner and wait until it owns all shards."""
        made = settings('owner-1', NodeRole.OWNER, self.store.address)
        store = PlatformStore(made.store_address)
        node = OwnerNode(made, store, PlatformDialect())
        node.serve()
        eventually(lambda: len(node._shard_manager.owned) == 4)
        return node

    def submit(self, owner, *bodies, job='j1'):
        """Submit a job whose items have these bodies."""
        items = [
            {
                'id': f'{job}-{at}',
                'path': '/x/1',
                'body': base64.b64encode(body).decode(),
                'tokens': 10,
            }
            for at, body in enumerate(bodies)
        ]
        connection = HttpConnection(owner.record.address, 1)
        self.addCleanup(connection.close)
        headers = [('Host', 'a.example'), ('X-Attempt-Id', job)]
        told = json.dumps({'items': items}).encode()
        answer = connection.request('POST', f'/x/{job}', headers, told, 4)
        self.assertEqual(202, answer.head.status)

    def results(self, owner, job='j1'):
        """Return the results of a job."""
        connection = HttpConnection(owner.record.address, 1)
        self.addCleanup(connection.close)
        headers = [('Host', 'a.example')]
        target = f'/-/lots/{job}?watch_after=0'
        answer = connection.request('GET', target, headers, b'', 4)
        if answer.head.status != 200:
            return []
        return json.loads(answer.body)['results']

    def begin(self, entry, body=_CRASHING_BODY, extra=()):
        """Send a request as a new attempt; return its connection."""
        self.attempts += 1
        connection = HttpConnection(entry.settings.clients_address, 1)
        self.addCleanup(connection.close)
        headers = [
            ('Host', 'a.example'),
            ('X-Attempt-Id', f'id{self.attempts}'),
            ('X-Deadline-Ms', '2000'),
            *extra,
        ]
        connection.send('POST', '/x/1', headers, body, 1)
        return connection

    def ask(self, entry, body=_CRASHING_BODY, extra=()):
        """Send a request as a new attempt; return its status, 0 if broken."""
        connection = self.begin(entry, body, extra)
        try:
            head = connection.read_head(3)
            b''.join(connection.read_parts(head, 3))
        except ResponseError:
            return 0
        return head.status

    def repeat(self, entry, times):
        """Send the crashing request several times, as new attempts."""
        for _attempt in range(times):
            self.ask(entry)
            gevent.sleep(0.15)

    @property
    def reached(self):
        """Count the requests that reached engines."""
        return sum(len(engine.bodies) for engine in self.engines)

    @property
    def crashed(self):
        """Count the engines that have crashed."""
        return sum(engine.crashed for engine in self.engines)


class CrashLogTest(CrashCase):
    """Log lines about engine crashes."""

    def test_log_names_the_crash_and_the_request(self):
        self.configure(route('streaming'), engines=2)
        entry = self.entry()
        self.ask(entry)
        told = eventually(lambda: self.lines(entry, 'event=engine-ended'))
        self.assertIn('reason="refuses connections"', told[0])
        asked = self.lines(entry, 'event=request')[0]
        digest = asked.partition('digest=')[2].split()[0]
        self.assertIn(f'digests={digest}', told[0])
        self.assertEqual(1, entry.metrics.engine_ends)

    def test_engine_that_breaks_off_one_answer_has_not_ended(self):
        self.configure(route('streaming'), engines=1)
        entry = self.entry()
        # Only the connection of this response closes.
        started = self.engines[0]
        started.close = lambda: started._open[-1].close()
        self.ask(entry)
        gevent.sleep(0.5)
        self.assertEqual([], self.lines(entry, 'event=engine-ended'))

    def test_planned_stop_is_no_crash(self):
        self.configure(route('streaming'), engines=1, runs_seconds=0.4)
        entry = self.entry()
        asked = gevent.spawn(self.ask, entry)
        gevent.sleep(0.1)
        listed = engine(self.engines[0].address, state='draining')
        self.store.set('servers', 'i-0', listed)
        asked.join()
        gevent.sleep(0.5)
        self.assertEqual([], self.lines(entry, 'event=engine-ended'))

    def lines(self, entry, text):
        """Return the log lines of an entry that contain a text."""
        return [line for line in entry.log.recent if text in line]


class RepeatedRequestTest(CrashCase):
    """Few engines may crash under a request that is sent again."""

    def test_entries_together(self):
        self.configure(route('streaming'))
        entries = [self.entry(number) for number in range(3)]
        for attempt in range(12):
            self.ask(entries[attempt % 3])
            gevent.sleep(0.15)
        self.assertEqual(_CRASHES, self.crashed)

    def test_after_all_entries_were_restarted(self):
        self.configure(route('streaming'))
        for number in range(3):
            life = SimulatedProcess()
            entry = life.start(partial(self.entry, number))
            self.repeat(entry, 4)
            life.end()
        self.assertEqual(_CRASHES, self.crashed)

    def test_item_of_a_job(self):
        """It is owed, so it goes on, with a pause behind each crash."""
        self.configure(route('batch', max_attempts=3))
        owner = self.owner()
        self.submit(owner, _CRASHING_BODY)
        eventually(lambda: self.crashed >= _CRASHES, 8)
        gevent.sleep(2 * ITEM_RULES.first_pause)
        self.assertIn(self.crashed, (_CRASHES + 1, _CRASHES + 2))

    @parameterized.expand(
        [
            ('plain', {'kind': 'safe', 'max_attempts': 3}),
            ('plain_run_once', {'kind': 'unsafe'}),
            ('resumable_stream', {'kind': 'streaming', 'resumable': True}),
        ]
    )
    def test_kinds_of_routes(self, _name, changed):
        self.configure(route(**changed))
        entry = self.entry()
        self.repeat(entry, 8)
        self.assertEqual(_CRASHES, self.crashed)

    def test_resumed_by_its_caller(self):
        self.configure(route('streaming', resumable=True, max_attempts=1))
        entry = self.entry()
        origin = StreamOrigin(ServiceName('s1'), EngineVersion('v1'), 'r-1')
        entry._origins.record(RequestId('first'), origin, 60)
        resumed = [('Last-Event-Id', '3'), ('Resumes', 'first')]
        for _attempt in range(8):
            self.ask(entry, extra=resumed)
            gevent.sleep(0.15)
        self.assertEqual(_CRASHES, self.crashed)

    def test_caller_leaves_before_the_engine_ends(self):
        """Crashes count also where nobody reads the response."""
        self.configure(route('streaming'), runs_seconds=0.1)
        entry = self.entry()
        known_at = math.inf
        # The first trial comes after its pause.
        while time.monotonic() < known_at + REQUEST_RULES.first_pause - 1:
            connection = self.begin(entry)
            gevent.sleep(0.06)
            connection.close()
            gevent.sleep(0.4)
            # Some of these are sent to the crashed engine.
            beside = [
                gevent.spawn(self.ask, entry, b'good %d' % number)
                for number in range(2 * _ENGINES)
            ]
            gevent.joinall(beside)
            if self.crashed >= _CRASHES:
                known_at = min(known_at, time.monotonic())
        self.assertEqual(_CRASHES, self.crashed)

    def test_rejected_with_retry_after(self):
        """The response has a Retry-After, and no engine gets the request."""
        self.configure(route('streaming'))
        entry = self.entry()
        self.repeat(entry, _CRASHES)
        reached = self.reached
        head = self.begin(entry).read_head(3)
        self.assertEqual(503, head.status)
        # When it may be tried again, less what has passed since the crash.
        self.assertAlmostEqual(
            REQUEST_RULES.first_pause, float(head.find('retry-after')), delta=1
        )
        self.assertEqual(reached, self.reached)

    def test_good_requests_are_served(self):
        """Good requests of the same client and path are not quarantined."""
        self.configure(route('streaming'), runs_seconds=0.05)
        entry = self.entry()
        for attempt in range(8):
            beside = gevent.spawn(self.ask, entry, b'good %d' % attempt)
            self.ask(entry)
            if beside.get() != 200:
                self.assertEqual(200, self.ask(entry, b'good %d' % attempt))
            gevent.sleep(0.15)
        self.assertEqual(200, self.ask(entry, b'good'))

    def test_other_entry_cut_off_from_its_peers(self):
        """It reads the suspects from the object service."""
        self.configure(route('streaming'))
        entry = self.entry(1)
        alone = self.entry(2)
        for one in (entry, alone):
            one.peers.suspects = None
        self.repeat(entry, _CRASHES)
        self.ask(alone)
        self.assertEqual(_CRASHES, self.crashed)

    def test_while_the_object_service_is_away(self):
        """Peers exchange suspects directly."""
        self.configure(route('streaming'))
        entries = [self.entry(number) for number in range(2)]
        eventually(lambda: all(one.peers.summary() for one in entries))
        self.store.trouble = Trouble.AWAY
        for attempt in range(8):
            self.ask(entries[attempt % 2])
            gevent.sleep(0.15)
        self.assertEqual(_CRASHES, self.crashed)

    def test_kept_once_the_object_service_is_back(self):
        self.configure(route('streaming'))
        entry = self.entry()
        self.store.trouble = Trouble.AWAY
        self.repeat(entry, _CRASHES)
        self.store.trouble = Trouble.NONE
        self.assertTrue(
            eventually(lambda: self.store.list_names('bendlead-suspects'), 6)
        )

    def test_released_by_the_operator(self):
        self.configure(route('streaming'))
        entry = self.entry()
        self.repeat(entry, _CRASHES)
        eventually(lambda: self.store.list_names('bendlead-suspects'))
        gevent.sleep(0.5)
        name = self.store.list_names('bendlead-suspects')[0]
        self.store.remove('bendlead-suspects', name)
        gevent.sleep(0.5)
        self.ask(entry)
        self.assertEqual(_CRASHES + 1, self.crashed)

    def test_released_while_the_watch_was_cut(self):
        self.configure(route('streaming'))
        entry = self.entry()
        self.repeat(entry, _CRASHES)
        eventually(lambda: self.store.list_names('bendlead-suspects'))
        gevent.sleep(0.5)
        name = self.store.list_names('bendlead-suspects')[0]
        self.store.remove('bendlead-suspects', name, unseen=True)
        self.store.forget_history()
        eventually(lambda: 'suspect-released' in ' '.join(entry.log.recent))
        self.ask(entry)
        self.assertEqual(_CRASHES + 1, self.crashed)

    def test_restarted_peer_receives_single_crashes(self):
        """Single crashes are not stored, so peers must report them again."""
        self.configure(route('streaming'))
        first = self.entry(1)
        life = SimulatedProcess()
        life.start(partial(self.entry, 2))
        self.ask(first)
        gevent.sleep(0.3)
        life.end()
        gevent.sleep(1.2)
        again = self.entry(2)
        eventually(again.fleet.suspects.summary)

    def test_good_item_of_the_same_job(self):
        self.configure(route('batch', max_attempts=3))
        owner = self.owner()
        self.submit(owner, _CRASHING_BODY, b'good')
        done = eventually(lambda: self.results(owner), 8)
        self.assertEqual(['completed'], [one['state'] for one in done])

    def test_item_is_given_up_at_its_retention(self):
        self.configure(route('batch', max_attempts=3, retention_s=4))
        owner = self.owner()
        self.submit(owner, _CRASHING_BODY)
        done = eventually(lambda: self.results(owner), 12)
        self.assertEqual(['dead_lettered'], [one['state'] for one in done])
        # Retention and its slack last 8 s.
        self.assertLessEqual(
            self.crashed, _CRASHES + 8 / ITEM_RULES.first_pause
        )
