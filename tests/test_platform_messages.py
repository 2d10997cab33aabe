"""Tests of decoding and encoding the platform's messages and settings."""

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
    """Decoding of the operator's configuration."""

    def test_route(self):
        body = {'version': 7, 'routes': [_ROUTE], 'services': [{'name': 's1'}]}
        decoded = _DIALECT.configuration(_entry('config/main', body)).ok_value
        route = decoded.routes[0]
        self.assertEqual(7, decoded.version)
        self.assertIs(RouteKind.STREAM, route.kind)
        self.assertEqual(
            (5.0, 0.3, 0.2), (route.timeout, route.target, route.gap_target)
        )
        self.assertTrue(route.repeatable)
        self.assertEqual(['s1'], [share.service for share in route.shares])

    @parameterized.expand(
        [
            ('safe', {'kind': 'safe'}, True),
            ('unsafe', {'kind': 'unsafe'}, False),
            ('stream_not_resumable', {'resumable': False}, False),
            ('unknown_kind', {'kind': 'new'}, False),
        ],
    )
    def test_repeatable(self, _name, changes, expected):
        body = {'version': 1, 'routes': [{**_ROUTE, **changes}]}
        decoded = _DIALECT.configuration(_entry('config/main', body)).ok_value
        self.assertEqual(expected, decoded.routes[0].repeatable)

    def test_split(self):
        split = [{'service': 'a', 'weight': 90}, {'service': 'b', 'weight': 10}]
        body = {'version': 1, 'routes': [{**_ROUTE, 'split': split}]}
        decoded = _DIALECT.configuration(_entry('config/main', body)).ok_value
        shares = [
            (share.service, share.weight) for share in decoded.routes[0].shares
        ]
        self.assertEqual([('a', 90), ('b', 10)], shares)

    @parameterized.expand(
        [('no_version', {'routes': []}), ('wrong_kind', {'version': 'x'})],
    )
    def test_invalid(self, _name, body):
        decoded = _DIALECT.configuration(_entry('config/main', body))
        self.assertTrue(decoded.is_err())
        self.assertEqual('config/main', decoded.err_value.peer)


class EngineTest(unittest.TestCase):
    """Decoding of engine registrations."""

    @parameterized.expand(
        [
            ('ready', 'ready', EngineState.READY),
            ('draining', 'draining', EngineState.DRAINING),
        ],
    )
    def test_state(self, _name, state, expected):
        decoded = _DIALECT.engine(self.entry(state)).ok_value
        self.assertIs(expected, decoded.state)
        self.assertEqual(('i-1', 8), (decoded.engine, decoded.slots))

    @parameterized.expand(
        [('given', {'version': 'v1.1'}, 'v1.1'), ('none', {}, '')]
    )
    def test_version(self, _name, fields, expected):
        engine = _DIALECT.engine(self.entry('ready', **fields))
        self.assertEqual(expected, engine.ok_value.version)

    def test_unknown_state_is_invalid(self):
        self.assertTrue(_DIALECT.engine(self.entry('resting')).is_err())

    def entry(self, state, **fields):
        """Return the registration of an engine in a state."""
        body = {
            'service': 's1',
            'address': '10.0.0.1:80',
            'zone': 'hall-1',
            'slots': 8,
            'state': state,
            'sequence': 4,
            **fields,
        }
        return _entry('servers/i-1', body)


class RequestTest(unittest.TestCase):
    """Headers of clients' and engines' messages."""

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

    @parameterized.expand(
        [
            ('none', [], None),
            ('one', ['id0'], 'id0'),
            ('empty', [''], None),
            ('same_twice', ['id0', 'id0'], 'id0'),
            ('several', ['id0', 'id1'], None),
        ]
    )
    def test_resumes(self, _name, named, expected):
        headers = [('X-Attempt-Id', 'id2'), *(('Resumes', at) for at in named)]
        facts = _DIALECT.request_facts(headers)
        self.assertEqual(expected, facts.resumes)

    @parameterized.expand([('inf',), ('-inf',), ('nan',), ('1e999',)])
    def test_number_not_finite(self, text):
        """Numbers that are not finite count as missing."""
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

    @parameterized.expand(
        [
            ('all_but_the_last', 'a1:800,B2:410,e4:250', ('a1', 'b2')),
            ('spaces', 'a1:800, b2:410 ,e4:250', ('a1', 'b2')),
            ('twice', 'a1:800,a1:800,e4:250', ('a1',)),
            ('last_only', 'e4:250', ()),
            ('empty', '', ()),
            ('no_tokens', 'a1,b2:1,c3:1', ()),
            ('not_hex', 'x1:1,b2:1,c3:1', ()),
            ('no_id', ':1,b2:1,c3:1', ()),
            ('negative', 'a1:-1,b2:1,c3:1', ()),
            ('gap', 'a1:1,,c3:1', ()),
            ('long_id', f'{"a" * 65}:1,c3:1', ()),
        ]
    )
    def test_shared_parts(self, _name, sent, expected):
        headers = [('X-Attempt-Id', 'r'), ('X-Prompt-Prefix', sent)]
        facts = _DIALECT.request_facts(headers)
        self.assertEqual(expected, facts.shared_parts)

    def test_shared_parts_are_bounded(self):
        sent = ','.join(f'{part:x}:1' for part in range(5000))
        found = _DIALECT.shared_parts([('X-Prompt-Prefix', sent)])
        self.assertEqual(16, len(found))

    def test_parts_given_twice_are_none(self):
        headers = [('X-Prompt-Prefix', 'a1:8,e4:2')] * 2
        self.assertEqual((), _DIALECT.shared_parts(headers))

    def test_engine_headers_replace_client_headers(self):
        headers = [
            ('X-Attempt-Id', 'id1'),
            ('X-Model', 'm'),
            ('X-Deadline-Ms', '5000'),
            ('Last-Event-Id', '4'),
            ('X-Credential', 'k1'),
            ('x-tenant', 'team-2'),
        ]
        outgoing = dict(
            _DIALECT.engine_headers(headers, 'i-1', 1.25, 9, 'team-1')
        )
        self.assertEqual(
            {
                'X-Attempt-Id': 'id1',
                'X-Model': 'm',
                'X-Deadline-Ms': '1250',
                'X-Expect-Instance': 'i-1',
                'Last-Event-Id': '9',
                'X-Tenant': 'team-1',
            },
            outgoing,
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
    """Job calls, submissions and results."""

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
        decoded = _DIALECT.submission('/x/j1', headers, body)
        self.assertEqual(('j1', 'a.example'), (decoded.job, decoded.host))
        self.assertEqual(b'prompt', decoded.items[0].body)
        self.assertEqual(940, decoded.items[0].tokens)

    @parameterized.expand(
        [
            ('no_json', b'{'),
            ('no_items', b'{}'),
            ('bad_base64', b'{"items":[{"id":"a","path":"/","body":"!"}]}'),
        ],
    )
    def test_invalid_submission(self, _name, body):
        headers = [('X-Attempt-Id', 'j1')]
        self.assertIsNone(_DIALECT.submission('/x/j1', headers, body))

    def test_results(self):
        results = [
            ItemResult('i1', ItemOutcome.COMPLETED, 'a\nb'),
            ItemResult('i2', ItemOutcome.GIVEN_UP, ''),
        ]
        encoded = json.loads(_DIALECT.encode_results(40, 12, results))
        self.assertEqual((40, 14), (encoded['total'], encoded['next_token']))
        states = [item['state'] for item in encoded['results']]
        self.assertEqual(['completed', 'dead_lettered'], states)


class SettingsTest(unittest.TestCase):
    """Loading, validation and reloading of the settings file."""

    def _load(self, text):
        with tempfile.NamedTemporaryFile('w', suffix='.toml') as file:
            file.write(text)
            file.flush()
            return load_settings(file.name)

    def test_changed_file_is_reloaded(self):
        with tempfile.NamedTemporaryFile('w', suffix='.toml') as file:
            file.write(_SETTINGS)
            file.flush()
            settings_file = SettingsFile(file.name)
            self.assertEqual(Ok(None), settings_file.changed())
            for text, expected in (
                (_SETTINGS.replace('grace_s = 8', 'grace_s = 5'), 5),
                ('node = ', None),
            ):
                file.seek(0)
                file.truncate()
                file.write(text)
                file.flush()
                loaded = settings_file.changed()
                grace = loaded.ok_value.grace if loaded.is_ok() else None
                self.assertEqual(expected, grace)
            self.assertEqual(Ok(None), settings_file.changed())

    def test_good(self):
        loaded = self._load(_SETTINGS)
        self.assertIs(NodeRole.ENTRY, loaded.role)
        self.assertEqual('10.1.0.10:8161', loaded.clients_address)
        self.assertEqual((8, 1.0), (loaded.grace, loaded.settle))

    @parameterized.expand(
        [
            ('no_node', 'node = "frontend-1"', '', 'node must be a string'),
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
    def test_error_names_the_field(self, _name, old, new, expected):
        with self.assertRaises(SettingsError) as caught:
            self._load(_SETTINGS.replace(old, new))
        self.assertIn(expected, str(caught.exception))
