"""Entries of the OpenAI-compatible face count teams' requests together."""

import unittest
from http import HTTPStatus

from bendlead_node._common.config import ConfigTable, config_key
from bendlead_node._common.web import CallError, json_answer
from bendlead_node._entry.gate import Gate
from bendlead_node._entry.members import Members
from bendlead_node._entry.shared_limits import SharedLimits
from bendlead_schema.messages import EntryHeartbeat, VersionedKey
from bendlead_schema.objects import Team
from msgspec import json, structs

_TEAM = Team(
    format=1,
    name='team-1',
    key_hashes=[],
    operator=False,
    requests_per_second=10,
    concurrency=100,
    share=1,
)


#: The same team with four requests at once.
_FEW = structs.replace(_TEAM, concurrency=4)


class Entry:
    """One entry: what it lets through, and its heartbeat."""

    def __init__(self, name):
        self.name = name
        config = ConfigTable()
        body = json.encode(_TEAM).decode()
        key = config_key('team', _TEAM.name)
        config.merge(
            [VersionedKey(key=key, version=1, deleted=False, body=body)]
        )
        self.members = Members(name, suspect_after=2)
        self.limits = SharedLimits(name, config, self.members)
        self.gate = Gate(config, self.limits)

    def stream(self):
        """Begin a stream of the team, which holds a place."""
        answer = json_answer({})
        answer.body = iter([b'a', b'b'])
        answer = self.gate.admitted(_FEW, lambda: answer)
        next(answer.body)
        return answer

    def ask(self, team=_TEAM):
        """Give the status of one request of the team."""
        try:
            answer = self.gate.admitted(team, lambda: json_answer({}))
        except CallError as error:
            return error.status
        return answer.status

    def passed(self, count):
        """Count the requests that pass of so many."""
        return sum(self.ask() == HTTPStatus.OK for _one in range(count))

    def beat(self):
        """Give what this entry tells the others."""
        told = self.limits.news()
        return EntryHeartbeat(
            node=self.name,
            address=self.name,
            data_hall='h',
            region='',
            leaving=False,
            shards=[],
            revision=1,
            digest='',
            incarnation='1',
            life=told.life,
            beat=told.beat,
            teams=told.teams,
            levels=told.levels,
            running=told.running,
        )


class SharedLimitTest(unittest.TestCase):
    """Three entries let a team's limit through, not three times as much."""

    def setUp(self):
        self.entries = [Entry(f'entry-{number}') for number in range(3)]
        for entry in self.entries:
            # The burst has drained away since their start.
            entry.limits._limits._started -= 10

    def exchange(self):
        """Have each entry hear each other."""
        for entry in self.entries:
            heartbeat = entry.beat()
            for other in self.entries:
                if other is not entry:
                    other.members.hear_entry(heartbeat)
                    other.limits.hear(heartbeat)

    def test_three_entries_share_one_limit(self):
        self.exchange()
        passed = self.entries[0].passed(20)
        self.exchange()
        for other in self.entries[1:]:
            passed += other.passed(20)
            self.exchange()
        # Ten a second, ten at once, and a part of a tenth of a window's.
        self.assertTrue(10 <= passed <= 14, passed)

    def test_three_entries_share_the_requests_at_once(self):
        """Streams hold their places until their last byte."""
        streams = [self.entries[0].stream() for _one in range(3)]
        self.exchange()
        self.assertEqual(HTTPStatus.OK, self.entries[1].ask(_FEW))
        streams.append(self.entries[1].stream())
        self.exchange()
        self.assertEqual(
            [HTTPStatus.TOO_MANY_REQUESTS] * 3,
            [one.ask(_FEW) for one in self.entries],
        )
        list(streams.pop().body)
        self.exchange()
        self.assertEqual(HTTPStatus.OK, self.entries[2].ask(_FEW))

    def test_requests_at_once_of_an_entry_that_is_gone_count_no_more(self):
        for _stream in range(4):
            self.entries[0].stream()
        self.exchange()
        self.entries[1].members._entries['entry-0'].heard -= 3
        self.assertEqual(HTTPStatus.OK, self.entries[1].ask(_FEW))

    def test_who_hears_nobody_uses_its_part_of_the_requests_at_once(self):
        self.exchange()
        entry = self.entries[0]
        for peer in entry.members._entries.values():
            peer.heard -= 10
        entry.stream()
        self.assertEqual(HTTPStatus.TOO_MANY_REQUESTS, entry.ask(_FEW))

    def test_the_answer_tells_when_to_come_back(self):
        entry = self.entries[0]
        entry.passed(20)
        with self.assertRaises(CallError) as caught:
            entry.gate.admitted(_TEAM, lambda: json_answer({}))
        self.assertEqual(HTTPStatus.TOO_MANY_REQUESTS, caught.exception.status)
        self.assertEqual(1, caught.exception.retry_after)

    def test_who_was_heard_once_may_be_cut_off_and_serve_on(self):
        self.exchange()
        entry = self.entries[0]
        for peer in entry.members._entries.values():
            peer.heard -= 10
        group = entry.members.group()
        self.assertEqual((1, 3), (group.reachable, group.entries))
        for peer in entry.members._entries.values():
            peer.heard -= 60
        self.assertEqual(1, entry.members.group().entries)
