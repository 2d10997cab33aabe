"""Errors of one item: it waits, its line is written, all others go on."""

import unittest
from unittest import mock

import gevent
from bendlead_gateway._jobs import shard_manager
from bendlead_gateway._jobs.owned_job import Progress
from parameterized import parameterized

from tests.gateway_cases import OwnerCase, job
from tests.gateway_standins import chunked, event, eventually
from tests.raising_step import RaisesOnce, failure_lines

_SEAL = 'X-Response-Seal: s1\r\n'
_WHOLE = chunked(event(1, 'a'), event(2, 'b'), headers=_SEAL)


class RoundsTest(OwnerCase):
    """Scheduling rounds that raise start items afterwards."""

    def setUp(self):
        super().setUp()
        patch = mock.patch.object(shard_manager, '_SETTLING_SECONDS', 0.05)
        patch.start()
        self.addCleanup(patch.stop)

    @parameterized.expand(
        [
            ('precedence', '_runner._precedence.update_others'),
            ('stopping', '_runner._stopper.check'),
            ('ranking', '_runner._candidates.ranked'),
            ('pausing', 'fleet.suspects.remaining_pause'),
            ('parts', '_runner._candidates.held_parts'),
            ('deferral', '_runner._candidates.timing'),
            ('trials', 'fleet.balancer.start_trial'),
            ('beginning', 'fleet.suspects.item_trials.begin'),
            ('charging', '_runner._candidates.record_start'),
            ('running', '_runner._executor.execute'),
            ('claiming', 'fleet.suspects.item_trials.claim'),
            ('sending', 'dialect.item_headers'),
            ('releasing', 'fleet.suspects.item_trials.end'),
            ('finishing', '_runner.backlog_rates.record_finished'),
            ('clearing', 'fleet.suspects.record_success'),
        ]
    )
    def test_item_completes_after_an_error(self, _name, step):
        self.configure([_WHOLE] * 4)
        node = self.start_sole_owner()
        RaisesOnce(node, step, RuntimeError('odd'))
        self.submit(node)
        results = eventually(lambda: self.results(node), 5)
        self.assertEqual(1, len(results))
        lines = failure_lines(node)
        self.assertEqual(1, len(lines), lines)
        self.assertEqual(0, node.fleet.loads.own.batch['i-1'])

    @parameterized.expand(
        [
            ('ranking', '_candidates.urgency'),
            ('trials', '_candidates.is_in_trial'),
            ('parts', '_candidates.held_parts'),
            ('holding_back', '_may_start'),
            ('starting', '_start'),
            ('charging', '_candidates.record_start'),
        ]
    )
    def test_one_item_holds_up_no_other(self, _name, step):
        """Whatever is asked first about the first item raises, each time."""
        self.configure([_WHOLE] * 40)
        node = self.start_sole_owner()
        _fail_for_first_item(node._runner, step)
        self.submit(node, job(items=4))
        eventually(lambda: len(self.results(node)) == 3, 5)
        gevent.sleep(0.5)
        self.assertLessEqual(len(failure_lines(node)), 6)

    @parameterized.expand(
        [
            ('stopping', '_stopper', 'check'),
            ('precedence', '_precedence', 'update_others'),
            ('backlog', '_backlog_monitor', 'update'),
        ]
    )
    def test_step_that_always_raises_keeps_no_item_waiting(
        self, _name, part, step
    ):
        self.configure([_WHOLE] * 4)
        node = self.start_sole_owner()
        failing = mock.Mock(side_effect=ValueError('fd'))
        setattr(getattr(node._runner, part), step, failing)
        self.submit(node)
        self.assertEqual(1, len(eventually(lambda: self.results(node), 5)))

    def test_unforeseen_error_is_not_repeated_at_once(self):
        self.configure([_WHOLE] * 4)
        node = self.start_sole_owner()
        execute = mock.Mock(side_effect=OverflowError('port'))
        node._runner._executor.execute = execute
        self.submit(node)
        eventually(lambda: execute.call_count >= 2)
        gevent.sleep(1)
        self.assertLessEqual(execute.call_count, 6)
        lines = failure_lines(node)
        self.assertEqual(execute.call_count, len(lines))
        self.assertIn('event=item-run ', lines[0])
        self.assertIn('ending=failed', lines[0])
        self.assertIn('OverflowError', lines[0])
        self.assertEqual(0, node._runner.running)

    @parameterized.expand(
        [
            ('recording', 'record', RuntimeError('odd')),
            ('committing', '_committer.commit', RecursionError('deep')),
        ]
    )
    def test_finished_item_is_recorded_after_an_error(self, _name, step, error):
        self.configure([_WHOLE] * 4)
        node = self.start_sole_owner()
        self.submit(node)
        job_id = eventually(lambda: self._owned_with_job(node))
        RaisesOnce(job_id, step, error)
        results = eventually(lambda: self.results(node), 5)
        self.assertEqual(1, len(results))
        self.assertEqual(1, len(failure_lines(node)))

    def _owned_with_job(self, node):
        return next(
            (one for one in node._shard_manager.owned.values() if one.jobs),
            None,
        )


def _fail_for_first_item(target, step):
    """Have a step raise whenever it is taken for the first item."""
    *path, name = step.split('.')
    for part in path:
        target = getattr(target, part)
    original = getattr(target, name)

    def fail(*args, **more):
        for arg in args:
            progress = getattr(arg, 'progress', arg)
            if isinstance(progress, Progress) and progress.item.item == 'i0':
                raise ValueError('odd item')
        return original(*args, **more)

    setattr(target, name, fail)


if __name__ == '__main__':
    unittest.main()
