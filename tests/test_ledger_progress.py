"""How far the items of a direct job have come outlasts the owner."""

import unittest

import msgspec
from bendlead_ledger import Owner, ShardId, ShardLog, ShardState
from bendlead_ledger._codec import decode, encode
from bendlead_schema.records import (
    DirectJobAccepted,
    DirectJobEnded,
    DirectProgress,
    DirectResult,
    DirectResultsRecorded,
    Record,
    Snapshot,
)
from bendlead_schema.settings import LedgerSettings
from bendlead_store import FailureKind
from parameterized import parameterized

from tests.bounded_store import BoundedStore

_ACCEPTED = DirectJobAccepted(
    job='j1', host='a', path='/', accepted_at=1, total=2, tokens=1
)
_ENDED = DirectJobEnded(job='j1')
_SETTINGS = LedgerSettings(tail_bytes=65_536, segments=8)


def progress(after: int, last_event: int, text: str, item: str = 'i1'):
    """Make the record of some events of an item."""
    one = DirectProgress(
        item=item, after=after, last_event=last_event, text=text, spent=1.5
    )
    return DirectResultsRecorded(job='j1', results=[], progress=[one])


def listed(item: str = 'i1'):
    """Make the record of an item's result."""
    one = DirectResult(item=item, completed=True, text='all')
    return DirectResultsRecorded(job='j1', results=[one])


def kept(state: ShardState) -> dict[str, tuple[int, str]]:
    """Show the last event and the text of each item of the job."""
    return {
        item: (one.last_event, one.text)
        for item, one in state.direct['j1'].kept.items()
    }


class RuleTest(unittest.TestCase):
    """What counts of the progress that records hold."""

    @parameterized.expand(
        [
            ('first', [progress(-1, 2, 'a\nb')], {'i1': (2, 'a\nb')}),
            (
                'goes_on',
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
                'behind_a_gap',
                [progress(-1, 1, 'a'), progress(2, 3, 'c')],
                {'i1': (1, 'a')},
            ),
            ('without_a_start', [progress(2, 3, 'c')], {}),
            ('result_ends_it', [progress(-1, 1, 'a'), listed()], {}),
            ('nothing_behind_a_result', [listed(), progress(-1, 1, 'a')], {}),
            ('nothing_behind_the_end', [_ENDED, progress(-1, 1, 'a')], {}),
            ('end_ends_it', [progress(-1, 1, 'a'), _ENDED], {}),
            (
                'of_another_item',
                [progress(-1, 1, 'a'), listed('i2')],
                {'i1': (1, 'a')},
            ),
        ],
    )
    def test_records(self, _name, records, expected):
        state = ShardState()
        state.replay([_ACCEPTED, *records])
        self.assertEqual(expected, kept(state))

    def test_snapshot_keeps_it(self):
        state = ShardState()
        state.replay([_ACCEPTED, progress(-1, 1, 'a'), progress(1, 2, 'b')])
        restored = ShardState()
        body = encode(state.snapshot())
        restored.restore(decode(body, Snapshot, 'snapshot'))
        self.assertEqual({'i1': (2, 'a\nb')}, kept(restored))
        self.assertEqual(1.5, restored.direct['j1'].kept['i1'].spent)
        restored.apply(progress(2, 3, 'c'))
        self.assertEqual({'i1': (3, 'a\nb\nc')}, kept(restored))


class FormatTest(unittest.TestCase):
    """Records of a version that keeps no progress, and the other way round."""

    def test_older_record(self):
        body = b'{"kind":"direct-results-recorded","job":"j1","results":[]}'
        state = ShardState()
        state.replay([_ACCEPTED, msgspec.json.decode(body, type=Record)])
        self.assertEqual({}, kept(state))

    def test_record_for_an_older_version(self):
        """An older version reads known kinds only and skips unknown fields."""
        found = msgspec.json.decode(encode(progress(-1, 1, 'a')))
        self.assertEqual('direct-results-recorded', found['kind'])
        self.assertEqual([], found['results'])


class FenceTest(unittest.TestCase):
    """Two owners of one shard."""

    def test_progress_of_a_deposed_owner_does_not_count(self):
        store = BoundedStore()
        first = ShardLog(store, ShardId(1), Owner('n1', 'a'), _SETTINGS)
        first.take_over()
        first.commit([_ACCEPTED, progress(-1, 1, 'a')])
        second = ShardLog(store, ShardId(1), Owner('n2', 'b'), _SETTINGS)
        state = second.take_over().ok_value
        self.assertEqual({'i1': (1, 'a')}, kept(state))
        late = first.commit([progress(1, 2, 'b')])
        self.assertIs(FailureKind.CONFLICT, late.err_value.kind)
        third = ShardLog(store, ShardId(1), Owner('n3', 'c'), _SETTINGS)
        self.assertEqual({'i1': (1, 'a')}, kept(third.take_over().ok_value))
