"""Whatever others send, decoders give a value or an error of their own.

Short and the same each time; FUZZ_EXAMPLES sets another number of examples,
which are then drawn anew.
"""

import json
import os
import tempfile
import unittest

import msgspec
from bendlead_gateway._entry import EntryNode
from bendlead_gateway._http.parsing import InvalidRequestError, RequestParser
from bendlead_gateway.types import ClientLimits, NodeRole
from bendlead_platform import (
    PlatformDialect,
    PlatformStore,
    SettingsError,
    load_settings,
)
from bendlead_store import Entry, Version
from hypothesis import HealthCheck, example, given, settings
from hypothesis import strategies as st
from parameterized import parameterized
from result import Err, Ok

from tests.gateway_standins import configuration, engine, route
from tests.gateway_standins import settings as node_settings

_EXAMPLES = int(os.environ.get('FUZZ_EXAMPLES', '0'))
_fuzzed = settings(
    max_examples=_EXAMPLES or 150,
    derandomize=not _EXAMPLES,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
_DIALECT = PlatformDialect()
_NUMBERS = st.one_of(
    st.integers(),
    st.floats(allow_nan=False, allow_infinity=False),
    st.sampled_from([-1, 0, 2**31, 2**63, 2**64, 10**30, 1e308]),
)
_VALUES = st.recursive(
    st.one_of(st.none(), st.booleans(), _NUMBERS, st.text(max_size=8)),
    lambda inner: st.one_of(
        st.lists(inner, max_size=3),
        st.dictionaries(st.text(max_size=8), inner, max_size=3),
    ),
    max_leaves=6,
)
_HEADERS = st.lists(
    st.tuples(
        st.sampled_from(
            [
                'X-Attempt-Id',
                'X-Deadline-Ms',
                'Last-Event-Id',
                'Host',
                'X-Wait-Ms',
                'Keep-Alive',
                'Connection',
                'X-Credential',
                'X-Token-Usage',
                'X-Length-Hint',
                'X-Prompt-Prefix',
            ]
        ),
        st.one_of(
            st.text(max_size=12),
            st.sampled_from(
                ['nan', 'inf', '1e400', '-1', '9' * 400, 'timeout=', '²', ',']
            ),
        ),
    ),
    max_size=6,
)
_ROUTES = [
    route('streaming', resumable=True, priority=2),
    route('batch', max_queued_tokens=100),
]
_OBJECTS = {
    'configuration': {
        **configuration(3, *_ROUTES),
        'tenants': [{'name': 't', 'keys': ['k'], 'rate_per_s': 3, 'burst': 2}],
        'limits': {'header_bytes': 1000, 'idle_ms': 10},
    },
    'engine': engine('127.0.0.1:1', warmup_left_ms=3),
    'peer': {'role': 'entry', 'zone': 'hall-1', 'address': '127.0.0.1:1'},
    'stop_order': {'duration_s': 10},
}
_REPORT = {
    'node': 'entry-2',
    'sound': True,
    'leaving': False,
    'online': {'i-1': 2},
    'batch': {'i-1': 1},
    'run_ms': 300,
    'version': 4,
    'shards': [{'shard': 1, 'epoch': 2}],
    'heard': [{'shard': 1, 'epoch': 2}],
    'missed': ['owner-1'],
    'told': [
        {
            'node': 'entry-3',
            'age_ms': 10,
            'version': 2,
            'online': {'i-1': 1},
            'batch': {},
        }
    ],
    'revisions': {'config/': 3},
    'teams': {'t': 3},
    'levels': {'t': 1.5},
}
_REQUEST = (
    b'POST /x/1 HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: 1\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n'
    b'GET /y HTTP/1.1\r\nHost: b\r\nContent-Length: 2\r\n\r\nok'
)
_SETTINGS = """
node = "frontend-1"
serves = ["frontend"]
ip = "10.1.0.10"
zone = "hall-1"
internal_ports = [7720,7735]
contracts = ["health"]
[limits]
file_descriptors = 4200
[bounds]
grace_s = 8
settle_ms = 1000
status_s = 120
[platform]
address = "10.200.1.7:8169"
"""


@st.composite
def _changed(draw, value):
    """Replace, drop or keep parts of a value, at any depth."""
    way = draw(st.sampled_from(['keep', 'keep', 'keep', 'replace']))
    if way == 'replace':
        return draw(_VALUES)
    if isinstance(value, dict):
        kept = {
            name: draw(_changed(one))
            for name, one in value.items()
            if draw(st.integers(0, 9))
        }
        return {**kept, **draw(st.dictionaries(st.text(), _VALUES, max_size=1))}
    if isinstance(value, list):
        return [draw(_changed(one)) for one in value]
    return value


def _edited(whole):
    """Change some bytes of a text."""
    edits = st.lists(
        st.tuples(st.integers(0, len(whole) - 1), st.binary(max_size=3)),
        max_size=4,
    )

    def apply(found):
        made = whole
        for place, part in found:
            made = made[:place] + part + made[place + 1 :]
        return made

    return edits.map(apply)


class ObjectTest(unittest.TestCase):
    """Entries of the object service, of whoever wrote them."""

    @parameterized.expand(list(_OBJECTS))
    def test_decoder(self, kind):
        decode = getattr(_DIALECT, kind)

        @_fuzzed
        @given(st.data())
        def check(drawn):
            body = drawn.draw(
                st.one_of(
                    st.binary(max_size=40),
                    _changed(_OBJECTS[kind]).map(
                        lambda made: json.dumps(made).encode()
                    ),
                )
            )
            found = decode(Entry(f'{kind}/x', Version(1), body))
            self.assertIsInstance(found, Ok | Err)

        check()


class CallTest(unittest.TestCase):
    """What callers and engines write in heads and bodies."""

    @_fuzzed
    @given(_HEADERS, st.integers(100, 599))
    def test_headers(self, headers, status):
        _DIALECT.request_facts(headers)
        _DIALECT.caller_key(headers)
        _DIALECT.engine_answer(status, headers)

    @_fuzzed
    @given(
        st.sampled_from(['GET', 'DELETE', 'POST']),
        st.one_of(
            st.text(max_size=20),
            st.text(max_size=20).map(lambda one: f'/-/lots/{one}'),
            st.text(max_size=20).map(lambda one: f'/-/items/x?id={one}'),
        ),
        _HEADERS,
    )
    @example('GET', '//[x', [])
    @example('GET', '/-/lots/x?watch_after=1e400', [('X-Wait-Ms', 'nan')])
    def test_job_call(self, method, target, headers):
        _DIALECT.job_call(method, target, headers)

    @_fuzzed
    @given(
        _changed(
            {
                'items': [
                    {
                        'id': 'a',
                        'path': '/x/1',
                        'headers': {'X-Model': 'm'},
                        'body': 'q83v',
                        'tokens': 940,
                    }
                ]
            }
        )
    )
    def test_submission(self, made):
        headers = [('X-Attempt-Id', '1')]
        _DIALECT.submission('/x/1', headers, json.dumps(made).encode())

    @_fuzzed
    @given(_edited(_REQUEST), st.integers(1, 40))
    def test_parser(self, sent, size):
        """Bytes in pieces make the requests that they make at once."""
        self.assertEqual(_parse(sent, len(sent)), _parse(sent, size))


class PeerTest(unittest.TestCase):
    """Reports of peers, of any schema."""

    def setUp(self):
        made = node_settings('entry-1', NodeRole.ENTRY, '127.0.0.1:1')
        store = PlatformStore(made.store_address)
        self.entry = EntryNode(made, store, _DIALECT)

    def test_report(self):
        @_fuzzed
        @given(_changed(_REPORT))
        def check(report):
            try:
                told = self.entry.peers.exchange(json.dumps(report).encode())
            except msgspec.MsgspecError:
                return
            self.assertEqual('entry-1', json.loads(told)['node'])

        check()


class SettingsTest(unittest.TestCase):
    """The settings file, written by the platform or by hand."""

    def test_settings(self):
        @_fuzzed
        @given(_edited(_SETTINGS.encode()))
        def check(text):
            with tempfile.NamedTemporaryFile() as file:
                file.write(text)
                file.flush()
                try:
                    load_settings(file.name)
                except SettingsError as error:
                    self.assertIn(file.name, str(error))

        check()


def _parse(sent, size):
    """Give the requests in some bytes, and the status that ends them."""
    parser = RequestParser(ClientLimits(header_bytes=400), lambda: 1.0)
    status = None
    for start in range(0, len(sent), size):
        try:
            parser.feed(sent[start : start + size])
        except InvalidRequestError as error:
            status = error.status
            break
    read = [
        (one.method, one.target, one.body) for one in parser.complete_requests
    ]
    return read, status


if __name__ == '__main__':
    unittest.main()
