"""Selection of engines for online requests, with batch items running."""

import unittest

from bendlead_gateway._fleet.balancer import Balancer
from bendlead_gateway._fleet.health import EngineHealth
from bendlead_gateway._fleet.loads import LoadTable
from bendlead_gateway._fleet.pace import PaceTable
from bendlead_gateway.types import (
    DataHall,
    Engine,
    EngineId,
    EngineState,
    NodeName,
    ServiceName,
)
from parameterized import parameterized

_SERVICE = ServiceName('chat')
_HALL = DataHall('near')
_SLOTS = 8


def _engine(name: str, hall: str = 'near') -> Engine:
    return Engine(
        EngineId(name),
        _SERVICE,
        '127.0.0.1:1',
        DataHall(hall),
        _SLOTS,
        EngineState.READY,
    )


def _balancer(
    engines: '_Engines', loads: LoadTable, health: EngineHealth
) -> Balancer:
    return Balancer(engines, loads, health, PaceTable(), _HALL)


class _Engines:
    """Fake list of engines."""

    def __init__(self, *engines: Engine) -> None:
        self._engines = engines

    def ready(self, _service):
        return self._engines

    def warming(self, _engine) -> bool:
        return False


class ChooseTest(unittest.TestCase):
    """Online requests go to an engine with a free slot."""

    @parameterized.expand(
        [
            ('fewest_online', {'a': (3, 0), 'b': (1, 0)}, 'b'),
            (
                'a_free_place_before_a_full_engine',
                {'a': (1, 7), 'b': (5, 0)},
                'b',
            ),
            (
                'items_count_as_much_while_places_are_free',
                {'a': (2, 4), 'b': (5, 0)},
                'b',
            ),
            ('all_full_fewest_online', {'a': (4, 4), 'b': (8, 0)}, 'a'),
        ],
    )
    def test_choice(self, _name, running, expected):
        loads = LoadTable()
        loads.report(
            NodeName('peer'),
            {
                EngineId(name): online
                for name, (online, _batch) in running.items()
            },
            {
                EngineId(name): batch
                for name, (_online, batch) in running.items()
            },
        )
        engines = _Engines(*(_engine(name) for name in running))
        balancer = _balancer(engines, loads, EngineHealth())
        chosen = balancer.choose(_SERVICE, ())
        self.assertEqual(expected, chosen.view.name)

    def test_paused_engine_is_skipped(self):
        health = EngineHealth()
        health.record_failure(EngineId('a'), unreachable=True)
        engines = _Engines(_engine('a'), _engine('b'))
        balancer = _balancer(engines, LoadTable(), health)
        self.assertEqual('b', balancer.choose(_SERVICE, ()).view.name)

    def test_paused_engine_is_used_if_there_is_no_other(self):
        health = EngineHealth()
        health.record_failure(EngineId('a'), unreachable=True)
        balancer = _balancer(_Engines(_engine('a')), LoadTable(), health)
        self.assertEqual('a', balancer.choose(_SERVICE, ()).view.name)


class NonPreemptibleItemsTest(unittest.TestCase):
    """Items of a failed owner use their slots until they end."""

    def setUp(self):
        self.loads = LoadTable()
        pace = PaceTable()
        pace.run_seconds = 0.8
        self.engines = _Engines(_engine('a'), _engine('b'))
        self.balancer = Balancer(
            self.engines, self.loads, EngineHealth(), pace, _HALL
        )

    @parameterized.expand(
        [
            ('owner_is_heard', 0.0, 7, 4, 0),
            ('owner_is_gone', 0.6, 7, 4, 0.8),
            ('owner_is_gone_places_left', 0.6, 3, 4, 0),
            ('owner_is_gone_no_places_left', 0.6, 0, 8, 0.8),
        ]
    )
    def test_wait(self, _name, age, online, items, expected):
        self.loads.own.online[EngineId('a')] = online
        self._report(age, {'a': items})
        wait = self.balancer.view(_engine('a')).wait(0.8)
        self.assertAlmostEqual(expected, wait)

    @parameterized.expand(
        [('owner_is_heard', 0.0, 'a'), ('owner_is_gone', 0.6, 'b')]
    )
    def test_choice(self, _name, age, expected):
        """Such an item frees its slot later than a preemptible one."""
        self.loads.own.online.update({'a': 4, 'b': 6})
        self._report(age, {'a': 6, 'b': 2})
        chosen = self.balancer.choose(_SERVICE, ())
        self.assertEqual(expected, chosen.view.name)

    def _report(self, age, batch):
        items = {EngineId(name): count for name, count in batch.items()}
        self.loads.report(NodeName('owner'), {}, items, age)
