"""Engines that may go on with a stream that has begun without an event."""

import unittest
from unittest import mock

from bendlead_gateway._online.exchange import Choice, Exchange
from bendlead_gateway._online.resume_choice import ResumeChoice
from bendlead_gateway.types import EngineId, RequestFacts, RequestId
from bendlead_store import clock
from parameterized import parameterized

from tests.gateway_cases import EntryCase
from tests.gateway_standins import engine, eventually, route

_NAME = EngineId('i-0')


class DrainingEngineTest(EntryCase):
    """The only engine begins to drain while the stream is reconnected."""

    @parameterized.expand(
        [('begun', True, 'v1', _NAME), ('not_begun', False, 'v1', None)]
    )
    def test_engine(self, _name, begun, version, expected):
        """Guards against a stream that ends with seconds left."""
        self.start(route('streaming', resumable=True), answers=[None])
        fleet = self.entry.fleet
        known = fleet.engines.find(_NAME)
        exchange = Exchange(
            mock.Mock(received_at=clock.uptime()),
            mock.Mock(started=begun),
            RequestFacts(RequestId('id1'), 'a.example'),
            fleet.configuration.match('a.example', '/x/1'),
            clock.uptime() + 2,
        )
        exchange.choice = Choice(_NAME, version=version)
        exchange.tried.add(_NAME)
        exchange.pause_engine(_NAME, 0)
        exchange.bound_to = _NAME
        address = self.engines[0].address
        self.store.set('servers', _NAME, engine(address, state='draining'))
        eventually(lambda: not fleet.engines.is_ready(known))
        choice = ResumeChoice(fleet.balancer)
        found = choice.find(exchange, known.service)
        self.assertEqual(expected, found and found.name)
        self.assertEqual(
            expected is not None, choice.may_wait(exchange, known.service)
        )


if __name__ == '__main__':
    unittest.main()
