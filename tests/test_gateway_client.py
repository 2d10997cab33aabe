"""The connection that the gateway uses towards engines and peers."""

import unittest

import gevent
from bendlead_gateway.http import BrokenAnswerError, HttpConnection
from parameterized import parameterized

from tests.gateway_standins import ScriptedPeer, chunked

_OWN = 'X-Answer: own\r\n'
_EARLIER = 'X-Answer: earlier\r\n'
_PLAIN = 'HTTP/1.1 200 OK\r\n%sContent-Length: 4\r\n\r\nbody'


class SurplusAnswerTest(unittest.TestCase):
    """An answer to an earlier request arrives in the slot of the next."""

    @parameterized.expand(
        [
            (
                'apart',
                [
                    chunked(b'old', headers=_EARLIER),
                    chunked(b'new', headers=_OWN),
                ],
            ),
            (
                'together',
                [
                    chunked(b'old', headers=_EARLIER)
                    + chunked(b'new', headers=_OWN)
                ],
            ),
            (
                'own_begins_in_the_same_bytes',
                [
                    chunked(b'old', headers=_EARLIER)
                    + chunked(b'ne', headers=_OWN, last=False),
                    b'1\r\nw\r\n0\r\n\r\n',
                ],
            ),
        ],
    )
    def test_own_answer_is_read_whole(self, _name, pieces):
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
        connection.skip_answer(head, 1)
        head = connection.read_head(1)
        self.assertEqual('own', head.find('x-answer'))
        self.assertEqual(b'new', b''.join(connection.read_parts(head, 1)))


class EndOfAnswerTest(unittest.TestCase):
    """An answer that ends early must not look complete."""

    @parameterized.expand(
        [
            ('chunked_cut', chunked(b'half', last=False), None),
            (
                'length_cut',
                b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf',
                None,
            ),
            ('no_http', b'garbage\r\n\r\n', None),
            ('unframed', b'HTTP/1.1 200 OK\r\n\r\nwhole', b'whole'),
            ('framed', chunked(b'whole'), b'whole'),
            ('bytes_behind', chunked(b'whole') + b'junk', b'whole'),
        ],
    )
    def test_ends(self, _name, sent, expected):
        def script(sock):
            peer.read_request(sock)
            sock.sendall(sent)

        peer = ScriptedPeer([script])
        self.addCleanup(peer.close)
        connection = HttpConnection(peer.address, 1)
        connection.send('GET', '/', [], b'', 1)
        if expected is None:
            with self.assertRaises(BrokenAnswerError):
                head = connection.read_head(1)
                b''.join(connection.read_parts(head, 1))
            self.assertFalse(connection.reusable)
            return
        head = connection.read_head(1)
        self.assertEqual(expected, b''.join(connection.read_parts(head, 1)))

    def test_bytes_behind_make_it_unusable(self):
        def script(sock):
            peer.read_request(sock)
            sock.sendall((_PLAIN % _OWN).encode() * 2)
            gevent.sleep(0.2)

        peer = ScriptedPeer([script])
        self.addCleanup(peer.close)
        connection = HttpConnection(peer.address, 1)
        response = connection.request('GET', '/', timeout=1)
        self.assertEqual(b'body', response.body)
        self.assertFalse(connection.reusable)
