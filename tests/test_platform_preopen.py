"""Tests of the client socket that is opened before the program is imported."""

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

_COMPLETE_RESPONSE = chunked(event(1, 'a'), headers='X-Response-Seal: s1\r\n')


def _open_socket(text):
    """Open the client socket with a settings file of this text."""
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder, 'settings.toml')
        path.write_text(text, encoding='utf-8')
        with mock.patch.dict(os.environ, {SETTINGS_VARIABLE: str(path)}):
            return open_clients_socket()


class PreopenTest(EntryCase):
    """Clients that connect before the entry serves them."""

    def test_early_client_is_served(self):
        node_settings = settings('entry-1', NodeRole.ENTRY, self.store.address)
        clients = _open_socket(
            f'[listen]\nfrontend = "{node_settings.clients_address}"\n'
        )
        client = HttpConnection(node_settings.clients_address, 1)
        self.addCleanup(client.close)
        headers = [('Host', 'a.example'), ('X-Attempt-Id', 'id1')]
        client.send('POST', '/x/1', headers, b'prompt', 1)
        self._start_engine(0, _COMPLETE_RESPONSE)
        self.store.set('config', 'main', configuration(1, route('streaming')))
        store = PlatformStore(node_settings.store_address)
        entry = EntryNode(node_settings, store, PlatformDialect(), clients)
        entry.serve()
        head, body = self.read(client)
        self.assertEqual((200, event(1, 'a')), (head.status, body))

    def test_client_gets_503_while_store_is_unavailable(self):
        node_settings = settings('entry-1', NodeRole.ENTRY, self.store.address)
        self.store.trouble = Trouble.AWAY
        entry = EntryNode(
            node_settings,
            PlatformStore(node_settings.store_address),
            PlatformDialect(),
        )
        entry.serve()
        client = HttpConnection(node_settings.clients_address, 1)
        self.addCleanup(client.close)
        headers = [('Host', 'a.example'), ('X-Attempt-Id', 'id1')]
        client.send('POST', '/x/1', headers, b'prompt', 1)
        head, _body = self.read(client)
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
        """No socket is opened; the program reports the error later."""
        self.assertIsNone(_open_socket(text))

    def test_no_settings(self):
        with mock.patch.dict(os.environ, {SETTINGS_VARIABLE: '/nowhere'}):
            self.assertIsNone(open_clients_socket())

    def test_address_in_use(self):
        with socket.create_server(('127.0.0.1', free_port())) as other:
            host, port = other.getsockname()
            text = f'[listen]\nfrontend = "{host}:{port}"\n'
            self.assertIsNone(_open_socket(text))
