"""Clients that connect while the program is still being loaded."""

import os
import pathlib
import socket
import tempfile
from unittest import mock

from bendlead_gateway._entry import EntryNode
from bendlead_gateway.http import HttpConnection
from bendlead_gateway.types import NodeRole
from bendlead_platform import PlatformDialect, PlatformStore
from bendlead_preopen import SETTINGS_VARIABLE, open_clients_socket
from bendlead_testing.platform_store import Trouble
from bendlead_testing.ports import free_port
from parameterized import parameterized

from tests.gateway_cases import EntryCase
from tests.gateway_standins import (
    chunked,
    configuration,
    event,
    route,
    settings,
)

_WHOLE = chunked(event(1, 'a'), headers='X-Response-Seal: s1\r\n')


def _opened(text):
    """Open the socket that a settings file of this text asks for."""
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder, 'settings.toml')
        path.write_text(text, encoding='utf-8')
        with mock.patch.dict(os.environ, {SETTINGS_VARIABLE: str(path)}):
            return open_clients_socket()


class PreopenTest(EntryCase):
    """The socket listens first; the entry comes later."""

    def test_client_waits_until_it_is_read(self):
        made = settings('entry-1', NodeRole.ENTRY, self.store.address)
        clients = _opened(f'[listen]\nfrontend = "{made.clients_address}"\n')
        early = HttpConnection(made.clients_address, 1)
        self.addCleanup(early.close)
        headers = [('Host', 'a.example'), ('X-Attempt-Id', 'id1')]
        early.send('POST', '/x/1', headers, b'prompt', 1)
        self._start_engine(0, _WHOLE)
        self.store.set('config', 'main', configuration(1, route('streaming')))
        store = PlatformStore(made.store_address)
        entry = EntryNode(made, store, PlatformDialect(), clients)
        entry.serve()
        head, body = self.read(early)
        self.assertEqual((200, event(1, 'a')), (head.status, body))

    def test_client_is_told_to_come_back_while_the_store_is_away(self):
        made = settings('entry-1', NodeRole.ENTRY, self.store.address)
        self.store.trouble = Trouble.AWAY
        entry = EntryNode(
            made, PlatformStore(made.store_address), PlatformDialect()
        )
        entry.serve()
        early = HttpConnection(made.clients_address, 1)
        self.addCleanup(early.close)
        headers = [('Host', 'a.example'), ('X-Attempt-Id', 'id1')]
        early.send('POST', '/x/1', headers, b'prompt', 1)
        head, _body = self.read(early)
        self.assertEqual(503, head.status)

    @parameterized.expand(
        [
            ('no_toml', 'listen ='),
            ('no_table', 'listen = 1'),
            ('no_address', '[listen]\nready = "127.0.0.1:1"'),
            ('no_port', '[listen]\nfrontend = "127.0.0.1"'),
        ]
    )
    def test_settings_without_address(self, _name, text):
        """The program starts later, and tells what is wrong."""
        self.assertIsNone(_opened(text))

    def test_no_settings(self):
        with mock.patch.dict(os.environ, {SETTINGS_VARIABLE: '/nowhere'}):
            self.assertIsNone(open_clients_socket())

    def test_address_that_is_taken(self):
        with socket.create_server(('127.0.0.1', free_port())) as other:
            host, port = other.getsockname()
            text = f'[listen]\nfrontend = "{host}:{port}"\n'
            self.assertIsNone(_opened(text))
