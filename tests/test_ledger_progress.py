"""Progress of direct job items survives a change of the shard's owner."""

import unittest

import msgspec
from bendlead_ledger import (
    Owner,
    SavedProgress,
    ShardId,
    ShardLog,
    ShardState,
)
from bendlead_ledger._codec import decode, encode
from bendlead_schema.records import (
    DirectJobAccepted,
    DirectJobEnded,
    DirectProgress,
    DirectResult,
    DirectResultsRecorded,
    Record,
    RunChain,
    Snapshot,
)
from bendlead_schema.settings import LedgerSettings
from bendlead_store import FailureKind
from msgspec import UNSET, UnsetType
from parameterized import parameterized

from tests.bounded_store import BoundedStore

_ACCEPTED = DirectJobAccepted(
    job='j1', host='a', path='/', accepted_at=1, total=2, tokens=1
)
_ENDED = DirectJobEnded(job='j1')
_CHAIN = RunChain(id='c1', version='v1')
_SETTINGS = LedgerSettings(tail_bytes=65_536, segments=8)


def progress(
    after: int,
    last_event: int,
    text: str,
    item: str = 'i1',
    chain: RunChain | UnsetType = _CHAIN,
):
    """Return a record with some events of an item."""
    update = DirectProgress(
        item=item,
        after=after,
        last_event=last_event,
        text=text,
        spent=1.5,
        chain=chain,
    )
    return DirectResultsRecorded(job='j1', results=[], progress=[update])


def result_record(item: str = 'i1'):
    """Return a record with the result of an item."""
    result = DirectResult(item=item, completed=True, text='all')
    return DirectResultsRecorded(job='j1', results=[result])


def saved_progress(state: ShardState) -> dict[str, tuple[int, str]]:
    """Return the last event and the text of each item in progress."""
    return {
        item: (saved.last_event, saved.text)
        for item, saved in state.direct['j1'].saved_progress.items()
    }


class RuleTest(unittest.TestCase):
    """Progress counts only if it follows the last saved event."""

    @parameterized.expand(
        [
            ('first', [progress(-1, 2, 'a\nb')], {'i1': (2, 'a\nb')}),
            (
                'continued',
                [progress(-1, 2, 'a\nb'), progress(2, 3, 'c')],
                {'i1': (3, 'a\nb\nc')},
            ),
            (
                'empty_events_count',
                [progress(-1, 1, ''), progress(1, 3, '\n')],
                {'i1': (3, '\n\n')},
            ),
            (
                'twice',
                [progress(-1, 2, 'a\nb'), progress(-1, 2, 'a\nb')],
                {'i1': (2, 'a\nb')},
            ),
            (
                'after_a_gap',
                [progress(-1, 1, 'a'), progress(2, 3, 'c')],
                {'i1': (1, 'a')},
            ),
            ('without_a_start', [progress(2, 3, 'c')], {}),
            ('removed_by_result', [progress(-1, 1, 'a'), result_record()], {}),
            (
                'ignored_after_result',
                [result_record(), progress(-1, 1, 'a')],
                {},
            ),
            ('ignored_after_end', [_ENDED, progress(-1, 1, 'a')], {}),
            ('removed_by_end', [progress(-1, 1, 'a'), _ENDED], {}),
            (
                'of_another_item',
                [progress(-1, 1, 'a'), result_record('i2')],
                {'i1': (1, 'a')},
            ),
        ],
    )
    def test_records(self, _name, records, expected):
        state = ShardState()
        state.replay([_ACCEPTED, *records])
        self.assertEqual(expected, saved_progress(state))

    def test_snapshot_keeps_progress(self):
        state = ShardState()
        state.replay([_ACCEPTED, progress(-1, 1, 'a'), progress(1, 2, 'b')])
        restored = ShardState()
        body = encode(state.snapshot())
        restored.restore(decode(body, Snapshot, 'snapshot'))
        self.assertEqual({'i1': (2, 'a\nb')}, saved_progress(restored))
        self.assertEqual(
            1.5, restored.direct['j1'].saved_progress['i1'].run_seconds
        )
        restored.apply(progress(2, 3, 'c'))
        self.assertEqual({'i1': (3, 'a\nb\nc')}, saved_progress(restored))


class FormatTest(unittest.TestCase):
    """Records are compatible with a version that saves no progress."""

    def test_older_record(self):
        body = b'{"kind":"direct-results-recorded","job":"j1","results":[]}'
        state = ShardState()
        state.replay([_ACCEPTED, msgspec.json.decode(body, type=Record)])
        self.assertEqual({}, saved_progress(state))

    def test_record_for_an_older_version(self):
        """An older version knows the record kind and skips unknown fields."""
        found = msgspec.json.decode(encode(progress(-1, 1, 'a')))
        self.assertEqual('direct-results-recorded', found['kind'])
        self.assertEqual([], found['results'])


class FenceTest(unittest.TestCase):
    """A fenced owner can no longer save progress."""

    def test_progress_of_a_fenced_owner_is_rejected(self):
        store = BoundedStore()
        first = ShardLog(store, ShardId(1), Owner('n1', 'a'), _SETTINGS)
        first.take_over()
        first.commit([_ACCEPTED, progress(-1, 1, 'a')])
        second = ShardLog(store, ShardId(1), Owner('n2', 'b'), _SETTINGS)
        state = second.take_over().ok_value
        self.assertEqual({'i1': (1, 'a')}, saved_progress(state))
        late = first.commit([progress(1, 2, 'b')])
        self.assertIs(FailureKind.CONFLICT, late.err_value.kind)
        third = ShardLog(store, ShardId(1), Owner('n3', 'c'), _SETTINGS)
        self.assertEqual(
            {'i1': (1, 'a')}, saved_progress(third.take_over().ok_value)
        )


class ChainTest(unittest.TestCase):
    """Saved events are of one chain of runs.

    Guards against texts joined from runs that did not continue one another.
    """

    @parameterized.expand(
        [
            (
                'continued',
                [('c1', 'v1', -1, 2, 'a\nb'), ('c1', 'v1', 2, 3, 'c')],
                ('v1', 3, 'a\nb\nc'),
            ),
            (
                'started_over_at_another_version',
                [('c1', 'v1', -1, 2, 'a\nb'), ('c2', 'v2', -1, 0, 'x')],
                ('v2', 0, 'x'),
            ),
            (
                'started_over_at_the_same_version',
                [
                    ('c1', 'v1', -1, 2, 'a\nb'),
                    ('c2', 'v1', -1, 2, 'x\ny'),
                    ('c2', 'v1', 2, 3, 'z'),
                ],
                ('v1', 3, 'x\ny\nz'),
            ),
            (
                'engines_without_a_version',
                [('c1', '', -1, 2, 'a\nb'), ('c2', '', -1, 0, 'x')],
                ('', 0, 'x'),
            ),
            (
                'start_of_another_chain_not_saved',
                [('c1', 'v1', -1, 2, 'a\nb'), ('c2', 'v1', 2, 3, 'z')],
                ('v1', 2, 'a\nb'),
            ),
            (
                'repeated',
                [('c1', 'v1', -1, 2, 'a\nb'), ('c1', 'v1', -1, 1, 'a')],
                ('v1', 2, 'a\nb'),
            ),
        ]
    )
    def test_saved(self, _name, updates, expected):
        saved = SavedProgress()
        for chain, version, *update in updates:
            runs = RunChain(id=chain, version=version)
            saved.extend(progress(*update, chain=runs).progress[0])
        self.assertEqual(
            expected, (saved.version, saved.last_event, saved.text)
        )

    @parameterized.expand(
        [
            ('alone', [progress(-1, 2, 'a\nb', chain=UNSET)], {}),
            (
                'behind_a_chain',
                [progress(-1, 2, 'a\nb'), progress(2, 3, 'x', chain=UNSET)],
                {'i1': (2, 'a\nb')},
            ),
            (
                'within_a_chain',
                [
                    progress(-1, 2, 'a\nb'),
                    progress(-1, 3, 'x\ny\nz', chain=UNSET),
                    progress(2, 3, 'c'),
                ],
                {'i1': (3, 'a\nb\nc')},
            ),
        ]
    )
    def test_earlier_release(self, _name, records, expected):
        """Its events may be of several chains, so they are not used."""
        state = ShardState()
        state.replay([_ACCEPTED, *records])
        self.assertEqual(expected, saved_progress(state))
