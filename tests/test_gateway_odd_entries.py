"""Entries of engines and peers that were written by somebody else."""

import time

import gevent
from parameterized import parameterized

from tests.gateway_cases import EntryCase
from tests.gateway_standins import engine, eventually, route

_PLAIN = (
    b'HTTP/1.1 200 OK\r\nX-Response-Seal: s1\r\nContent-Length: 2\r\n\r\nok'
)
_ADDRESS = '127.0.0.1:1'


def without(name):
    """Make an entry that lacks a field."""
    made = engine(_ADDRESS)
    made.pop(name)
    return made


_ODD = [
    ('no_service', without('service')),
    ('no_address', without('address')),
    ('no_state', without('state')),
    ('no_slots', without('slots')),
    ('no_zone', without('zone')),
    ('unknown_state', engine(_ADDRESS, state='resting')),
    ('empty_state', engine(_ADDRESS, state='')),
    ('state_of_another_type', engine(_ADDRESS, state=1)),
    ('slots_of_another_type', engine(_ADDRESS, slots='8')),
    ('slots_true', engine(_ADDRESS, slots=True)),
    ('born_of_another_type', engine(_ADDRESS, born='yesterday')),
    ('born_not_whole', engine(_ADDRESS, born=1.5)),
    ('address_of_another_type', engine([_ADDRESS])),
    ('address_without_port', engine('127.0.0.1')),
    ('address_by_name', engine('somewhere:80')),
    ('empty_address', engine('')),
    ('nothing', None),
    ('a_number', 7),
    ('a_list', [engine(_ADDRESS)]),
    ('a_text', 'ready'),
    ('an_empty_text', ''),
    ('odd_base64', 'AAA'),
    ('lone_surrogate', '\ud800'),
    ('empty', {}),
]


class OddEngineTest(EntryCase):
    """An odd entry names no engine; the others hold."""

    @parameterized.expand(_ODD)
    def test_listed_at_the_start(self, _name, odd):
        self.store.set('servers', 'a-odd', odd)
        self.start(route('safe'), answers=[_PLAIN, _PLAIN])
        names = {one.engine for one in self.entry.fleet.engines.all()}
        self.assertEqual({'i-0', 'i-1'}, names)
        self.assertEqual(200, self.read(self.send_request())[0].status)

    @parameterized.expand(_ODD)
    def test_written_over_an_engine(self, _name, odd):
        self.start(route('safe'), answers=[_PLAIN, _PLAIN])
        self.wait_for_watch()
        self.store.set('servers', 'i-0', odd)
        engines = self.entry.fleet.engines
        eventually(lambda: [one.engine for one in engines.all()] == ['i-1'])
        self.store.set('servers', 'i-0', engine(self.engines[0].address))
        eventually(lambda: len(engines.all()) == 2)

    def test_service_that_nobody_knows(self):
        self.store.set('servers', 'a-odd', engine(_ADDRESS, service='s9'))
        self.start(route('safe'), answers=[_PLAIN], others=1)
        self.assertEqual(200, self.read(self.send_request())[0].status)


class OddPeerTest(EntryCase):
    """An odd record names no process of ours; the others hold."""

    @parameterized.expand(
        [
            ('unknown_role', {'role': 'x', 'zone': 'z', 'address': _ADDRESS}),
            ('no_role', {'zone': 'z', 'address': _ADDRESS}),
            ('odd_address', {'role': 'entry', 'zone': 'z', 'address': 'x'}),
            ('a_text', 'x'),
            ('nothing', None),
        ],
    )
    def test_listed_at_the_start(self, _name, odd):
        self.store.set('bendlead-nodes', 'a-odd', odd)
        good = {'role': 'entry', 'zone': 'hall-1', 'address': _ADDRESS}
        self.store.set('bendlead-nodes', 'b-good', good)
        self.start(route('safe'), answers=[_PLAIN])
        eventually(lambda: set(self.entry.peers.summary()) == {'b-good'})


class LifeTest(EntryCase):
    """An engine may start again under its id."""

    def begin(self, **changed):
        """Start an entry with one engine of a certain birth."""
        self.start(route('safe'), answers=[_PLAIN])
        self.wait_for_watch()
        self.tell(**changed)

    def tell(self, **changed):
        """Have the engine say something of itself."""
        told = engine(self.engines[0].address, **changed)
        self.store.set('servers', 'i-0', told)
        eventually(lambda: self._known(changed))

    def test_a_new_life_is_a_new_engine(self):
        """What failed, and the connections, were those of the old life."""
        self.begin(born=1000)
        fleet = self.entry.fleet
        self.assertEqual(200, self.read(self.send_request())[0].status)
        gevent.sleep(0.05)
        for _failure in range(3):
            fleet.health.failed('i-0', unreachable=True)
        self.assertTrue(fleet.health.paused('i-0'))
        self.assertTrue(fleet.pool._kept['i-0'])
        self.tell(born=2000)
        self.assertFalse(fleet.health.paused('i-0'))
        self.assertFalse(fleet.pool._kept.get('i-0'))

    def test_a_change_within_a_life_forgets_nothing(self):
        self.begin(born=1000)
        health = self.entry.fleet.health
        for _failure in range(3):
            health.failed('i-0', unreachable=True)
        self.tell(born=1000, slots=4)
        self.assertTrue(health.paused('i-0'))

    @parameterized.expand(
        [('just_started', 0, True), ('started_long_ago', -60_000, False)]
    )
    def test_warm_up_counts_from_the_start(self, _name, ago, warming):
        """It does not begin anew with each change of the entry."""
        born = round(time.time() * 1000) + ago
        self.begin(born=born, warmup_left_ms=30_000)
        self.tell(born=born, warmup_left_ms=30_000, slots=4)
        engines = self.entry.fleet.engines
        (listed,) = engines.all()
        self.assertEqual(warming, engines.warming(listed))

    def test_warm_up_of_an_engine_that_tells_no_birth(self):
        """It counts from when the engine was first seen."""
        self.begin(warmup_left_ms=200)
        gevent.sleep(0.25)
        self.tell(warmup_left_ms=200, slots=4)
        engines = self.entry.fleet.engines
        (listed,) = engines.all()
        self.assertFalse(engines.warming(listed))

    def _known(self, changed):
        (listed,) = self.entry.fleet.engines.all()
        return (listed.born, listed.slots) == (
            changed.get('born', 0),
            changed.get('slots', 8),
        )
