"""The platform's messages, good and bad, and the types they become."""

import base64
import json
import tempfile
import unittest

from bendlead_gateway.types import (
    EndJob,
    EngineState,
    ItemOutcome,
    ItemResult,
    NodeRole,
    ReadBody,
    ReadResults,
    RouteKind,
)
from bendlead_platform import (
    PlatformDialect,
    SettingsError,
    SettingsFile,
    load_settings,
)
from bendlead_store import Entry, Version
from parameterized import parameterized
from result import Ok

_DIALECT = PlatformDialect()
_ROUTE = {
    'name': 'r-1',
    'host': 'a.example',
    'path_prefix': '/x/',
    'kind': 'streaming',
    'timeout_ms': 5000,
    'target_latency_ms': 300,
    'service': 's1',
    'max_attempts': 2,
    'resumable': True,
    'gap_target_ms': 200,
}
_SETTINGS = """
node = "frontend-1"
serves = ["frontend","control"]
ip = "10.1.0.10"
zone = "hall-1"
internal_ports = [7720,7735]
heartbeat_ms = 1200
[listen]
frontend = "10.1.0.10:8161"
ready = "10.1.0.10:8167"
[limits]
memory_mb = 300
file_descriptors = 4200
[bounds]
drain_ms = 2000
grace_s = 8
settle_ms = 1000
status_s = 120
[platform]
address = "10.200.1.7:8169"
value_bytes = 1048576
"""


def _entry(key, value):
    return Entry(key, Version(3), json.dumps(value).encode())


class ConfigurationTest(unittest.TestCase):
    """Routes and services of the operator."""

    def test_route(self):
        body = {'version': 7, 'routes': [_ROUTE], 'services': [{'name': 's1'}]}
        found = _DIALECT.configuration(_entry('config/main', body)).ok_value
        route = found.routes[0]
        self.assertEqual(7, found.version)
        self.assertIs(RouteKind.STREAM, route.kind)
        self.assertEqual(
            (5.0, 0.3, 0.2), (route.timeout, route.target, route.gap_target)
        )
        self.assertTrue(route.repeatable)
        self.assertEqual(['s1'], [one.service for one in route.shares])

    @parameterized.expand(
        [
            ('safe', {'kind': 'safe'}, True),
            ('unsafe', {'kind': 'unsafe'}, False),
            ('stream_not_resumable', {'resumable': False}, False),
            ('unknown_kind', {'kind': 'new'}, False),
        ],
    )
    def test_repeatable(self, _name, changed, expected):
        body = {'version': 1, 'routes': [{**_ROUTE, **changed}]}
        found = _DIALECT.configuration(_entry('config/main', body)).ok_value
        self.assertEqual(expected, found.routes[0].repeatable)

    def test_split(self):
        split = [{'service': 'a', 'weight': 90}, {'service': 'b', 'weight': 10}]
        body = {'version': 1, 'routes': [{**_ROUTE, 'split': split}]}
        found = _DIALECT.configuration(_entry('config/main', body)).ok_value
        shares = [(one.service, one.weight) for one in found.routes[0].shares]
        self.assertEqual([('a', 90), ('b', 10)], shares)

    @parameterized.expand(
        [('no_version', {'routes': []}), ('wrong_kind', {'version': 'x'})],
    )
    def test_bad(self, _name, body):
        found = _DIALECT.configuration(_entry('config/main', body))
        self.assertTrue(found.is_err())
        self.assertEqual('config/main', found.err_value.peer)


class EngineTest(unittest.TestCase):
    """Engines of service discovery."""

    @parameterized.expand(
        [
            ('ready', 'ready', EngineState.READY),
            ('draining', 'draining', EngineState.DRAINING),
        ],
    )
    def test_state(self, _name, state, expected):
        found = _DIALECT.engine(self.entry(state)).ok_value
        self.assertIs(expected, found.state)
        self.assertEqual(('i-1', 8), (found.engine, found.slots))

    def test_unknown_state_names_no_engine(self):
        self.assertTrue(_DIALECT.engine(self.entry('resting')).is_err())

    def entry(self, state):
        """Make the entry of an engine."""
        body = {
            'service': 's1',
            'address': '10.0.0.1:80',
            'zone': 'hall-1',
            'slots': 8,
            'state': state,
            'sequence': 4,
        }
        return _entry('servers/i-1', body)


class RequestTest(unittest.TestCase):
    """Headers of clients and towards engines."""

    def test_facts(self):
        headers = [
            ('Host', 'a.example'),
            ('X-Attempt-Id', 'id1'),
            ('X-Deadline-Ms', '5000'),
            ('Last-Event-Id', '4'),
        ]
        facts = _DIALECT.request_facts(headers)
        self.assertEqual(
            ('id1', 'a.example', 5.0, 4),
            (facts.request, facts.host, facts.timeout, facts.resume_after),
        )

    @parameterized.expand([('inf',), ('-inf',), ('nan',), ('1e999',)])
    def test_number_without_end(self, text):
        """What is no number is as good as not there."""
        headers = [
            ('X-Attempt-Id', 'a1'),
            ('X-Deadline-Ms', text),
            ('Last-Event-Id', text),
        ]
        facts = _DIALECT.request_facts(headers)
        self.assertEqual((None, None), (facts.timeout, facts.resume_after))
        call = _DIALECT.job_call(
            'GET', f'/-/lots/j1?watch_after={text}', [('X-Wait-Ms', text)]
        )
        self.assertEqual((0, 0), (call.after, call.wait))

    def test_no_id(self):
        self.assertIsNone(_DIALECT.request_facts([('Host', 'a')]))

    def test_engine_headers_replace_what_changes(self):
        headers = [
            ('X-Attempt-Id', 'id1'),
            ('X-Model', 'm'),
            ('X-Deadline-Ms', '5000'),
            ('Last-Event-Id', '4'),
            ('X-Credential', 'k1'),
            ('x-tenant', 'team-2'),
        ]
        made = dict(_DIALECT.engine_headers(headers, 'i-1', 1.25, 9, 'team-1'))
        self.assertEqual(
            {
                'X-Attempt-Id': 'id1',
                'X-Model': 'm',
                'X-Deadline-Ms': '1250',
                'X-Expect-Instance': 'i-1',
                'Last-Event-Id': '9',
                'X-Tenant': 'team-1',
            },
            made,
        )

    @parameterized.expand(
        [
            ('full', 503, [('X-Not-Executed', '1')], True, False),
            ('other_instance', 421, [], True, True),
            ('own_failure', 500, [], False, False),
            ('full_without_word', 503, [], False, False),
        ],
    )
    def test_not_run(self, _name, status, headers, not_run, misdirected):
        answer = _DIALECT.engine_answer(status, headers)
        self.assertEqual(
            (not_run, misdirected), (answer.not_run, answer.misdirected)
        )

    @parameterized.expand(
        [
            ('told', [('Keep-Alive', 'timeout=5, max=3')], 5.0),
            ('untold', [], None),
        ],
    )
    def test_idle_seconds(self, _name, headers, expected):
        answer = _DIALECT.engine_answer(200, headers)
        self.assertEqual(expected, answer.idle_seconds)


class JobTest(unittest.TestCase):
    """Calls about jobs."""

    @parameterized.expand(
        [
            (
                'read',
                'GET',
                '/-/lots/j1?watch_after=12',
                ReadResults('j1', 12, 0.5),
            ),
            ('read_all', 'GET', '/-/lots/j1', ReadResults('j1', 0, 0.5)),
            ('body', 'GET', '/-/items/j1?id=i1', ReadBody('j1', 'i1')),
            ('end', 'DELETE', '/-/lots/j1', EndJob('j1')),
            ('other', 'POST', '/x/1', None),
        ],
    )
    def test_call(self, _name, method, target, expected):
        headers = [('X-Wait-Ms', '500')]
        self.assertEqual(expected, _DIALECT.job_call(method, target, headers))

    def test_submission(self):
        item = {
            'id': 'i1',
            'path': '/x/1',
            'headers': {'X-Model': 'm'},
            'body': base64.b64encode(b'prompt').decode(),
            'tokens': 940,
        }
        headers = [('Host', 'a.example'), ('X-Attempt-Id', 'j1')]
        body = json.dumps({'items': [item]}).encode()
        found = _DIALECT.submission('/x/j1', headers, body)
        self.assertEqual(('j1', 'a.example'), (found.job, found.host))
        self.assertEqual(b'prompt', found.items[0].body)
        self.assertEqual(940, found.items[0].tokens)

    @parameterized.expand(
        [
            ('no_json', b'{'),
            ('no_items', b'{}'),
            ('bad_base64', b'{"items":[{"id":"a","path":"/","body":"!"}]}'),
        ],
    )
    def test_bad_submission(self, _name, body):
        headers = [('X-Attempt-Id', 'j1')]
        self.assertIsNone(_DIALECT.submission('/x/j1', headers, body))

    def test_results(self):
        results = [
            ItemResult('i1', ItemOutcome.COMPLETED, 'a\nb'),
            ItemResult('i2', ItemOutcome.GIVEN_UP, ''),
        ]
        shown = json.loads(_DIALECT.encode_results(40, 12, results))
        self.assertEqual((40, 14), (shown['total'], shown['next_token']))
        states = [one['state'] for one in shown['results']]
        self.assertEqual(['completed', 'dead_lettered'], states)


class SettingsTest(unittest.TestCase):
    """The settings file of a process."""

    def _load(self, text):
        with tempfile.NamedTemporaryFile('w', suffix='.toml') as file:
            file.write(text)
            file.flush()
            return load_settings(file.name)

    def test_file_that_changes(self):
        with tempfile.NamedTemporaryFile('w', suffix='.toml') as file:
            file.write(_SETTINGS)
            file.flush()
            source = SettingsFile(file.name)
            self.assertEqual(Ok(None), source.changed())
            for text, expected in (
                (_SETTINGS.replace('grace_s = 8', 'grace_s = 5'), 5),
                ('node = ', None),
            ):
                file.seek(0)
                file.truncate()
                file.write(text)
                file.flush()
                found = source.changed()
                told = found.ok_value.grace if found.is_ok() else None
                self.assertEqual(expected, told)
            self.assertEqual(Ok(None), source.changed())

    def test_good(self):
        found = self._load(_SETTINGS)
        self.assertIs(NodeRole.ENTRY, found.role)
        self.assertEqual('10.1.0.10:8161', found.clients_address)
        self.assertEqual((8, 1.0), (found.grace, found.settle))

    @parameterized.expand(
        [
            ('no_node', 'node = "frontend-1"', '', 'node must be a text'),
            (
                'no_role',
                '["frontend","control"]',
                '["side"]',
                'serves must name',
            ),
            ('no_bound', 'settle_ms = 1000', '', '[bounds]: settle_ms'),
            ('no_toml', 'node = ', 'node ', 'toml'),
        ],
    )
    def test_bad_names_what_is_wrong(self, _name, old, new, expected):
        with self.assertRaises(SettingsError) as caught:
            self._load(_SETTINGS.replace(old, new))
        self.assertIn(expected, str(caught.exception))
