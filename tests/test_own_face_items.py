"""Items of bendlead-node under which engines crash or are away.

Guards against accepted items that are given up, or stand still, though no
engine has failed them, and against items that crash engines without an end.
"""

import unittest
from unittest.mock import Mock

from bendlead_node._endpoint.item import BatchItem, ItemState
from bendlead_schema.messages import GrantedItem
from parameterized import parameterized
from result import Ok

from tests.test_ledger_cut_items import CutItemCase

#: A run fails this long after its grant; runs are asked for as often.
_RUN_SECONDS = 0.2
#: The users count an item as lost that has not failed or run for so long.
_LOST_SECONDS = 20.0
_CONTACT_SECONDS = 3.0
_LATE_RUNS = 3


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
