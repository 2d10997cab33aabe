"""For how long the requests and items of a silent peer count."""

import random
import unittest
from collections.abc import Iterator, Mapping
from unittest import mock

from bendlead_gateway._fleet import loads
from parameterized import parameterized


class LoadTableTest(unittest.TestCase):
    """One peer told of two requests and three items some seconds ago."""

    @parameterized.expand(
        [
            ('fresh', 0.5, (2, 3)),
            ('silent', 2.0, (0, 3)),
            ('silent_for_long', 5.0, (0, 0)),
        ]
    )
    def test_silent_peer(self, _name, age, counted):
        """Items go on where their owner's machine has lost power."""
        with mock.patch.object(loads.clock, 'uptime') as clock:
            clock.return_value = 100.0
            table = loads.LoadTable()
            table.report('owner-1', {'i-1': 2}, {'i-1': 3})
            clock.return_value = 100.0 + age
            self.assertEqual(counted, (table.online('i-1'), table.batch('i-1')))

    @parameterized.expand(
        [
            ('fresh', 0.04, 0.1, 0),
            ('missed_some', 0.04, 0.5, 3),
            ('of_a_large_fleet', 1.0, 0.5, 0),
            ('of_a_large_fleet_missed_some', 0.5, 2.5, 3),
            ('silent_for_long', 0.04, 5.0, 0),
        ]
    )
    def test_unstoppable_items(self, _name, pause, age, counted):
        """Items of an owner that hears nothing step aside for nobody."""
        with mock.patch.object(loads.clock, 'uptime') as clock:
            table = loads.LoadTable()
            for told_at in (100.0, 100.0 + pause):
                clock.return_value = told_at
                table.report('owner-1', {}, {'i-1': 3})
            clock.return_value += age
            self.assertEqual(counted, table.unstoppable('i-1'))

    @parameterized.expand(
        [
            ('fresh', 0.5, {'i-1': 3}, ['owner-1']),
            ('silent', 2.0, {'i-1': 3}, ['owner-1']),
            ('silent_for_long', 5.0, {'i-1': 3}, []),
            ('no_items', 0.5, {}, []),
        ]
    )
    def test_owners_of_items(self, _name, age, items, expected):
        with mock.patch.object(loads.clock, 'uptime') as clock:
            clock.return_value = 100.0
            table = loads.LoadTable()
            table.report('owner-1', {'i-1': 2}, items)
            clock.return_value = 100.0 + age
            self.assertEqual(expected, list(table.item_owners()))

    def test_peer_that_has_ended(self):
        table = loads.LoadTable()
        table.report('owner-1', {'i-1': 2}, {'i-1': 3})
        table.forget('owner-1')
        self.assertEqual((0, 0), (table.online('i-1'), table.batch('i-1')))


class CountedMapping(Mapping):
    """Hold a peer's counts and note each look at them."""

    def __init__(self, counts: dict[str, int]) -> None:
        self.counts = counts
        self.looks = 0

    def __getitem__(self, key: str) -> int:
        self.looks += 1
        return self.counts[key]

    def __iter__(self) -> Iterator[str]:
        self.looks += 1
        return iter(self.counts)

    def __len__(self) -> int:
        return len(self.counts)


class SumsTest(unittest.TestCase):
    """Sums that are kept up as reports come, change, age and go."""

    def test_look_reads_no_report(self):
        """Choosing an engine costs the same before 6 peers and before 600."""
        table = loads.LoadTable()
        told = [CountedMapping({'i-1': 1}) for _peer in range(100)]
        for number, counts in enumerate(told):
            table.report(f'entry-{number}', counts, counts)
        for counts in told:
            counts.looks = 0
        self.assertEqual((100, 100), (table.online('i-1'), table.batch('i-1')))
        self.assertEqual(0, sum(counts.looks for counts in told))

    @parameterized.expand([(seed,) for seed in range(5)])
    def test_sums_are_those_of_the_fresh_reports(self, seed):
        chance = random.Random(seed)
        kept: dict[str, tuple[float, dict[str, int]]] = {}
        with mock.patch.object(loads.clock, 'uptime') as clock:
            clock.return_value = 100.0
            table = loads.LoadTable()
            for _step in range(300):
                clock.return_value += chance.random() * 0.2
                node = f'entry-{chance.randrange(9)}'
                if chance.random() < 0.1:
                    table.forget(node)
                    kept.pop(node, None)
                else:
                    engines = [f'i-{chance.randrange(4)}' for _ in range(5)]
                    counts = {'i-0': 0} | {
                        one: engines.count(one) for one in engines
                    }
                    table.report(node, counts, {})
                    kept[node] = (clock.return_value, counts)
                oldest = clock.return_value - 1.5
                for engine in ('i-0', 'i-1', 'i-2', 'i-3'):
                    expected = sum(
                        counts.get(engine, 0)
                        for heard, counts in kept.values()
                        if heard > oldest
                    )
                    self.assertEqual(expected, table.online(engine))
