"""Lines of batch files and messages that no decoder takes.

Guards against calls that fail with 500, and jobs that stand still, because a
value is nested too deeply or is no UTF-8.
"""

import unittest
from unittest.mock import Mock

from bendlead_ledger import _codec
from bendlead_ledger._input import ChunkReader, FileWriter
from bendlead_ledger._jobs import _granted_item
from bendlead_node._common.upstream import PeerClient
from bendlead_node._common.web import CallError
from bendlead_node._entry import admin, batches, online, outputs
from bendlead_schema.messages import Acknowledged
from bendlead_store import FailureKind, HttpStore
from parameterized import parameterized

from tests.bounded_store import BoundedStore
from tests.gateway_standins import ScriptedPeer

_LINE = b'{"custom_id": "%s", "url": "/x", "body": {"model": "m", "a": %s}}\n'
_NOT_UTF_8 = b'"\xff"'
_DEPTH = 100_000
_DEEP = b'[' * _DEPTH + b']' * _DEPTH
_NESTED = b'{"model": "m", "a": %b}' % _DEEP


class UploadTest(unittest.TestCase):
    """A file with a sound line and an odd one."""

    @parameterized.expand([('not_utf_8', _NOT_UTF_8), ('deep', _DEEP)])
    def test_line_is_rejected(self, _name, odd):
        store = BoundedStore()
        writer = FileWriter(store, 'f', frozenset({'m'}), 1_000_000)
        writer.feed(_LINE % (b'sound', b'1') + _LINE % (b'odd', odd)).unwrap()
        writer.finish().unwrap()
        self.assertEqual(
            [(2, 'invalid_line')],
            [(error.line, error.code) for error in writer.errors],
        )


class StoredLineTest(unittest.TestCase):
    """A line that an earlier version accepted."""

    def test_is_granted(self):
        store = BoundedStore()
        lines = _LINE % (b'odd', _NOT_UTF_8)
        store.put('k', _codec.compress(lines.strip()), 0).unwrap()
        chunk = Mock(key='k', first=0, count=1)
        read = ChunkReader(store).positions([chunk], [0]).unwrap()
        granted = _granted_item(Mock(attempts={}), 0, read[0])
        self.assertIn('"model": "m"', granted.body)


class CallTest(unittest.TestCase):
    """Calls whose bodies are nested too deeply."""

    @parameterized.expand(
        [
            ('completion', lambda body: online._parsed(body)),
            ('batch', lambda body: batches._wanted(body)),
            ('object', lambda body: admin._check('stop', 'x', body)),
        ]
    )
    def test_is_refused(self, _name, parse):
        with self.assertRaises(CallError) as refused:
            parse(_NESTED)
        self.assertEqual(400, refused.exception.status)

    def test_rejected_line_is_shown(self):
        line = outputs._rejected(0, _LINE % (b'odd', _DEEP))
        self.assertIn(b'line_rejected', line)


class AnswerTest(unittest.TestCase):
    """Answers of other processes that are nested too deeply."""

    def answer(self, body):
        """Start a peer that answers once."""

        def script(sock):
            peer.read_request(sock)
            head = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n'
            sock.sendall(head % len(body) + body)

        peer = ScriptedPeer([script])
        self.addCleanup(peer.close)
        return peer.address

    def test_peer(self):
        client = PeerClient('key', 5)
        asked = client.ask(
            self.answer(_NESTED), '/', Acknowledged(), Acknowledged
        )
        self.assertTrue(asked.is_err())

    @parameterized.expand(
        [
            ('list', lambda store: store.list_keys('a', '', 10)),
            ('watch', lambda store: store.watch('a', 0, 1)),
            ('machines', lambda store: store.machines()),
        ]
    )
    def test_object_service(self, _name, call):
        failure = call(HttpStore(self.answer(b'[%b]' % _NESTED), 5)).err()
        self.assertIs(FailureKind.UNKNOWN, failure.kind)


if __name__ == '__main__':
    unittest.main()
