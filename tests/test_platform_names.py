"""Tests that only the platform adapter uses the platform's wire names."""

import pathlib
import unittest

from parameterized import parameterized

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_SOURCES = [
    path
    for path in (_ROOT / 'packages').rglob('*.py')
    if '.egg-info' not in str(path)
]
# Without Last-Event-Id, which is a standard header of event streams.
_WIRE_NAMES = (
    'X-Attempt-Id',
    'X-Deadline-Ms',
    'X-Expect-Instance',
    'X-Instance-Id',
    'X-Not-Executed',
    'X-Response-Seal',
    'X-Token-Usage',
    'X-Prompt-Prefix',
    'X-Wait-Ms',
    '/-/lots',
    '/-/items',
    '/-/objects',
    '/-/readiness',
    '/-/report',
    'BENDLEAD_CONFIG',
    'allow_stale',
    'counts_toward_loss',
    'dead_lettered',
    'gap_target_ms',
    'max_queued_tokens',
    'path_prefix',
    'retirements',
    'run_target_ms',
    'watch_after',
)
_MAX_LINES = 1200


class NamesTest(unittest.TestCase):
    """Occurrences of the platform's wire names in the packages."""

    def test_sources_are_found(self):
        self.assertGreater(len(_SOURCES), 50)

    @parameterized.expand([(name,) for name in _WIRE_NAMES])
    def test_name_is_not_used(self, name):
        paths = [
            str(path.relative_to(_ROOT))
            for path in _SOURCES
            if name.lower() in path.read_text(encoding='utf-8').lower()
        ]
        self.assertEqual([], paths)

    def test_adapter_size(self):
        lines = sum(
            len(path.read_text(encoding='utf-8').splitlines())
            for path in (_ROOT / 'platform').rglob('*.py')
        )
        self.assertLess(lines, _MAX_LINES)
