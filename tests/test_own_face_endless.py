"""Answers without an end, as bendlead-node reads them.

Guards against an engine whose answer takes all memory of a process.
"""

import unittest

from bendlead_node._common.upstream import Clients, events, read_body
from geventhttpclient.response import HTTPParseError
from parameterized import parameterized

from tests.gateway_standins import ScriptedPeer

_HEAD = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
_BLOCK = b'a' * 65_536
_SENT_BYTES = 40_000_000
#: A process may take 32 MB; what the peer has sent may stand in buffers too.
_MOST_BYTES = 32_000_000


class EndlessAnswerTest(unittest.TestCase):
    """A peer sends until nobody reads."""

    def script(self, sock):
        self.peer.read_request(sock)
        sock.sendall(_HEAD)
        block = b'%x\r\n%b\r\n' % (len(_BLOCK), _BLOCK)
        while self.sent < _SENT_BYTES:
            sock.sendall(block)
            self.sent += len(_BLOCK)

    @parameterized.expand(
        [
            ('body', read_body),
            ('event', lambda response: next(events(response))),
        ]
    )
    def test_is_given_up(self, _name, read):
        self.sent = 0
        self.peer = ScriptedPeer([self.script])
        self.addCleanup(self.peer.close)
        sent = Clients(5).send('GET', self.peer.address, '/', b'', {})
        try:
            read(sent.unwrap())
        except (OSError, HTTPParseError):
            """The connection ended before the answer did."""
        self.assertLess(self.sent, _MOST_BYTES)


if __name__ == '__main__':
    unittest.main()
