"""What the runner of the tests prints last."""

import contextlib
import io
import pathlib
import tempfile
import unittest
from unittest import mock

from bendlead_testing import runner
from bendlead_testing.runner import Tally, conclude

_KNOWN = 'tests.test_last.Case.test_known'
_NEW = 'tests.test_first.Case.test_new'


class ConcludeTest(unittest.TestCase):
    """The end of a cut record still names what is new."""

    def test_new_failure_is_named_behind_known_ones(self) -> None:
        passed, lines = _concluded(Tally(3, [_NEW, _KNOWN]))
        self.assertFalse(passed)
        self.assertEqual(
            lines[-3:],
            [f'known red: {_KNOWN}', f'failed: {_NEW}', '1 passed, 2 failed'],
        )

    def test_known_failure_passes(self) -> None:
        passed, lines = _concluded(Tally(3, [_KNOWN]))
        self.assertTrue(passed)
        self.assertEqual(
            lines[-2:], [f'known red: {_KNOWN}', '2 passed, 1 failed']
        )


def _concluded(tally: Tally) -> tuple[bool, list[str]]:
    printed = io.StringIO()
    with tempfile.TemporaryDirectory() as folder:
        listed = pathlib.Path(folder) / 'KNOWN-RED.txt'
        listed.write_text(f'{_KNOWN}, a command, seen\n', encoding='utf-8')
        with (
            mock.patch.object(runner, '_KNOWN_RED', listed),
            contextlib.redirect_stdout(printed),
        ):
            passed = conclude(tally)
    return passed, printed.getvalue().splitlines()
