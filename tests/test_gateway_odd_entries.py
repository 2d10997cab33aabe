"""Invalid entries of engines and peers in the object service."""

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
    """Build an engine entry without one field."""
    entry = engine(_ADDRESS)
    entry.pop(name)
    return entry


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
    """An invalid entry lists no engine and leaves the others listed."""

    @parameterized.expand(_ODD)
    def test_listed_at_the_start(self, _name, odd):
        self.store.set('servers', 'a-odd', odd)
        self.start(route('safe'), answers=[_PLAIN, _PLAIN])
        names = {engine.engine for engine in self.entry.fleet.engines.all()}
        self.assertEqual({'i-0', 'i-1'}, names)
        self.assertEqual(200, self.read(self.send_request())[0].status)

    @parameterized.expand(_ODD)
    def test_written_over_an_engine(self, _name, odd):
        self.start(route('safe'), answers=[_PLAIN, _PLAIN])
        self.wait_for_watch()
        self.store.set('servers', 'i-0', odd)
        engines = self.entry.fleet.engines
        eventually(
            lambda: [listed.engine for listed in engines.all()] == ['i-1']
        )
        self.store.set('servers', 'i-0', engine(self.engines[0].address))
        eventually(lambda: len(engines.all()) == 2)

    def test_unknown_service(self):
        self.store.set('servers', 'a-odd', engine(_ADDRESS, service='s9'))
        self.start(route('safe'), answers=[_PLAIN], others=1)
        self.assertEqual(200, self.read(self.send_request())[0].status)


class OddPeerTest(EntryCase):
    """An invalid record lists no process and leaves the others listed."""

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


class IncarnationTest(EntryCase):
    """An engine may restart under the same id."""

    def begin(self, **changed):
        """Start an entry process with one engine, and update that engine."""
        self.start(route('safe'), answers=[_PLAIN])
        self.wait_for_watch()
        self.update(**changed)

    def update(self, **changed):
        """Update the entry of the engine."""
        entry = engine(self.engines[0].address, **changed)
        self.store.set('servers', 'i-0', entry)
        eventually(lambda: self._is_listed(changed))

    def test_restart_resets_health_and_connections(self):
        """Failures and connections belong to the previous incarnation."""
        self.begin(born=1000)
        fleet = self.entry.fleet
        self.assertEqual(200, self.read(self.send_request())[0].status)
        gevent.sleep(0.05)
        for _failure in range(3):
            fleet.health.record_failure('i-0', unreachable=True)
        self.assertTrue(fleet.health.paused('i-0'))
        self.assertTrue(fleet.pool._idle['i-0'])
        self.update(born=2000)
        self.assertFalse(fleet.health.paused('i-0'))
        self.assertFalse(fleet.pool._idle.get('i-0'))

    def test_change_without_restart_keeps_health(self):
        self.begin(born=1000)
        health = self.entry.fleet.health
        for _failure in range(3):
            health.record_failure('i-0', unreachable=True)
        self.update(born=1000, slots=4)
        self.assertTrue(health.paused('i-0'))

    @parameterized.expand(
        [('just_started', 0, True), ('started_long_ago', -60_000, False)]
    )
    def test_warm_up_counts_from_the_start(self, _name, ago, warming):
        """A change of the entry does not restart the warm-up time."""
        born = round(time.time() * 1000) + ago
        self.begin(born=born, warmup_left_ms=30_000)
        self.update(born=born, warmup_left_ms=30_000, slots=4)
        engines = self.entry.fleet.engines
        (listed,) = engines.all()
        self.assertEqual(warming, engines.warming(listed))

    def test_warm_up_without_start_time(self):
        """The warm-up time counts from when the engine was first listed."""
        self.begin(warmup_left_ms=200)
        gevent.sleep(0.25)
        self.update(warmup_left_ms=200, slots=4)
        engines = self.entry.fleet.engines
        (listed,) = engines.all()
        self.assertFalse(engines.warming(listed))

    def _is_listed(self, changed):
        (listed,) = self.entry.fleet.engines.all()
        return (listed.born, listed.slots) == (
            changed.get('born', 0),
            changed.get('slots', 8),
        )
