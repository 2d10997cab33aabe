"""Tests of the client of the platform's store."""

import unittest

from bendlead_platform import PlatformStore
from bendlead_store import FailureKind
from parameterized import parameterized

from tests.gateway_standins import ScriptedPeer

_RESPONSE = (
    'HTTP/1.1 503 Away\r\nRetry-After: {header}\r\nContent-Length: 0\r\n\r\n'
)


class RetryAfterTest(unittest.TestCase):
    """Retry-After headers of an unavailable store."""

    @parameterized.expand(
        [
            ('seconds', '0.4', 0.4),
            ('none', '0', 0),
            ('longest', '3600', 1),
            ('negative', '-5', 0.1),
            ('date', 'Wed, 21 Oct 2015 07:28:00 GMT', 0.1),
            ('no_number', 'nan', 0.1),
            ('endless', 'inf', 0.1),
            ('empty', '', 0.1),
        ]
    )
    def test_retry_after(self, _name, header, expected):
        """An invalid header must not raise in the calling task."""
        peer = ScriptedPeer([lambda sock: self._respond(sock, header)])
        self.addCleanup(peer.close)
        self._peer = peer
        failure = PlatformStore(peer.address).fetch('heads/1').err_value
        self.assertIs(FailureKind.NOT_DONE, failure.kind)
        self.assertEqual(expected, failure.retry_after)

    def _respond(self, sock, header):
        self._peer.read_request(sock)
        sock.sendall(_RESPONSE.format(header=header).encode())


if __name__ == '__main__':
    unittest.main()
