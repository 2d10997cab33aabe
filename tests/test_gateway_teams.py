"""Authentication by key, limits of teams, and teams of jobs."""

import functools
import json
from unittest import mock

import gevent
from bendlead_gateway._entry import EntryNode
from bendlead_gateway._owner import OwnerNode
from bendlead_gateway.types import NodeRole
from bendlead_ledger import unpack_items
from bendlead_platform import PlatformDialect, PlatformStore
from bendlead_store import clock
from bendlead_testing.platform_store import Trouble
from parameterized import parameterized

from tests.gateway_cases import EntryCase, OwnerCase, job
from tests.gateway_standins import (
    chunked,
    configuration,
    event,
    eventually,
    route,
    settings,
)

_KEY = 'k-of-team-1-abcdefghij'
_OTHER_KEY = 'k-of-team-1-second-one'
_STRANGE_KEY = 'k-of-team-2-abcdefghij'
_TEAMS = [
    {'name': 'team-1', 'api_keys': [_KEY, _OTHER_KEY], 'priority': 1},
    {'name': 'team-2', 'api_keys': [_STRANGE_KEY]},
]
_PLAIN = (
    b'HTTP/1.1 200 OK\r\nX-Response-Seal: s1\r\nContent-Length: 2\r\n\r\nok'
)
_SHED = b'HTTP/1.1 503 x\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n'
_CUT = chunked(event(1, 'a'), headers='X-Response-Seal: s\r\n', last=False)
_TAIL = chunked(event(2, 'b'), headers='X-Response-Seal: s\r\n')


class KeyTest(EntryCase):
    """Authentication of callers at an entry."""

    def begin(self, *routes, answers=(_PLAIN, _PLAIN)):
        """Start an entry whose callers need keys."""
        self.start(*routes, answers=answers)
        self.configure(2, *routes)

    def configure(self, version, *routes, teams=_TEAMS):
        """Put a configuration with teams in force."""
        made = {**configuration(version, *routes), 'tenants': teams}
        self.store.set('config', 'main', made)
        known = self.entry.fleet.configuration
        eventually(lambda: known.version == version)

    def status(self, *extra):
        """Return the status of one request."""
        return self.read(self.send_request(extra=extra))[0].status

    @parameterized.expand(
        [
            ('key', [('X-Credential', _KEY)], 200),
            ('second_key', [('X-Credential', _OTHER_KEY)], 200),
            ('name_in_capitals', [('X-CREDENTIAL', _KEY)], 200),
            ('none', [], 401),
            ('empty', [('X-Credential', '')], 401),
            ('unknown', [('X-Credential', 'nobody')], 401),
            ('key_in_capitals', [('X-Credential', _KEY.upper())], 401),
            ('a_part_of_one', [('X-Credential', _KEY[:-1])], 401),
            (
                'two',
                [('X-Credential', _KEY), ('X-Credential', _STRANGE_KEY)],
                401,
            ),
            ('same_twice', [('X-Credential', _KEY)] * 2, 401),
            ('odd_bytes', [('X-Credential', '\xff\x80\xe4')], 401),
            ('name_of_a_team', [('X-Credential', 'team-1')], 401),
            ('team_without_key', [('X-Tenant', 'team-1')], 401),
            ('too_long', [('X-Credential', 'k' * 65_536)], 431),
        ],
    )
    def test_key(self, _name, extra, status):
        self.begin(route('safe'))
        self.assertEqual(status, self.status(*extra))

    @parameterized.expand(
        [
            ('without_key', [], 200),
            ('with_key', [('X-Credential', _KEY)], 200),
            ('unknown_key', [('X-Credential', 'nobody')], 401),
        ],
    )
    def test_public_route(self, _name, extra, status):
        self.begin(route('safe', public=True))
        self.assertEqual(status, self.status(*extra))

    def test_no_teams_no_keys(self):
        self.start(route('safe'), answers=[_PLAIN])
        self.assertEqual(200, self.status(('X-Credential', 'nobody')))

    @parameterized.expand([('plain', []), ('claims', [('x-tenant', 'team-2')])])
    def test_engine_gets_the_team_in_place_of_the_key(self, _name, extra):
        self.begin(route('safe'))
        self.assertEqual(200, self.status(('X-Credential', _KEY), *extra))
        (sent,) = [one for peer in self.engines for one in peer.requests]
        self.assertNotIn(_KEY.encode(), sent)
        self.assertNotIn(b'team-2', sent)
        self.assertIn(b'X-Tenant: team-1\r\n', sent)

    def test_resumed_stream_names_the_team_again(self):
        self.begin(route('streaming', resumable=True), answers=[_CUT, _TAIL])
        self.entry.fleet.loads.own.online['i-1'] += 3
        self.assertEqual(200, self.status(('X-Credential', _KEY)))
        for peer in self.engines:
            self.assertIn(b'X-Tenant: team-1\r\n', peer.requests[0])
            self.assertNotIn(_KEY.encode(), peer.requests[0])

    def test_key_taken_away(self):
        self.begin(route('safe'))
        self.configure(
            3,
            route('safe'),
            teams=[{'name': 'team-1', 'api_keys': [_OTHER_KEY]}],
        )
        self.assertEqual(401, self.status(('X-Credential', _KEY)))
        self.assertEqual(200, self.status(('X-Credential', _OTHER_KEY)))

    @parameterized.expand(
        [
            ('unknown', [('X-Credential', 'new')], _KEY),
            ('none', [], _OTHER_KEY),
        ],
    )
    def test_key_while_the_newest_configuration_is_not_sure(
        self, _name, extra, known
    ):
        """The newest configuration may have the key, or require none."""
        self.begin(route('safe'))
        self.store.trouble = Trouble.CUT
        eventually(lambda: not self.entry.fleet.config_watch.current)
        head, _body = self.read(self.send_request(extra=extra))
        self.assertEqual(503, head.status)
        self.assertGreater(float(head.find('retry-after')), 0)
        self.assertEqual(200, self.status(('X-Credential', known)))

    def test_key_is_in_no_log_line_and_no_dump(self):
        self.begin(route('safe'))
        self.status(('X-Credential', _KEY))
        self.status(('X-Credential', 'nobody-at-all'))
        dumped = json.dumps(self.entry.state(), default=str)
        known = repr(self.entry.fleet.configuration.current)
        for key in (_KEY, _OTHER_KEY, 'nobody-at-all'):
            self.assertNotIn(key, dumped + known)


class LimitTest(EntryCase):
    """Responses to requests over the limit of their team."""

    #: Admits two requests at once, and two more a second later.
    _TEAMS = ({'name': 't', 'api_keys': [_KEY], 'per_s': 2, 'burst': 2},)

    def begin(self, answers):
        """Start an entry, and wait until its whole burst is available."""
        self.start(route('safe'), answers=answers)
        self.configure(2, self._TEAMS)
        gevent.sleep(1.1)

    def configure(self, version, teams):
        """Put a configuration with teams in force."""
        made = {**configuration(version, route('safe')), 'tenants': list(teams)}
        self.store.set('config', 'main', made)
        known = self.entry.fleet.configuration
        eventually(lambda: known.version == version)

    def status(self):
        """Send a request of the team and return the response head."""
        head, _body = self.read(
            self.send_request(extra=[('X-Credential', _KEY)])
        )
        return head

    def test_rejected_request_has_retry_after(self):
        self.begin([_PLAIN])
        self.assertEqual([200, 200], [self.status().status for _ in range(2)])
        refused = self.status()
        self.assertEqual(429, refused.status)
        self.assertEqual(2, self.count_engine_requests())
        later = float(refused.find('retry-after'))
        self.assertTrue(0 < later < 1.2, later)

    def test_refused_requests_are_not_counted(self):
        self.begin([_SHED])
        self.assertEqual([503] * 4, [self.status().status for _ in range(4)])

    @parameterized.expand(
        [
            ('not_sent', 'fleet.balancer', 'choose', 503, 200),
            ('sent', 'dialect', 'engine_answer', 500, 429),
        ]
    )
    def test_request_whose_handler_failed(
        self, _name, part, step, failed, later
    ):
        """Guards against a limit that counts what no engine has run."""
        self.begin([_PLAIN])
        owner = functools.reduce(getattr, part.split('.'), self.entry)
        with mock.patch.object(type(owner), step, side_effect=KeyError('i')):
            statuses = [self.status().status for _ in range(2)]
        self.assertEqual([failed] * 2, statuses)
        self.assertEqual(later, self.status().status)

    def test_a_limit_is_counted_over_entries(self):
        self.begin([_PLAIN])
        made = settings('entry-2', NodeRole.ENTRY, self.store.address)
        store = PlatformStore(made.store_address)
        other = EntryNode(made, store, PlatformDialect())
        other.serve()
        eventually(lambda: other.peers.entry_group().reachable == 2)
        self.assertEqual([200, 200], [self.status().status for _ in range(2)])
        eventually(lambda: other.limits.levels().get('t', 0) > 1)
        first, self.entry = self.entry, other
        self.assertEqual(429, self.status().status)
        self.assertIs(first.limits.group.majority, True)

    def test_no_majority_until_the_peers_are_listed(self):
        """There may be many entries that this one does not know yet."""
        self.begin([_PLAIN])
        self.assertIs(True, self.entry.peers.entry_group().majority)
        made = settings('entry-2', NodeRole.ENTRY, self.store.address)
        store = PlatformStore(made.store_address)
        other = EntryNode(made, store, PlatformDialect())
        self.assertIs(False, other.peers.entry_group().majority)

    def test_a_higher_limit_holds_at_once(self):
        self.begin([_PLAIN, _PLAIN])
        self.assertEqual([200, 200], [self.status().status for _ in range(2)])
        self.assertEqual(429, self.status().status)
        self.configure(3, [{**self._TEAMS[0], 'per_s': 20, 'burst': 20}])
        self.assertEqual([200, 200], [self.status().status for _ in range(2)])


class TeamJobTest(OwnerCase):
    """Jobs belong to a team."""

    def begin(self, answers=(), **changed):
        """Start an owner and an entry; callers need keys."""
        self.configure(answers, **changed)
        made = {
            **configuration(2, route('batch', max_attempts=3, **changed)),
            'tenants': _TEAMS,
        }
        self.store.set('config', 'main', made)
        self.node = self.start_sole_owner()
        eventually(lambda: self.node.fleet.configuration.version == 2)

    def as_team(self, team, method, target, body=b'', job_id='j1'):
        """Send a call as an entry forwards it for a team."""
        from bendlead_gateway.http import HttpConnection

        connection = HttpConnection(self.node.record.address, 1)
        self.addCleanup(connection.close)
        headers = [
            ('Host', 'a.example'),
            ('X-Attempt-Id', job_id),
            ('X-Bendlead-Team', team),
        ]
        return connection.request(method, target, headers, body, 4)

    def submit_as(self, team, job_id='j1', **made):
        """Submit a job for a team; return the status."""
        body = job(**made)
        return self.as_team(team, 'POST', '/x/j1', body, job_id).head.status

    @parameterized.expand([('nothing_done', 0, 1, 1), ('slow', 20, 5, 13)])
    def test_refused_job_is_told_when_there_is_room(
        self, _name, tokens, least, most
    ):
        self.begin(max_queued_tokens=100)
        self.assertEqual(202, self.submit_as('team-1', 'j1', tokens=90))
        self.node._runner.backlog_rates.record_finished(
            'a.example', 'team-1', tokens, clock.uptime()
        )
        refused = self.as_team('team-1', 'POST', '/x/j1', job(tokens=90), 'j2')
        self.assertEqual(429, refused.head.status)
        told = float(refused.head.find('retry-after'))
        self.assertLessEqual(least, told)
        self.assertLessEqual(told, most)

    @parameterized.expand(
        [
            ('read', 'GET', '/-/lots/j1?watch_after=0', 200),
            ('body', 'GET', '/-/items/j1?id=i0', 200),
            ('end', 'DELETE', '/-/lots/j1', 200),
        ],
    )
    def test_others_see_no_such_job(self, _name, method, target, status):
        self.begin()
        self.assertEqual(202, self.submit_as('team-1'))
        unknown = self.as_team(
            'team-2', method, target.replace('j1', 'j9'), job_id='j9'
        )
        other = self.as_team('team-2', method, target)
        self.assertEqual(404, unknown.head.status)
        self.assertEqual(
            (unknown.head.status, unknown.body),
            (other.head.status, other.body),
        )
        own = self.as_team('team-1', method, target)
        self.assertEqual(status, own.head.status)

    def test_id_in_use_is_taken_by_no_other_team(self):
        self.begin()
        self.assertEqual(202, self.submit_as('team-1'))
        self.assertEqual(409, self.submit_as('team-2'))
        self.assertEqual(202, self.submit_as('team-1'))
        read = self.as_team('team-1', 'GET', '/-/lots/j1?watch_after=0')
        self.assertEqual(1, json.loads(read.body)['total'])

    def test_tokens_waiting_are_counted_for_each_team(self):
        self.begin(max_queued_tokens=15)
        self.assertEqual(202, self.submit_as('team-1', 'j1'))
        self.assertEqual(429, self.submit_as('team-1', 'j2'))
        self.assertEqual(202, self.submit_as('team-2', 'j3'))

    def test_items_name_the_team_whatever_their_headers_say(self):
        self.begin([chunked(event(1, 'a'))])
        body = json.loads(job())
        body['items'][0]['headers'] = {
            'x-tenant': 'team-2',
            'x-credential': _STRANGE_KEY,
            'X-Model': 'm',
        }
        sent = json.dumps(body).encode()
        self.as_team('team-1', 'POST', '/x/j1', sent)
        (request,) = eventually(lambda: self.engine.requests)
        self.assertIn(b'X-Tenant: team-1\r\n', request)
        self.assertNotIn(b'team-2', request)
        self.assertNotIn(_STRANGE_KEY.encode(), request)
        stored = json.dumps(
            [one for _key, one in self.store._objects.items()], default=str
        )
        # The operator's own configuration is the only place of keys.
        self.assertEqual(1, stored.count(_STRANGE_KEY))
        # Items are compressed in the log.
        (accepted,) = [
            job.state.accepted
            for board in self.node._shard_manager.owned.values()
            for job in board.jobs.values()
        ]
        (item,) = unpack_items(accepted.packed, b'')
        self.assertEqual({'X-Model': 'm'}, item.headers)

    def test_job_of_a_team_survives_its_owner(self):
        self.begin()
        self.assertEqual(202, self.submit_as('team-1'))
        second = self.start_owner('owner-2')
        self.node.draining = True
        self.node.shut_down()
        eventually(lambda: len(second._shard_manager.owned) == 4)
        self.node = second
        read = '/-/lots/j1?watch_after=0'
        self.assertEqual(200, self.as_team('team-1', 'GET', read).head.status)
        self.assertEqual(404, self.as_team('team-2', 'GET', read).head.status)


class JobKeyTest(EntryCase):
    """Calls about jobs need a key, which is not forwarded."""

    def setUp(self):
        super().setUp()
        made = settings('owner-1', NodeRole.OWNER, self.store.address)
        store = PlatformStore(made.store_address)
        self.owner = OwnerNode(made, store, PlatformDialect())
        self.owner.serve()
        self.start(route('batch', max_attempts=3))
        made = {
            **configuration(2, route('batch', max_attempts=3)),
            'tenants': _TEAMS,
        }
        self.store.set('config', 'main', made)
        for node in (self.entry, self.owner):
            eventually(lambda node=node: node.fleet.configuration.version == 2)
        eventually(lambda: self.entry.peers.claims.owner(0))

    def call(self, method, target, key, body=b''):
        """Send a call about a job with a key; return the status."""
        from bendlead_gateway.http import HttpConnection

        connection = HttpConnection(self.entry.settings.clients_address, 1)
        self.addCleanup(connection.close)
        headers = [('Host', 'a.example'), ('X-Attempt-Id', 'j1')]
        if key:
            headers.append(('X-Credential', key))
        # The team header of a client must be ignored.
        headers.append(('X-Bendlead-Team', 'team-1'))
        return connection.request(method, target, headers, body, 4).head.status

    def test_calls_by_key(self):
        self.assertEqual(401, self.call('POST', '/x/j1', '', job()))
        self.assertEqual(401, self.call('POST', '/x/j1', 'nobody', job()))
        self.assertEqual(202, self.call('POST', '/x/j1', _KEY, job()))
        read = '/-/lots/j1?watch_after=0'
        self.assertEqual(200, self.call('GET', read, _OTHER_KEY))
        self.assertEqual(404, self.call('GET', read, _STRANGE_KEY))
        self.assertEqual(401, self.call('GET', read, 'nobody'))
        self.assertEqual(404, self.call('DELETE', '/-/lots/j1', _STRANGE_KEY))
        self.assertEqual(200, self.call('DELETE', '/-/lots/j1', _OTHER_KEY))

    def test_owner_gets_no_key(self):
        relay = self.entry._relay
        told = []
        with_team = relay._relay
        relay._relay = lambda request, *rest, **kind: (
            told.append(request),
            with_team(request, *rest, **kind),
        )
        self.assertEqual(202, self.call('POST', '/x/j1', _KEY, job()))
        self.assertNotIn(_KEY, repr(told))
        self.assertIn(('X-Bendlead-Team', 'team-1'), told[0].headers)


class StoredJobTest(OwnerCase):
    """Jobs stored before jobs had teams are still read."""

    def test_record_without_team(self):
        from bendlead_schema.records import DirectJobAccepted
        from msgspec import json as msgjson

        stored = (
            b'{"kind":"direct-job-accepted","job":"j1","host":"a.example",'
            b'"path":"/x/j1","accepted_at":1.0,"total":1,"tokens":10,'
            b'"packed":"","parts":[]}'
        )
        read = msgjson.decode(stored, type=DirectJobAccepted)
        self.assertEqual(('j1', ''), (read.job, read.team))
