"""Items of bendlead-node under which engines crash or are away.

Guards against accepted items that are given up, or stand still, though no
engine has failed them, and against items that crash engines without an end.
"""

import unittest
from random import Random
from unittest.mock import Mock

from bendlead_node._endpoint.item import BatchItem, ItemState
from bendlead_schema.messages import (
    GrantedItem,
    GrantRun,
    ReportRun,
    RunGrant,
)
from parameterized import parameterized
from result import Ok

from tests.test_ledger_cut_items import CutItemCase

#: A run fails this long after its grant; runs are asked for as often.
_RUN_SECONDS = 0.2
#: The users count an item as lost that has not failed or run for so long.
_LOST_SECONDS = 20.0
_CONTACT_SECONDS = 3.0
_LATE_RUNS = 3
_PATH = '/v1/chat/completions'
_PLAY_SECONDS = 60
_ASK_SECONDS = 0.25
_CRASH_SECONDS = 0.1
_RESTART_SECONDS = 3.0
_ANSWER_SECONDS = 2.0
_STEP_SECONDS = 0.01


class CrashingEnginesTest(CutItemCase):
    """Each run of the first item is cut off by a crash."""

    def crash_until(self, until):
        """Let each run crash its engine; return when they began."""
        began = [self.now]
        self.report(cut=[0])
        while self.now < until:
            if self.ready():
                began.append(self.now)
                self.report(cut=[0])
            self.now += _RUN_SECONDS
        return began

    def test_sound_item_in_a_dense_series(self):
        began = self.crash_until(self.now + 60)
        self.now = began[-1] + _LOST_SECONDS
        self.assertTrue(self.ready())
        self.assertFalse(self.packer.record.called)
        for earlier, later in zip(began, began[1:], strict=False):
            self.assertLess(later - earlier, _LOST_SECONDS)

    def test_deadly_item_reaches_few_engines(self):
        began = self.crash_until(self.now + 60)
        late = [at for at in began if at > began[2] + _CONTACT_SECONDS]
        self.assertLessEqual(len(late), _LATE_RUNS)


class SharedEngineTest(CutItemCase):
    """The first item crashes each engine 0.1 s behind its begin.

    Endpoints ask in their own time, and again until no item is left.
    """

    def play(self, engines, seed):
        """Return when each other item was answered, after 2 s of a run."""
        random = Random(seed)
        self.commands._cursors['j'].position = 0
        self.commands._reader.positions = lambda _chunks, wanted: Ok(
            {at: Mock(url=_PATH, custom_id='a', body=b'{}') for at in wanted}
        )
        asks = [self.now + random.random() for _engine in range(engines)]
        running, answered, until = {}, {}, self.now + _PLAY_SECONDS
        while self.now < until and len(answered) < 2:
            for engine in range(engines):
                if asks[engine] <= self.now:
                    pause = _ASK_SECONDS * random.uniform(0.5, 1)
                    asks[engine] = self.now + pause
                    self.fill(engine, running)
            for position, (began, engine, _run) in list(running.items()):
                ran = self.now - began
                if not position and ran >= _CRASH_SECONDS:
                    asks[engine] = self.now + _RESTART_SECONDS
                    self.cut(engine, running)
                if position and ran >= _ANSWER_SECONDS:
                    # A crash in the same moment took it away.
                    if running.pop(position, None):
                        answered[position] = self.now
            self.now += _STEP_SECONDS
        return answered

    def fill(self, engine, running):
        """Have an endpoint ask until it gets nothing."""
        command = GrantRun(
            endpoint=f'e-{engine}', limit=8, paths=[_PATH], models=['m']
        )
        while isinstance(granted := self.commands.grant(command), RunGrant):
            for item in granted.items:
                running[item.position] = (self.now, engine, granted.run)

    def cut(self, engine, running):
        """Report what ran on an engine as cut off."""
        for position, (_began, at, run) in list(running.items()):
            if at == engine:
                running.pop(position)
                self.commands.report(
                    ReportRun(
                        run=run,
                        job='j',
                        reports=[],
                        endpoint='',
                        cut=[position],
                    )
                )

    @parameterized.expand([('three', 3), ('six', 6), ('nine', 9)])
    def test_sound_items_are_answered(self, _name, engines):
        """They met it on one engine, and go on on others."""
        for seed in range(5):
            self.setUp()
            answered = self.play(engines, seed)
            self.assertEqual({1, 2}, answered.keys(), f'seed {seed}')


class ManyCutItemsTest(CutItemCase):
    """Items that ran on engines that crashed for other causes."""

    def test_all_run_soon(self):
        """64 of them at one endpoint, which asks each 0.25 s at most."""
        job = self.state.jobs['j']
        job.status = bytearray(64)
        for _attempt in range(3):
            run = self.commands._runs.grant('j', 'e', list(range(64)))
            self.commands.report(
                ReportRun(
                    run=run.run,
                    job='j',
                    reports=[],
                    endpoint='e',
                    cut=list(range(64)),
                )
            )
        random = Random(1)
        started, granted = self.now, set()
        while len(granted) < 64 and self.now < started + _LOST_SECONDS:
            while positions := self.commands._next_positions(job, 64, 'e'):
                granted.update(positions)
            self.now += _ASK_SECONDS * random.uniform(0.5, 1)
        self.assertEqual(64, len(granted))


class RefusedItemTest(unittest.TestCase):
    """An engine answers an item with a status."""

    @parameterized.expand(
        [
            ('too_many', 429, ItemState.UNREACHED),
            ('bad_gateway', 502, ItemState.UNREACHED),
            ('loading', 503, ItemState.UNREACHED),
            ('gateway_timeout', 504, ItemState.UNREACHED),
            ('failed', 500, ItemState.FAILED),
            ('invalid', 400, ItemState.FINISHED),
            ('unprocessable', 422, ItemState.FINISHED),
        ]
    )
    def test_state(self, _name, status, expected):
        """An engine that is away or full has failed no item."""
        granted = GrantedItem(position=0, path='/x', custom_id='a', body='{}')
        response = Mock(status_code=status, _sock=None)
        response.read.return_value = b'{}'
        engine = Mock(send=lambda *_request: Ok(response))
        item = BatchItem('run', granted)
        self.assertIs(expected, item.execute(engine, lambda: None))


if __name__ == '__main__':
    unittest.main()
