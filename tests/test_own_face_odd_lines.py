"""Lines of batch files and messages that no decoder takes.

Guards against calls that fail with 500, and jobs that stand still, because a
value is nested too deeply or is no UTF-8.
"""

import unittest
from unittest.mock import Mock

from bendlead_ledger import _codec
from bendlead_ledger._input import ChunkReader, FileWriter
from bendlead_ledger._jobs import _granted_item
from parameterized import parameterized

from tests.bounded_store import BoundedStore

_LINE = b'{"custom_id": "%s", "url": "/x", "body": {"model": "m", "a": %s}}\n'
_NOT_UTF_8 = b'"\xff"'


class UploadTest(unittest.TestCase):
    """A file with a sound line and an odd one."""

    @parameterized.expand([('not_utf_8', _NOT_UTF_8)])
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


if __name__ == '__main__':
    unittest.main()
