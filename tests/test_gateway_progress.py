"""Progress of batch items survives the loss of their owner."""

import time
import unittest
from unittest import mock

import gevent
import gevent.event
from bendlead_gateway._jobs.owned_job import OwnedJob, Progress
from bendlead_gateway._jobs.progress import ProgressWriter
from bendlead_gateway.types import EngineVersion, ItemId, JobId, JobItem
from bendlead_ledger import ChainId, DirectJobState, SavedProgress
from bendlead_schema.records import (
    DirectJobAccepted,
    DirectProgress,
    RunChain,
)
from parameterized import parameterized

from tests.gateway_cases import OwnerCase, job, node_shard
from tests.gateway_standins import SimulatedProcess, chunked, event, eventually

_INCOMPLETE = chunked(event(1, 'a'), event(2, 'b'), last=False)
_REMAINDER = chunked(event(3, 'c'))


class NextOwnerTest(OwnerCase):
    """The next owner resumes items after the last saved event."""

    def isolate(self, *nodes):
        """Hide owners from each other."""
        for node in nodes:
            node.peers.claims.highest_epoch = lambda _shard: 0
            node.peers.claims.available_owners = list

    def run_first_events(self, node):
        """Run an item whose engine stops after two events."""
        self.submit(node)
        eventually(lambda: len(self.engine.requests) == 1)

    def assert_resumes(self, node):
        """Check that an owner requests only the missing events."""
        results = eventually(lambda: self.results(node), 5)
        self.assertEqual('a\nb\nc', results[0]['text'])
        self.assertIn(b'Last-Event-Id: 2', self.engine.requests[-1])

    def test_lost_owner(self):
        self.configure([_INCOMPLETE, _REMAINDER])
        first = self.start_sole_owner()
        self.run_first_events(first)
        shard = first._shard_manager.owned[node_shard()]
        eventually(lambda: shard.jobs['j1'].state.saved_progress)
        second = self.start_owner('owner-2')
        self.isolate(first, second)
        eventually(lambda: len(second._shard_manager.owned) == 4, 5)
        self.assert_resumes(second)

    @parameterized.expand([('stopped', False), ('retired', True)])
    def test_leaving_owner_saves_progress(self, _name, ordered):
        self.configure([_INCOMPLETE, _REMAINDER])
        first = self.start_sole_owner()
        second = self.start_owner('owner-2')
        eventually(second.peers.claims.available_owners)
        self.run_first_events(first)
        running = first._shard_manager.owned[node_shard()].jobs['j1']
        eventually(lambda: running.progress['i0'].last_event == 2)
        if ordered:
            order = {'duration_s': 5}
            self.store.set('retirements', 'owner-1', order)
        else:
            first.draining = True
            gevent.spawn(first.shut_down)
        eventually(lambda: len(second._shard_manager.owned) == 4, 4)
        self.assert_resumes(second)

    def test_job_submitted_while_progress_is_saved(self):
        self.configure([])
        first = self.start_sole_owner()
        second = self.start_owner('owner-2')
        eventually(second.peers.claims.available_owners)
        first.draining = True
        owned = dict(first._shard_manager.owned)
        shard = owned.pop(node_shard())

        def accept(_within):
            shard._accepting['j1'] = gevent.event.Event()

        def hand_over():
            # Nothing is handed over while no report of another owner is recent.
            first._shard_manager.hand_over()
            return len(first._shard_manager.owned) <= 1

        with mock.patch.object(shard, 'save_progress', accept):
            eventually(hand_over)
        self.assertEqual([node_shard()], list(first._shard_manager.owned))
        shard._accepting.clear()
        eventually(lambda: hand_over() and not first._shard_manager.owned)

    def test_progress_of_finished_item_is_dropped(self):
        self.configure([_INCOMPLETE, _REMAINDER])
        node = self.start_sole_owner()
        self.run_first_events(node)
        state = node._shard_manager.owned[node_shard()].jobs['j1'].state
        eventually(lambda: state.saved_progress)
        node.fleet.loads.own.online['i-1'] += 8
        eventually(lambda: not node._runner.running)
        node.fleet.loads.own.online['i-1'] -= 8
        eventually(lambda: self.results(node))
        self.assertEqual({}, state.saved_progress)

    def test_write_rate(self):
        """Running items take about one write a second."""
        self.configure([])
        node = self.start_sole_owner()
        self.submit(node, job(items=2))
        eventually(lambda: len(self.engine.requests) == 2)
        shard = node._shard_manager.owned[node_shard()]
        items = list(shard.jobs['j1'].progress.values())
        commit = shard._log.commit
        with mock.patch.object(shard._log, 'commit', wraps=commit) as counted:
            started_at = time.monotonic()
            for number in range(50):
                for progress in items:
                    add(progress, number)
                gevent.sleep(0.05)
            seconds = time.monotonic() - started_at
        self.assertGreater(counted.call_count, 1)
        self.assertLessEqual(counted.call_count, seconds + 1)


def add(progress, number, text='x'):
    """Add an event to the progress of an item."""
    progress.texts.append(text)
    progress.last_event = number


def item(name='i1'):
    """Return an item."""
    return JobItem(ItemId(name), '/x/1', {}, b'', 1)


def owned_job(*names):
    """Return an owned job with the named items."""
    accepted = DirectJobAccepted(
        job='j1', host='a', path='/', accepted_at=1, total=9, tokens=1
    )
    state = DirectJobState(accepted)
    return OwnedJob(state, [item(name) for name in names])


class ProgressTest(unittest.TestCase):
    """Records of the progress of one item."""

    @parameterized.expand(
        [
            ('all', 99, [(-1, 4, 'aa\nbb\ncc')]),
            ('up_to_the_limit', 5, [(-1, 3, 'aa\nbb'), (3, 4, 'cc')]),
            (
                'at_least_one_event',
                1,
                [(-1, 2, 'aa'), (2, 3, 'bb'), (3, 4, 'cc')],
            ),
        ]
    )
    def test_take(self, _name, limit, expected):
        progress = Progress(item())
        for number, text in enumerate(('aa', 'bb', 'cc'), 2):
            add(progress, number, text)
        taken = []
        texts = []
        while progress.unsaved_texts:
            record = progress.take_events(limit)
            taken.append((record.after, record.last_event, record.text))
            texts.append(record.text)
        self.assertEqual(expected, taken)
        self.assertEqual('aa\nbb\ncc', '\n'.join(progress.texts))
        # The progress and the records share the texts.
        for kept, text in zip(progress.texts, texts, strict=True):
            self.assertIs(kept, text)

    def test_restored(self):
        kept = SavedProgress()
        kept.extend(
            DirectProgress(
                item='i1',
                last_event=7,
                text='a\nb',
                spent=2.5,
                chain=RunChain(id='c1', version='v1'),
            )
        )
        progress = Progress.restored(item(), kept)
        self.assertEqual(
            (7, 0, 2.5),
            (progress.last_event, progress.unsaved_texts, progress.run_seconds),
        )
        add(progress, 8, 'c')
        record = progress.take_events(99)
        self.assertEqual(
            (7, 8, 'c', 'c1'),
            (record.after, record.last_event, record.text, record.chain.id),
        )
        self.assertEqual('a\nb\nc', '\n'.join(progress.texts))

    def test_current_run_counts(self):
        progress = Progress(item())
        progress.begin_run(EngineVersion('v1'))
        gevent.sleep(0.02)
        self.assertGreater(progress.run_seconds, 0.01)
        progress.end_run()
        paused = progress.run_seconds
        gevent.sleep(0.02)
        self.assertEqual(paused, progress.run_seconds)


class RestoredVersionTest(unittest.TestCase):
    """The next owner goes on at the saved version, or starts over."""

    @parameterized.expand(
        [
            ('same', 'v1', 'v1', 7),
            ('other', 'v1', 'v2', None),
            ('older_log', '', 'v1', None),
            ('engine_without_version', '', '', None),
        ]
    )
    def test_begin_run(self, _name, saved, version, last_event):
        kept = SavedProgress(
            last_event=7, chain=ChainId('c1'), version=saved, run_seconds=2
        )
        progress = Progress.restored(item(), kept)
        progress.begin_run(EngineVersion(version))
        self.assertEqual(last_event, progress.last_event)
        add(progress, 0 if last_event is None else 8, 'c')
        record = progress.take_events(99)
        after = -1 if last_event is None else 7
        self.assertEqual((after, version), (record.after, record.chain.version))
        goes_on = record.chain.id == 'c1'
        self.assertEqual(last_event is not None, goes_on)


class ProgressWriterTest(unittest.TestCase):
    """Which progress of a shard's items is written, and when."""

    def test_most_unsaved_texts_go_first(self):
        owned = owned_job('i1', 'i2')
        add(owned.progress['i1'], 0, 'x' * 150_000)
        for number in range(3):
            add(owned.progress['i2'], number, 'y' * 40_000)
        writer = ProgressWriter({JobId('j1'): owned}, float)
        records = [
            [(events.item, events.last_event) for events in record.progress]
            for record in writer.take_records() + writer.take_records()
        ]
        self.assertEqual([[('i2', 2), ('i1', 0)]], records)

    def test_size_limit(self):
        names = [f'i{number}' for number in range(9)]
        owned = owned_job(*names)
        for progress in owned.progress.values():
            add(progress, 0, 'x' * 90_000)
        writer = ProgressWriter({JobId('j1'): owned}, float)
        counts = []
        while any(
            progress.unsaved_texts for progress in owned.progress.values()
        ):
            counts.append(len(writer.take_records()[0].progress))
        self.assertEqual([3, 3, 3], counts)

    @parameterized.expand([('finished', False), ('job_ended', True)])
    def test_nothing_to_save(self, _name, ended):
        owned = owned_job('i1')
        add(owned.progress['i1'], 0)
        if ended:
            owned.state.end()
        else:
            owned.progress['i1'].finished = True
        writer = ProgressWriter({JobId('j1'): owned}, float)
        self.assertEqual([], writer.take_records())

    @parameterized.expand(
        [
            ('at_once', 0.01, 0.1, 0, False),
            ('piggybacked', 0.01, 0.5, 1, False),
            ('own_write', 0.01, 1.1, 1, True),
            # New jobs wait for the write under way.
            ('slow_writes', 0.5, 4.9, 0, False),
            ('own_write_beside_slow_writes', 0.4, 4.1, 1, True),
            ('longest_interval', 3, 5.1, 1, True),
        ]
    )
    def test_rate(self, _name, write_seconds, elapsed, piggybacked, due):
        owned = owned_job('i1')
        with mock.patch('bendlead_gateway._jobs.progress.clock') as clock:
            clock.uptime.return_value = 50
            writer = ProgressWriter({JobId('j1'): owned}, lambda: write_seconds)
            add(owned.progress['i1'], 0)
            writer.take_records()
            add(owned.progress['i1'], 1)
            clock.uptime.return_value += elapsed
            self.assertEqual(due, writer.due)
            self.assertEqual(piggybacked, len(writer.piggyback()))
            self.assertFalse(writer.due)


class FailuresTest(OwnerCase):
    """Failures of an item are counted over all its owners."""

    def test_failures_under_two_owners(self):
        failed = b'HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n'
        self.configure([failed, failed])
        process = SimulatedProcess()
        first = process.start(self.start_sole_owner)
        self.submit(first)
        eventually(lambda: len(self.engine.requests) == 3)
        # The third run is under way; let the first two failures be saved.
        gevent.sleep(1.5)
        process.end()
        self.configure([failed] * 3)
        second = self.start_sole_owner('owner-2')
        results = eventually(lambda: self.results(second), 8)
        self.assertEqual(['dead_lettered'], [item['state'] for item in results])
        self.assertEqual(1, len(self.engine.requests))
