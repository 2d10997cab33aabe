"""Processes fetch configurations from peers if the object service fails."""

import gevent
from bendlead_gateway._entry import EntryNode
from bendlead_gateway._fleet.peer_call import call_peer
from bendlead_gateway._fleet.peer_configuration import CONFIGURATION_PATH
from bendlead_gateway.types import NodeRole
from bendlead_platform import PlatformDialect, PlatformStore
from bendlead_testing.platform_store import Door, Trouble
from bendlead_testing.ports import free_port
from parameterized import parameterized

from tests.gateway_cases import EntryCase
from tests.gateway_standins import configuration, eventually, route, settings

_KEY = 'k-of-team-1-abcdefghij'
_PLAIN = (
    b'HTTP/1.1 200 OK\r\nX-Response-Seal: s1\r\nContent-Length: 2\r\n\r\nok'
)


class RejectedEntryTest(EntryCase):
    """The object service serves one entry and rejects the other."""

    def setUp(self):
        super().setUp()
        self.start(route('safe'), answers=[_PLAIN])
        self.configure(2, [_KEY])
        door = Door(f'127.0.0.1:{free_port()}')
        self.store.open_door(door)
        made = settings('entry-2', NodeRole.ENTRY, door.address)
        store = PlatformStore(made.store_address)
        self.door = door
        self.other = EntryNode(made, store, PlatformDialect())
        self.other.serve()
        eventually(lambda: self.other.fleet.configuration.version == 2)
        eventually(lambda: self.other.peers.entry_group().reachable == 2)

    def configure(self, version, keys):
        """Store a configuration with these API keys and wait for it."""
        made = {
            **configuration(version, route('safe')),
            'tenants': [{'name': 'team-1', 'api_keys': keys}],
        }
        self.store.set('config', 'main', made)
        held = self.entry.fleet.configuration
        eventually(lambda: held.version == version)

    def status(self):
        """Return the status of a request to the rejected entry."""
        first, self.entry = self.entry, self.other
        head, _body = self.read(
            self.send_request(extra=[('X-Credential', _KEY)])
        )
        self.entry = first
        return head.status

    @parameterized.expand(
        [
            ('cut', Trouble.CUT),
            ('busy', Trouble.AWAY),
            ('limited', Trouble.LIMITED),
            ('silent', Trouble.SILENT),
        ],
    )
    def test_key_is_revoked(self, _name, trouble):
        self.assertEqual(200, self.status())
        self.door.trouble = trouble
        self.configure(3, ['another'])
        held = self.other.fleet.configuration
        eventually(lambda: held.version == 3, 2)
        self.assertNotEqual(200, self.status())

    def test_older_configuration_is_ignored(self):
        """A peer with an older configuration must not be asked."""
        self.door.trouble = Trouble.CUT
        self.configure(3, [_KEY])
        held = self.other.fleet.configuration
        eventually(lambda: held.version == 3, 2)
        self.entry.fleet.configuration._active = type(held._active)()
        gevent.sleep(0.3)
        self.assertEqual(3, held.version)
        self.assertEqual(200, self.status())

    def test_configuration_response_holds_no_key(self):
        fetched = call_peer(
            self.entry.record.address, 'GET', CONFIGURATION_PATH, b'', 1
        )
        self.assertIn(b'team-1', fetched)
        self.assertNotIn(_KEY.encode(), fetched)
