"""Owners of batch jobs between a store and scripted engines."""

import base64
import json
import random
import unittest

import gevent
from bendlead_gateway._entry import EntryNode
from bendlead_gateway._owner import OwnerNode
from bendlead_gateway.http import HttpConnection
from bendlead_gateway.types import NodeRole
from bendlead_platform import PlatformDialect, PlatformStore
from bendlead_store import ABSENT, Failure, FailureKind
from bendlead_testing.platform_store import PlatformStandIn, Trouble
from bendlead_testing.ports import free_port
from parameterized import parameterized
from result import Err

from tests.gateway_standins import (
    ScriptedPeer,
    chunked,
    configuration,
    engine,
    event,
    eventually,
    route,
    settings,
)

_WHOLE = chunked(event(1, 'a'), event(2, 'b'))
_CUT = chunked(event(1, 'a'), last=False)
_TAIL = chunked(event(2, 'b'))
_GAP = chunked(event(1, 'a'), event(3, 'c'))
_NO_TEXT = chunked(event(1, 'a'), b'id: 2\ndata: \xff\n\n')
_FAILED = b'HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n'
_NEVER = b'HTTP/1.1 422 x\r\nContent-Length: 0\r\n\r\n'
_SHED = b'HTTP/1.1 503 x\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n'


def job(items=1, tokens=10, size=6):
    """Make the body of a job."""
    body = base64.b64encode(b'p' * size).decode()
    return json.dumps(
        {
            'items': [
                {'id': f'i{at}', 'path': '/x/1', 'body': body, 'tokens': tokens}
                for at in range(items)
            ],
        },
    ).encode()


class OwnerCase(unittest.TestCase):
    """Start a store and owners."""

    def setUp(self):
        self.store = PlatformStandIn(f'127.0.0.1:{free_port()}')
        self.store.start()

    def configure(self, answers=(), **changed):
        """Start one engine that gives its answers one after the other."""
        changed = {'max_attempts': 3, **changed}
        made = configuration(1, route('batch', **changed))
        self.store.set('config', 'main', made)
        given = list(answers)

        def script(sock):
            while True:
                if not self.engine.read_request(sock):
                    return
                if not given:
                    # The engine works on without an event.
                    gevent.sleep(5)
                    return
                sock.sendall(given.pop(0))
                if given and given[0] is _CUT:
                    return

        self.engine = ScriptedPeer([script] * 50)
        self.addCleanup(self.engine.close)
        listed = engine(self.engine.address)
        self.store.set('servers', 'i-1', listed)

    def owner(self, name='owner-1'):
        """Start an owner and wait until it holds shards."""
        made = settings(name, NodeRole.OWNER, self.store.address)
        store = PlatformStore(made.store_address)
        node = OwnerNode(made, store, PlatformDialect())
        node.serve()
        return node

    def holding(self, name='owner-1'):
        """Start an owner that holds all shards."""
        node = self.owner(name)
        eventually(lambda: len(node._keeper.boards) == 4)
        return node

    def call(self, node, method, target, body=b'', wait=0):
        """Make a call as an entry relays it."""
        connection = HttpConnection(node.record.address, 1)
        self.addCleanup(connection.close)
        headers = [
            ('Host', 'a.example'),
            ('X-Attempt-Id', 'j1'),
            ('X-Wait-Ms', str(wait)),
        ]
        return connection.request(method, target, headers, body, 4)

    def submit(self, node, body=None):
        """Hand the job in."""
        return self.call(node, 'POST', '/x/j1', body or job()).head.status

    def results(self, node):
        """Read all results."""
        response = self.call(node, 'GET', '/-/lots/j1?watch_after=0')
        if response.head.status != 200:
            return []
        return json.loads(response.body)['results']


class ItemTest(OwnerCase):
    """How an item ends for what engines do."""

    @parameterized.expand(
        [
            ('whole', [_WHOLE], 'completed', 'a\nb'),
            ('never_possible', [_NEVER], 'dead_lettered', ''),
            ('failed_three_times', [_FAILED] * 3, 'dead_lettered', ''),
            ('failed_twice', [_FAILED, _FAILED, _WHOLE], 'completed', 'a\nb'),
            ('shed_is_no_failure', [_SHED] * 4 + [_WHOLE], 'completed', 'a\nb'),
            ('gap_goes_on_behind', [_GAP, _TAIL], 'completed', 'a\nb'),
            ('no_text', [_NO_TEXT, _TAIL], 'completed', 'a\nb'),
        ],
    )
    def test_ending(self, _name, answers, state, text):
        self.configure(answers)
        node = self.holding()
        self.assertEqual(202, self.submit(node))
        found = eventually(lambda: self.results(node), 5)
        self.assertEqual((state, text), (found[0]['state'], found[0]['text']))

    def test_item_steps_aside_and_goes_on_behind_its_last_event(self):
        self.configure([_CUT, _TAIL])
        node = self.holding()
        self.submit(node)
        eventually(lambda: len(self.engine.requests) == 1)
        gevent.sleep(0.1)
        node.fleet.loads.own.online['i-1'] += 8
        eventually(lambda: not node._runner.running)
        node.fleet.loads.own.online['i-1'] -= 8
        found = eventually(lambda: self.results(node))
        self.assertEqual('a\nb', found[0]['text'])
        self.assertIn(b'Last-Event-Id: 1', self.engine.requests[1])

    def test_results_larger_than_a_value(self):
        noise = random.Random(1)
        texts = [noise.randbytes(150_000).hex() for _item in range(5)]
        answers = [chunked(event(1, text)) for text in texts]
        self.configure(answers)
        node = self.holding()
        self.submit(node, job(items=5))
        eventually(lambda: len(self.results(node)) >= 3, 6)
        response = self.call(node, 'GET', '/-/lots/j1?watch_after=4')
        self.assertEqual(1, len(json.loads(response.body)['results']))

    def test_job_larger_than_a_value(self):
        self.configure([_WHOLE] * 3)
        node = self.holding()
        large = job(items=3, size=600_000)
        self.assertEqual(202, self.submit(node, large))
        eventually(lambda: len(self.results(node)) == 3)


class CallTest(OwnerCase):
    """What calls about jobs get."""

    def test_same_job_twice(self):
        self.configure()
        node = self.holding()
        self.assertEqual([202, 202], [self.submit(node) for _again in range(2)])
        self.assertEqual(1, len(node._keeper.boards[node_shard()].jobs))

    @parameterized.expand([('fits', 30, 202), ('too_many', 29, 429)])
    def test_quota(self, _name, limit, status):
        self.configure(max_queued_tokens=limit)
        node = self.holding()
        self.assertEqual(status, self.submit(node, job(items=3)))

    @parameterized.expand(
        [
            ('read', 'GET', '/-/lots/j9'),
            ('body', 'GET', '/-/items/j9?id=i0'),
            ('end', 'DELETE', '/-/lots/j9'),
        ],
    )
    def test_unknown_job(self, _name, method, target):
        self.configure()
        node = self.holding()
        self.assertEqual(404, self.call(node, method, target).head.status)
        gevent.sleep(0.8)
        self.store.trouble = Trouble.AWAY
        self.assertEqual(503, self.call(node, method, target).head.status)

    def test_body_until_the_end(self):
        self.configure()
        node = self.holding()
        self.submit(node)
        body = self.call(node, 'GET', '/-/items/j1?id=i0')
        self.assertEqual(b'pppppp', body.body)
        ended = self.call(node, 'DELETE', '/-/lots/j1')
        self.assertEqual(200, ended.head.status)
        eventually(lambda: not node._runner.running)
        again = self.call(node, 'DELETE', '/-/lots/j1')
        self.assertEqual(200, again.head.status)

    def test_store_away(self):
        self.configure()
        node = self.holding()
        self.store.trouble = Trouble.AWAY
        self.assertIn(self.submit(node), {503, 504})
        self.store.trouble = Trouble.NONE
        eventually(lambda: self.submit(node) == 202)

    @parameterized.expand(
        [
            ('lost_answers', Trouble.LOST_ANSWERS),
            ('late_effects', Trouble.LATE_EFFECTS),
        ],
    )
    def test_unclear_write(self, _name, trouble):
        self.configure()
        node = self.holding()
        self.store.trouble = trouble
        self.assertEqual(504, self.submit(node))
        self.store.trouble = Trouble.NONE
        eventually(lambda: self.submit(node) == 202, 6)
        self.assertEqual(1, len(node._keeper.boards[node_shard()].jobs))


class TakeoverTest(OwnerCase):
    """Another owner goes on with the jobs of one that is lost."""

    def test_results_keep_their_positions(self):
        self.configure([_WHOLE])
        first = self.holding()
        self.submit(first, job(items=2))
        before = eventually(lambda: self.results(first))
        second = self.owner('owner-2')
        # The second hears nothing of the first, as when the two are cut.
        second.peers.claims.claimed = lambda _shard: 0
        second.peers.claims.able_owners = list
        first.peers.claims.claimed = lambda _shard: 0
        eventually(lambda: len(second._keeper.boards) == 4, 5)
        self.assertEqual(before, self.results(second))
        response = eventually(
            lambda: self.call(first, 'GET', '/-/lots/j1').head.status == 503,
            5,
        )
        self.assertTrue(response)

    def test_owner_that_the_store_turns_away_is_replaced(self):
        self.configure()
        first = self.holding()
        self.submit(first)
        second = self.owner('owner-2')
        eventually(second.peers.claims.able_owners)
        # The held watches of the first live on; its new calls are refused.
        refused = Err(Failure(FailureKind.NOT_DONE, 'put', 'store', 'busy'))
        first.store.put = lambda *_call: refused
        gevent.spawn(self.call, first, 'DELETE', '/-/lots/j1')
        # Some 4 s on an idle machine; the shards are taken one by one.
        eventually(lambda: len(second._keeper.boards) == 4, 15)
        self.assertIn('j1', second._keeper.boards[node_shard()].jobs)
        eventually(lambda: not first._keeper.boards, 2)

    def test_store_down_for_all_moves_nothing(self):
        self.configure()
        first = self.holding()
        self.submit(first)
        second = self.owner('owner-2')
        eventually(second.peers.claims.able_owners)
        epochs = first._keeper.epochs()
        self.store.trouble = Trouble.AWAY
        gevent.spawn(self.call, first, 'DELETE', '/-/lots/j1')
        gevent.sleep(3)
        self.store.trouble = Trouble.NONE
        gevent.sleep(0.5)
        self.assertEqual(epochs, first._keeper.epochs())
        self.assertEqual({}, second._keeper.epochs())

    @parameterized.expand([('watches_end', True), ('watches_live_on', False)])
    def test_holder_that_returns_a_moment_later(self, _name, watches_end):
        """What it holds in memory would run again at another owner."""
        self.configure()
        first = self.holding()
        self.submit(first)
        second = self.owner('owner-2')
        eventually(second.peers.claims.able_owners)
        epochs = first._keeper.epochs()
        put = first.store.put
        refused = Err(Failure(FailureKind.NOT_DONE, 'put', 'store', 'busy'))
        first.store.put = lambda *_call: refused
        self.store.trouble = Trouble.AWAY
        if watches_end:
            self.store.forget_history()
        gevent.spawn(self.call, first, 'DELETE', '/-/lots/j1')
        gevent.sleep(4)
        self.store.trouble = Trouble.NONE
        eventually(lambda: second.peers_watch.current)
        gevent.sleep(0.8)
        first.store.put = put
        gevent.sleep(1.5)
        self.assertEqual(epochs, first._keeper.epochs())
        self.assertEqual({}, second._keeper.epochs())

    def test_leaving_owner_hands_over_at_once(self):
        self.configure()
        first = self.holding()
        self.submit(first)
        second = self.owner('owner-2')
        eventually(lambda: second.peers.claims.able_owners())
        first.leaving = True
        gevent.spawn(first.leave)
        eventually(lambda: len(second._keeper.boards) == 4, 3)
        self.assertEqual(202, self.submit(second))
        self.assertIn('j1', second._keeper.boards[node_shard()].jobs)


class ValueTest(OwnerCase):
    """Values of any bytes come back as they were written."""

    @parameterized.expand(
        [
            ('object', b'{"a": 1}'),
            ('list', b'[1, 2]'),
            ('packed', b'\x28\xb5\x2f\xfd'),
            ('packed_like_an_object', b'{\x00\xff\x01'),
            ('packed_like_a_list', b'[\x93\x00"'),
            ('one_byte_like_a_list', b'['),
        ]
    )
    def test_round_trip(self, _name, body):
        store = PlatformStore(self.store.address)
        self.assertTrue(store.put('ledger/0000.part.1', body, ABSENT).is_ok())
        found = store.fetch('ledger/0000.part.1').ok_value
        self.assertEqual(body, found.body)


class ForwardedCallTest(OwnerCase):
    """An entry that does not hear the owner asks one that does."""

    def entry(self, name):
        """Start an entry."""
        made = settings(name, NodeRole.ENTRY, self.store.address)
        store = PlatformStore(made.store_address)
        node = EntryNode(made, store, PlatformDialect())
        node.serve()
        return node

    def ask(self, entry, method, target, body=b''):
        """Call an entry as a client does."""
        connection = HttpConnection(entry.settings.clients_address, 1)
        self.addCleanup(connection.close)
        headers = [('Host', 'a.example'), ('X-Attempt-Id', 'j1')]
        answered = connection.request(method, target, headers, body, 3)
        return answered.head.status

    @parameterized.expand([('another_hears_it', True), ('nobody_does', False)])
    def test_call(self, _name, heard):
        self.configure()
        owner = self.holding()
        entries = [self.entry(name) for name in ('entry-1', 'entry-2')]
        for entry in entries:
            eventually(
                lambda node=entry: node.peers.claims.holder(node_shard())
            )
            eventually(lambda node=entry: node.fleet.configuration.known)
        eventually(lambda: entries[0].peers.claims.way_to(node_shard()))
        for entry in entries[: 1 if heard else 2]:
            entry.peers.claims.holder = lambda _shard: None
        status = self.ask(entries[0], 'POST', '/x/', job())
        self.assertEqual(202 if heard else 503, status)
        status = self.ask(entries[0], 'GET', '/-/lots/j1')
        self.assertEqual(200 if heard else 503, status)
        self.assertEqual(heard, 'j1' in owner._keeper.boards[node_shard()].jobs)


class RetirementTest(OwnerCase):
    """An owner that is to be emptied says when it is."""

    def test_shards_move_before_it_says_so(self):
        self.configure()
        first = self.holding()
        self.submit(first)
        second = self.owner('owner-2')
        eventually(second.peers.claims.able_owners)
        self.store.set('retirements', 'owner-1', {'duration_s': 5})
        status = eventually(
            lambda: self.store.get('retirements', 'owner-1')['status'], 4
        )
        self.assertEqual('completed', status['state'])
        self.assertEqual({}, first._keeper.boards)
        eventually(lambda: len(second._keeper.boards) == 4, 3)

    def test_order_for_another_node(self):
        self.configure()
        node = self.holding()
        self.store.set('retirements', 'owner-9', {'duration_s': 5})
        gevent.sleep(0.5)
        self.assertEqual(4, len(node._keeper.boards))
        self.assertIsNone(self.store.get('retirements', 'owner-9')['status'])


def node_shard() -> int:
    """Give the shard of the test's host."""
    from bendlead_gateway._jobs.shards import shard_of

    return shard_of('a.example')
