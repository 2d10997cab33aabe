"""The whole path through real processes, seen by the official client."""

import unittest

import openai
from bendlead_testing.cluster import OTHER_KEY, Cluster
from bendlead_testing.engine import expected_text
from bendlead_testing.workload import (
    Tally,
    batch_lines,
    chat_body,
    client,
    stream_text,
    submit,
    tally,
    wait_finished,
)


class PathTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        cls.cluster = Cluster(entries=2, engines=2)
        cls.caller = client(cls.cluster)
        cls.other_entry = client(cls.cluster, entry=1)
        cls.other_team = client(cls.cluster, key=OTHER_KEY)

    @classmethod
    def tearDownClass(cls) -> None:
        cls.cluster.__exit__()

    def test_whole_and_streamed_answers_are_the_same(self) -> None:
        whole = self.caller.chat.completions.create(**chat_body('a card', 6))
        streamed = stream_text(self.caller, 'a card', 6)
        self.assertEqual(
            (whole.choices[0].message.content, streamed),
            (expected_text('a card', 6), expected_text('a card', 6)),
        )

    def test_completions_without_chat(self) -> None:
        body = chat_body('', 3)
        whole = self.caller.completions.create(
            model=body['model'],
            prompt='a note',
            max_tokens=3,
        )
        self.assertEqual(whole.choices[0].text, expected_text('a note', 3))

    def test_batch_is_done_once_and_read_back_from_another_entry(self) -> None:
        job = submit(self.caller, batch_lines(20, 4))
        wait_finished(self.caller, job, 20)
        self.assertEqual(
            tally(self.other_entry, job, 20, 4),
            Tally(total=20, completed=20, duplicates=0, lost=0, wrong=0),
        )

    def test_resent_batch_is_the_same_batch(self) -> None:
        stored = self.caller.files.create(
            file=('a.jsonl', batch_lines(2)),
            purpose='batch',
        )
        jobs = {
            caller.batches.create(
                input_file_id=stored.id,
                endpoint='/v1/chat/completions',
                completion_window='24h',
                extra_headers={'Idempotency-Key': 'resent'},
            ).id
            for caller in (self.caller, self.other_entry, self.caller)
        }
        self.assertEqual(len(jobs), 1)

    def test_another_team_sees_nothing(self) -> None:
        job = submit(self.caller, batch_lines(1))
        file_id = self.caller.batches.retrieve(job).input_file_id
        for attempt in (
            lambda: self.other_team.batches.retrieve(job),
            lambda: self.other_team.batches.cancel(job),
            lambda: self.other_team.files.retrieve(file_id),
            lambda: self.other_team.files.content(f'file-out-{job}'),
        ):
            with self.assertRaises(openai.NotFoundError):
                attempt()
        listed = [one.id for one in self.other_team.batches.list()]
        self.assertNotIn(job, listed)

    def test_bad_lines_are_reported_and_the_others_run(self) -> None:
        good = batch_lines(2, 2).decode()
        first = good.splitlines()[0]
        lines = f'{good}\nnot json\n{{"body": {{}}}}\n{first}\n'.encode()
        job = submit(self.caller, lines)
        wait_finished(self.caller, job, 20)
        shown = self.caller.batches.retrieve(job)
        self.assertEqual(
            [(error.line, error.code) for error in shown.errors.data],
            [
                (3, 'invalid_line'),
                (4, 'invalid_line'),
                (5, 'duplicate_custom_id'),
            ],
        )
        counts = shown.request_counts
        self.assertEqual((counts.completed, counts.failed), (2, 3))

    def test_unknown_key_and_unknown_model(self) -> None:
        stranger = client(self.cluster, key='nobody')
        with self.assertRaises(openai.AuthenticationError):
            stranger.models.list()
        with self.assertRaises(openai.NotFoundError):
            self.caller.chat.completions.create(
                **{**chat_body('x'), 'model': 'no-such-model'},
            )

    def test_unknown_peer_is_refused(self) -> None:
        for daemon in (self.cluster.entries[0], self.cluster.endpoints[0]):
            status, _headers, _body = self.cluster.call('/livez', method='GET')
            self.assertEqual(status, 200)
            from bendlead_testing.daemons import http

            status, _headers, _body = http(
                'GET',
                f'{daemon.url}/debug/state',
                headers={'X-Bendlead-Peer': 'wrong'},
            )
            self.assertEqual(status, 403)
