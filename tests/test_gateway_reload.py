"""Reload of settings in a running process."""

import os
import tempfile
import unittest
from unittest import mock

from bendlead_gateway._log import Log
from bendlead_gateway._reload import Reloader
from bendlead_gateway.types import NodeRole
from bendlead_platform import SettingsFile
from msgspec.structs import replace
from parameterized import parameterized
from result import Err, Ok

from tests.gateway_standins import settings

_SETTINGS = settings('entry-1', NodeRole.ENTRY, '127.0.0.1:1')


class ReloadTest(unittest.TestCase):
    """Changed settings are applied and logged."""

    @parameterized.expand(
        [
            ('nothing_new', Ok(None), True, 'changed=nothing', None),
            ('nobody_asked', Ok(None), False, '', None),
            ('unreadable', Err('bad toml'), True, 'reload-failed', None),
            (
                'times',
                Ok(replace(_SETTINGS, grace=9)),
                True,
                'changed=grace at_next_start=nothing',
                None,
            ),
            (
                'store',
                Ok(replace(_SETTINGS, store_address='127.0.0.1:2')),
                False,
                'changed=store_address',
                '127.0.0.1:2',
            ),
            (
                'own_address',
                Ok(replace(_SETTINGS, address='127.0.0.2')),
                True,
                'at_next_start=address',
                None,
            ),
        ]
    )
    def test_reload(self, _name, found, requested, line, moved):
        sink = os.open(os.devnull, os.O_WRONLY)
        self.addCleanup(os.close, sink)
        log = Log('entry-1', sink)
        store = mock.Mock()
        source = mock.Mock()
        source.changed.return_value = found
        after = Reloader(source, store, log).reload(
            _SETTINGS, requested=requested
        )
        self.assertIn(line, ' '.join(log.recent))
        self.assertEqual(bool(line), bool(log.recent))
        latest = found.ok_value if found.is_ok() else None
        self.assertEqual(latest or _SETTINGS, after)
        self.assertEqual(
            [mock.call(moved)] if moved else [], store.use_address.mock_calls
        )


class SettingsFileTest(unittest.TestCase):
    """A settings file that is missing while it is replaced is no error."""

    def test_missing_while_replaced(self):
        with tempfile.TemporaryDirectory() as folder:
            path = os.path.join(folder, 'local.toml')
            with open(path, 'w') as file:
                file.write('node = 1')
            source = SettingsFile(path)
            os.rename(path, f'{path}.old')
            self.assertEqual(Ok(None), source.changed())
            with open(path, 'w') as file:
                file.write('node = 2')
            os.utime(path, ns=(1, 1))
            self.assertIn('local.toml', source.changed().unwrap_err())
