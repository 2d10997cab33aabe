"""Job calls to an owner that stands still, or whose connections do."""

import time
import unittest
from types import SimpleNamespace
from unittest import mock

import gevent
from bendlead_gateway._fleet.claims import Claim
from bendlead_gateway._http.messages import Request
from bendlead_gateway._jobs import relay as job_relay
from bendlead_gateway._jobs.relay import JobRelay
from bendlead_gateway._log import Log
from bendlead_gateway.types import NodeName
from bendlead_platform import PlatformDialect
from parameterized import parameterized

from tests.gateway_standins import ScriptedPeer, StallingProxy

_STILL_SECONDS = 1.2
_ANSWER = b'HTTP/1.1 %s OK\r\nContent-Length: 2\r\n\r\n{}'
#: Calls at once, so that as many connections are kept.
_KEPT = 3


def _relay_to(address):
    """Return a relay that takes the address for that of the owner."""
    claim = Claim(NodeName('owner-1'), address, 1)
    claims = SimpleNamespace(owner=lambda _shard: claim)
    return JobRelay(
        SimpleNamespace(claims=claims), PlatformDialect(), Log('entry-1')
    )


def _request(method):
    headers = [('Host', 'a.example'), ('X-Attempt-Id', 'j1')]
    return Request(method, '/x/j1', headers, b'{}', True, time.monotonic())


class StillOwnerTest(unittest.TestCase):
    """A call waits for the owner, and is made once."""

    @parameterized.expand(
        [
            ('submitted_on_a_kept_one', 'POST', 202, 1, _STILL_SECONDS),
            ('read_on_a_kept_one', 'GET', 200, 1, _STILL_SECONDS),
            ('owner_stays_silent', 'POST', 504, 1, 9),
        ]
    )
    def test_call(self, _name, method, status, earlier, still):
        def serve(sock):
            while owner.read_request(sock):
                if len(owner.requests) > earlier:
                    gevent.sleep(still)
                sock.sendall(_ANSWER % (b'202' if method == 'POST' else b'200'))

        owner = ScriptedPeer([serve] * 4)
        self.addCleanup(owner.close)
        relay = _relay_to(owner.address)
        request = _request(method)
        for _call in range(earlier):
            relay.answer(request, mock.Mock(), None)
        responder = mock.Mock()
        relay.answer(request, responder, None)
        responder.answer.assert_called_once()
        self.assertEqual(status, responder.answer.call_args.args[0])
        self.assertEqual(earlier + 1, len(owner.requests))


class SilentConnectionTest(unittest.TestCase):
    """All kept connections fall silent for good, while new ones work."""

    @parameterized.expand([('submitted', 'POST', 504), ('read', 'GET', 503)])
    def test_one_call_waits_for_all_of_them(self, _name, method, unclear):
        """Each call would wait for its own silent connection otherwise."""

        def serve(sock):
            while owner.read_request(sock):
                gevent.sleep(0.05)
                sock.sendall(_ANSWER % b'200')

        owner = ScriptedPeer([serve] * (_KEPT + 1))
        self.addCleanup(owner.close)
        link = StallingProxy(owner.address)
        self.addCleanup(link.close)
        relay = _relay_to(link.address)

        def call():
            responder = mock.Mock()
            relay.answer(_request(method), responder, None)
            return responder.answer.call_args.args[0]

        begun = [gevent.spawn(call) for _call in range(_KEPT)]
        self.assertEqual([200] * _KEPT, [one.get() for one in begun])
        link.stall()
        with mock.patch.object(job_relay, '_RESPONSE_TIMEOUT_SECONDS', 0.3):
            statuses = [call() for _call in range(_KEPT)]
        self.assertEqual([unclear] + [200] * (_KEPT - 1), statuses)
        self.assertEqual(_KEPT + 1, link.opened)
