"""Items whose queue and prompt take an engine longer than a silence may last.

Guards against items that each engine starts and none may finish.
"""

import unittest
from unittest import mock

import gevent
from bendlead_gateway._jobs import item_run
from parameterized import parameterized

from tests.gateway_cases import OwnerCase
from tests.gateway_standins import (
    ScriptedPeer,
    chunked,
    engine,
    event,
    eventually,
)

_TIMEOUT_SECONDS = 0.2
#: Time of the engine until it has read the prompt.
_PROMPT_SECONDS = 0.5
_ANSWER = chunked(event(1, 'a'), event(2, 'b'))
_HEAD_BYTES = _ANSWER.index(b'\r\n\r\n') + 4


class LateStartTest(OwnerCase):
    """Later runs of such an item wait longer."""

    @parameterized.expand([('before_head', 0), ('behind_head', _HEAD_BYTES)])
    def test_item_completes(self, _name, sent_at_once):
        self.configure()
        late = ScriptedPeer([])

        def script(sock):
            while late.read_request(sock):
                sock.sendall(_ANSWER[:sent_at_once])
                gevent.sleep(_PROMPT_SECONDS)
                sock.sendall(_ANSWER[sent_at_once:])

        late.run([script] * 20)
        self.addCleanup(late.close)
        self.store.set('servers', 'i-1', engine(late.address))
        with mock.patch.object(
            item_run, '_IO_TIMEOUT_SECONDS', _TIMEOUT_SECONDS
        ):
            node = self.start_sole_owner()
            self.submit(node)
            results = eventually(lambda: self.results(node), 6)
        self.assertEqual('a\nb', results[0]['text'])


if __name__ == '__main__':
    unittest.main()
