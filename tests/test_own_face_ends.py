"""Ends of answers as the project's own face reads them."""

import contextlib
import struct
import unittest

import gevent
from bendlead_node._common.upstream import Clients, events, read_body
from bendlead_store import HttpStore
from gevent import socket
from geventhttpclient.response import HTTPParseError
from parameterized import parameterized

from tests.gateway_standins import ScriptedPeer, chunked, event

_FIRST = event(1, 'a')
_OK = b'HTTP/1.1 200 OK\r\n'
_LENGTH = _OK + b'Content-Length: %d\r\n\r\n'
_RESET = struct.pack('ii', 1, 0)
#: Bytes that have not been read yet are lost with a reset.
_PAUSE_SECONDS = 0.05


class AnswerCase(unittest.TestCase):
    def answer(self, sent, reset):
        """Start a peer that sends these bytes and ends its connection."""

        def script(sock):
            peer.read_request(sock)
            sock.sendall(sent)
            gevent.sleep(_PAUSE_SECONDS)
            if reset:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)

        peer = ScriptedPeer([script])
        self.addCleanup(peer.close)
        return peer.address


class BodyTest(AnswerCase):
    @parameterized.expand(
        [
            ('length', _LENGTH % 2 + b'ok', False, True),
            ('chunks', chunked(b'ok'), False, True),
            ('length_short', _LENGTH % 3 + b'ok', False, False),
            ('chunks_short', chunked(b'ok', last=False), False, False),
            ('neither', _OK + b'\r\nok', False, False),
            ('neither_empty', _OK + b'\r\n', False, False),
            ('length_reset', _LENGTH % 3 + b'ok', True, False),
            ('chunks_reset', chunked(b'ok', last=False), True, False),
            ('neither_reset', _OK + b'\r\nok', True, False),
        ],
    )
    def test_only_a_marked_end_is_one(self, _name, sent, reset, whole):
        address = self.answer(sent, reset)
        sent = Clients(1).send('GET', address, '/', b'', {}).unwrap()
        self.assertEqual(whole, read_body(sent).is_ok())

    def test_object_service(self):
        address = self.answer(_OK + b'X-Version: 3\r\n\r\nhalf', False)
        self.assertTrue(HttpStore(address, 1).fetch('key').is_err())


class StreamTest(AnswerCase):
    """A stream of the own face is whole with its last event, ``[DONE]``."""

    @parameterized.expand(
        [
            ('length', _LENGTH % 99 + _FIRST + b'id: 2\nda', False),
            ('chunks', chunked(_FIRST + b'id: 2\nda', last=False), False),
            ('whole_chunks', chunked(_FIRST + b'id: 2\nda'), False),
            ('neither', _OK + b'\r\n' + _FIRST + b'id: 2\nda', False),
            ('length_reset', _LENGTH % 99 + _FIRST + b'id: 2\nda', True),
            ('neither_reset', _OK + b'\r\n' + _FIRST + b'id: 2\nda', True),
        ],
    )
    def test_part_of_an_event_is_none(self, _name, sent, reset):
        address = self.answer(sent, reset)
        sent = Clients(1).send('POST', address, '/', b'x', {}).unwrap()
        got = []
        # The library raises errors of several types, or the events just end.
        with contextlib.suppress(HTTPParseError, OSError):
            got.extend(events(sent))
        self.assertEqual([_FIRST], got)
