"""Packed results when the packer is closed."""

import unittest
from unittest import mock

import gevent
from bendlead_ledger._results import ResultPacker
from bendlead_schema.records import ResultLine
from bendlead_schema.settings import LedgerSettings
from bendlead_store import FailureKind
from parameterized import parameterized


class CloseTest(unittest.TestCase):
    """Closing a packer must fail every waiting call."""

    @parameterized.expand(
        [
            ('queued', False, FailureKind.CONFLICT),
            ('being_written', True, FailureKind.UNKNOWN),
        ]
    )
    def test_waiting_calls_fail(self, _name, flush, kind):
        """Calls fail whether their pack is queued or being written."""
        packer = self._packer(flush)
        reports = [gevent.spawn(packer.record, [_line(at)]) for at in range(2)]
        gevent.sleep(0.2)
        packer.close()
        gevent.joinall(reports, timeout=1)
        for report in reports:
            self.assertEqual(kind, report.get(block=False).err_value.kind)

    def test_results_after_close_are_rejected(self):
        packer = self._packer(flush=True)
        packer.close()
        late = gevent.spawn(packer.record, [_line(0)])
        late.join(1)
        self.assertIs(
            FailureKind.CONFLICT, late.get(block=False).err_value.kind
        )

    def _packer(self, flush):
        store = mock.Mock()
        # The object service does not answer.
        store.put.side_effect = lambda *_given: gevent.sleep(10)
        settings = LedgerSettings(flush=5)
        packer = ResultPacker(store, 1, mock.Mock(), settings)
        packer.flush_when(lambda _lines: flush)
        return packer


def _line(position):
    return ResultLine(job='j1', position=position, status=200, body='{}')


if __name__ == '__main__':
    unittest.main()
