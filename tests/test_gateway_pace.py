"""What is learnt of engines' speed, told, heard and forgotten."""

import unittest

import gevent
import msgspec
from bendlead_gateway._fleet.pace import PaceTable, StreamPace
from bendlead_gateway._fleet.pace_updates import PaceUpdates
from bendlead_gateway._log import Log
from bendlead_gateway._scheduling.placement import Traffic, choose_engine
from bendlead_gateway._scheduling.speed import EngineSpeeds
from bendlead_gateway._scheduling.speed_estimates import (
    SpeedEstimate,
    relative_slowness,
)
from bendlead_gateway._scheduling.view import EngineView
from bendlead_gateway.types import (
    DataHall,
    Engine,
    EngineId,
    EngineState,
    NodeName,
    ServiceName,
)
from bendlead_schema.gateway import NodeReport, ToldPace
from bendlead_store import clock
from parameterized import parameterized

from tests.gateway_cases import EntryCase
from tests.gateway_standins import chunked, event, eventually, route

_USUAL = 0.02
_SPEEDS = {'a': 0.7, 'b': 0.7, 'c': 1.7, 'd': 0.7, 'e': 0.7, 'f': 1.7}


def _engine(name: str, born: int = 0) -> Engine:
    return Engine(
        EngineId(name),
        ServiceName('chat'),
        '',
        DataHall('here'),
        8,
        EngineState.READY,
        born=born,
    )


def _learn(
    speeds: EngineSpeeds,
    by_engine: dict[str, float],
    streams: int = 3,
    running: int = 4,
) -> None:
    for _stream in range(streams):
        for name, times in by_engine.items():
            speeds.observe_stream(_engine(name), _USUAL * times, running, 1)


class _Engines:
    def __init__(self, *engines: Engine) -> None:
        self._engines = {one.engine: one for one in engines}

    def named(self, name: EngineId) -> Engine | None:
        return self._engines.get(name)

    def all(self) -> list[Engine]:
        return list(self._engines.values())


class SlownessTest(unittest.TestCase):
    """Slow engines, engines that stall and full ones are told apart."""

    def setUp(self):
        self.speeds = EngineSpeeds()

    @parameterized.expand([('a', 0.8), ('c', 1.95), ('never_seen', 1)])
    def test_uneven(self, name, expected):
        _learn(self.speeds, _SPEEDS)
        slowness = self.speeds.slowness(_engine(name), 1)
        self.assertAlmostEqual(expected, slowness, delta=0.05)

    @parameterized.expand(
        [
            ('alike', [1, 1, 1, 1, 1, 1]),
            ('a_little_apart', [0.9, 1, 1.1, 1, 1.2, 0.95]),
            ('one_of_many_is_slow', [1, 1, 1, 3, 1, 1]),
            ('two_known', [1, 3]),
            ('nothing_known', [0, 0, 0, 0]),
        ]
    )
    def test_as_usual(self, _name, gaps):
        known = {EngineId(str(number)): gap for number, gap in enumerate(gaps)}
        self.assertEqual({}, relative_slowness(known))

    def test_stalled_stream_does_not_make_an_engine_slow(self):
        _learn(self.speeds, _SPEEDS, streams=4)
        before = self.speeds.gap(_engine('a'), 1)
        _learn(self.speeds, {'a': 0.7 * 2.5}, streams=2)
        self.assertAlmostEqual(before, self.speeds.gap(_engine('a'), 1))

    def test_full_engine_is_not_slow(self):
        """Each further request adds 3 of 100, which a full engine shows."""
        for _stream in range(40):
            for number in range(6):
                running = 8 if number < 2 else 2
                gap = _USUAL * (1 + 0.06 * (running - 4))
                name = f'engine-{number}'
                if _stream % 2:
                    running, gap = 4, _USUAL
                self.speeds.observe_stream(_engine(name), gap, running, 1)
        gaps = [
            self.speeds.gap(_engine(f'engine-{number}'), 1)
            for number in range(6)
        ]
        self.assertLess(max(gaps) / min(gaps), 1.05)

    def test_stall_passes(self):
        _learn(self.speeds, _SPEEDS)
        self.speeds.slowness(_engine('a'), 1)
        for _event in range(4):
            self.speeds.observe_event(_engine('a'), 0.7 * 2.5 * _USUAL, 4, 1)
        told = [self.speeds.stall(_engine('a'), now) for now in (1, 1.1, 2)]
        self.assertGreater(told[0], told[1])
        self.assertGreater(told[1], 1.5)
        self.assertEqual(1, told[2])

    def test_no_stall_told_where_engines_are_alike(self):
        _learn(self.speeds, dict.fromkeys(_SPEEDS, 1.0))
        for _event in range(9):
            self.speeds.observe_event(_engine('a'), 5 * _USUAL, 4, 1)
        self.assertEqual(1, self.speeds.stall(_engine('a'), 1))

    @parameterized.expand([('slower', 3.0), ('faster', 0.4)])
    def test_next_life(self, _name, times):
        _learn(self.speeds, _SPEEDS, streams=9)
        again = _engine('a', born=2)
        self.speeds.observe_stream(again, _USUAL * times, 4, 1)
        found = self.speeds.gap(again, 1) / _USUAL
        self.assertAlmostEqual(times, found, delta=0.1)

    def test_forgotten(self):
        _learn(self.speeds, _SPEEDS)
        for name in _SPEEDS:
            self.speeds.forget(_engine(name))
        self.assertEqual(0, self.speeds.gap(_engine('a'), 1))
        self.assertEqual({}, self.speeds.uneven())

    def test_one_forgotten(self):
        """An engine that starts again counts as usual at once."""
        _learn(self.speeds, _SPEEDS)
        self.speeds.slowness(_engine('c'), 1)
        self.speeds.forget(_engine('c'))
        self.assertEqual(1, self.speeds.slowness(_engine('c', born=2), 1))

    @parameterized.expand([('zero', 0), ('negative', -1), ('huge', 1e9)])
    def test_odd_gap(self, _name, gap):
        found = self.speeds.observe_stream(_engine('a'), gap, 4, 1)
        self.assertIsNone(found)


class WitnessTest(unittest.TestCase):
    """Others' findings count where own ones are few, and age."""

    def setUp(self):
        self.speeds = EngineSpeeds()
        self.engine = _engine('a')

    def _hear(self, witness: str, gap: float, streams: int = 7) -> None:
        found = SpeedEstimate(gap, streams, 1)
        self.speeds.add_peer_estimate(self.engine, NodeName(witness), found)

    def test_one_witness_of_three_is_wrong(self):
        for witness, gap in (('x', 0.02), ('y', 0.021), ('z', 5)):
            self._hear(witness, gap)
        self.assertEqual(0.021, self.speeds.gap(self.engine, 2))

    def test_own_streams_need_no_witness(self):
        _learn(self.speeds, {'a': 1}, streams=7)
        self._hear('x', 5)
        self.assertAlmostEqual(_USUAL, self.speeds.gap(self.engine, 2))

    def test_findings_age(self):
        self._hear('x', 0.02)
        self.assertEqual(0, self.speeds.gap(self.engine, 100))

    def test_witnesses_are_bounded(self):
        for number in range(50):
            self._hear(f'entry-{number}', 0.02, number + 1)
        self.assertEqual(4, len(self.speeds.peer_estimates(self.engine)))

    def test_witness_that_starts_again(self):
        self._hear('x', 0.02, 9)
        self._hear('x', 0.03, 1)
        self.assertEqual(0.03, self.speeds.gap(self.engine, 2))


class NewsTest(unittest.TestCase):
    """Findings pass from who found them to the peers, and no further."""

    def setUp(self):
        self.engine = _engine('a', born=3)
        self.paces = [PaceTable() for _node in range(3)]
        names = [NodeName(f'entry-{number}') for number in range(3)]
        self.logs = [Log(name) for name in names]
        engines = _Engines(self.engine)
        self.nodes = [
            PaceUpdates(engines, pace, log)
            for pace, log in zip(self.paces, self.logs, strict=True)
        ]

    def _stream(self, node: int) -> None:
        stream = StreamPace(
            self.paces[node], self.engine, lambda: 4, warming=False
        )
        began = clock.uptime()
        for number in range(9):
            stream.take(b'data: x\n\n', began + number * _USUAL)
        stream.end()

    def _pass(self, source: int, target: int) -> NodeReport:
        report = NodeReport(
            node=f'entry-{source}',
            sound=True,
            leaving=False,
            paces=self.nodes[source].outgoing(),
        )
        self.nodes[target].receive(report)
        return report

    def _gap(self, node: int) -> float:
        return self.paces[node].speeds.gap(self.engine, clock.uptime())

    def test_told(self):
        self._stream(0)
        self._pass(0, 1)
        self._pass(1, 2)
        self.assertAlmostEqual(_USUAL, self._gap(1), places=4)
        self.assertEqual(0, self._gap(2))

    def test_told_to_a_peer_that_starts_again(self):
        self._stream(0)
        for _report in range(2):
            self.nodes[0]._pending.clear()
            self._pass(1, 0)
        self.assertEqual([], self.nodes[0].outgoing())
        self.nodes[0]._last_report.clear()
        self._pass(1, 0)
        self._pass(0, 1)
        self.assertAlmostEqual(_USUAL, self._gap(1), places=4)

    def test_same_as_others_found(self):
        for source in (1, 2):
            self._stream(source)
            self._pass(source, 0)
        self.nodes[0].outgoing()
        told = len(self.nodes[0].outgoing())
        self._stream(0)
        self.assertEqual(told, len(self.nodes[0].outgoing()))

    def test_coalesced_events(self):
        stream = StreamPace(
            self.paces[0], self.engine, lambda: 4, warming=False
        )
        for part in range(4):
            stream.take(b'data: x\n\n' * 2, 1 + part * 2 * _USUAL)
        stream.end()
        self.assertAlmostEqual(_USUAL, self._gap(0), places=4)

    def test_warming_engine(self):
        stream = StreamPace(self.paces[0], self.engine, lambda: 4, warming=True)
        for number in range(9):
            stream.take(b'data: x\n\n', 1 + number)
        stream.end()
        self.assertEqual(0, self._gap(0))

    @parameterized.expand(
        [
            ('unknown_engine', {'engine': 'gone'}),
            ('negative_gap', {'gap_us': -5}),
            ('huge_gap', {'gap_us': 10**15}),
            ('no_gap', {'gap_us': 0}),
            ('negative_streams', {'streams': -1}),
            ('huge_streams', {'streams': 10**12}),
        ]
    )
    def test_odd_value(self, _name, odd):
        good = {
            'engine': 'a',
            'born': 3,
            'streams': 3,
            'gap_us': 20_000,
        }
        report = NodeReport(
            node='entry-9',
            sound=True,
            leaving=False,
            paces=[ToldPace(**{**good, **odd})] * 40,
        )
        self.nodes[0].receive(report)
        self.nodes[0].receive(report)
        self.assertEqual(0, self._gap(0))
        self.assertEqual(80, self.nodes[0].counts['odd'])
        noted = [one for one in self.logs[0].recent if 'paces-ignored' in one]
        self.assertEqual(1, len(noted))

    def test_finding_of_an_earlier_life(self):
        told = ToldPace(engine='a', born=2, streams=9, gap_us=90_000)
        self.nodes[0].receive(
            NodeReport(node='x', sound=True, leaving=False, paces=[told])
        )
        self.assertEqual(0, self._gap(0))

    def test_state(self):
        self._stream(0)
        shown = self.nodes[0].summary()['a']
        self.assertEqual(1, shown['own_streams'])
        self.assertEqual(1, shown['slowness'])


def _slowly(sock, _request) -> None:
    """Answer in chunks of one event each, with pauses."""
    sock.sendall(chunked(last=False))
    for number in range(6):
        part = event(number, 'a')
        sock.sendall(b'%x\r\n%b\r\n' % (len(part), part))
        gevent.sleep(0.01)
    sock.sendall(b'0\r\n\r\n')


class AnswerPaceTest(EntryCase):
    """Streams show the speed of an engine, plain answers do not."""

    @parameterized.expand([('stream', 'streaming', 1), ('plain', 'safe', 0)])
    def test_answer(self, _name, kind, streams):
        self.start(route(kind), answers=[_slowly])
        self.read(self.send_request())
        eventually(lambda: self.entry.metrics.requests['answered'])
        shown = self.entry.state()['paces']
        self.assertEqual(streams, len(shown))


class EntryPaceTest(EntryCase):
    """What an entry learns and hears goes into its reports and its state."""

    def setUp(self):
        super().setUp()
        self.start(route('streaming'), answers=[b''])
        self.engine = self.entry.fleet.engines.named(EngineId('i-0'))

    def _hear(self, gap: float) -> None:
        told = ToldPace(
            engine='i-0',
            born=self.engine.born,
            streams=3,
            gap_us=round(gap * 1e6),
        )
        self.entry.receive_report(
            NodeReport(node='entry-9', sound=True, leaving=False, paces=[told])
        )

    def test_own_finding(self):
        stream = self.entry.fleet.follow(self.engine)
        began = clock.uptime()
        for number in range(9):
            stream.take(b'data: x\n\n', began + number * _USUAL)
        stream.end()
        told = self.entry.report().paces
        self.assertEqual([20_000], [one.gap_us for one in told])

    def test_heard_finding(self):
        self._hear(0.04)
        shown = self.entry.state()['paces']['i-0']
        self.assertEqual(40, shown['gap_ms'])
        self.assertEqual([], self.entry.report().paces)

    def test_report_of_an_older_version(self):
        report = msgspec.json.encode(
            {'node': 'entry-9', 'sound': True, 'leaving': False}
        )
        older = msgspec.json.decode(report, type=NodeReport)
        self.entry.receive_report(older)
        self.assertEqual({}, self.entry.state()['paces'])


class ChoiceTest(unittest.TestCase):
    """Where engines differ, a queue counts by the speed of its engine."""

    @parameterized.expand(
        [
            ('free_place_on_a_slow_one', 8, 7, 'slow'),
            ('fast_one_first', 4, 3, 'fast'),
            ('queues_alike', 10, 10, 'fast'),
        ]
    )
    def test_choice(self, _name, fast, slow, expected):
        views = [
            EngineView(_engine('fast'), online=fast, slowness=0.8),
            EngineView(_engine('slow'), online=slow, slowness=1.95),
        ]
        chosen = choose_engine(views, Traffic(0.7, 0), lambda: 0.5)
        self.assertEqual(expected, chosen.view.name)

    @parameterized.expand(
        [
            ('usual', 1, 1, 1),
            ('slow', 2, 1, 2),
            ('stall', 1, 2.5, 2.5),
            ('fast', 0.7, 1, 1),
            ('fast_and_stalls', 0.8, 2.5, 2),
        ]
    )
    def test_wait(self, _name, slowness, stall, times):
        view = EngineView(
            _engine('a'), online=9, slowness=slowness, stall=stall
        )
        self.assertAlmostEqual(2 * 0.8 * times / 8, view.wait(0.8))
