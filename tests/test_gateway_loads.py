"""How long the requests and items of a silent peer count."""

import random
import unittest
from collections.abc import Iterator, Mapping
from unittest import mock

from bendlead_gateway._fleet import loads
from parameterized import parameterized


class LoadTableTest(unittest.TestCase):
    """Expiry of the reports of a single peer."""

    @parameterized.expand(
        [
            ('fresh', 0.5, (2, 3)),
            ('silent', 2.0, (0, 3)),
            ('silent_for_long', 5.0, (0, 0)),
        ]
    )
    def test_silent_peer(self, _name, age, counted):
        """Items may run on although their owner's machine has lost power."""
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
        """Items can't be preempted while their owner misses reports."""
        with mock.patch.object(loads.clock, 'uptime') as clock:
            table = loads.LoadTable()
            for reported_at in (100.0, 100.0 + pause):
                clock.return_value = reported_at
                table.report('owner-1', {}, {'i-1': 3})
            clock.return_value += age
            self.assertEqual(counted, table.non_preemptible('i-1'))

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

    def test_ended_peer(self):
        table = loads.LoadTable()
        table.report('owner-1', {'i-1': 2}, {'i-1': 3})
        table.forget('owner-1')
        self.assertEqual((0, 0), (table.online('i-1'), table.batch('i-1')))

    @parameterized.expand(
        [
            ('told_anew', 0.5, 0),
            ('told_anew_later_report', 0.2, 0),
            ('told_anew_on_its_way', 0.05, 0),
            ('report_of_its_successor', 0, 3),
            ('successor_is_relayed', 0.1, 3, 0.5),
        ]
    )
    def test_ended_peer_is_told_anew(self, _name, age, counted, later=0.1):
        """Others that have not noticed the end relay its last report."""
        with mock.patch.object(loads.clock, 'uptime') as clock:
            clock.return_value = 100.0
            table = loads.LoadTable()
            table.report('owner-1', {}, {'i-1': 3}, version=7)
            clock.return_value += 0.3
            table.forget('owner-1')
            clock.return_value += later
            # The last report may not have come here.
            table.report('owner-1', {}, {'i-1': 3}, age, version=8)
            self.assertEqual(counted, table.batch('i-1'))


class CountedMapping(Mapping):
    """Counts of a peer that record each read."""

    def __init__(self, counts: dict[str, int]) -> None:
        self.counts = counts
        self.reads = 0

    def __getitem__(self, key: str) -> int:
        self.reads += 1
        return self.counts[key]

    def __iter__(self) -> Iterator[str]:
        self.reads += 1
        return iter(self.counts)

    def __len__(self) -> int:
        return len(self.counts)


class SumsTest(unittest.TestCase):
    """Sums that are updated as reports arrive, change and expire."""

    def test_sum_reads_no_report(self):
        """Choosing an engine must not slow down with the number of peers."""
        table = loads.LoadTable()
        peer_counts = [CountedMapping({'i-1': 1}) for _peer in range(100)]
        for number, counts in enumerate(peer_counts):
            table.report(f'entry-{number}', counts, counts)
        for counts in peer_counts:
            counts.reads = 0
        self.assertEqual((100, 100), (table.online('i-1'), table.batch('i-1')))
        self.assertEqual(0, sum(counts.reads for counts in peer_counts))

    @parameterized.expand([(seed,) for seed in range(5)])
    def test_sums_equal_those_of_unexpired_reports(self, seed):
        rng = random.Random(seed)
        latest: dict[str, tuple[float, dict[str, int]]] = {}
        with mock.patch.object(loads.clock, 'uptime') as clock:
            clock.return_value = 100.0
            table = loads.LoadTable()
            for _step in range(300):
                clock.return_value += rng.random() * 0.2
                node = f'entry-{rng.randrange(9)}'
                if rng.random() < 0.1:
                    table.forget(node)
                    latest.pop(node, None)
                else:
                    engines = [f'i-{rng.randrange(4)}' for _ in range(5)]
                    counts = {'i-0': 0} | {
                        one: engines.count(one) for one in engines
                    }
                    table.report(node, counts, {})
                    latest[node] = (clock.return_value, counts)
                oldest = clock.return_value - 1.5
                for engine in ('i-0', 'i-1', 'i-2', 'i-3'):
                    expected = sum(
                        counts.get(engine, 0)
                        for heard, counts in latest.values()
                        if heard > oldest
                    )
                    self.assertEqual(expected, table.online(engine))
