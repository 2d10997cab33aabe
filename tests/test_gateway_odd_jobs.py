"""Odd jobs of callers, and odd answers of engines to items."""

import json
from unittest import mock

from bendlead_gateway._jobs import candidates
from bendlead_gateway.types import ItemId, JobId, JobItem, Submission
from parameterized import parameterized

from tests.gateway_cases import OwnerCase, job, node_shard
from tests.gateway_standins import chunked, event, eventually

_DEEP = '[' * 3000 + ']' * 3000
_ANSWER = chunked(event(1, 'ok'))


class OddJobTest(OwnerCase):
    """A job that can't be done is not accepted, and others are."""

    @parameterized.expand(
        [
            ('deep', f'{{"items":[],"more":{_DEEP}}}'),
            ('body_not_ascii', json.dumps({'items': [{'body': '→'}]})),
            ('header_not_in_heads', {'headers': {'X-Model': '→'}}),
            ('path_not_in_heads', {'path': '/x/→'}),
            ('id_not_in_heads', {'id': '→'}),
            ('header_with_line_end', {'headers': {'X-Model': 'a\r\nX-Y: 1'}}),
            ('tokens', {'tokens': 10**17}),
        ]
    )
    def test_odd_job(self, _name, odd):
        """Guards against items that are sent again and again."""
        self.configure([_ANSWER])
        node = self.start_sole_owner()
        body = odd if isinstance(odd, str) else _job_with(odd)
        self.assertEqual(400, self.submit(node, body.encode()))
        self.assertEqual(202, self.submit(node))
        (item,) = eventually(lambda: self.results(node))
        self.assertEqual(('i0', 'completed'), (item['id'], item['state']))

    def test_framing_headers(self):
        """Guards against a request with two lengths."""
        self.configure([_ANSWER])
        node = self.start_sole_owner()
        headers = {'Content-Length': '1', 'Transfer-Encoding': 'chunked'}
        self.assertEqual(
            202, self.submit(node, _job_with({'headers': headers}).encode())
        )
        eventually(lambda: self.results(node))
        (request,) = self.engine.requests
        head = request.partition(b'\r\n\r\n')[0].lower()
        self.assertEqual(1, head.count(b'content-length'))
        self.assertNotIn(b'transfer-encoding', head)


class StoredItemTest(OwnerCase):
    """An accepted item of an earlier version that no request can hold."""

    @parameterized.expand(
        [
            ('header_not_in_heads', '/x/1', {'X-Model': '→'}),
            ('path_not_in_heads', '/x/→', {}),
            ('header_with_line_end', '/x/1', {'X-Model': 'a\r\nX-Y: 1'}),
            (
                'path_with_line_end',
                '/x/1 HTTP/1.1\r\n\r\nPOST /x/2',
                {},
            ),
        ]
    )
    def test_is_not_sent_and_ends_with_its_retention(
        self, _name, path, headers
    ):
        """Guards against an item without an end, and smuggled requests."""
        self.configure([_ANSWER] * 9, retention_s=1)
        node = self.start_sole_owner()
        items = [
            JobItem(ItemId('odd'), path, headers, b'p', 1),
            JobItem(ItemId('sound'), '/x/3', {}, b'p', 1),
        ]
        shard = node._shard_manager.owned[node_shard()]
        with mock.patch.object(candidates, '_RETENTION_SLACK_SECONDS', 0.5):
            shard.accept(Submission(JobId('j1'), 'a.example', '/x/', items))
            results = eventually(
                lambda: (
                    found if len(found := self.results(node)) == 2 else None
                ),
                6,
            )
        states = {one['id']: one['state'] for one in results}
        self.assertEqual({'odd': 'dead_lettered', 'sound': 'completed'}, states)
        (request,) = self.engine.requests
        self.assertIn(b'POST /x/3 ', request)


def _job_with(changed):
    sent = json.loads(job())
    sent['items'][0].update(changed)
    return json.dumps(sent)
