"""What the client of the platform's store makes of answers."""

import unittest

from bendlead_platform import PlatformStore
from bendlead_store import FailureKind
from parameterized import parameterized

from tests.gateway_standins import ScriptedPeer

_ANSWER = (
    'HTTP/1.1 503 Away\r\nRetry-After: {told}\r\nContent-Length: 0\r\n\r\n'
)


class RetryAfterTest(unittest.TestCase):
    """A store that is away says when to ask again, well or badly."""

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
    def test_retry_after(self, _name, told, expected):
        """One that could not be read ended the task that had called."""
        peer = ScriptedPeer([lambda sock: self._answer(sock, told)])
        self.addCleanup(peer.close)
        self._peer = peer
        failure = PlatformStore(peer.address).fetch('heads/1').err_value
        self.assertIs(FailureKind.NOT_DONE, failure.kind)
        self.assertEqual(expected, failure.retry_after)

    def _answer(self, sock, told):
        self._peer.read_request(sock)
        sock.sendall(_ANSWER.format(told=told).encode())


if __name__ == '__main__':
    unittest.main()
