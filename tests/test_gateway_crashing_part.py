"""One part of prompts crashes engines, in requests of which no two are alike.

Guards against crashes that are held against whole requests only.
"""

import base64
import json

import gevent
from bendlead_gateway.http import HttpConnection
from parameterized import parameterized

from tests.gateway_standins import SimulatedProcess, eventually, route
from tests.test_gateway_crashes import CrashCase

_BAD_BODY = b'deadly prompt'
_FIRST = 'f1:200'
_BAD = 'bad0:400'
_ENGINES = 16
#: Crashes until the part must be known, and requests allowed after them.
_CRASHES = 5
_AFTER = 3
#: Crashes nearer than this may have one cause.
_APART_SECONDS = 0.35


def submit_items(case, owner, prefix, *prompts, job='j1', host='a.example'):
    """Submit a job to a route; its items have these parts and bodies."""
    connection = HttpConnection(owner.record.address, 1)
    case.addCleanup(connection.close)
    items = [
        {
            'id': f'{job}-{number}',
            'path': f'{prefix}1',
            'headers': {'X-Prompt-Prefix': prompt},
            'body': base64.b64encode(body).decode(),
            'tokens': 10,
        }
        for number, (prompt, body) in enumerate(prompts)
    ]
    told = json.dumps({'items': items}).encode()
    named = [('Host', host), ('X-Attempt-Id', job)]
    answer = connection.request('POST', f'{prefix}{job}', named, told, 4)
    case.assertEqual(202, answer.head.status)


class CrashingPartTest(CrashCase):
    """Requests with a part that crashes engines, and sound ones beside them."""

    def setUp(self):
        super().setUp()
        self.count = 0

    def send(self, entry, *parts, body=b'sound'):
        """Send a request of its own with these parts; return its status."""
        self.count += 1
        prompt = ','.join((*parts, f'{self.count:x}:250'))
        unlike = b'%b %d' % (body, self.count)
        return self.ask(entry, unlike, [('X-Prompt-Prefix', prompt)])

    def serve_sound(self, entry):
        """Send sound requests that share the caller and the first part."""
        return [
            self.send(entry, _FIRST, f'a{number}:100') for number in range(8)
        ]

    def send_bad(self, entries, count, first=_FIRST):
        """Send requests with the bad part to the entries in turn."""
        for number in range(count):
            entry = entries[number % len(entries)]
            self.send(entry, first, _BAD, body=_BAD_BODY)
            self.serve_sound(entry)
            gevent.sleep(_APART_SECONDS)

    @parameterized.expand(
        [
            ('one_entry', 1, {}),
            ('three_entries', 3, {}),
            ('resumable', 2, {'resumable': True}),
        ],
    )
    def test_part_is_found(self, _name, entries, changed):
        routes = route('streaming', timeout_ms=5000, **changed)
        runs = 2 if changed else 1
        self.configure(routes, engines=_ENGINES * runs)
        nodes = [self.entry(number) for number in range(entries)]
        for node in nodes:
            self.serve_sound(node)
        self.send_bad(nodes, _CRASHES + _AFTER + 2)
        # A resumable request runs at two engines.
        self.assertLessEqual(self.crashed, (_CRASHES + _AFTER) * runs)
        known = self.crashed
        self.send_bad(nodes, 3)
        self.assertEqual(known, self.crashed)
        served = [status for node in nodes for status in self.serve_sound(node)]
        self.assertEqual({200}, set(served))

    def test_first_part(self):
        """Any request with it crashes engines, whatever else it holds."""
        self.configure(route('streaming'), engines=_ENGINES)
        nodes = [self.entry(number) for number in range(2)]
        for node in nodes:
            self.serve_sound(node)
        for number in range(_CRASHES + _AFTER + 2):
            entry = nodes[number % 2]
            self.send(entry, _BAD, f'b{number}:80', body=_BAD_BODY)
            self.serve_sound(entry)
            gevent.sleep(_APART_SECONDS)
        self.assertLessEqual(self.crashed, _CRASHES + _AFTER)
        self.assertEqual({200}, set(self.serve_sound(nodes[0])))

    def test_entry_that_started_later(self):
        self.configure(route('streaming'), engines=_ENGINES)
        process = SimulatedProcess()
        first = process.start(lambda: self.entry(1))
        self.serve_sound(first)
        self.send_bad([first], _CRASHES + _AFTER)
        known = self.crashed
        process.end()
        later = self.entry(2)
        eventually(lambda: later.fleet.suspects.summary())
        self.send_bad([later], 2)
        self.assertEqual(known, self.crashed)
        self.assertEqual({200}, set(self.serve_sound(later)))

    def test_item_with_the_part_costs_one_engine_at_a_time(self):
        self.configure(
            route('streaming'),
            route('batch', name='b', path_prefix='/b/'),
            engines=_ENGINES,
        )
        node = self.entry()
        self.serve_sound(node)
        self.send_bad([node], _CRASHES + _AFTER)
        known = self.crashed
        owner = self.owner()
        eventually(lambda: owner.fleet.suspects.summary())
        submit_items(
            self,
            owner,
            '/b/',
            (f'{_FIRST},{_BAD},1:9', _BAD_BODY),
            (f'{_FIRST},a1:100,2:9', b'sound'),
        )
        eventually(lambda: self.results(owner))
        gevent.sleep(0.3)
        self.assertLessEqual(self.crashed, known + 1)
        self.assertEqual(1, len(self.results(owner)))


class NoBadPartTest(CrashCase):
    """Engines crash without any part that has to do with it."""

    @parameterized.expand([('one_by_one', 1), ('four_at_once', 4)])
    def test_sound_requests_are_served(self, _name, at_once):
        self.configure(
            route('streaming', timeout_ms=5000),
            engines=_ENGINES,
            runs_seconds=0.2,
        )
        entry = self.entry()
        count = 0

        def ask():
            nonlocal count
            count += 1
            prompt = f'f{count % 3}:200,a{count % 20}:100,{count:x}:250'
            extra = [('X-Prompt-Prefix', prompt)]
            return self.ask(entry, b'sound %d' % count, extra)

        for crash in range(0, 12, at_once):
            running = [gevent.spawn(ask) for _request in range(24)]
            gevent.sleep(0.1)
            for engine in self.engines[crash : crash + at_once]:
                engine.close()
            gevent.joinall(running)
            gevent.sleep(0.3)
        statuses = {ask() for _request in range(40)}
        self.assertEqual({200}, statuses)
        self.assertEqual(0, entry.metrics.quarantined)
