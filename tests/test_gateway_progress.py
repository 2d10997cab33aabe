"""An owner's death does not lose how far its items have come."""

import time
import unittest
from unittest import mock

import gevent
import gevent.event
from bendlead_gateway._jobs.held import HeldJob, Progress
from bendlead_gateway._jobs.progress import ProgressLog
from bendlead_gateway.types import ItemId, JobId, JobItem
from bendlead_ledger import DirectJobState, KeptProgress
from bendlead_schema.records import (
    DirectJobAccepted,
    DirectProgress,
)
from parameterized import parameterized

from tests.gateway_cases import OwnerCase, job, node_shard
from tests.gateway_standins import ProcessLife, chunked, event, eventually

_CUT = chunked(event(1, 'a'), event(2, 'b'), last=False)
_TAIL = chunked(event(3, 'c'))


class SuccessorTest(OwnerCase):
    """Another owner goes on behind the last event that was kept."""

    def deaf(self, *nodes):
        """Have owners hear nothing of each other."""
        for node in nodes:
            node.peers.claims.claimed = lambda _shard: 0
            node.peers.claims.able_owners = list

    def run_first_events(self, node):
        """Have an owner run an item whose engine stops after two events."""
        self.submit(node)
        eventually(lambda: len(self.engine.requests) == 1)

    def assert_goes_on(self, node):
        """Check that an owner asks for the rest alone and has the whole."""
        found = eventually(lambda: self.results(node), 5)
        self.assertEqual('a\nb\nc', found[0]['text'])
        self.assertIn(b'Last-Event-Id: 2', self.engine.requests[-1])

    def test_owner_that_is_lost(self):
        self.configure([_CUT, _TAIL])
        first = self.holding()
        self.run_first_events(first)
        board = first._keeper.boards[node_shard()]
        eventually(lambda: board.jobs['j1'].state.kept)
        second = self.owner('owner-2')
        self.deaf(first, second)
        eventually(lambda: len(second._keeper.boards) == 4, 5)
        self.assert_goes_on(second)

    @parameterized.expand([('stops', False), ('is_emptied', True)])
    def test_owner_that_leaves_keeps_its_latest(self, _name, ordered):
        self.configure([_CUT, _TAIL])
        first = self.holding()
        second = self.owner('owner-2')
        eventually(second.peers.claims.able_owners)
        self.run_first_events(first)
        held = first._keeper.boards[node_shard()].jobs['j1']
        eventually(lambda: held.progress['i0'].last_event == 2)
        if ordered:
            order = {'duration_s': 5}
            self.store.set('retirements', 'owner-1', order)
        else:
            first.leaving = True
            gevent.spawn(first.leave)
        eventually(lambda: len(second._keeper.boards) == 4, 4)
        self.assert_goes_on(second)

    def test_job_that_comes_in_while_progress_is_saved(self):
        self.configure([])
        first = self.holding()
        second = self.owner('owner-2')
        eventually(second.peers.claims.able_owners)
        first.leaving = True
        held = dict(first._keeper.boards)
        board = held.pop(node_shard())

        def accept(_within):
            board._accepting['j1'] = gevent.event.Event()

        def hand_over():
            # It waits where no other owner is heard at the moment.
            first._keeper.hand_over()
            return len(first._keeper.boards) <= 1

        with mock.patch.object(board, 'save_progress', accept):
            eventually(hand_over)
        self.assertEqual([node_shard()], list(first._keeper.boards))
        board._accepting.clear()
        eventually(lambda: hand_over() and not first._keeper.boards)

    def test_item_that_ends_is_kept_no_more(self):
        self.configure([_CUT, _TAIL])
        node = self.holding()
        self.run_first_events(node)
        state = node._keeper.boards[node_shard()].jobs['j1'].state
        eventually(lambda: state.kept)
        node.fleet.loads.own.online['i-1'] += 8
        eventually(lambda: not node._runner.running)
        node.fleet.loads.own.online['i-1'] -= 8
        eventually(lambda: self.results(node))
        self.assertEqual({}, state.kept)

    def test_writes_are_few(self):
        """An item that runs costs about one write a second."""
        self.configure([])
        node = self.holding()
        self.submit(node, job(items=2))
        eventually(lambda: len(self.engine.requests) == 2)
        board = node._keeper.boards[node_shard()]
        progress = list(board.jobs['j1'].progress.values())
        commit = board._log.commit
        with mock.patch.object(board._log, 'commit', wraps=commit) as counted:
            began = time.monotonic()
            for number in range(50):
                for one in progress:
                    add(one, number)
                gevent.sleep(0.05)
            seconds = time.monotonic() - began
        self.assertGreater(counted.call_count, 1)
        self.assertLessEqual(counted.call_count, seconds + 1)


def add(progress, number, text='x'):
    """Let one more event of an item come."""
    progress.texts.append(text)
    progress.last_event = number


def item(name='i1'):
    """Make an item."""
    return JobItem(ItemId(name), '/x/1', {}, b'', 1)


def held(*names):
    """Make a held job of some items."""
    accepted = DirectJobAccepted(
        job='j1', host='a', path='/', accepted_at=1, total=9, tokens=1
    )
    state = DirectJobState(accepted)
    return HeldJob(state, [item(name) for name in names])


class ProgressTest(unittest.TestCase):
    """What of one item is handed to the log."""

    @parameterized.expand(
        [
            ('all', 99, [(-1, 4, 'aa\nbb\ncc')]),
            ('as_much_as_fits', 5, [(-1, 3, 'aa\nbb'), (3, 4, 'cc')]),
            (
                'one_at_least',
                1,
                [(-1, 2, 'aa'), (2, 3, 'bb'), (3, 4, 'cc')],
            ),
        ]
    )
    def test_taken(self, _name, most, expected):
        progress = Progress(item())
        for number, text in enumerate(('aa', 'bb', 'cc'), 2):
            add(progress, number, text)
        taken = []
        texts = []
        while progress.not_kept:
            one = progress.take(most)
            taken.append((one.after, one.last_event, one.text))
            texts.append(one.text)
        self.assertEqual(expected, taken)
        self.assertEqual('aa\nbb\ncc', '\n'.join(progress.texts))
        # What is handed over is held once.
        for kept, one in zip(progress.texts, texts, strict=True):
            self.assertIs(kept, one)

    def test_restored(self):
        kept = KeptProgress()
        kept.extend(
            DirectProgress(item='i1', last_event=7, text='a\nb', spent=2.5)
        )
        progress = Progress.restored(item(), kept)
        self.assertEqual(
            (7, 0, 2.5),
            (progress.last_event, progress.not_kept, progress.spent),
        )
        add(progress, 8, 'c')
        one = progress.take(99)
        self.assertEqual((7, 8, 'c'), (one.after, one.last_event, one.text))
        self.assertEqual('a\nb\nc', '\n'.join(progress.texts))

    def test_time_of_the_run_under_way_counts(self):
        progress = Progress(item())
        progress.begin()
        gevent.sleep(0.02)
        self.assertGreater(progress.spent, 0.01)
        progress.pause()
        rested = progress.spent
        gevent.sleep(0.02)
        self.assertEqual(rested, progress.spent)


class ProgressLogTest(unittest.TestCase):
    """What of a shard's items is handed to the log, and when."""

    def test_what_lacks_most_goes_first(self):
        job_held = held('i1', 'i2')
        add(job_held.progress['i1'], 0, 'x' * 150_000)
        for number in range(3):
            add(job_held.progress['i2'], number, 'y' * 40_000)
        log = ProgressLog({JobId('j1'): job_held}, float)
        turns = [
            [(one.item, one.last_event) for one in record.progress]
            for record in log.take() + log.take()
        ]
        self.assertEqual([[('i2', 2), ('i1', 0)]], turns)

    def test_one_turn_is_bounded(self):
        names = [f'i{at}' for at in range(9)]
        job_held = held(*names)
        for progress in job_held.progress.values():
            add(progress, 0, 'x' * 90_000)
        log = ProgressLog({JobId('j1'): job_held}, float)
        counts = []
        while any(one.not_kept for one in job_held.progress.values()):
            counts.append(len(log.take()[0].progress))
        self.assertEqual([3, 3, 3], counts)

    @parameterized.expand([('finished', False), ('job_ended', True)])
    def test_not_kept_any_more(self, _name, ended):
        job_held = held('i1')
        add(job_held.progress['i1'], 0)
        if ended:
            job_held.state.end()
        else:
            job_held.progress['i1'].finished = True
        log = ProgressLog({JobId('j1'): job_held}, float)
        self.assertEqual([], log.take())

    @parameterized.expand(
        [
            ('at_once', 0.01, 0.1, 0, False),
            ('along', 0.01, 0.5, 1, False),
            ('alone', 0.01, 1.1, 1, True),
            # Acceptances wait for the write under way.
            ('slow_writes', 0.5, 4.9, 0, False),
            ('seldom_beside_slow_writes', 0.4, 4.1, 1, True),
            ('in_the_end_whatever_they_take', 3, 5.1, 1, True),
        ]
    )
    def test_rate(self, _name, written_in, rested, along, due):
        job_held = held('i1')
        with mock.patch('bendlead_gateway._jobs.progress.clock') as clock:
            clock.uptime.return_value = 50
            log = ProgressLog({JobId('j1'): job_held}, lambda: written_in)
            add(job_held.progress['i1'], 0)
            log.take()
            add(job_held.progress['i1'], 1)
            clock.uptime.return_value += rested
            self.assertEqual(due, log.due)
            self.assertEqual(along, len(log.along()))
            self.assertFalse(log.due)


class FailuresTest(OwnerCase):
    """An item that fails at each run, under owners that are lost.

    Each owner counted the failures that it saw itself, so an item could fail
    three times under every one of them.
    """

    def test_failures_count_over_owners(self):
        failed = b'HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n'
        self.configure([failed, failed])
        life = ProcessLife()
        first = life.start(self.holding)
        self.submit(first)
        eventually(lambda: len(self.engine.requests) == 3)
        # The third run is under way; the log has the two before.
        gevent.sleep(1.5)
        life.end()
        self.configure([failed] * 3)
        second = self.holding('owner-2')
        done = eventually(lambda: self.results(second), 8)
        self.assertEqual(['dead_lettered'], [one['state'] for one in done])
        self.assertEqual(1, len(self.engine.requests))
