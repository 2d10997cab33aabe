"""HTTP client connections to engines and peers."""

import unittest

import gevent
from bendlead_gateway.http import (
    CloseDelimitedError,
    HttpConnection,
    ResponseError,
)
from parameterized import parameterized

from tests.gateway_standins import ScriptedPeer, chunked

_EXPECTED_HEADER = 'X-Answer: own\r\n'
_EARLIER_HEADER = 'X-Answer: earlier\r\n'
_RESPONSE = 'HTTP/1.1 200 OK\r\n%sContent-Length: 4\r\n\r\nbody'


class LateResponseTest(unittest.TestCase):
    """A late response to an earlier request precedes the expected one."""

    @parameterized.expand(
        [
            (
                'separate',
                [
                    chunked(b'old', headers=_EARLIER_HEADER),
                    chunked(b'new', headers=_EXPECTED_HEADER),
                ],
            ),
            (
                'together',
                [
                    chunked(b'old', headers=_EARLIER_HEADER)
                    + chunked(b'new', headers=_EXPECTED_HEADER)
                ],
            ),
            (
                'expected_starts_in_same_read',
                [
                    chunked(b'old', headers=_EARLIER_HEADER)
                    + chunked(b'ne', headers=_EXPECTED_HEADER, last=False),
                    b'1\r\nw\r\n0\r\n\r\n',
                ],
            ),
        ],
    )
    def test_expected_response_is_complete(self, _name, pieces):
        def script(sock):
            peer.read_request(sock)
            for piece in pieces:
                sock.sendall(piece)
                gevent.sleep(0.02)

        peer = ScriptedPeer([script])
        self.addCleanup(peer.close)
        connection = HttpConnection(peer.address, 1)
        connection.send('POST', '/', [], b'x', 1)
        head = connection.read_head(1)
        self.assertEqual('earlier', head.find('x-answer'))
        connection.skip_response(head, 1)
        head = connection.read_head(1)
        self.assertEqual('own', head.find('x-answer'))
        self.assertEqual(b'new', b''.join(connection.read_parts(head, 1)))


class EndOfResponseTest(unittest.TestCase):
    """A truncated response must not be taken as complete."""

    @parameterized.expand(
        [
            ('chunked_truncated', chunked(b'half', last=False), None),
            (
                'length_truncated',
                b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf',
                None,
            ),
            ('invalid_http', b'garbage\r\n\r\n', None),
            ('chunked', chunked(b'whole'), b'whole'),
            ('trailing_bytes', chunked(b'whole') + b'junk', b'whole'),
        ],
    )
    def test_end(self, _name, sent, expected):
        def script(sock):
            peer.read_request(sock)
            sock.sendall(sent)

        peer = ScriptedPeer([script])
        self.addCleanup(peer.close)
        connection = HttpConnection(peer.address, 1)
        connection.send('GET', '/', [], b'', 1)
        if expected is None:
            with self.assertRaises(ResponseError):
                head = connection.read_head(1)
                b''.join(connection.read_parts(head, 1))
            self.assertFalse(connection.reusable)
            return
        head = connection.read_head(1)
        self.assertEqual(expected, b''.join(connection.read_parts(head, 1)))

    @parameterized.expand(
        [
            ('no_header', ''),
            ('close', 'Connection: close\r\n'),
            ('not_chunked', 'Transfer-Encoding: gzip\r\n'),
        ],
    )
    def test_body_that_ends_with_its_connection(self, _name, header):
        """All of it is returned, but nothing says that it is complete."""

        def script(sock):
            peer.read_request(sock)
            sock.sendall(f'HTTP/1.1 200 OK\r\n{header}\r\nwhole'.encode())

        peer = ScriptedPeer([script])
        self.addCleanup(peer.close)
        connection = HttpConnection(peer.address, 1)
        connection.send('GET', '/', [], b'', 1)
        head = connection.read_head(1)
        received = []
        with self.assertRaises(CloseDelimitedError):
            for part in connection.read_parts(head, 1):
                received.append(part)
        self.assertEqual(b'whole', b''.join(received))
        self.assertFalse(connection.reusable)

    def test_trailing_bytes_prevent_reuse(self):
        def script(sock):
            peer.read_request(sock)
            sock.sendall((_RESPONSE % _EXPECTED_HEADER).encode() * 2)
            gevent.sleep(0.2)

        peer = ScriptedPeer([script])
        self.addCleanup(peer.close)
        connection = HttpConnection(peer.address, 1)
        response = connection.request('GET', '/', timeout=1)
        self.assertEqual(b'body', response.body)
        self.assertFalse(connection.reusable)
